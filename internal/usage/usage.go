// Package usage projects how much memory the generations at each engine will
// need, from the runs of all VMs there.
//
// A generation takes memory for its whole prompt at once and grows with each
// token. Reserving each run's final size would leave two fifths of an engine's
// memory unused, because the runs at an engine never all reach their end at the
// same time. Admitting runs by their present size would let them outgrow the
// memory together. A [Ledger] holds the runs of this VM and those that the
// others reported, and computes the most memory that they will need at any one
// time as they grow and end. All runs of an engine grow at the same speed, so
// the one with the fewest remaining tokens ends first.
//
// # Usage
//
//	var le usage.Ledger
//	en := le.BeginOutput(usage.Run{Engine: "e1", Tokens: 5200, Left: 4400}, usage.Output{})
//	le.Grow(now, en, 63)
//	if le.Peak(now, "e1", usage.Run{Tokens: 5000, Left: 4000}, 1) <= capacity { ... }
//	send(le.Report(now))       // to the other VMs
//	le.ApplyReport(now, "vm-2", report)
//	le.End(en)
//	le.SetDeviations(1) // while runs are moved between engines
//
// The length of an answer is only an estimate. The ledger learns for each route
// how answers compare to their callers' estimates, and adds a margin to the
// growth of the runs at an engine. It also holds what the VMs report to each
// other about failing engines and waiting requests. A Ledger does no I/O and is
// not safe for concurrent use. The zero value is ready.
package usage

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// speedGain is the weight of a new event of a run in the average speed: the
	// events of one run, about 70, count as much as all before them.
	speedGain = 0.02
	// shortageTTL is how long a refusal for lack of a place counts as a shortage:
	// a tenth of the length of a burst.
	shortageTTL = 500 * clock.Millis(1)
	// residualPart is the part of the initial estimate that a run is assumed to
	// have left once it has outgrown that estimate. It is the mean remainder if
	// lengths deviate from their estimates by a half.
	residualPart = 0.3
	// minGrowthDivisor limits the projection by survival, which costs more, to runs that have
	// grown by at least an eighth of their deviation. Below that it hardly differs from the
	// plain one.
	minGrowthDivisor = 8
	// maxDoubtfulRuns is the largest number of runs at an engine that is still
	// doubtful. It allows for the runs that are placed within the tenth of a
	// second in which the first of them shows whether the engine is alive.
	maxDoubtfulRuns = 2
	// ReportTTL is the age at which another VM's report expires. Reports are
	// renewed at least twice in that time.
	ReportTTL = 2500 * clock.Millis(1)
)

type (
	// Run is a generation at an engine.
	Run struct {
		Engine string
		Tokens int // in the engine's memory now
		Left   int // expected number of tokens still to be generated
		// Deviation is the standard deviation of Left; zero: unknown.
		Deviation int
	}

	// Report lists one VM's runs at the engines and what it observed of them.
	Report struct {
		Runs    []Run          // sorted by engine
		Prompts map[string]int // tokens of prompts being computed, by engine
		// Avoided lists engines that accept no new work for now, because they
		// declined it or because the VM ordered them to change their role.
		Avoided []string
		// Failing lists engines that recently broke off or did not answer.
		Failing []string
		// Waiting lists requests that found no place so far.
		Waiting []WaitingRequest
		// Shortage reports that the VM recently refused a new request for lack of
		// a place.
		Shortage bool
		// ShortPriority is the priority of those requests, plus one; zero: unknown.
		ShortPriority int
		// Returns lists the callers that the VM refused and that are to return.
		Returns []Return
		// Moves is the number of runs that the VM's retry budget lets it move from full
		// engines now.
		Moves int
	}

	// Entry is a run of this VM in its ledger.
	Entry struct {
		run        Run
		out        Output
		estimate   int          // tokens expected at the beginning
		lastGrowth clock.Millis // zero: no tokens were generated yet
	}

	// Ledger holds the runs of all VMs as far as one VM knows them.
	Ledger struct {
		own                 map[*Entry]struct{}
		prompts             map[string]int          // tokens of this VM's prompts that are being computed, by engine
		avoided             map[string]clock.Millis // by engine, until when
		failing             map[string]clock.Millis // by engine, until when
		shortageUntil       map[int]clock.Millis    // by priority, ends of shortages that this VM observed
		remoteShortageUntil clock.Millis            // end of a shortage that a scheduler reported
		others              reports
		estimates           estimates
		assumed             assumptions
		paces               paces   // by the reports of runs and prompts
		speed               float64 // tokens per millisecond; zero: no run of this VM has grown
		lengths             lengths // of answers relative to their estimates
		fits                fits    // of answers' lengths to their estimates
		deviations          float64 // margin of the peaks; zero: the default
		scratch             []Run   // runs of one engine while its peak is computed
		peaks               peaks
	}
)

