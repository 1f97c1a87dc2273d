package event

// Events 1300 to 1399: the registers that are built from the log.
var (
	LogReadFailed = register(1300, "LogReadFailed", Warn,
		"the log service could not be read; records are requested from peers instead", "check the log service if it lasts")
	LogReadResumed = register(1301, "LogReadResumed", Info,
		"the log service can be read again", "none")
	LogRecordsMissed = register(1302, "LogRecordsMissed", Warn,
		"the log dropped records before this VM read them; it serves the last known configuration until restatements or a peer supply the rest",
		"raise the log's retention if it recurs")
	LogRecordRejected = register(1303, "LogRecordRejected", Error,
		"a record of the log was invalid and was skipped; all VMs skip it", "find out who wrote to the stream")
	RegisterReady = register(1304, "RegisterReady", Info,
		"the state of all registers of the stream is known", "none")
	SnapshotTaken = register(1305, "SnapshotTaken", Info,
		"registers were loaded from a peer's snapshot", "none")
	SnapshotRejected = register(1306, "SnapshotRejected", Error,
		"a peer's snapshot is invalid or does not match and was rejected", "look for VMs with another version")
	RestatementFailed = register(1307, "RestatementFailed", Warn,
		"a restatement was not appended; it is retried", "check the log service if it lasts")
	KeyHashShared = register(1308, "KeyHashShared", Error,
		"two customers list the same API key; it authenticates neither", "publish one of their templates without it")
	RestatementRequested = register(1311, "RestatementRequested", Warn,
		"this VM lacks records that the log has dropped and requests them from VMs that have them", "none")
	BucketRecovered = register(1312, "BucketRecovered", Warn,
		"the log dropped records that no VM has read; this VM makes its last known content current again, with a new revision",
		"compare the templates in force with what was published before the outage")
	LeaseTaken = register(1309, "LeaseTaken", Info,
		"this VM acquired the lease", "none")
	LeaseLapsed = register(1310, "LeaseLapsed", Warn,
		"this VM's lease expired or was lost; it sends no more orders", "none")
)
