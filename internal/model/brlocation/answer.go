// Package brlocation provides the answer to a look-up: the entry VMs that a
// caller should use.
//
// # Usage
//
//	answer := brlocation.NewAnswer("uruguay-north", vms, 10*time.Second)
//	for _, vm := range answer.VMs() {
//		fmt.Println(vm.CallerAddress())
//	}
package brlocation

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Answer is the ordered list of VMs for a caller. It is immutable.
type Answer struct {
	block      string
	vms        []brconfig.VM
	timeToLive time.Duration
}

// NewAnswer returns an answer for a block, which is "" for a caller outside
// all blocks, with the VMs best first and the time for which it may be used.
func NewAnswer(block string, vms []brconfig.VM, timeToLive time.Duration) Answer {
	return Answer{block: block, vms: vms, timeToLive: timeToLive}
}

// Block returns the name of the caller's block, or none as "".
func (a Answer) Block() string { return a.block }

// VMs returns the VMs, best first. The caller must not change the slice.
func (a Answer) VMs() []brconfig.VM { return a.vms }

// TimeToLive returns the time for which the answer may be used.
func (a Answer) TimeToLive() time.Duration { return a.timeToLive }
