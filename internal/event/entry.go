package event

// Events 1000 to 1099: the process and its parts.
var (
	Started = register(1000, "Started", Info,
		"the VM listens and serves callers", "none")
	Stopping = register(1001, "Stopping", Info,
		"a planned stop began; requests in progress go on", "none")
	Stopped = register(1002, "Stopped", Info,
		"the last request ended and the process exits", "none")
	StopLasts = register(1004, "StopLasts", Warn,
		"a planned stop waits for requests in progress", "none; it ends with the last of them, at their deadlines at the latest")
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
	CancelUnconfirmed = register(1107, "CancelUnconfirmed", Warn,
		"a backend server did not confirm that it cancelled a request; tried again", "look at the backend server if it goes on")
	GrantWaits = register(1108, "GrantWaits", Info,
		"the request waits at the VM that accounts for the model engines", "none")
	Granted = register(1109, "Granted", Info,
		"model engines were reserved for the request", "none")
	PrefillDone = register(1110, "PrefillDone", Info,
		"the prompt was computed", "none")
	DecodeStarted = register(1111, "DecodeStarted", Info,
		"the KV cache arrived and the decode began", "none")
	AttemptFailed = register(1112, "AttemptFailed", Warn,
		"an attempt at backend servers failed", "look at the backend server if it goes on")
	Following = register(1113, "Following", Info,
		"another VM runs the request; its answer is passed on", "none")
	AccountantAway = register(1114, "AccountantAway", Warn,
		"the VM that accounts for the model engines can't be asked; this VM chooses by load reports", "none")
	ReadOn = register(1115, "ReadOn", Warn,
		"the VM that runs the request can't be reached; its decode is read on at the engine", "none")
	TransferChosen = register(1116, "TransferChosen", Info,
		"the VM that accounts for the model engines chose the decode engine that fetches the KV cache", "none")
)

// Events 1150 to 1199: accounting for cells of model engines.
var (
	CellTaken = register(1150, "CellTaken", Info,
		"this VM accounts for a cell of model engines from now on", "none")
	CellGiven = register(1151, "CellGiven", Info,
		"another VM accounts for the cell from now on", "none")
	OrphanCancelled = register(1152, "OrphanCancelled", Warn,
		"a model engine held a request of a lost VM; it was cancelled", "none")
	BackendUnreachable = register(1153, "BackendUnreachable", Warn,
		"a backend server does not report its load", "look at the backend server")
	EngineClosed = register(1157, "EngineClosed", Warn,
		"a model engine gets no new work for a while: requests were lost on it one after another (Lost), or it asked for rest",
		"look at the engine if it goes on")
	ListUnreachable = register(1154, "ListUnreachable", Warn,
		"the platform's VM list does not answer; the last one stays in use", "look at the platform")
	TransferWaited = register(1155, "TransferWaited", Warn,
		"a KV cache was kept for long before its transfer began", "none; For names what it waited for last; look at the engines if it goes on")
	TransferMoved = register(1156, "TransferMoved", Warn,
		"a transfer took far longer than expected and goes to another decode engine", "look at the engines and their links if it goes on")
)
