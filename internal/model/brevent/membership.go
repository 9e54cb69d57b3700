package brevent

// The kinds of events about the membership of other VMs.
const (
	KindMemberJoined    Kind = "member-joined"
	KindMemberSuspected Kind = "member-suspected"
	KindMemberDead      Kind = "member-dead"
	KindMemberLeft      Kind = "member-left"
)
