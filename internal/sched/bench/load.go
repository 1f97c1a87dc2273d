package bench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Kinds of work.
const (
	QuickWork   Work = "Quick"
	PatientWork Work = "Patient"
)

const (
	prefixTokens     = 2000 // length of a shared prompt prefix
	prefixesPerClass = 8    // different shared prefixes of a class
	prefixShare      = 0.3  // share of the patient requests that have one
	decodeSlots      = 20
	fullUtilization  = 1.0     // load 1.0 saturates the scarcer of decode slots and prefill
	fullTPOT         = 30.0    // milliseconds between tokens of a full decode engine
	idleTPOT         = 24.0    // milliseconds between tokens of a decode engine with a single request
	prefillRate      = 10.0    // prompt tokens per millisecond
	linkRate         = 50.0    // prompt tokens per millisecond whose KV cache is sent
	prefillChunk     = 1024    // prompt tokens computed before the engine checks its queue again
	kvCacheTTL       = 800.0   // milliseconds
	callerDelay      = 1.0     // milliseconds, one way
	localDelay       = 0.2     // milliseconds, one way within a failure domain
	maxCachedTokens  = 200_000 // prompt tokens of the prefixes that a prefill engine caches
	reportInterval   = 500.0   // milliseconds
	reportLag        = 300.0   // milliseconds
	promptSigma      = 0.7     // standard deviation of the logarithm of the length
	outputSigma      = 0.6
	maxLengthFactor  = 4.0 // lengths are cut off at this multiple of the mean
)

type (
	// Work is the kind of a class: quick or patient.
	Work string

	// Class is one class of requests that the load generator creates.
	Class struct {
		Customer      string
		Name          string
		Work          Work
		Prompt        float64 // mean prompt tokens
		Output        float64 // mean output tokens
		MaxTokens     int     // limit of output tokens
		CapacityShare float64 // share of the decode capacity that the class demands at load 1.0
		Share         float64
		TTFT          clock.Millis
		TPOT          clock.Millis
		Deadline      clock.Millis // since the arrival
		PrefillWeight float64      // weight of wasted prefill
	}

	// Deployment is the size and the load of one deployment.
	Deployment struct {
		Name         string
		Service      string
		Domains      []string
		NetworkDelay float64 // milliseconds, one way between failure domains
		VMs          int
		Prefills     int
		Decodes      int
		Classes      []Class
	}

	// request is one request with its state and its outcome.
	request struct {
		id        string
		vm        int
		cls       *Class
		arrivedAt float64
		prompt    int
		prefix    uint64
		output    int

		attempt        int // number of attempts started or cancelled
		importCount    int // number of imports ordered or cancelled
		transfer       *transfer
		prefill        *prefillEngine
		decode         *decodeEngine
		computedTokens float64 // prompt tokens that engines computed for the request
		attemptTokens  float64 // those of the latest attempt
		usefulTokens   float64 // those that became part of an answer
		sentToEngine   bool    // an engine received the request
		firstTokenAt   float64
		hasFirstToken  bool
		tpot           float64
		endedAt        float64
		endCount       int
		refused        *refusal.Refusal
	}
)

// Kedelsyn is the rapportmodel service: long field notes and short lookups. Wasted
// prefill weighs more than goodput.
func Kedelsyn() Deployment {
	return Deployment{
		Name: "Kedelsyn", Service: "rapportmodel",
		Domains: []string{"aarhus-a", "aarhus-b", "vejle-1", "herning-1"}, NetworkDelay: 1.5,
		VMs: 6, Prefills: 4, Decodes: 4,
		Classes: []Class{
			{Customer: "kedelsyn", Name: "findings", Work: PatientWork, Prompt: 8000, Output: 500, MaxTokens: 2000,
				CapacityShare: 0.5, Share: 0.35, TTFT: 60_000, TPOT: 45, Deadline: 300_000, PrefillWeight: 0.9},
			{Customer: "kedelsyn", Name: "lookup", Work: QuickWork, Prompt: 180, Output: 40, MaxTokens: 160,
				CapacityShare: 0.12, Share: 0.3, TTFT: 410, TPOT: 45, Deadline: 15_000, PrefillWeight: 0.9},
			{Customer: "fjernvarme", Name: "findings", Work: PatientWork, Prompt: 6000, Output: 400, MaxTokens: 1600,
				CapacityShare: 0.3, Share: 0.15, TTFT: 45_000, TPOT: 45, Deadline: 240_000, PrefillWeight: 0.9},
			{Customer: "fjernvarme", Name: "lookup", Work: QuickWork, Prompt: 150, Output: 40, MaxTokens: 160,
				CapacityShare: 0.08, Share: 0.2, TTFT: 410, TPOT: 45, Deadline: 15_000, PrefillWeight: 0.9},
		},
	}
}

