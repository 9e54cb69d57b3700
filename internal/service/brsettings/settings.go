// Package brsettings loads and validates the settings file of a VM.
//
// Settings are JSON. Unknown, missing and duplicate fields, values out of range and
// invalid addresses are rejected. All errors are reported together, each with its path
// in the file.
//
// # Usage
//
//	settings, err := brsettings.Load("settings.json")
//	fmt.Println(settings.VM(), settings.Callers().Address())
package brsettings

import "time"

// Settings holds the validated settings of a VM.
type Settings struct {
	vm        string
	domain    string
	callers   Front
	peers     Front
	operators Front
	platform  Platform
	drain     Drain
	logLevel  string
	memoryMB  int64
}

// VM returns the name of the VM.
func (s Settings) VM() string { return s.vm }

// Domain returns the failure domain of the VM.
func (s Settings) Domain() string { return s.domain }

// Callers returns the front for callers.
func (s Settings) Callers() Front { return s.callers }

// Peers returns the front for other entry VMs.
func (s Settings) Peers() Front { return s.peers }

// Operators returns the front for operators.
func (s Settings) Operators() Front { return s.operators }

// Platform returns the settings of the platform's services.
func (s Settings) Platform() Platform { return s.platform }

// Drain returns the durations of the phases of a graceful shutdown.
func (s Settings) Drain() Drain { return s.drain }

// LogLevel returns the minimum level that is logged.
func (s Settings) LogLevel() string { return s.logLevel }

// Memory returns the memory of the VM in bytes, or 0 if it is not set.
func (s Settings) Memory() int64 { return s.memoryMB << 20 }

// Platform holds the URLs of the platform's services and the timeout of calls to them.
type Platform struct {
	table   string
	objects string
	vms     string
	timeout time.Duration
}

// Table returns the base URL of the table service.
func (p Platform) Table() string { return p.table }

// Objects returns the base URL of the object store's bucket.
func (p Platform) Objects() string { return p.objects }

// VMs returns the URL of the list of VMs.
func (p Platform) VMs() string { return p.vms }

// Timeout returns the timeout of a call to the platform.
func (p Platform) Timeout() time.Duration { return p.timeout }
