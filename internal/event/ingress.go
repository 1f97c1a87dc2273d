package event

// Events 2400 to 2499: the addresses of this VM that take requests over HTTP.
var (
	HeadsRefused = register(2400, "HeadsRefused", Warn,
		"heads of requests were refused at an address of this VM before a handler had them; their requests did not run",
		"see Address, Cause and Refused since the last line, and Remote, the last of them; look for clients that send heads without end, of very many lines, or that are no valid requests (Malformed); for NoMemory run more or larger VMs if the clients are sound")
)
