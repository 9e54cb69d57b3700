package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// Guards against a supervisor that signals twice: the second SIGTERM used to end the
// process at once and cut off the requests that it had just accepted.
func TestSecondStopSignalCutsOffNoRequest(t *testing.T) {
	const (
		requests     = 40
		requestTime  = 800 * time.Millisecond
		signalPeriod = 96 * time.Millisecond
	)
	d := newDeployment(t, 1)
	v := d.vms[0]
	v.start()
	caller := brstandin.NewCaller()
	defer caller.Close()
	send := func(id, path string) (brstandin.Response, error) {
		call := brstandin.NewCall(id, "POST", path, "cylinder", "key-depot", 5*time.Second)
		d.checker.recordSend(&request{call: call, route: initialRoutes()[0], organisation: "depot", vm: v.spec.Name(), vmRegion: v.spec.Region()})
		return caller.Send(t.Context(), v.spec.CallerAddress(), call)
	}
	require.Eventually(t, func() bool {
		response, err := send(fmt.Sprint("ready-", time.Now()), "/look/1")
		return err == nil && response.Succeeded()
	}, 4*recoveryTime, stallCheckInterval)
	before := d.requestsRun()
	wait := sync.WaitGroup{}
	failures := make(chan error, requests)
	for i := range requests {
		wait.Go(func() {
			_, err := send(fmt.Sprint("r-", i), fmt.Sprintf("/look/%d?work=%d", i, requestTime.Milliseconds()))
			failures <- err
		})
	}
	require.Eventually(t, func() bool { return d.requestsRun() > before }, recoveryTime, time.Millisecond)
	ended := v.ended
	for range 3 {
		v.signal(syscall.SIGTERM)
		time.Sleep(signalPeriod)
	}
	wait.Wait()
	<-ended
	for range requests {
		require.NoError(t, <-failures, "each accepted request gets a complete response")
	}
	log, err := os.ReadFile(filepath.Join(d.folder, v.spec.Name()+".log"))
	require.NoError(t, err)
	require.Contains(t, string(log), "VM stopped", "the last lines of the log are written")
	require.Empty(t, d.checker.violations)
	_ = os.RemoveAll(d.folder)
}

// requestsRun returns how many requests servers have started to run.
func (d *deployment) requestsRun() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	total := 0
	for _, s := range d.servers {
		total += s.Total()
	}
	return total
}
