// Package brlocation provides the response to a look-up: the entry VMs that a
// caller should use.
//
// # Usage
//
//	response := brlocation.NewResponse("uruguay-north", vms, 10*time.Second)
//	for _, vm := range response.VMs() {
//		fmt.Println(vm.CallerAddress())
//	}
package brlocation

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Response lists the VMs for a caller in order of preference. It is immutable.
type Response struct {
	block      string
	vms        []brconfig.VM
	timeToLive time.Duration
}

// NewResponse returns a response for an address block, which is "" for a caller
// outside all blocks, with the VMs best first and the time to live.
func NewResponse(block string, vms []brconfig.VM, timeToLive time.Duration) Response {
	return Response{block: block, vms: vms, timeToLive: timeToLive}
}

// Block returns the name of the caller's address block, or "" if there is none.
func (r Response) Block() string { return r.block }

// VMs returns the VMs, best first. The caller must not modify the slice.
func (r Response) VMs() []brconfig.VM { return r.vms }

// TimeToLive returns the time for which the response may be cached.
func (r Response) TimeToLive() time.Duration { return r.timeToLive }
