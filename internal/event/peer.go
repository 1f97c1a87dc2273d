package event

// Events 1800 to 1899: traffic between the entry VMs.
var (
	PeerListening = register(1800, "PeerListening", Info,
		"the VM listens for other VMs", "none")
	PeerUntrusted = register(1801, "PeerUntrusted", Warn,
		"a connection to the address for VMs did not authenticate with the shared secret; logged at most once in ten seconds, all are counted",
		"check the shared secret of the VM at Address; if it is not one of your VMs, block its access to the port")
	PeerWrongVM = register(1802, "PeerWrongVM", Warn,
		"a VM connected to this one but expected another VM, or an older incarnation of this one", "none; if it recurs, look for two VMs with the same address")
	PeerSessionLost = register(1803, "PeerSessionLost", Warn,
		"a session with another VM broke while streams were open", "none")
	PeerLimit = register(1804, "PeerLimit", Warn,
		"another VM was refused because a limit of sessions or streams is reached; logged at most once in ten seconds, all are counted",
		"look for a VM that opens more than it closes")
)
