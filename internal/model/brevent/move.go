package brevent

// The kinds of events of moves, which shift the traffic of a service to another version.
const (
	KindMoveStep   Kind = "move-step"
	KindMoveDone   Kind = "move-done"
	KindMoveUndone Kind = "move-undone"
)
