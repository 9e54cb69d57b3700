package brmemory

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

const testBytes = 1 << 20

func holderOf(number byte, organisation string) Holder {
	return NewHolder(netip.AddrFrom4([4]byte{10, 0, 0, number}), organisation)
}

// reservation is memory that a test has reserved.
type reservation struct {
	holder Holder
	bytes  int64
}

// Guards against bodies that hold more than the budget, against a holder with more than its
// share, and against memory that is never released.
func TestReservationsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(testBytes)
		held := []reservation{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				budget.End(held[i].holder, held[i].bytes)
				held = append(held[:i:i], held[i+1:]...)
			} else {
				held = append(held, begin(t, budget)...)
			}
			checkBudget(t, budget, held)
		}
		for _, r := range held {
			budget.End(r.holder, r.bytes)
		}
		require.Zero(t, budget.Used())
		require.Empty(t, budget.byAddress)
		require.Empty(t, budget.byOrganisation)
	})
}

// begin reserves memory for a body, in one or two steps.
func begin(t *rapid.T, budget *Budget) []reservation {
	organisation := rapid.SampledFrom([]string{"", "depot", "studio"}).Draw(t, "organisation")
	holder := holderOf(byte(rapid.IntRange(1, 4).Draw(t, "address")), organisation)
	size := int64(rapid.IntRange(1, testBytes/2).Draw(t, "size"))
	switch budget.Begin(holder, size) {
	case Buffer:
		more := int64(rapid.IntRange(1, testBytes/4).Draw(t, "more"))
		if budget.Grow(holder, size, more) {
			size += more
		}
		return []reservation{{holder, size}}
	case Stream:
		return []reservation{{holder, StreamBytes}}
	default:
		return nil
	}
}

func checkBudget(t *rapid.T, budget *Budget, held []reservation) {
	total, byAddress := int64(0), map[netip.Addr]int64{}
	for _, r := range held {
		total += r.bytes
		byAddress[r.holder.Address()] += r.bytes
	}
	require.Equal(t, total, budget.Used())
	require.LessOrEqual(t, total, int64(testBytes))
	for address, bytes := range byAddress {
		require.LessOrEqual(t, bytes, int64(testBytes/2), "address %v", address)
	}
}

// Guards against clients with large bodies that keep the small bodies of others from being
// served.
func TestSmallBodiesFitWhileLargeOnesAreRefused(t *testing.T) {
	budget := NewBudget(testBytes)
	for number := range byte(16) {
		verdict := Buffer
		for verdict != Refuse {
			verdict = budget.Begin(holderOf(number, ""), testBytes/8)
		}
	}
	require.Equal(t, Refuse, budget.Begin(holderOf(99, ""), testBytes/8))
	require.Equal(t, Buffer, budget.Begin(holderOf(99, ""), smallBytes))
}

// Guards against one address that keeps the bodies of others from being buffered.
func TestOneAddressLeavesRoomForOthers(t *testing.T) {
	budget := NewBudget(testBytes)
	verdict := Buffer
	for verdict == Buffer {
		verdict = budget.Begin(holderOf(1, ""), 32<<10)
	}
	require.Equal(t, Refuse, verdict, "an address that holds its share is refused")
	require.Equal(t, Buffer, budget.Begin(holderOf(2, ""), 128<<10))
}

// Guards against one organisation with many addresses that keeps others from being buffered.
func TestOneOrganisationLeavesRoomForOthers(t *testing.T) {
	budget := NewBudget(testBytes)
	verdict, number := Buffer, byte(0)
	for verdict == Buffer {
		number++
		verdict = budget.Begin(holderOf(number, "depot"), 64<<10)
	}
	require.Equal(t, Stream, verdict, "bodies beyond the share are streamed")
	require.Equal(t, Buffer, budget.Begin(holderOf(99, "studio"), 64<<10))
}

// Guards against a client that uses all addresses of an IPv6 network.
func TestOneIPv6NetworkIsOneHolder(t *testing.T) {
	require.Equal(t, NewHolder(netip.MustParseAddr("2001:db8::1"), "a"), NewHolder(netip.MustParseAddr("2001:db8::2"), "a"))
	require.Equal(t, NewHolder(netip.MustParseAddr("10.0.0.1"), "a"), NewHolder(netip.MustParseAddr("::ffff:10.0.0.1"), "a"))
}

// Guards against a limit that ordinary callers reach: 40 uploads of 360,000 bytes at a time
// are buffered on the smallest VM.
func TestOrdinaryUploadsAreBuffered(t *testing.T) {
	const smallestMemory, uploads, size = 136 << 20, 40, 360_000
	budget := NewBudget(BodyBytes(smallestMemory))
	for range uploads {
		require.Equal(t, Buffer, budget.Begin(holderOf(1, "depot"), size))
	}
}
