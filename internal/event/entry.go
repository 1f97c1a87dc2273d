package event

// Events 1000 to 1099: the process and its parts.
var (
	Started = register(1000, "Started", Info,
		"the VM listens and serves callers", "none")
	Stopping = register(1001, "Stopping", Info,
		"a planned stop began; requests in progress go on", "none")
	Stopped = register(1002, "Stopped", Info,
		"the last request ended and the process exits", "none")
	ConfigurationReady = register(1003, "ConfigurationReady", Info,
		"the configuration in force was learned", "none")
)

// Events 1100 to 1199: one request.
var (
	RequestAccepted = register(1100, "RequestAccepted", Info,
		"a request was accepted and will have one end", "none")
	RequestEnded = register(1101, "RequestEnded", Info,
		"a request ended with its whole answer", "none")
	RequestRefused = register(1102, "RequestRefused", Warn,
		"a request ended with a refusal", "look at Reason; docs/OPERATIONS.md has a paragraph for each")
	RequestRetried = register(1103, "RequestRetried", Info,
		"an attempt failed and the request goes on with another", "none")
	RequestTakenOver = register(1104, "RequestTakenOver", Warn,
		"a request of a lost VM goes on at this one", "none")
	CallerLeft = register(1105, "CallerLeft", Info,
		"the caller's connection broke; the request waits for it", "none")
	CallerReturned = register(1106, "CallerReturned", Info,
		"the caller came back for its answer", "none")
)
