package brdocument

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brallocation"
)

// AllocationKey is the key of the row that holds the allocation of rate limits to failure domains.
const AllocationKey = "shares-division"

// SharesKey returns the key of the row that divides a failure domain's share of the
// rate limits between its VMs.
func SharesKey(domain string) string { return "shares/" + domain }

type slotDocument struct {
	Name              string `json:"name"`
	Parts             int64  `json:"parts"`
	Holder            string `json:"holder,omitempty"`
	VM                string `json:"vm,omitempty"`
	LeaseMilliseconds int64  `json:"leaseMilliseconds,omitempty"`
	Sequence          uint64 `json:"sequence"`
}

type rowDocument struct {
	Parts    int64          `json:"parts"`
	Sequence uint64         `json:"sequence"`
	Waiting  bool           `json:"waiting,omitempty"`
	Slots    []slotDocument `json:"slots"`
}

type allocationDocument struct {
	Domains map[string]int64 `json:"domains"`
}

// EncodeShares encodes the shares of rate limits within a failure domain as JSON.
func EncodeShares(row brallocation.Row) ([]byte, error) {
	document := rowDocument{Parts: int64(row.Parts()), Sequence: row.Sequence(), Waiting: row.Waiting()}
	for _, s := range row.Slots() {
		document.Slots = append(document.Slots, slotDocument{
			Name:              s.Name(),
			Parts:             int64(s.Parts()),
			Holder:            s.Holder(),
			VM:                s.VM(),
			LeaseMilliseconds: s.Lease().Milliseconds(),
			Sequence:          s.Sequence(),
		})
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Errorf("encode rate limit shares: %w", err)
	}
	return data, nil
}

// DecodeShares decodes the shares of rate limits within a failure domain from JSON.
func DecodeShares(data []byte) (brallocation.Row, error) {
	var document rowDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return brallocation.Row{}, errors.Errorf("decode rate limit shares: %w", err)
	}
	slots := make([]brallocation.Slot, 0, len(document.Slots))
	for _, s := range document.Slots {
		lease := time.Duration(s.LeaseMilliseconds) * time.Millisecond
		slots = append(slots, brallocation.NewSlot(s.Name, brallocation.Parts(s.Parts)).
			WithHolder(s.Holder, s.VM, lease).
			WithSequence(s.Sequence))
	}
	row, err := brallocation.NewRow(brallocation.Parts(document.Parts), slots...)
	if err != nil {
		return brallocation.Row{}, errors.Errorf("decode rate limit shares: %w", err)
	}
	return row.WithSequence(document.Sequence).WithWaiting(document.Waiting), nil
}

// EncodeAllocation encodes the allocation of rate limits to failure domains as JSON.
func EncodeAllocation(allocation brallocation.Allocation) ([]byte, error) {
	document := allocationDocument{Domains: map[string]int64{}}
	for domain, parts := range allocation.Domains() {
		document.Domains[domain] = int64(parts)
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Errorf("encode rate limit allocation: %w", err)
	}
	return data, nil
}

// DecodeAllocation decodes the allocation of rate limits to failure domains from JSON.
func DecodeAllocation(data []byte) (brallocation.Allocation, error) {
	var document allocationDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return brallocation.Allocation{}, errors.Errorf("decode rate limit allocation: %w", err)
	}
	allocation := brallocation.NewAllocation()
	var err error
	for domain, parts := range document.Domains {
		if allocation, err = allocation.With(domain, brallocation.Parts(parts)); err != nil {
			return brallocation.Allocation{}, errors.Errorf("decode rate limit allocation: %w", err)
		}
	}
	return allocation, nil
}
