package event

// Events 1900 to 1999: the callers' side.
var (
	CallersListening = register(1900, "CallersListening", Info,
		"the address for callers is open", "none")
	CallersDraining = register(1901, "CallersDraining", Info,
		"a planned stop keeps the address open until callers have let go of it", "none")
	CallersClosed = register(1902, "CallersClosed", Info,
		"the address for callers is closed; every open stream had ended", "none")
	CallersCutOff = register(1903, "CallersCutOff", Error,
		"streams were still open at the end of the time that a planned stop may take",
		"report it: no template may set a deadline that is that long")
	ConnectionLimit = register(1904, "ConnectionLimit", Warn,
		"callers' connections are turned away: a limit of this VM is reached",
		"look for one address that opens many connections; otherwise add VMs")
	CallerStalled = register(1905, "CallerStalled", Info,
		"a caller read too slowly and was detached; it may come back for the answer", "none")
	CallerUnknown = register(1906, "CallerUnknown", Warn,
		"a request carried no API key in force; written at most once a second",
		"compare KeyHashes of the customer's template with the key that the caller was given")
)
