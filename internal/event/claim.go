package event

// Events 1600 to 1699: request keys and their seats.
var (
	SeatTableInForce = register(1600, "SeatTableInForce", Info,
		"a new seat table for request keys took effect", "none")
	SeatTableIgnored = register(1601, "SeatTableIgnored", Info,
		"a proposed seat table had no effect, usually because another VM proposed one first", "none")
	SeatTableProposed = register(1602, "SeatTableProposed", Info,
		"this VM proposed a seat table that matches the current fleet", "none")
	KeyConflict = register(1603, "KeyConflict", Warn,
		"seats handed over conflicting claims of one key; the key is refused as MayHaveRun", "look up the key with explain")
	KeyInDoubt = register(1604, "KeyInDoubt", Warn,
		"a VM that died may have run a key that is not idempotent", "check in the caller's own records whether it ran")
	SeatsUnreachable = register(1605, "SeatsUnreachable", Warn,
		"too few seats of a key responded in time", "if it lasts, look for VMs in two failure domains that are down or partitioned")
	KeyLost = register(1606, "KeyLost", Warn,
		"a VM stopped running a request because another VM had taken over its key", "none")
	BookFull = register(1607, "BookFull", Error,
		"the memory for request keys is full and new keys are refused", "look for a customer who sends far more keys than usual; otherwise add VMs")
)