// BeginOutput adds a run of this VM. As it generates, its Left and Deviation follow
// from out; if that is zero, only run.Left is known of its answer.
func (le *Ledger) BeginOutput(run Run, out Output) *Entry {
	if le.own == nil {
		le.own = make(map[*Entry]struct{})
	}
	en := &Entry{run: run, out: out, estimate: run.Left + out.Generated}
	le.own[en] = struct{}{}
	le.peaks.clear()
	return en
}

// Run returns the run's present state. The nil Entry has an empty run.
func (en *Entry) Run() Run {
	if en == nil {
		return Run{}
	}
	return en.run
}

// Output returns what is known of the run's answer. The nil Entry has an empty one.
func (en *Entry) Output() Output {
	if en == nil {
		return Output{}
	}
	return en.out
}

// Grow records tokens that a run of this VM has generated.
func (le *Ledger) Grow(now clock.Millis, en *Entry, tokens int) {
	if en == nil || tokens == 0 {
		return
	}
	le.peaks.clear()
	if en.lastGrowth > 0 && now > en.lastGrowth {
		le.updateSpeed(float64(tokens) / float64(now-en.lastGrowth))
	}
	en.lastGrowth = now
	en.out.Generated += tokens
	en.run.Tokens += tokens
	if en.out.Estimate > 0 || en.out.Most > 0 {
		en.run.Left, en.run.Deviation = le.Remaining(en.out)
		return
	}
	en.run.Left = max(en.estimate-en.out.Generated, int(residualPart*float64(en.estimate)))
}

func (le *Ledger) updateSpeed(speed float64) {
	if le.speed == 0 {
		le.speed = speed
	}
	le.speed += speedGain * (speed - le.speed)
}

// End removes a run of this VM.
func (le *Ledger) End(en *Entry) {
	if en != nil {
		delete(le.own, en)
		le.peaks.clear()
	}
}

// Speed returns how many tokens a run of this VM generates per millisecond; zero
// if none has grown yet.
func (le *Ledger) Speed() float64 { return le.speed }

// ObserveAnswer records the length of a completed answer of a route and its
// caller's estimate, both in tokens.
func (le *Ledger) ObserveAnswer(route string, estimate, generated int) {
	le.peaks.clear()
	le.lengths.observe(estimate, generated)
	le.fits.observe(route, estimate, generated)
}

// AddPrompt adds tokens of a prompt to those being computed at an engine; a
// negative count removes them.
func (le *Ledger) AddPrompt(engine string, tokens int) {
	if le.prompts == nil {
		le.prompts = make(map[string]int)
	}
	if le.prompts[engine] += tokens; le.prompts[engine] <= 0 {
		delete(le.prompts, engine)
	}
}

// PromptTokens returns the tokens of prompts that an engine is computing for all
// VMs.
func (le *Ledger) PromptTokens(now clock.Millis, engine string) int {
	return le.prompts[engine] + le.others.promptTokens(now, engine) + le.assumed.promptTokens(now, engine)
}

// Avoid records that an engine accepts no new work until the given time, because
// it was ordered to change its role or declined a run for which it had confirmed
// a reservation. The report carries this to the other VMs.
func (le *Ledger) Avoid(engine string, until clock.Millis) {
	if le.avoided == nil {
		le.avoided = make(map[string]clock.Millis)
	}
	le.avoided[engine] = max(until, le.avoided[engine])
}

// Readmit revokes what this VM recorded with Avoid.
func (le *Ledger) Readmit(engine string) { delete(le.avoided, engine) }

// Avoided reports whether this VM or another one avoids an engine.
func (le *Ledger) Avoided(now clock.Millis, engine string) bool {
	return now < le.avoided[engine] || le.others.avoided(now, engine)
}

// unexpired lists the engines whose time has not passed, sorted, and removes the
// others from the map.
func unexpired(engines map[string]clock.Millis, now clock.Millis) []string {
	maps.DeleteFunc(engines, func(_ string, until clock.Millis) bool { return now >= until })
	return slices.Sorted(maps.Keys(engines))
}

