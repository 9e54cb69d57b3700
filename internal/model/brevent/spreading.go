package brevent

// The kinds of events of the spreading of configurations.
const (
	// KindHeadBehind says that the platform names an older generation than the
	// VM holds, as after a restore of the table.
	KindHeadBehind Kind = "configuration-head-behind"
	// KindBranched says that two configurations of one generation differ.
	KindBranched Kind = "configuration-branched"
	// KindSnapshotInstalled says that a VM took a whole snapshot into force.
	KindSnapshotInstalled Kind = "configuration-snapshot-installed"
)
