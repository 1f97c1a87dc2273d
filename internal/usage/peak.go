package usage

import (
	"cmp"
	"math"
	"slices"
)

const (
	// shortfallDeviations is the default margin, in standard deviations, on the memory that
	// the runs of an engine are expected to need. At any one time it is exceeded with
	// a probability of 1 in 100. A preempted run pauses for longer than its caller
	// accepts and its prompt is read again; a refused request is mostly served in time
	// at its second attempt. With 1 in 20, bursts preempted four times as many runs
	// and refused 8 in 100 requests fewer.
	shortfallDeviations = 2.3263
	// earlyDeviations is the earliest time before the mean ends at which the need is
	// evaluated, in deviations of the logarithm before the median of the median run;
	// another one is half way. Of many runs at the same stage some have ended at the
	// mean end of each, and the need was highest before.
	earlyDeviations = 1.5
)

type (
	// forecastRun is a run while the need of its engine is computed.
	forecastRun struct {
		Run
		rest  logNormal // what it has left
		known bool      // it has a deviation
		// perScale is one over the scale of rest and the square root of 2.
		perScale float64
		// shorter and longer count the runs of its engine, of those with a deviation, that
		// have less and more left.
		shorter, longer int
	}

	// need evaluates the memory that the runs of an engine need. The sums over them are
	// kept for each evaluated time, so that each further run of the same size costs an
	// addition. They are computed anew when a run changes, so that no error adds up.
	need struct {
		list       []Run // of the engine
		relative   float64
		deviations float64 // margin on the runs with a deviation
		held       int     // tokens of the list

		runs  []forecastRun // of the list; empty: not computed yet
		ends  []evaluation  // at the end of each run
		early []evaluation  // earlyTimes for each run: those if it is the median run

		uncertain int     // number of runs without a deviation
		critical  float64 // growth at which the last limit was exceeded

		added      forecastRun // the run that is added
		addedEnd   evaluation
		addedEarly [len(earlyTimes)]evaluation
	}

	// evaluation is what the runs of an engine need after each of them has grown by some
	// tokens.
	evaluation struct {
		grown, log float64 // the tokens and their logarithm
		sum        needSum // of the runs of the engine
		one        needSum // of the added run
		hasSum     bool
		hasOne     bool
	}

	// needSum is the sum of what runs need.
	needSum struct {
		mean, variance   float64
		all              float64 // if none has ended
		relativeVariance float64 // of runs without a deviation
	}
)

// earlyTimes are the deviations before the median of the median run at which the need is
// evaluated.
var earlyTimes = [...]float64{earlyDeviations, earlyDeviations / 2}

// reset replaces the runs, which are sorted by their rests. A run without a deviation ends
// when expected; what it has grown then deviates by the given part, which includes the number
// of deviations; the margin on the others is the given number of standard deviations.
func (nd *need) reset(list []Run, relative, deviations float64) {
	nd.list, nd.relative, nd.deviations, nd.held, nd.uncertain = append(nd.list[:0], list...), relative, deviations, 0, 0
	nd.runs, nd.ends, nd.early = nd.runs[:0], nd.ends[:0], nd.early[:0]
	nd.addedEnd, nd.addedEarly = evaluation{}, [len(earlyTimes)]evaluation{}
	for _, run := range list {
		nd.held += run.Tokens
	}
}

// peak returns the most memory that the runs of an engine need at one time, with a
// margin, if a run is added some times. All runs grow at the same speed, so after some
// tokens each run has either ended or grown by these. The need is evaluated just before the
// expected end of each run, and at two earlier times.
func (nd *need) peak(added Run, count int) int {
	nd.prepare(added)
	most := float64(nd.held + count*added.Tokens)
	if count > 0 {
		most = max(most, nd.with(&nd.addedEnd, count))
	}
	for ix := range nd.ends {
		most = max(most, nd.with(&nd.ends[ix], count))
	}
	early := nd.earlyEvaluations(count)
	for ix := range early {
		most = max(most, nd.with(&early[ix], count))
	}
	return int(most)
}