// HoaLua is the summary-llm service: loan files and many status checks. Goodput weighs
// more than wasted prefill.
func HoaLua() Deployment {
	return Deployment{
		Name: "Hoa Lua", Service: "summary-llm",
		Domains: []string{"cantho-a", "cantho-b", "longxuyen", "soctrang"}, NetworkDelay: 0.5,
		VMs: 7, Prefills: 4, Decodes: 5,
		Classes: []Class{
			{Customer: "hoalua", Name: "summary", Work: PatientWork, Prompt: 6000, Output: 350, MaxTokens: 1400,
				CapacityShare: 0.45, Share: 0.25, TTFT: 30_000, TPOT: 45, Deadline: 180_000, PrefillWeight: 0.1},
			{Customer: "hoalua", Name: "status", Work: QuickWork, Prompt: 120, Output: 30, MaxTokens: 120,
				CapacityShare: 0.15, Share: 0.35, TTFT: 410, TPOT: 45, Deadline: 10_000, PrefillWeight: 0.1},
			{Customer: "lender", Name: "summary", Work: PatientWork, Prompt: 5000, Output: 300, MaxTokens: 1200,
				CapacityShare: 0.3, Share: 0.15, TTFT: 30_000, TPOT: 45, Deadline: 180_000, PrefillWeight: 0.1},
			{Customer: "lender", Name: "status", Work: QuickWork, Prompt: 120, Output: 30, MaxTokens: 120,
				CapacityShare: 0.1, Share: 0.25, TTFT: 410, TPOT: 45, Deadline: 10_000, PrefillWeight: 0.1},
		},
	}
}

// WithPrefillWeight returns the deployment with the same weight of wasted prefill for
// all its classes.
func (dp Deployment) WithPrefillWeight(weight float64) Deployment {
	classes := append([]Class(nil), dp.Classes...)
	for ix := range classes {
		classes[ix].PrefillWeight = weight
	}
	dp.Classes = classes
	return dp
}

// arrivalRates returns the requests per millisecond of each class at load 1.0: the
// classes' capacity shares, scaled so that the scarcer of decode slots and prefill is
// fully used.
func (dp Deployment) arrivalRates() []float64 {
	out := make([]float64, len(dp.Classes))
	places := float64(dp.Decodes * decodeSlots)
	fill, hold := 0.0, 0.0
	for ix, cl := range dp.Classes {
		span := cl.Output*fullTPOT + cl.Prompt/linkRate
		out[ix] = cl.CapacityShare * places / span
		hold += cl.CapacityShare
		prompt := cl.Prompt
		if cl.Work == PatientWork {
			prompt -= prefixShare * prefixTokens
		}
		fill += out[ix] * prompt / (prefillRate * float64(dp.Prefills))
	}
	for ix := range out {
		out[ix] *= fullUtilization / max(fill, hold)
	}
	return out
}

// generateRequests creates the requests of a run, with a Poisson process for each
// class. A positive flood multiplies the arrivals of the first customer's classes.
func (dp Deployment) generateRequests(rng *rand.Rand, load, span, flood float64) []*request {
	var all []*request
	for ix, rate := range dp.arrivalRates() {
		cls := &dp.Classes[ix]
		if flood > 0 && ix < 2 {
			rate *= flood
		}
		at := rng.ExpFloat64() / (rate * load)
		for at < span {
			rq := &request{id: fmt.Sprintf("%d-%d", ix, len(all)), vm: rng.IntN(dp.VMs), cls: cls, arrivedAt: at}
			rq.prompt = sampleLength(rng, cls.Prompt, promptSigma)
			rq.output = min(cls.MaxTokens, sampleLength(rng, cls.Output, outputSigma))
			if cls.Work == PatientWork && rng.Float64() < prefixShare && rq.prompt > prefixTokens {
				rq.prefix = uint64(ix*prefixesPerClass + rng.IntN(prefixesPerClass) + 1)
			}
			all = append(all, rq)
			at += rng.ExpFloat64() / (rate * load)
		}
	}
	return all
}

// sampleLength draws a log-normal number of tokens with the given mean and sigma.
func sampleLength(rng *rand.Rand, mean, sigma float64) int {
	val := mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return int(max(8, min(val, maxLengthFactor*mean)))
}