// MarkFailed records that an engine broke off an answer to this VM or did not
// answer it, and until when that counts. The report carries this to the other VMs.
func (le *Ledger) MarkFailed(engine string, until clock.Millis) {
	if le.failing == nil {
		le.failing = make(map[string]clock.Millis)
	}
	le.failing[engine] = until
}

// ClearFailed revokes what this VM recorded with MarkFailed.
func (le *Ledger) ClearFailed(engine string) { delete(le.failing, engine) }

// Failing reports whether an engine recently failed another VM. The other VM may
// be the one that is partitioned from the network, so such an engine is a last
// resort rather than excluded.
func (le *Ledger) Failing(now clock.Millis, engine string) bool {
	return le.others.failing(now, engine)
}

// Doubtful reports whether an engine recently failed another VM and has almost
// no runs: it may be dead, or another server may answer at its address and accept
// reservations in its place.
func (le *Ledger) Doubtful(now clock.Millis, engine string) bool {
	return le.Failing(now, engine) && le.RunCount(now, engine) <= maxDoubtfulRuns
}

// MarkShortage records that this VM refused a new request of a priority for lack of
// a place.
func (le *Ledger) MarkShortage(now clock.Millis, priority int) {
	if le.shortageUntil == nil {
		le.shortageUntil = make(map[int]clock.Millis)
	}
	le.shortageUntil[min(max(priority, 0), lowestPriority)] = now + shortageTTL
}

// HasShortage reports whether any VM recently refused a new request for lack of
// a place.
func (le *Ledger) HasShortage(now clock.Millis) bool {
	return le.ownShortPriority(now) > 0 || now < le.remoteShortageUntil || le.others.hasShortage(now)
}

// HasMoreUrgentShortage reports whether any VM recently refused a new request of a
// higher priority than the given one for lack of a place. VMs of an earlier build do
// not report the priority.
func (le *Ledger) HasMoreUrgentShortage(now clock.Millis, priority int) bool {
	if own := le.ownShortPriority(now); own > 0 && own-1 < priority {
		return true
	}
	return le.others.hasMoreUrgentShortage(now, priority)
}

// ownShortPriority returns the highest priority of the new requests that this VM
// recently refused for lack of a place, plus one, or zero if there is none.
func (le *Ledger) ownShortPriority(now clock.Millis) int {
	most := 0
	for priority, until := range le.shortageUntil {
		if now < until && (most == 0 || priority < most-1) {
			most = priority + 1
		}
	}
	return most
}

// MarkRemoteShortage records that a scheduler reported refusals of new requests at
// other VMs for lack of a place.
func (le *Ledger) MarkRemoteShortage(now clock.Millis) { le.remoteShortageUntil = now + shortageTTL }

// Report returns this VM's report, without its waiting requests.
func (le *Ledger) Report(now clock.Millis) Report {
	rp := Report{Runs: make([]Run, 0, len(le.own)), Prompts: maps.Clone(le.prompts), ShortPriority: le.ownShortPriority(now)}
	rp.Shortage = rp.ShortPriority > 0
	rp.Avoided = unexpired(le.avoided, now)
	rp.Failing = unexpired(le.failing, now)
	for en := range le.own {
		rp.Runs = append(rp.Runs, en.run)
	}
	slices.SortFunc(rp.Runs, func(ra, rb Run) int {
		return cmp.Or(cmp.Compare(ra.Engine, rb.Engine), cmp.Compare(ra.Tokens, rb.Tokens), cmp.Compare(ra.Left, rb.Left), cmp.Compare(ra.Deviation, rb.Deviation))
	})
	return rp
}

// ApplyReport replaces another VM's previous report. It also replaces those
// assumed placements of the VM that the report can already include.
func (le *Ledger) ApplyReport(now clock.Millis, vm string, rp Report) {
	old, known := le.others.byVM[vm]
	le.assumed.reconcile(now, vm, func(engine string) int { return rp.runsAt(engine) - len(le.others.runs[engine][vm]) },
		func(engine string) int { return rp.Prompts[engine] - old.report.Prompts[engine] })
	if known && now-old.at < ReportTTL {
		le.paces.observe(now, vm, old.report, rp, now-old.at)
	} else {
		le.paces.forget(now, vm)
	}
	for _, gone := range le.others.apply(now, vm, rp) {
		le.paces.forget(now, gone)
	}
	le.peaks.clear()
}

