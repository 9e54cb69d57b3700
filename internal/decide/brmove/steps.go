package brmove

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

const (
	// stepTime is the least time that a step lasts.
	stepTime = 15 * time.Second
	// spreadTime is the time in which a change is in force on every VM that can be reached.
	spreadTime = 7 * time.Second
	// finishMargin is the time before its end after which a move is not finished any more.
	finishMargin = 2 * spreadTime
)

// ladder returns the fractions of traffic of the steps before the cap bounds them.
func ladder() []brunit.Amount {
	return []brunit.Amount{
		brunit.New(1, 100),
		brunit.New(1, 20),
		brunit.New(1, 4),
		brunit.New(1, 2),
		brunit.New(1, 1),
	}
}

// Steps returns the fractions of traffic that the new version gets, step by
// step, up to the cap of a move.
func Steps(limit brunit.Amount) []brunit.Amount {
	steps := []brunit.Amount{}
	for _, fraction := range ladder() {
		if fraction.Compare(limit) >= 0 {
			return append(steps, limit)
		}
		steps = append(steps, fraction)
	}
	return steps
}

// Needed returns the least time that a move with a cap takes.
func Needed(limit brunit.Amount) time.Duration {
	return time.Duration(len(Steps(limit)))*(stepTime+spreadTime) + finishMargin
}

// isOpen reports whether a move is neither finished nor taken back.
func isOpen(m brconfig.Move) bool {
	return m.State() == brconfig.MovePlanned || m.State() == brconfig.MoveRunning
}
