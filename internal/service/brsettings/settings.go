// Package brsettings loads and checks the settings of a VM, in one place.
//
// Settings are JSON. Unknown and missing fields, values out of range and bad
// addresses are refused, all of them at once, each with its path in the file.
//
// # Usage
//
//	settings, err := brsettings.Load("settings.json")
//	fmt.Println(settings.VM(), settings.Callers().Address())
package brsettings

import "time"

// Settings are the checked settings of a VM.
type Settings struct {
	vm        string
	domain    string
	callers   Front
	peers     Front
	operators Front
	platform  Platform
	drain     Drain
	logLevel  string
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

// Platform returns where the platform's services are.
func (s Settings) Platform() Platform { return s.platform }

// Drain returns how long a planned stop may take.
func (s Settings) Drain() Drain { return s.drain }

// LogLevel returns the least level that is logged.
func (s Settings) LogLevel() string { return s.logLevel }

// Platform says where the platform's services are.
type Platform struct {
	table   string
	objects string
	vms     string
	timeout time.Duration
}

// Table returns the base URL of the table service.
func (p Platform) Table() string { return p.table }

// Objects returns the base URL of the bucket.
func (p Platform) Objects() string { return p.objects }

// VMs returns the URL of the list of VMs.
func (p Platform) VMs() string { return p.vms }

// Timeout returns the longest time that a call to the platform takes.
func (p Platform) Timeout() time.Duration { return p.timeout }
