package event

// Events 1900 to 1999: the address for callers.
var (
	CallersListening = register(1900, "CallersListening", Info,
		"the address for callers is open", "none")
	CallersDraining = register(1901, "CallersDraining", Info,
		"a planned stop keeps the callers' address open until callers no longer use it", "none")
	CallersClosed = register(1902, "CallersClosed", Info,
		"the address for callers is closed; all streams had ended", "none")
	CallersCutOff = register(1903, "CallersCutOff", Error,
		"streams were still open when the planned stop timed out",
		"report it: no template may set a deadline that is that long")
	ConnectionLimit = register(1904, "ConnectionLimit", Warn,
		"an address of this VM has as many connections as it may: with the Cause Yielded, those that waited longest for a request, or for the rest of one, were closed to make room; with NoPlace, new ones were refused, as requests are in progress on all",
		"see Address, Refused since the last line, and Remote, the last of them; look for one client that opens many connections; otherwise add VMs")
	CallerStalled = register(1905, "CallerStalled", Info,
		"a caller read too slowly and was detached; it may reconnect for the answer", "none")
	CallerUnknown = register(1906, "CallerUnknown", Warn,
		"a request carried no valid API key; logged at most once a second",
		"compare KeyHashes of the customer's template with the key that the caller was given")
)
