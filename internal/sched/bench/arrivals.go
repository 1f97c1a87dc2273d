package bench

import (
	"math/rand/v2"

	"alderdyke/pkg/clock"
)

// Parameters of the simulated engines, for other stand-ins that must have the same
// speed and capacity.
const (
	// FullTPOT is the time between tokens, in milliseconds, of a decode engine whose
	// slots are all in use; IdleTPOT is that of an engine with a single request.
	FullTPOT = fullTPOT
	IdleTPOT = idleTPOT
	// PrefillRate and LinkRate are in prompt tokens per millisecond.
	PrefillRate = prefillRate
	LinkRate    = linkRate
	// KVCacheTTL is how long a prefill engine keeps a KV cache; ReportLag is the age
	// of a load report on arrival.
	KVCacheTTL = clock.Millis(kvCacheTTL)
	ReportLag  = clock.Millis(reportLag)
	// Slots is the number of requests that a decode engine can hold.
	Slots = decodeSlots
	// PrefixTokens is the length of a shared prompt prefix.
	PrefixTokens = prefixTokens
)

// arrivalStream selects the random number stream that arrivals are drawn from.
const arrivalStream = 5

// Arrival is one request of a run.
type Arrival struct {
	At     clock.Millis // since the start of the run
	VM     int
	Class  Class
	Prompt int    // tokens
	Prefix uint64 // identifies the shared prefix; zero if there is none
	Output int    // tokens
}

// Arrivals generates the arrivals of a run: the same ones that Run generates for the
// seed.
func (dp Deployment) Arrivals(seed uint64, load float64, span clock.Millis) []Arrival {
	rng := rand.New(rand.NewPCG(seed, arrivalStream))
	var out []Arrival
	for _, rq := range dp.generateRequests(rng, load, float64(span), 0) {
		out = append(out, Arrival{
			At:     clock.Millis(rq.arrivedAt),
			VM:     rq.vm,
			Class:  *rq.cls,
			Prompt: rq.prompt,
			Prefix: rq.prefix,
			Output: rq.output,
		})
	}
	return out
}
