package event

// Events 2000 to 2099: orders to model engines.
var (
	RoleChangeBegun = register(2000, "RoleChangeBegun", Info,
		"a role change of a model engine began; the engine gets no new work and completes what it runs", "none")
	RoleChanged = register(2001, "RoleChanged", Info,
		"a model engine changed its role", "none")
	RoleChangeAbandoned = register(2002, "RoleChangeAbandoned", Warn,
		"a role change was abandoned; the engine continues in the role that it reports",
		"see Reason; if it is NotDrained repeatedly, look for requests that run very long")
	OrderDoubted = register(2003, "OrderDoubted", Warn,
		"the reply to an order was lost; the engine's own report shows the effect, and the same order is sent again if there was none",
		"check the engine if it recurs")
	OrderWithheld = register(2004, "OrderWithheld", Warn,
		"an order was not sent: when the connection was established, the lease had expired or had too little time left",
		"look for pauses of the VM or a log service that responds late")
	OrderFenced = register(2005, "OrderFenced", Error,
		"an engine rejected an order with a stale fencing token; another VM holds the lease", "look for pauses of the VM")
	OrderGiven = register(2006, "OrderGiven", Info,
		"the engine executed an operator's order", "none")
	OrderFailed = register(2007, "OrderFailed", Warn,
		"an operator's order was not executed, or it is not known whether it was", "see Reason; the order may be sent again")
	RoleDiffers = register(2008, "RoleDiffers", Info,
		"a model engine reports another role than the VM list; the reported role is used", "none; check the platform if the list is not updated")
)
