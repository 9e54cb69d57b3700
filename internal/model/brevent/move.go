package brevent

// The kinds of events of moves of versions.
const (
	KindMoveStep   Kind = "move-step"
	KindMoveDone   Kind = "move-done"
	KindMoveUndone Kind = "move-undone"
)
