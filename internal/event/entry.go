package event

// Events 1000 to 1099: start and stop of the process.
var (
	Started = register(1000, "Started", Info,
		"the VM listens and serves callers", "none")
	Stopping = register(1001, "Stopping", Info,
		"a planned stop began; requests in progress continue", "none")
	Stopped = register(1002, "Stopped", Info,
		"the last request ended and the process exits", "none")
	StopLasts = register(1004, "StopLasts", Warn,
		"a planned stop still waits for requests in progress", "none; it completes when the last of them ends, at its deadline at the latest")
	ConfigurationReady = register(1003, "ConfigurationReady", Info,
		"the VM received the configuration in force", "none")
)

// Events 1100 to 1199: the progress of a single request.
var (
	RequestAccepted = register(1100, "RequestAccepted", Info,
		"a request was accepted and will have exactly one outcome", "none")
	RequestEnded = register(1101, "RequestEnded", Info,
		"a request completed with its full answer", "none")
	RequestRefused = register(1102, "RequestRefused", Warn,
		"a request ended with a refusal", "see Reason; docs/OPERATIONS.md has a paragraph for each")
	RequestRetried = register(1103, "RequestRetried", Info,
		"an attempt failed and the request is retried", "none")
	RequestTakenOver = register(1104, "RequestTakenOver", Warn,
		"this VM continues a request of a lost VM", "none")
	CallerLeft = register(1105, "CallerLeft", Info,
		"the caller's connection broke; the request waits for the caller to reconnect", "none")
	CallerReturned = register(1106, "CallerReturned", Info,
		"the caller reconnected for its answer", "none")
	CancelUnconfirmed = register(1107, "CancelUnconfirmed", Warn,
		"a backend server did not confirm the cancellation of a request; it is retried", "check the backend server if it recurs")
	GrantWaits = register(1108, "GrantWaits", Info,
		"the request is queued at the VM that schedules the model engines", "none")
	Granted = register(1109, "Granted", Info,
		"model engines were reserved for the request", "none")
	PrefillDone = register(1110, "PrefillDone", Info,
		"the prefill of the prompt completed", "none")
	DecodeStarted = register(1111, "DecodeStarted", Info,
		"the KV cache was transferred and the decode began", "none")
	AttemptFailed = register(1112, "AttemptFailed", Warn,
		"an attempt on backend servers failed", "check the backend server if it recurs")
	Following = register(1113, "Following", Info,
		"another VM runs the request; this VM forwards its answer", "none")
	AccountantAway = register(1114, "AccountantAway", Warn,
		"the VM that schedules the model engines is unreachable; this VM selects engines by load reports", "none")
	ReadOn = register(1115, "ReadOn", Warn,
		"the VM that runs the request is unreachable; this VM continues reading the decode from the engine", "none")
	TransferChosen = register(1116, "TransferChosen", Info,
		"the VM that schedules the model engines chose the decode engine that fetches the KV cache", "none")
)

// Events 1150 to 1199: scheduling of cells of model engines.
var (
	CellTaken = register(1150, "CellTaken", Info,
		"this VM now schedules a cell of model engines", "none")
	CellGiven = register(1151, "CellGiven", Info,
		"another VM now schedules the cell", "none")
	OrphanCancelled = register(1152, "OrphanCancelled", Warn,
		"a model engine still had a request of a lost VM; the request was cancelled", "none")
	BackendUnreachable = register(1153, "BackendUnreachable", Warn,
		"a backend server does not report its load", "check the backend server")
	EngineClosed = register(1157, "EngineClosed", Warn,
		"a model engine gets no new work for a while: consecutive requests were lost on it (Lost), or it requested a backoff",
		"check the engine if it recurs")
	ListUnreachable = register(1154, "ListUnreachable", Warn,
		"the platform's VM list does not respond; the last one received stays in use", "check the platform")
	TransferWaited = register(1155, "TransferWaited", Warn,
		"a KV cache waited long for its transfer to start", "none; For names what it waited for last; check the engines if it recurs")
	TransferMoved = register(1156, "TransferMoved", Warn,
		"a transfer took far longer than expected and is moved to another decode engine", "check the engines and their links if it recurs")
)
