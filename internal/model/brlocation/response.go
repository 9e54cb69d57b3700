// Package brlocation provides the response to a look-up: the entry VMs that a
// caller should use.
//
// # Usage
//
//	response := brlocation.NewAnswer("uruguay-north", vms, 10*time.Second)
//	for _, vm := range response.VMs() {
//		fmt.Println(vm.CallerAddress())
//	}
package brlocation

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Answer lists the VMs for a caller in order of preference. It is immutable.
type Answer struct {
	block      string
	vms        []brconfig.VM
	timeToLive time.Duration
}

// NewAnswer returns a response for an address block, which is "" for a caller
// outside all blocks, with the VMs best first and the time to live.
func NewAnswer(block string, vms []brconfig.VM, timeToLive time.Duration) Answer {
	return Answer{block: block, vms: vms, timeToLive: timeToLive}
}

// Block returns the name of the caller's address block, or "" if there is none.
func (r Answer) Block() string { return r.block }

// VMs returns the VMs, best first. The caller must not modify the slice.
func (r Answer) VMs() []brconfig.VM { return r.vms }

// TimeToLive returns the time for which the response may be cached.
func (r Answer) TimeToLive() time.Duration { return r.timeToLive }