// RetainEngines drops what was learned of the engines for which the function returns
// false. Engines are replaced under new IDs.
func (le *Ledger) RetainEngines(retain func(id string) bool) {
	maps.DeleteFunc(le.paces.readers, func(id string, _ *reader) bool { return !retain(id) })
	maps.DeleteFunc(le.paces.steps, func(id string, _ *rate) bool { return !retain(id) })
	maps.DeleteFunc(le.peaks.needs, func(id string, _ *engineNeed) bool { return !retain(id) })
}

// runsAt returns the number of the VM's runs at an engine.
func (rp Report) runsAt(engine string) int {
	count := 0
	for _, run := range rp.Runs {
		if run.Engine == engine {
			count++
		}
	}
	return count
}

// HasFreshReport reports whether the VM's last report has not expired.
func (le *Ledger) HasFreshReport(now clock.Millis, vm string) bool { return le.others.isFresh(now, vm) }

// Peak returns the most memory, in tokens, that the runs of an engine will need
// at one time, with count additional runs that begin now. Present sizes are known
// and only growth is estimated, so the margin follows from the deviations of the
// runs: many runs, and runs that are almost complete, need less. Runs without a
// deviation get one relative to their growth.
func (le *Ledger) Peak(now clock.Millis, engine string, added Run, count int) int {
	return le.needAt(now, engine).peak(added, count)
}

// Fits reports whether the peak of an engine ([Ledger.Peak]) is at most a limit, which takes
// less time than the peak.
func (le *Ledger) Fits(now clock.Millis, engine string, added Run, count, limit int) bool {
	return le.needAt(now, engine).fits(added, count, limit)
}

// MostFitting returns an upper bound of the number of additional runs with which the peak of
// an engine ([Ledger.Peak]) is at most a limit. It follows from the present sizes alone.
func (le *Ledger) MostFitting(now clock.Millis, engine string, added Run, limit int) int {
	left := limit - le.needAt(now, engine).held
	switch {
	case left < 0:
		return 0
	case added.Tokens <= 0:
		return math.MaxInt
	default:
		return left / added.Tokens
	}
}

// RunCount returns the number of runs at an engine.
func (le *Ledger) RunCount(now clock.Millis, engine string) int {
	return len(le.needAt(now, engine).list)
}

// CertainRunCount returns the number of runs at an engine, without those of VMs that may
// be lost. The function reports that of a VM with a report of an age.
func (le *Ledger) CertainRunCount(now clock.Millis, engine string, mayBeLost func(vm string, age clock.Millis) bool) int {
	count := len(le.assumed.appendRuns(nil, now, engine))
	for en := range le.own {
		if en.run.Engine == engine {
			count++
		}
	}
	for vm, runs := range le.others.runs[engine] {
		if age, fresh := le.others.age(now, vm); fresh && !mayBeLost(vm, age) {
			count += len(runs)
		}
	}
	return count
}

// appendRuns appends the runs at an engine to a list. Runs of other VMs are
// projected from their reports to now at a speed.
func (le *Ledger) appendRuns(list []Run, now clock.Millis, engine string, speed float64) []Run {
	for en := range le.own {
		if en.run.Engine == engine {
			list = append(list, en.run)
		}
	}
	list = le.assumed.appendRuns(list, now, engine)
	for vm, runs := range le.others.runs[engine] {
		since, fresh := le.others.age(now, vm)
		if le.isEstimated(since, vm) {
			list = le.appendEstimated(list, now, engine, vm)
			continue
		}
		if !fresh {
			continue
		}
		grown := int(float64(since) * speed)
		for _, run := range runs {
			list = append(list, le.projected(run, grown))
		}
	}
	return list
}

// projected returns another VM's run after it has generated further tokens since its report.
// A smaller margin than the default does not cover that runs which have not ended since are
// mostly longer than expected: then what a run has left is that of those runs.
func (le *Ledger) projected(run Run, tokens int) Run {
	if le.Deviations() >= shortfallDeviations || run.Deviation > minGrowthDivisor*tokens {
		return run.grownBy(tokens)
	}
	fr := run.forecast()
	if !fr.known {
		return run.grownBy(tokens)
	}
	left, deviation := fr.rest.remaining(float64(tokens), math.Inf(1))
	run.Tokens += tokens
	run.Left, run.Deviation = int(left+0.5), max(minDeviation, int(deviation+0.5))
	return run
}

// grownBy returns the run after it has generated the given number of further
// tokens, but at most those that it has left.
func (ru Run) grownBy(tokens int) Run {
	grown := min(tokens, ru.Left)
	ru.Tokens += grown
	ru.Left -= grown
	return ru
}
