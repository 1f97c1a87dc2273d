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
	histogramMax    = 600_000 // milliseconds
	histogramDigits = 3
)

type (
	// Result holds the measurements of a run, over the arrivals from Run.MeasureFrom on.
	// Computed, Wasted and SlotsHeld cover the whole run.
	Result struct {
		Offered      map[bench.Work]int
		Met          map[bench.Work]int // answered in full with both targets met
		Complete     map[bench.Work]int
		WrongAnswers int // answers that differ from what the engines generate for the prompt
		Refused      map[refusal.Reason]int
		TTFT         map[bench.Work]*hdrhistogram.Histogram
		Computed     int // prompt tokens that engines computed
		Wasted       int // those whose decode never began
		SlotsHeld    int // slots that engines hold at the end
	}

	meter struct {
		mu sync.Mutex
		rs Result
	}
)

func newMeter() *meter {
	mt := &meter{rs: Result{
		Offered:  make(map[bench.Work]int),
		Met:      make(map[bench.Work]int),
		Complete: make(map[bench.Work]int),
		Refused:  make(map[refusal.Reason]int),
		TTFT:     make(map[bench.Work]*hdrhistogram.Histogram),
	}}
	for _, wk := range []bench.Work{bench.QuickWork, bench.PatientWork} {
		mt.rs.TTFT[wk] = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	return mt
}

func (mt *meter) add(arr bench.Arrival, en callResult) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	wk := arr.Class.Work
	mt.rs.Offered[wk]++
	if !en.complete {
		mt.rs.Refused[en.reason]++
		return
	}
	mt.rs.Complete[wk]++
	if !en.correct {
		mt.rs.WrongAnswers++
		return
	}
	mt.rs.TTFT[wk].RecordValue(max(1, int64(en.ttft)))
	if en.ttft <= arr.Class.TTFT && en.tpot <= float64(arr.Class.TPOT) {
		mt.rs.Met[wk]++
	}
}

func (mt *meter) result(dp *deployment.Deployment) Result {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	var hists []enginesim.History
	for _, en := range dp.Engines {
		hs := en.History()
		mt.rs.SlotsHeld += hs.SlotsHeld
		hists = append(hists, hs)
	}
	waste := enginesim.WasteOf(hists...)
	mt.rs.Computed, mt.rs.Wasted = waste.Computed, waste.Wasted
	return mt.rs
}

// Goodput returns the share of the offered requests of a kind that met their targets.
func (rs Result) Goodput(wk bench.Work) float64 {
	return bench.Ratio{Part: rs.Met[wk], Whole: rs.Offered[wk]}.Value()
}

// WastedShare returns the share of the computed prompt tokens that was wasted.
func (rs Result) WastedShare() float64 {
	return float64(rs.Wasted) / float64(max(1, rs.Computed))
}

// Print prints the result next to the bench's result for the same arrivals.
func (rs Result) Print(out io.Writer, sim bench.Result) {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "\tprocesses\tbench")
	for _, wk := range []bench.Work{bench.QuickWork, bench.PatientWork} {
		fmt.Fprintf(tw, "%s offered\t%d\t%d\n", wk, rs.Offered[wk], sim.Offered[wk])
		fmt.Fprintf(tw, "%s goodput\t%.4f\t%.4f\n", wk, rs.Goodput(wk), sim.Goodput(wk))
		fmt.Fprintf(tw, "%s TTFT 50/95/99 (ms)\t%s\t%s\n", wk, quantiles(rs.TTFT[wk]), quantiles(sim.TTFT[wk]))
	}
	fmt.Fprintf(tw, "wasted prefill\t%.4f\t%.4f\n", rs.WastedShare(), sim.WastedShare())
	fmt.Fprintf(tw, "wrong answers\t%d\t\n", rs.WrongAnswers)
	fmt.Fprintf(tw, "slots held at the end\t%d\t\n", rs.SlotsHeld)
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
