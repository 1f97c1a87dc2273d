package usage

import "alderdyke/pkg/clock"

type (
	// PlaceAsk asks the scheduler of a large fleet where a generation is to go.
	PlaceAsk struct {
		Ask     Ask
		Run     Run // without its engine
		Reserve int // tokens that will be reserved
		// MayWait and MayWaitBack are how long new requests, and those that
		// came back, wait for a place.
		MayWait, MayWaitBack clock.Millis
		Skip                 []string // engines that declined or failed the asker just now
		Prompt               bool     // the prompt is yet to be computed
	}

	// PlaceAnswer is the answer. The place at the first of Engines, and the
	// prompt at Prefill, count as taken by the asker.
	PlaceAnswer struct {
		Known   bool     // the asked VM hears what the others have; else the rest says nothing
		Engines []string // to be asked for a place, in this order
		Before  int      // requests at other VMs that take their places first
		Short   bool     // places are wanting somewhere in the fleet
		Prefill string   // engine for the prompt; empty: none is sound
		Ahead   int      // tokens of prompts before it there
		// Doubtful tells that the first of Engines may be gone.
		Doubtful bool
	}
)
