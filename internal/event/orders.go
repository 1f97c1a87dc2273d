package event

// Events 2000 to 2099: orders to model engines.
var (
	RoleChangeBegun = register(2000, "RoleChangeBegun", Info,
		"a model engine is to change its role; it gets no new work and ends what it runs", "none")
	RoleChanged = register(2001, "RoleChanged", Info,
		"a model engine changed its role", "none")
	RoleChangeAbandoned = register(2002, "RoleChangeAbandoned", Warn,
		"a change of role was given up; the engine works on in the role that it reports",
		"look at Reason; if it is NotDrained again and again, look for requests that run very long")
	OrderDoubted = register(2003, "OrderDoubted", Warn,
		"the reply to an order is lost; the engine's own report tells what it did, and the same order is given again if it did nothing",
		"look at the engine if it goes on")
	OrderWithheld = register(2004, "OrderWithheld", Warn,
		"an order was not sent: the lease was over, or too little of it was left, when the connection stood",
		"look for pauses of the VM or a log service that answers late")
	OrderFenced = register(2005, "OrderFenced", Error,
		"an engine refused an order for its old fencing number; another VM holds the lease", "look for pauses of the VM")
	OrderGiven = register(2006, "OrderGiven", Info,
		"an operator's order was carried out by the engine", "none")
	OrderFailed = register(2007, "OrderFailed", Warn,
		"an operator's order was not carried out, or it is not known whether it was", "look at Reason; an order may be given again")
	RoleDiffers = register(2008, "RoleDiffers", Info,
		"a model engine reports another role than the VM list; its own word is used", "none; look at the platform if the list does not follow")
)
