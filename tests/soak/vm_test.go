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

// entryVM is an entry VM: a process of the real program with the proxies on its
// connections.
type entryVM struct {
	site         brstandin.VM
	settingsFile string
	output       *os.File
	storeProxy   *proxy
	peerProxy    *proxy // from other VMs to this one
	frontProxy   *proxy // from callers to this one
	onFailure    func(text string)

	mutex           sync.Mutex
	process         *exec.Cmd
	ended           chan struct{}
	stopSignalled   bool // a stop or kill signal was sent to the process
	settingsVersion int
	removed         bool
}

func newEntryVM(t *testing.T, site brstandin.VM, folder string, failed func(string)) *entryVM {
	t.Helper()
	m := &entryVM{site: site, settingsFile: filepath.Join(folder, site.Name()+".toml"), onFailure: failed}
	output, err := os.Create(filepath.Join(folder, site.Name()+".log"))
	require.NoError(t, err)
	m.output = output
	t.Cleanup(func() { _ = output.Close() })
	m.writeSettings()
	return m
}

func (m *entryVM) writeSettings() {
	m.settingsVersion++
	// Renaming prevents the VM from reading a partly written file.
	next := m.settingsFile + ".next"
	if err := os.WriteFile(next, []byte(m.site.Settings(m.settingsVersion)), 0o600); err != nil {
		m.onFailure(fmt.Sprintf("write settings: %v", err))
	}
	if err := os.Rename(next, m.settingsFile); err != nil {
		m.onFailure(fmt.Sprintf("replace settings: %v", err))
	}
}

// start starts the process, unless it is running or the VM was removed.
func (m *entryVM) start() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != nil || m.removed {
		return
	}
	process := exec.Command(program, "entry")
	process.Env = append(os.Environ(), brvmsettings.EnvironmentVariable+"="+m.settingsFile, "GORACE=halt_on_error=1")
	process.Stdout, process.Stderr = m.output, m.output
	// The VM must not outlive a test process that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		m.onFailure(fmt.Sprintf("start %s: %v", m.site.Name(), err))
		return
	}
	m.process, m.stopSignalled, m.ended = process, false, make(chan struct{})
	go m.await(process, m.ended)
}

// await waits for the process and reports one that exits without a signal from the
// harness.
func (m *entryVM) await(process *exec.Cmd, ended chan struct{}) {
	err := process.Wait()
	m.mutex.Lock()
	expected := m.stopSignalled
	m.process = nil
	m.mutex.Unlock()
	close(ended)
	if !expected {
		m.onFailure(fmt.Sprintf("FAULT: process of %s exited unexpectedly: %v", m.site.Name(), err))
	}
}

// signal sends a signal to the process, if it is running.
func (m *entryVM) signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		m.stopSignalled = true
	}
	_ = m.process.Process.Signal(signal)
}

// isStopping reports whether the process was signalled to stop and is still running.
func (m *entryVM) isStopping() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.process != nil && m.stopSignalled
}

// end sends a signal that ends the process and waits until it has exited.
func (m *entryVM) end(signal syscall.Signal) {
	m.mutex.Lock()
	ended, runs := m.ended, m.process != nil
	m.mutex.Unlock()
	if !runs {
		return
	}
	m.signal(signal)
	<-ended
}

// remove ends the process and prevents further starts.
func (m *entryVM) remove(signal syscall.Signal) {
	m.mutex.Lock()
	m.removed = true
	m.mutex.Unlock()
	m.end(signal)
}

func (m *entryVM) isRemoved() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.removed
}
