package explain

// Reasons why a server is not the choice. Those of [usage.Bound], with what keeps a request
// from a place at an engine, are used too.
const (
	OtherVersion PassedOver = "OtherVersion" // the request needs another version
	Resting      PassedOver = "Resting"      // the server asked for a backoff
	Busier       PassedOver = "Busier"       // another one has less load, or is not a last resort
	Limited      PassedOver = "Limited"      // its limit of calls has no room
	NotDrawn     PassedOver = "NotDrawn"     // another one is as good, or this one is in its slow start

	// Servers of plain services.
	Ejected     PassedOver = "Ejected"     // it failed repeatedly
	Replaced    PassedOver = "Replaced"    // another server answered at its address
	Unavailable PassedOver = "Unavailable" // it may not be called now
	Allocated   PassedOver = "Allocated"   // a scheduler chose another one
	NoneChosen  PassedOver = "NoneChosen"  // the request is refused

	// Model engines.
	OtherRole    PassedOver = "OtherRole"    // it computes prompts, or has no role
	Leaving      PassedOver = "Leaving"      // it announced that it leaves
	Contradicted PassedOver = "Contradicted" // it answered as another server than its entry states
	Failed       PassedOver = "Failed"       // it failed a request of this VM
	Excluded     PassedOver = "Excluded"     // the VM has reasons of its own not to use it
	Undecided    PassedOver = "Undecided"    // another VM decides
	Reads        PassedOver = "Reads"        // it computes the prompt for the choice
)

// PassedOver is the reason why a server is not the choice; empty: it is.
type PassedOver string
