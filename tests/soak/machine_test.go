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

	"bergamotroad.example/bergamotroad/platform/brsite"
	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// machine is an entry VM: a process of the real program with the proxies on its
// connections.
type machine struct {
	site    brstandin.Site
	file    string
	output  *os.File
	toStore *proxy
	toPeer  *proxy // from other VMs to this one
	toFront *proxy // from callers to this one
	failed  func(text string)

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	told    bool // a stop or kill signal was sent to the process
	changes int
	gone    bool
}

func newMachine(t *testing.T, site brstandin.Site, folder string, failed func(string)) *machine {
	t.Helper()
	m := &machine{site: site, file: filepath.Join(folder, site.Name()+".toml"), failed: failed}
	output, err := os.Create(filepath.Join(folder, site.Name()+".log"))
	require.NoError(t, err)
	m.output = output
	t.Cleanup(func() { _ = output.Close() })
	m.writeSettings()
	return m
}

func (m *machine) writeSettings() {
	m.changes++
	// Renaming prevents the VM from reading a partly written file.
	next := m.file + ".next"
	if err := os.WriteFile(next, []byte(m.site.Settings(m.changes)), 0o600); err != nil {
		m.failed(fmt.Sprintf("write settings: %v", err))
	}
	if err := os.Rename(next, m.file); err != nil {
		m.failed(fmt.Sprintf("replace settings: %v", err))
	}
}

// start starts the process, unless it is running or the VM was removed.
func (m *machine) start() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != nil || m.gone {
		return
	}
	process := exec.Command(program, "entry")
	process.Env = append(os.Environ(), brsite.Variable+"="+m.file, "GORACE=halt_on_error=1")
	process.Stdout, process.Stderr = m.output, m.output
	// The VM must not outlive a test process that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		m.failed(fmt.Sprintf("start %s: %v", m.site.Name(), err))
		return
	}
	m.process, m.told, m.ended = process, false, make(chan struct{})
	go m.await(process, m.ended)
}

// await waits for the process and reports one that exits without a signal from the
// harness.
func (m *machine) await(process *exec.Cmd, ended chan struct{}) {
	err := process.Wait()
	m.mutex.Lock()
	told := m.told
	m.process = nil
	m.mutex.Unlock()
	close(ended)
	if !told {
		m.failed(fmt.Sprintf("FAULT: process of %s exited unexpectedly: %v", m.site.Name(), err))
	}
}

// signal sends a signal to the process, if it is running.
func (m *machine) signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		m.told = true
	}
	_ = m.process.Process.Signal(signal)
}

// stops reports whether the process was signalled to stop and is still running.
func (m *machine) stops() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.process != nil && m.told
}

// end sends a signal that ends the process and waits until it has exited.
func (m *machine) end(signal syscall.Signal) {
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
func (m *machine) remove(signal syscall.Signal) {
	m.mutex.Lock()
	m.gone = true
	m.mutex.Unlock()
	m.end(signal)
}

func (m *machine) isGone() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.gone
}
