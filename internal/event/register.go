package event

// Events 1300 to 1399: the registers that are folded from the log.
var (
	LogReadFailed = register(1300, "LogReadFailed", Warn,
		"the log service could not be read; peers are asked instead", "look at the log service if it lasts")
	LogReadResumed = register(1301, "LogReadResumed", Info,
		"the log service can be read again", "none")
	LogRecordsMissed = register(1302, "LogRecordsMissed", Warn,
		"the log dropped records before this VM read them; it serves the last known configuration until restatements or a peer tell the rest",
		"raise the log's retention if it comes again")
	LogRecordRejected = register(1303, "LogRecordRejected", Error,
		"a record of the log was passed over, alike at all VMs", "find out who wrote to the stream")
	RegisterReady = register(1304, "RegisterReady", Info,
		"all registers of the stream are decided", "none")
	SnapshotTaken = register(1305, "SnapshotTaken", Info,
		"registers were learned from a peer's snapshot", "none")
	SnapshotRejected = register(1306, "SnapshotRejected", Error,
		"a peer's snapshot does not fit", "look for VMs with another version")
	RestatementFailed = register(1307, "RestatementFailed", Warn,
		"a restatement was not appended; it is tried again", "look at the log service if it lasts")
	KeyHashShared = register(1308, "KeyHashShared", Error,
		"two customers name the same API key; it speaks for neither", "publish one of them without it")
	RestatementRequested = register(1311, "RestatementRequested", Warn,
		"this VM misses records that the log has dropped and asks the VMs that know them", "none")
	BucketRecovered = register(1312, "BucketRecovered", Warn,
		"the log dropped records that no VM has read; this VM puts what it last knew in force anew, with a new revision",
		"compare the templates in force with what was published before the outage")
	LeaseTaken = register(1309, "LeaseTaken", Info,
		"this VM holds the lease", "none")
	LeaseLapsed = register(1310, "LeaseLapsed", Warn,
		"this VM's lease ran out or was lost; it sends no more orders", "none")
)
