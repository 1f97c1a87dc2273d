package usage

import "alderdyke/pkg/clock"

type (
	// PlacementRequest asks the scheduler of a large fleet where a generation is to go.
	PlacementRequest struct {
		Waiting       WaitingRequest
		Run           Run // without its engine
		ReserveTokens int // tokens that will be reserved
		// MaxWait and MaxWaitReturning are how long new requests, and those that
		// came back, wait for a place.
		MaxWait, MaxWaitReturning clock.Millis
		Excluded                  []string // engines that declined or failed the asker just now
		NeedsPrefill              bool     // the prompt is yet to be computed
	}

	// PlacementReply is the answer. The place at the first of Engines, and the
	// prompt at Prefill, count as taken by the asker.
	PlacementReply struct {
		Informed      bool     // the asked VM hears what the others have; else the rest says nothing
		Engines       []string // to be asked for a place, in this order
		RequestsAhead int      // requests at other VMs that take their places first
		Shortage      bool     // places are wanting somewhere in the fleet
		Prefill       string   // engine for the prompt; empty: none is sound
		QueuedTokens  int      // tokens of prompts before it there
		// Doubtful tells that the first of Engines may be gone.
		Doubtful bool
	}
)
