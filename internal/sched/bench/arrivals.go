package bench

import (
	"math/rand/v2"

	"alderdyke/pkg/clock"
)

// What the stand-in engines of this package are paced by, for those who pace
// others alike.
const (
	// FullTPOT is the time between tokens of a full decode engine, in
	// milliseconds, and IdleTPOT that of one with a single request.
	FullTPOT = fullTPOT
	IdleTPOT = idleTPOT
	// PrefillRate and LinkRate are in prompt tokens a millisecond.
	PrefillRate = prefillRate
	LinkRate    = linkRate
	// KVCacheTTL is how long a prefill engine keeps a KV cache, ReportLag how old
	// a load report is.
	KVCacheTTL = clock.Millis(kvCacheTTL)
	ReportLag  = clock.Millis(reportLag)
	// Slots is the number of requests that a decode engine holds.
	Slots = decodeSlots
	// PrefixTokens is the length of a shared prompt prefix.
	PrefixTokens = prefixTokens
)

// arrivalStream is the stream of random numbers that arrivals are drawn from.
const arrivalStream = 5

// Arrival is one request of a run.
type Arrival struct {
	At     clock.Millis // since the start of the run
	VM     int
	Class  Class
	Prompt int    // tokens
	Prefix uint64 // names the shared prefix; zero if there is none
	Output int    // tokens
}

// Arrivals makes the arrivals of a run, the same ones that Run would make for
// the seed.
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
