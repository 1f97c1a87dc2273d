package bench

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"alderdyke/pkg/refusal"
)

const (
	histogramMax    = 600_000 // milliseconds
	histogramDigits = 3
)

type (
	// Result holds the measurements of a run, over the requests that arrived after the
	// warm-up.
	Result struct {
		Setup       Setup
		Offered     map[Work]int
		Met         map[Work]int // answered in full with both targets met
		Answered    map[Work]int
		Refused     map[refusal.Reason]int
		Customers   map[string]Ratio // goodput of each customer
		TTFT        map[Work]*hdrhistogram.Histogram
		TPOT        map[Work]*hdrhistogram.Histogram
		Computed    float64 // prompt tokens that engines computed
		Wasted      float64 // those that became part of no answer
		Occupancy   float64 // share of the decode slots in use
		Unended     int     // requests without exactly one end
		FalseNotRun int     // NotRun refusals of requests that an engine had received
		Retries     int     // starts and cancellations of attempts after the first start
		Steps       int     // steps counted by the cell's decisions
		Decisions   int
		Arrivals    int // requests of the whole run, including the warm-up
		Messages    int // between VMs, for decisions and accounting
	}

	// Ratio is a part of a whole.
	Ratio struct{ Part, Whole int }
)

// Sum merges the results of one setup over several seeds.
func Sum(runs ...Result) Result {
	all := runs[0].newEmpty()
	for _, rs := range runs {
		for _, wk := range []Work{QuickWork, PatientWork} {
			all.Offered[wk] += rs.Offered[wk]
			all.Met[wk] += rs.Met[wk]
			all.Answered[wk] += rs.Answered[wk]
			all.TTFT[wk].Merge(rs.TTFT[wk])
			all.TPOT[wk].Merge(rs.TPOT[wk])
		}
		for why, num := range rs.Refused {
			all.Refused[why] += num
		}
		for name, ra := range rs.Customers {
			sum := all.Customers[name]
			all.Customers[name] = Ratio{sum.Part + ra.Part, sum.Whole + ra.Whole}
		}
		all.Computed += rs.Computed
		all.Wasted += rs.Wasted
		all.Occupancy += rs.Occupancy / float64(len(runs))
		all.Unended += rs.Unended
		all.FalseNotRun += rs.FalseNotRun
		all.Retries += rs.Retries
		all.Steps += rs.Steps
		all.Decisions += rs.Decisions
		all.Messages += rs.Messages
		all.Arrivals += rs.Arrivals
	}
	return all
}

func (rs Result) newEmpty() Result {
	fresh := Result{
		Setup: rs.Setup, Offered: map[Work]int{}, Met: map[Work]int{}, Answered: map[Work]int{},
		Refused: map[refusal.Reason]int{}, Customers: map[string]Ratio{},
		TTFT: map[Work]*hdrhistogram.Histogram{}, TPOT: map[Work]*hdrhistogram.Histogram{},
	}
	for _, wk := range []Work{QuickWork, PatientWork} {
		fresh.TTFT[wk] = hdrhistogram.New(1, histogramMax, histogramDigits)
		fresh.TPOT[wk] = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	return fresh
}

// Value returns the ratio as a number; 1 if the whole is zero.
func (ra Ratio) Value() float64 {
	if ra.Whole == 0 {
		return 1
	}
	return float64(ra.Part) / float64(ra.Whole)
}

// Goodput returns the share of the offered requests of a kind that met their targets.
func (rs Result) Goodput(wk Work) float64 { return Ratio{rs.Met[wk], rs.Offered[wk]}.Value() }

// GoodputAll returns the share of all offered requests that met their targets.
func (rs Result) GoodputAll() float64 {
	return Ratio{rs.Met[QuickWork] + rs.Met[PatientWork], rs.Offered[QuickWork] + rs.Offered[PatientWork]}.Value()
}

// WastedShare returns the share of the computed prompt tokens that was wasted.
func (rs Result) WastedShare() float64 {
	if rs.Computed == 0 {
		return 0
	}
	return rs.Wasted / rs.Computed
}

func (sm *sim) result() Result {
	rs := Result{Setup: sm.Setup}.newEmpty()
	for _, rq := range sm.requests {
		rs.countViolations(rq)
		if rq.arrivedAt >= sm.measureFrom {
			rs.countRequest(rq)
		}
	}
	if sm.sampledSlots > 0 {
		rs.Occupancy = sm.occupiedSlots / sm.sampledSlots
	}
	rs.Messages, rs.Arrivals = sm.messages, len(sm.requests)
	if cp, ok := sm.policy.(*cellPolicy); ok {
		rs.Steps, rs.Decisions = cp.steps, cp.decisions
	}
	return rs
}

// countViolations counts violations of invariants. It is called for all requests,
// including those of the warm-up.
func (rs *Result) countViolations(rq *request) {
	if rq.endCount != 1 {
		rs.Unended++
	}
	if rq.refused != nil && rq.refused.Ran == refusal.NotRun && rq.sentToEngine {
		rs.FalseNotRun++
	}
}

func (rs *Result) countRequest(rq *request) {
	wk := rq.cls.Work
	rs.Offered[wk]++
	rs.Computed += rq.computedTokens
	rs.Wasted += rq.computedTokens - rq.usefulTokens
	rs.Retries += max(0, rq.attempt-1)
	good := Ratio{0, 1}
	switch {
	case rq.refused != nil:
		rs.Refused[rq.refused.Reason]++
	case rq.endCount == 1:
		rs.Answered[wk]++
		ttft := rq.firstTokenAt - rq.arrivedAt + callerDelay
		tpot := (rq.endedAt - rq.firstTokenAt) / float64(max(1, rq.output-1))
		recordValue(rs.TTFT[wk], ttft)
		recordValue(rs.TPOT[wk], tpot)
		if ttft <= float64(rq.cls.TTFT) && tpot <= float64(rq.cls.TPOT) {
			rs.Met[wk]++
			good.Part = 1
		}
	}
	sum := rs.Customers[rq.cls.Customer]
	rs.Customers[rq.cls.Customer] = Ratio{sum.Part + good.Part, sum.Whole + 1}
}

func recordValue(hs *hdrhistogram.Histogram, val float64) {
	// The histogram refuses values beyond its maximum, so they are recorded as the
	// maximum.
	if err := hs.RecordValue(int64(min(val, histogramMax-1))); err != nil {
		panic("bench: " + err.Error())
	}
}
