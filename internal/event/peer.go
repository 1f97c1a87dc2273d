package event

// Events 1800 to 1899: traffic between the entry VMs.
var (
	PeerListening = register(1800, "PeerListening", Info,
		"the VM listens for other VMs", "none")
	PeerUntrusted = register(1801, "PeerUntrusted", Warn,
		"a connection to the address for VMs did not prove the shared secret; at most one line in ten seconds, all are counted",
		"check the shared secret of the VM at Address; if it is none of yours, close the port to it")
	PeerWrongVM = register(1802, "PeerWrongVM", Warn,
		"a VM dialled this one but meant another, or an older run of it", "none; if it goes on, look for two VMs with one address")
	PeerSessionLost = register(1803, "PeerSessionLost", Warn,
		"a session with another VM broke while streams were open", "none")
	PeerLimit = register(1804, "PeerLimit", Warn,
		"another VM was refused because a limit of sessions or streams is reached; at most one line in ten seconds, all are counted",
		"look for a VM that opens more than it closes")
)
