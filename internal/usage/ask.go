package usage

import "alderdyke/pkg/clock"

type (
	// PlacementRequest asks the scheduler of a large fleet to place a generation.
	PlacementRequest struct {
		Waiting       WaitingRequest
		Run           Run // without its engine
		ReserveTokens int // tokens that the VM will reserve
		// MaxWait and MaxWaitReturning bound how long new and returning requests
		// wait for a place.
		MaxWait, MaxWaitReturning clock.Millis
		Excluded                  []string     // engines that recently declined or failed the requesting VM
		NeedsPrefill              bool         // the prompt is not computed yet
		Version                   string       // of the engine's software; empty: any
		ReturnWithin              clock.Millis // longest time that a refused caller waits before it returns; zero: unknown
		Final                     bool         // the request is refused unless it gets a place now
	}

	// PlacementReply answers a PlacementRequest. The place at the first of Engines
	// and the prompt at Prefill count as taken by the requesting VM.
	PlacementReply struct {
		Informed      bool     // the replying VM has reports of the other VMs; otherwise the other fields are unset
		Engines       []string // to try for a reservation, in this order
		RequestsAhead int      // requests at other VMs that are placed first
		Shortage      bool     // some VM recently refused a new request for lack of a place
		Prefill       string   // engine that computes the prompt; empty: no prefill engine is healthy
		QueuedTokens  int      // tokens of prompts queued there
		// Doubtful reports that the first of Engines may be dead.
		Doubtful bool
		// Wait is the time after which the request is expected to get a place, if
		// Foreseen.
		Wait     clock.Millis
		Foreseen bool
		// ReturnAfter is the time after which a refused caller is expected to find
		// room; zero: not known.
		ReturnAfter clock.Millis
		Bound       Bound // what kept the request from a place; empty: not known
	}

	// MoveRequest asks the VM that serves a run to move it to another engine.
	MoveRequest struct {
		VM       string // that serves the run; empty: this one
		Service  string
		From, To string // engines
		Tokens   int    // of the run, in memory; the VM selects the run by it
	}

	// Bound is what keeps a request from a place at a decode engine.
	Bound string

	// Return is a refused caller that is to return at a time at which room is
	// expected.
	Return struct {
		Service string
		After   clock.Millis // from the report
		Tokens  int          // that its run will need
		Turn    Turn         // of the refused request
	}
)

// WaitOf returns how long a new or a returning request waits for a place.
func (pr PlacementRequest) WaitOf(returning bool) clock.Millis {
	if returning {
		return pr.MaxWaitReturning
	}
	return pr.MaxWait
}

// The values of [Bound].
const (
	BoundMemory    Bound = "Memory"    // the engines' memory
	BoundSlots     Bound = "Slots"     // the engines' slots
	BoundTurn      Bound = "Turn"      // other requests go first
	BoundReserved  Bound = "Reserved"  // room is kept for returning or more urgent requests
	BoundDeclined  Bound = "Declined"  // the engines declined
	BoundBodies    Bound = "Bodies"    // the bytes of bodies in flight to the engines
	BoundUnhealthy Bound = "Unhealthy" // no engine accepts work
	BoundUnknown   Bound = "Unknown"   // the usage of the engines is not known
)

// BoundOf returns the bound that another VM names. One that this build does not know is
// BoundUnknown, as the texts become tags of a counter.
func BoundOf(text string) Bound {
	switch bd := Bound(text); bd {
	case "", BoundMemory, BoundSlots, BoundTurn, BoundReserved, BoundDeclined, BoundBodies, BoundUnhealthy, BoundUnknown:
		return bd
	default:
		return BoundUnknown
	}
}
