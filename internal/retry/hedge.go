package retry

import (
	"slices"

	"gonum.org/v1/gonum/stat"

	"alderdyke/pkg/clock"
)

const (
	// hedgeQuantile is the quantile of the recent latencies above which an attempt
	// counts as slow.
	hedgeQuantile = 0.95
	// sampleWindow is the number of recent answers from which the quantile is taken,
	// and minSamples the number needed before it is used.
	sampleWindow = 256
	minSamples   = 32
	// refreshInterval is the number of answers after which the quantile is computed
	// again.
	refreshInterval = 16
)

type (
	// HedgeRequest is a request whose first attempt was just sent. Quick means that
	// its class has the urgency Quick; other requests are not hedged.
	HedgeRequest struct {
		Customer, Service string
		Idempotent, Quick bool
		Deadline          clock.Millis // point in time
	}

	// Hedging is the decision whether to hedge a request: Hedge or NoHedge.
	Hedging interface{ hedging() }

	// Hedge means to call SpendHedge after a span if there is no answer by then.
	Hedge struct{ After clock.Millis }

	// NoHedge means not to hedge the attempt.
	NoHedge struct{ Reason Reason }

	// latencies holds the recent latencies of a service in a ring buffer.
	latencies struct {
		ring         []float64    // milliseconds
		next         int          // index in ring for the next answer
		sinceRefresh int          // answers since slow was computed
		slow         clock.Millis // hedgeQuantile of the ring
	}
)

func (Hedge) hedging()   {}
func (NoHedge) hedging() {}

// ObserveLatency records the time that a complete answer of the service took.
func (po *Policy) ObserveLatency(service string, took clock.Millis) {
	po.prepare()
	lt := po.latency[service]
	if lt == nil {
		lt = &latencies{}
		po.latency[service] = lt
	}
	lt.add(float64(took))
}

// Hedge decides whether and when a second attempt may be sent in addition to the
// first. The budget is charged only by SpendHedge.
func (po *Policy) Hedge(now clock.Millis, req HedgeRequest) Hedging {
	po.prepare()
	slow, why := po.hedgeDelay(req)
	switch {
	case why != "":
		return NoHedge{why}
	case now+2*slow >= req.Deadline:
		return NoHedge{NoHedgeDeadline}
	default:
		return Hedge{After: slow}
	}
}

// SpendHedge takes the cost of a hedge from the budget when the hedge is due. The reason
// is Hedged, or why the hedge must not be sent.
func (po *Policy) SpendHedge(now clock.Millis, req HedgeRequest) (Reason, bool) {
	po.prepare()
	slow, why := po.hedgeDelay(req)
	switch {
	case why != "":
		return why, false
	case now+slow >= req.Deadline:
		return NoHedgeDeadline, false
	case !po.bucket(now, account{req.Customer, req.Service}).spend(1):
		return NoHedgeBudget, false
	default:
		return Hedged, true
	}
}

// hedgeDelay returns the latency above which an attempt of the request counts as slow,
// or the reason why the request is never hedged.
func (po *Policy) hedgeDelay(req HedgeRequest) (clock.Millis, Reason) {
	lt := po.latency[req.Service]
	switch {
	case !req.Idempotent:
		return 0, NoHedgeNotIdempotent
	case !req.Quick:
		return 0, NoHedgePatient
	case lt == nil || len(lt.ring) < minSamples:
		return 0, NoHedgeUnknown
	default:
		return lt.slow, ""
	}
}

// add adds a latency to the ring, and computes the quantile again from time to time.
func (lt *latencies) add(took float64) {
	if len(lt.ring) < sampleWindow {
		lt.ring = append(lt.ring, took)
	} else {
		lt.ring[lt.next] = took
	}
	lt.next = (lt.next + 1) % sampleWindow
	lt.sinceRefresh++
	if lt.sinceRefresh >= refreshInterval || len(lt.ring) == minSamples {
		lt.sinceRefresh = 0
		sorted := slices.Clone(lt.ring)
		slices.Sort(sorted)
		lt.slow = max(1, clock.Millis(stat.Quantile(hedgeQuantile, stat.Empirical, sorted, nil)))
	}
}
