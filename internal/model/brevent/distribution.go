package brevent

// The kinds of events of configuration distribution.
const (
	// KindHeadBehind means that the platform's current generation is older than
	// the one that the VM has, as after a restore of the table.
	KindHeadBehind Kind = "configuration-head-behind"
	// KindBranched means that two configurations of the same generation differ.
	KindBranched Kind = "configuration-branched"
	// KindSnapshotInstalled means that a VM activated a full snapshot.
	KindSnapshotInstalled Kind = "configuration-snapshot-installed"
)
