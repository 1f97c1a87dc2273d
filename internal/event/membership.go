package event

// Events 1200 to 1299: the entry VMs of the fleet.
var (
	VMAlive = register(1200, "VMAlive", Info,
		"a VM joined, returned, or refuted a suspicion", "none")
	VMSuspect = register(1201, "VMSuspect", Info,
		"a VM does not respond; it may still be alive", "none")
	VMDead = register(1202, "VMDead", Warn,
		"a VM was declared dead; others take over its work", "none if it was stopped or replaced; otherwise check the VM")
	VMLeaving = register(1203, "VMLeaving", Info,
		"a VM announced its planned stop", "none")
	VMLeft = register(1204, "VMLeft", Info,
		"a VM completed its planned stop", "none")
	VMRemoved = register(1205, "VMRemoved", Info,
		"a dead or stopped VM that is no longer on the VM list was removed from the roster", "none")
	MajorityLost = register(1210, "MajorityLost", Error,
		"this VM reaches half of the VMs or fewer and starts no request that must not be repeated",
		"check the network between failure domains and regions; if VMs are permanently lost, remove them from the VM list")
	MajorityReached = register(1211, "MajorityReached", Info,
		"this VM reaches a majority of the VMs", "none")
	HeldDead = register(1212, "HeldDead", Warn,
		"other VMs declared this VM dead; it continues and checks what they took over",
		"look for a pause of the process or a partition at that time")
	Replaced = register(1213, "Replaced", Error,
		"another process uses the ID of this VM at another address; this one stops",
		"give each VM a unique ID")
	ProcessPaused = register(1214, "ProcessPaused", Warn,
		"this process did not run for a while",
		"if it is frequent, give the VM more CPU time or memory")
)
