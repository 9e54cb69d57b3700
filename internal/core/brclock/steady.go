package brclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Steady is a clock without a relation to the time of day, which never steps and goes on
// while the machine is suspended.
type Steady interface {
	// Reading returns the time since a fixed point.
	Reading() time.Duration
}

// BootTime is the time since the machine has booted, including suspended time. The monotonic
// clock of package time stops while the machine is suspended.
type BootTime struct{}

// NewBootTime returns the clock of the machine.
func NewBootTime() BootTime { return BootTime{} }

var _ Steady = BootTime{}

// Reading implements Steady.
func (BootTime) Reading() time.Duration {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only on systems without the clock, which this system isn't built for.
		panic(err)
	}
	return time.Duration(now.Nano())
}
