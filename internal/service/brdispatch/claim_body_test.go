package brdispatch_test

import (
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// A request is refused without running if its Idempotency-Key is invalid or its
// body exceeds the limit for claimed requests.
func TestUnclaimableRequestDoesNotRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		keys   []string
		body   int // bytes
		reason brrequest.Reason
	}{
		{"empty key", []string{""}, 1, brrequest.ReasonIdempotencyKeyInvalid},
		{"long key", []string{strings.Repeat("k", 129)}, 1, brrequest.ReasonIdempotencyKeyInvalid},
		{"space in key", []string{"a b"}, 1, brrequest.ReasonIdempotencyKeyInvalid},
		{"two keys", []string{"a", "b"}, 1, brrequest.ReasonIdempotencyKeyInvalid},
		{"large body", []string{strings.Repeat("k", 128)}, 1<<20 + 1, brrequest.ReasonBodyTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClaimCluster(t.Context(), plan{crashSteps: []int{0}, partitions: []time.Duration{0}, commits: []int{commitApplied}, sends: []int{sendCompleted}})
				fields := brmessage.NewFields(map[string][]string{"Idempotency-Key": test.keys})
				call := brmessage.NewCall("POST", "/x", fields, strings.NewReader(strings.Repeat("x", test.body)), -1)
				request := brrequest.New("request-0", "POST", "/taller-norte", netip.Addr{})
				result := c.vms[0].dispatcher.Dispatch(t.Context(), request, call, &memoryWriter{})
				require.Equal(t, brrequest.FateNotRun, result.Fate())
				require.Equal(t, test.reason, result.Reason())
				require.Zero(t, c.sends)
				c.stop()
			})
		})
	}
}
