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
		Excluded                  []string // engines that recently declined or failed the requesting VM
		NeedsPrefill              bool     // the prompt is not computed yet
		Version                   string   // of the engine's software; empty: any
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
	}
)
