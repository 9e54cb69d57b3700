package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/platform/brstandin"
	"bergamotroad.example/bergamotroad/platform/brvmsettings"
)

// entryVM is an entry VM that runs as a process of the program under test, and the
// proxies on its connections.
type entryVM struct {
	spec         brstandin.VM
	settingsFile string
	output       *os.File
	storeProxy   *proxy
	peerProxy    *proxy // from other VMs to this one
	callerProxy  *proxy // from callers to this one
	onFailure    func(text string)

	mutex           sync.Mutex
	process         *exec.Cmd
	ended           chan struct{}
	stopSignalled   bool // a stop or kill signal was sent to the process
	settingsVersion int
	removed         bool
}

func newEntryVM(t *testing.T, spec brstandin.VM, folder string, onFailure func(string)) *entryVM {
	t.Helper()
	v := &entryVM{spec: spec, settingsFile: filepath.Join(folder, spec.Name()+".toml"), onFailure: onFailure}
	output, err := os.Create(filepath.Join(folder, spec.Name()+".log"))
	require.NoError(t, err)
	v.output = output
	t.Cleanup(func() { _ = output.Close() })
	v.writeSettings()
	return v
}

// writeSettings writes the next version of the settings file.
func (v *entryVM) writeSettings() {
	v.settingsVersion++
	// Renaming prevents the VM from reading a partly written file.
	next := v.settingsFile + ".next"
	if err := os.WriteFile(next, []byte(v.spec.Settings(v.settingsVersion)), 0o600); err != nil {
		v.onFailure(fmt.Sprintf("write settings: %v", err))
	}
	if err := os.Rename(next, v.settingsFile); err != nil {
		v.onFailure(fmt.Sprintf("replace settings: %v", err))
	}
}

// start starts the process, unless it is running or the VM was removed.
func (v *entryVM) start() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.process != nil || v.removed {
		return
	}
	process := exec.Command(program, "entry")
	process.Env = append(os.Environ(), brvmsettings.EnvironmentVariable+"="+v.settingsFile, "GORACE=halt_on_error=1")
	process.Stdout, process.Stderr = v.output, v.output
	// The VM must not outlive a test process that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		v.onFailure(fmt.Sprintf("start %s: %v", v.spec.Name(), err))
		return
	}
	v.process, v.stopSignalled, v.ended = process, false, make(chan struct{})
	go v.await(process, v.ended)
}

// await waits for the process to exit and reports an exit without a stop signal from the
// harness.
func (v *entryVM) await(process *exec.Cmd, ended chan struct{}) {
	err := process.Wait()
	v.mutex.Lock()
	expected := v.stopSignalled
	v.process = nil
	v.mutex.Unlock()
	close(ended)
	if !expected {
		v.onFailure(fmt.Sprintf("FAULT: process of %s exited unexpectedly: %v", v.spec.Name(), err))
	}
}

// signal sends a signal to the process, if it is running.
func (v *entryVM) signal(signal syscall.Signal) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.process == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		v.stopSignalled = true
	}
	_ = v.process.Process.Signal(signal)
}

// terminate sends a signal that ends the process and waits until it has exited.
func (v *entryVM) terminate(signal syscall.Signal) {
	v.mutex.Lock()
	ended, running := v.ended, v.process != nil
	v.mutex.Unlock()
	if !running {
		return
	}
	v.signal(signal)
	<-ended
}

// remove ends the process with a signal and prevents further starts.
func (v *entryVM) remove(signal syscall.Signal) {
	v.mutex.Lock()
	v.removed = true
	v.mutex.Unlock()
	v.terminate(signal)
}

func (v *entryVM) isRemoved() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.removed
}