// compareRests orders runs by what they have left.
func compareRests(ra, rb Run) int {
	return cmp.Or(cmp.Compare(ra.Left, rb.Left), cmp.Compare(ra.Deviation, rb.Deviation), cmp.Compare(ra.Tokens, rb.Tokens))
}

// fits reports whether the peak is at most a limit. It ends at the first evaluated time at
// which the limit is exceeded, and skips times at which it can't be. The time that exceeded
// the last limit comes first.
func (nd *need) fits(added Run, count, limit int) bool {
	if nd.held+count*added.Tokens > limit {
		return false
	}
	nd.prepare(added)
	if nd.exceeds(nd.nearestEnd(nd.critical, count), count, limit) || nd.exceeds(&nd.addedEnd, count, limit) {
		return false
	}
	for ix := range nd.ends {
		if nd.exceeds(&nd.ends[ix], count, limit) {
			return false
		}
	}
	early := nd.earlyEvaluations(count)
	for ix := range early {
		if nd.exceeds(&early[ix], count, limit) {
			return false
		}
	}
	return true
}

// nearestEnd returns the end of a run that is nearest to a growth.
func (nd *need) nearestEnd(grown float64, count int) *evaluation {
	nearest := &nd.addedEnd
	for ix := range nd.ends {
		if count == 0 && ix == 0 || math.Abs(nd.ends[ix].grown-grown) < math.Abs(nearest.grown-grown) {
			nearest = &nd.ends[ix]
		}
	}
	return nearest
}

// exceeds reports whether the need at an evaluated time is above a limit.
func (nd *need) exceeds(ev *evaluation, count, limit int) bool {
	if ev == &nd.addedEnd && count == 0 || nd.mostAt(ev, count)+1 <= float64(limit) || int(nd.with(ev, count)) <= limit {
		return false
	}
	nd.critical = ev.grown
	return true
}

// mostAt returns at least the need at an evaluated time, up to rounding errors: that
// if no run has ended.
func (nd *need) mostAt(ev *evaluation, count int) float64 {
	uncertain := nd.uncertain
	if !nd.added.known {
		uncertain += count
	}
	return float64(nd.held+count*nd.added.Tokens) + ev.grown*(float64(len(nd.list)+count)+nd.relative*math.Sqrt(float64(uncertain)))
}

// prepare computes what depends on the runs and on the added run alone.
func (nd *need) prepare(added Run) {
	if len(nd.runs) < len(nd.list) {
		nd.prepareRuns()
	}
	if nd.added.Run == added && nd.addedEnd.hasOne {
		return
	}
	nd.added = added.forecast()
	nd.countBeside(&nd.added)
	nd.addedEnd = evaluationAt(float64(added.Left))
	nd.addedEarly = nd.added.earlyEvaluations()
	for ix := range nd.ends {
		nd.ends[ix].hasOne = false
	}
	for ix := range nd.early {
		nd.early[ix].hasOne = false
	}
}

func (nd *need) prepareRuns() {
	for _, run := range nd.list {
		fr := run.forecast()
		if !fr.known {
			nd.uncertain++
		}
		nd.runs = append(nd.runs, fr)
		nd.ends = append(nd.ends, evaluationAt(float64(run.Left)))
	}
	nd.early = slices.Grow(nd.early, len(earlyTimes)*len(nd.list))[:len(earlyTimes)*len(nd.list)]
	clear(nd.early)
	for ix := range nd.runs {
		nd.countBeside(&nd.runs[ix])
	}
}

// countBeside counts the runs of the engine that are shorter and longer than a run.
func (nd *need) countBeside(run *forecastRun) {
	run.shorter, run.longer = 0, 0
	if !run.known {
		return
	}
	for ix := range nd.runs {
		switch other := &nd.runs[ix]; {
		case other.known && other.Left < run.Left:
			run.shorter++
		case other.known && other.Left > run.Left:
			run.longer++
		}
	}
}

