package untrusted

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// process is a process of the program under test.
type process struct {
	command *exec.Cmd
	output  string // path of its output
	ended   chan struct{}
}

// startProcess starts the program. It is killed when the test ends.
func startProcess(t *testing.T, environment []string, arguments ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "output.log")
	output, err := os.Create(path)
	require.NoError(t, err)
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = output, output
	// The process must not outlive a test process that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, command.Start())
	p := &process{command: command, output: path, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-p.ended
		_ = output.Close()
	})
	return p
}

func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the peak resident memory in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(p.path("status"))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		text, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
		require.NoError(t, err)
		return kilobytes << 10
	}
	require.Fail(t, "no VmHWM in the status of the process")
	return 0
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(p.path("fd"))
	require.NoError(t, err)
	return len(entries)
}

func (p *process) path(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, name)
}

// lastOutput returns the end of the process's output.
func (p *process) lastOutput() string {
	const length = 2000
	data, err := os.ReadFile(p.output)
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(data[max(0, len(data)-length):]))
}
