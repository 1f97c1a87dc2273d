package event

// Events 1600 to 1699: request keys and their seats.
var (
	SeatTableInForce = register(1600, "SeatTableInForce", Info,
		"a new table of seats for request keys took effect", "none")
	SeatTableIgnored = register(1601, "SeatTableIgnored", Info,
		"a table of seats had no effect, as a rule because another VM proposed one first", "none")
	SeatTableProposed = register(1602, "SeatTableProposed", Info,
		"this VM proposed a table of seats that fits the fleet", "none")
	KeyConflict = register(1603, "KeyConflict", Warn,
		"seats handed over different claims of one key; it is refused as MayHaveRun", "look the key up with explain")
	KeyInDoubt = register(1604, "KeyInDoubt", Warn,
		"a VM that died may have run a key that is not idempotent", "the caller's own records tell whether it ran")
	SeatsUnreachable = register(1605, "SeatsUnreachable", Warn,
		"too few seats of a key answered in time", "if it lasts, look for VMs of two failure domains that are gone or cut off")
	KeyLost = register(1606, "KeyLost", Warn,
		"a runner found its key taken over and stopped", "none")
	BookFull = register(1607, "BookFull", Error,
		"the memory for request keys is full and new keys are refused", "look for a customer who sends far more keys than usual; otherwise add VMs")
)