// earlyEvaluations returns the evaluations before the median of the median run, the longest
// of several; none if no run has a deviation.
func (nd *need) earlyEvaluations(count int) []evaluation {
	addedIsMedian := count > 0 && nd.added.known && nd.isMedian(&nd.added, count)
	for ix := len(nd.runs) - 1; ix >= 0; ix-- {
		run := &nd.runs[ix]
		if !run.known || !nd.isMedian(run, count) {
			continue
		}
		if addedIsMedian && compareRests(run.Run, nd.added.Run) < 0 {
			break
		}
		early := nd.early[ix*len(earlyTimes) : (ix+1)*len(earlyTimes)]
		if !early[0].hasSum {
			times := run.earlyEvaluations()
			copy(early, times[:])
		}
		return early
	}
	if addedIsMedian {
		return nd.addedEarly[:]
	}
	return nil
}

// isMedian reports whether a run has the median rest of the runs of the engine and the added
// ones.
func (nd *need) isMedian(run *forecastRun, count int) bool {
	shorter, longer, all := run.shorter, run.longer, len(nd.runs)+count
	switch {
	case nd.added.known && nd.added.Left < run.Left:
		shorter += count
	case nd.added.known && nd.added.Left > run.Left:
		longer += count
	}
	return 2*shorter <= all && 2*longer <= all
}

// with returns the memory that the runs and the added ones need at an evaluated time.
func (nd *need) with(ev *evaluation, count int) float64 {
	if !ev.hasSum {
		ev.hasSum = true
		for ix := range nd.runs {
			ev.sum.add(&nd.runs[ix], ev, nd)
		}
	}
	sum := ev.sum
	if count > 0 && !ev.hasOne {
		ev.hasOne, ev.one = true, needSum{}
		ev.one.add(&nd.added, ev, nd)
	}
	for range count {
		sum.mean += ev.one.mean
		sum.variance += ev.one.variance
		sum.all += ev.one.all
		sum.relativeVariance += ev.one.relativeVariance
	}
	return sum.withMargin()
}

func evaluationAt(grown float64) evaluation {
	return evaluation{grown: grown, log: math.Log(max(grown, 1))}
}

// earlyEvaluations returns the evaluations if the run is the median run.
func (fr *forecastRun) earlyEvaluations() (early [len(earlyTimes)]evaluation) {
	if fr.known {
		for ix, before := range earlyTimes {
			early[ix] = evaluationAt(math.Exp(fr.rest.location - before*fr.rest.scale))
		}
	}
	return early
}

func (ru Run) forecast() forecastRun {
	fr := forecastRun{Run: ru}
	if ru.Deviation <= 0 || ru.Left <= 0 {
		return fr
	}
	part := float64(ru.Deviation) / float64(ru.Left)
	variance := math.Log1p(part * part)
	fr.known = true
	fr.rest = logNormal{location: math.Log(float64(ru.Left)) - variance/2, scale: math.Sqrt(variance)}
	fr.perScale = 1 / (fr.rest.scale * math.Sqrt2)
	return fr
}

// add adds what a run needs if it has not ended. The lengths of runs are independent, so
// their variances add up.
func (ns *needSum) add(run *forecastRun, ev *evaluation, nd *need) {
	size := float64(run.Tokens) + ev.grown
	switch {
	case run.known:
		lasts := math.Erfc((ev.log-run.rest.location)*run.perScale) / 2
		ns.all += size
		ns.mean += lasts * size
		ns.variance += nd.deviations * nd.deviations * lasts * (1 - lasts) * size * size
	case float64(run.Left) >= ev.grown:
		ns.all += size
		ns.mean += size
		ns.relativeVariance += nd.relative * nd.relative * ev.grown * ev.grown
	}
}

// withMargin returns the need with a margin, which never exceeds the need if no run has
// ended.
func (ns *needSum) withMargin() float64 {
	return min(ns.mean+math.Sqrt(ns.variance+ns.relativeVariance), ns.all+math.Sqrt(ns.relativeVariance))
}
