package brmove

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

const (
	// minStepDuration is the minimum duration of a step.
	minStepDuration = 15 * time.Second
	// propagationTime is the time within which a change takes effect on every
	// reachable VM.
	propagationTime = 7 * time.Second
	// finishMargin is the period before the end time in which a move may not be
	// finished any more, since a VM that has not received its end treats it as
	// undone from the end time on.
	finishMargin = 2 * propagationTime
)

// uncappedSteps returns the traffic fractions of the steps of a move without a cap.
func uncappedSteps() []brunit.Amount {
	return []brunit.Amount{
		brunit.New(1, 100),
		brunit.New(1, 20),
		brunit.New(1, 4),
		brunit.New(1, 2),
		brunit.New(1, 1),
	}
}

// Steps returns the fraction of traffic that the new version gets in each step, up
// to the cap of the move.
func Steps(limit brunit.Amount) []brunit.Amount {
	steps := []brunit.Amount{}
	for _, fraction := range uncappedSteps() {
		if fraction.Compare(limit) >= 0 {
			return append(steps, limit)
		}
		steps = append(steps, fraction)
	}
	return steps
}

// MinDuration returns the minimum duration of a move with a cap.
func MinDuration(limit brunit.Amount) time.Duration {
	return time.Duration(len(Steps(limit)))*(minStepDuration+propagationTime) + finishMargin
}

// isOpen reports whether a move is neither done nor undone.
func isOpen(m brconfig.Move) bool {
	return m.State() == brconfig.MovePlanned || m.State() == brconfig.MoveRunning
}
