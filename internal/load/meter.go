package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"alderdyke/internal/sched/bench"
	"alderdyke/internal/standin/deployment"
	enginesim "alderdyke/internal/standin/engine"
	"alderdyke/pkg/refusal"
)

const (
	histogramMost   = 600_000 // milliseconds
	histogramDigits = 3
)

type (
	// Result is what a run measured, of the arrivals after Run.From; prefill
	// is of the whole run.
	Result struct {
		Offered  map[bench.Work]int
		Met      map[bench.Work]int // both targets met and the answer whole
		Whole    map[bench.Work]int
		Wrong    int // answers that are not what the engines make for the prompt
		Refused  map[refusal.Reason]int
		TTFT     map[bench.Work]*hdrhistogram.Histogram
		Computed int // prompt tokens
		Wasted   int // of them, those whose decode never began
		Held     int // memory slots that engines still hold
	}

	meter struct {
		mu sync.Mutex
		rs Result
	}
)

func newMeter() *meter {
	mt := &meter{rs: Result{
		Offered: make(map[bench.Work]int),
		Met:     make(map[bench.Work]int),
		Whole:   make(map[bench.Work]int),
		Refused: make(map[refusal.Reason]int),
		TTFT:    make(map[bench.Work]*hdrhistogram.Histogram),
	}}
	for _, wk := range []bench.Work{bench.QuickWork, bench.PatientWork} {
		mt.rs.TTFT[wk] = hdrhistogram.New(1, histogramMost, histogramDigits)
	}
	return mt
}

func (mt *meter) add(arr bench.Arrival, en end) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	wk := arr.Class.Work
	mt.rs.Offered[wk]++
	if !en.whole {
		mt.rs.Refused[en.reason]++
		return
	}
	mt.rs.Whole[wk]++
	if !en.right {
		mt.rs.Wrong++
		return
	}
	mt.rs.TTFT[wk].RecordValue(max(1, int64(en.first)))
	if en.first <= arr.Class.TTFT && en.tpot <= float64(arr.Class.TPOT) {
		mt.rs.Met[wk]++
	}
}

func (mt *meter) result(dp *deployment.Deployment) Result {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	var hists []enginesim.History
	for _, en := range dp.Engines {
		hs := en.History()
		mt.rs.Held += hs.SlotsHeld
		hists = append(hists, hs)
	}
	waste := enginesim.WasteOf(hists...)
	mt.rs.Computed, mt.rs.Wasted = waste.Computed, waste.Wasted
	return mt.rs
}

// Goodput is the share of the offered requests of a kind that met their
// targets.
func (rs Result) Goodput(wk bench.Work) float64 {
	return bench.Ratio{Part: rs.Met[wk], Whole: rs.Offered[wk]}.Value()
}

// WastedShare is the part of the computed prompt tokens that was wasted.
func (rs Result) WastedShare() float64 {
	return float64(rs.Wasted) / float64(max(1, rs.Computed))
}

// Print writes the result beside what the bench gives for the same arrivals.
func (rs Result) Print(out io.Writer, sim bench.Result) {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "\tprocesses\tbench")
	for _, wk := range []bench.Work{bench.QuickWork, bench.PatientWork} {
		fmt.Fprintf(tw, "%s offered\t%d\t%d\n", wk, rs.Offered[wk], sim.Offered[wk])
		fmt.Fprintf(tw, "%s goodput\t%.4f\t%.4f\n", wk, rs.Goodput(wk), sim.Goodput(wk))
		fmt.Fprintf(tw, "%s TTFT 50/95/99 (ms)\t%s\t%s\n", wk, quantiles(rs.TTFT[wk]), quantiles(sim.TTFT[wk]))
	}
	fmt.Fprintf(tw, "wasted prefill\t%.4f\t%.4f\n", rs.WastedShare(), sim.WastedShare())
	fmt.Fprintf(tw, "wrong answers\t%d\t\n", rs.Wrong)
	fmt.Fprintf(tw, "slots held at the end\t%d\t\n", rs.Held)
	reasons := maps.Clone(rs.Refused)
	for reason := range sim.Refused {
		reasons[reason] += 0
	}
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		fmt.Fprintf(tw, "refused %s\t%d\t%d\n", reason, rs.Refused[reason], sim.Refused[reason])
	}
	tw.Flush()
}

func quantiles(hg *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%d/%d/%d", hg.ValueAtQuantile(50), hg.ValueAtQuantile(95), hg.ValueAtQuantile(99))
}
