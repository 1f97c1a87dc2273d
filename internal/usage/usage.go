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
//	en := le.Begin(usage.Run{Engine: "e1", Tokens: 5200, Left: 4400})
//	le.Grow(now, en, 63)
//	if le.Peak(now, "e1", usage.Run{Tokens: 5000, Left: 4000}, 1) <= capacity { ... }
//	send(le.Report(now))       // to the other VMs
//	le.ApplyReport(now, "vm-2", report)
//	le.End(en)
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
	}

	// Entry is a run of this VM in its ledger.
	Entry struct {
		run        Run
		generated  int          // tokens so far
		estimate   int          // tokens expected at the beginning
		lastGrowth clock.Millis // zero: no tokens were generated yet
	}

	// Ledger holds the runs of all VMs as far as one VM knows them.
	Ledger struct {
		own                 map[*Entry]struct{}
		prompts             map[string]int          // tokens of this VM's prompts that are being computed, by engine
		avoided             map[string]clock.Millis // by engine, until when
		failing             map[string]clock.Millis // by engine, until when
		shortageUntil       clock.Millis            // end of a shortage that this VM observed
		remoteShortageUntil clock.Millis            // end of a shortage that a scheduler reported
		others              reports
		assumed             assumptions
		speed               float64 // tokens per millisecond; zero: no run of this VM has grown
		lengths             lengths // of answers relative to their estimates
		scratch             []Run   // runs of one engine while its peak is computed
	}
)

// Begin adds a run of this VM.
func (le *Ledger) Begin(run Run) *Entry {
	if le.own == nil {
		le.own = make(map[*Entry]struct{})
	}
	en := &Entry{run: run, estimate: run.Left}
	le.own[en] = struct{}{}
	return en
}

// Run returns the run's present state. The nil Entry has an empty run.
func (en *Entry) Run() Run {
	if en == nil {
		return Run{}
	}
	return en.run
}

// Grow records tokens that a run of this VM has generated.
func (le *Ledger) Grow(now clock.Millis, en *Entry, tokens int) {
	if en == nil || tokens == 0 {
		return
	}
	if en.lastGrowth > 0 && now > en.lastGrowth {
		le.updateSpeed(float64(tokens) / float64(now-en.lastGrowth))
	}
	en.lastGrowth = now
	en.generated += tokens
	en.run.Tokens += tokens
	en.run.Left = max(en.estimate-en.generated, int(residualPart*float64(en.estimate)))
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
	}
}

// Speed returns how many tokens a run of this VM generates per millisecond; zero
// if none has grown yet.
func (le *Ledger) Speed() float64 { return le.speed }

// ObserveAnswer records the length of a completed answer of a route and its
// caller's estimate, both in tokens.
func (le *Ledger) ObserveAnswer(route string, estimate, generated int) {
	le.lengths.observe(route, estimate, generated)
}

// ExpectedTokens returns the expected length of an answer of a route for its
// caller's estimate.
func (le *Ledger) ExpectedTokens(route string, estimate int) int {
	return int(le.lengths.mean(route) * float64(estimate))
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

// MarkShortage records that this VM refused a new request for lack of a place.
func (le *Ledger) MarkShortage(now clock.Millis) { le.shortageUntil = now + shortageTTL }

// HasShortage reports whether any VM recently refused a new request for lack of
// a place.
func (le *Ledger) HasShortage(now clock.Millis) bool {
	return now < le.shortageUntil || now < le.remoteShortageUntil || le.others.hasShortage(now)
}

// MarkRemoteShortage records that a scheduler reported refusals of new requests at
// other VMs for lack of a place.
func (le *Ledger) MarkRemoteShortage(now clock.Millis) { le.remoteShortageUntil = now + shortageTTL }

// Report returns this VM's report, without its waiting requests.
func (le *Ledger) Report(now clock.Millis) Report {
	rp := Report{Runs: make([]Run, 0, len(le.own)), Prompts: maps.Clone(le.prompts), Shortage: now < le.shortageUntil}
	rp.Avoided = unexpired(le.avoided, now)
	rp.Failing = unexpired(le.failing, now)
	for en := range le.own {
		rp.Runs = append(rp.Runs, en.run)
	}
	slices.SortFunc(rp.Runs, func(ra, rb Run) int {
		return cmp.Or(cmp.Compare(ra.Engine, rb.Engine), cmp.Compare(ra.Tokens, rb.Tokens))
	})
	return rp
}

// ApplyReport replaces another VM's previous report. It also replaces those
// assumed placements of the VM that the report can already include.
func (le *Ledger) ApplyReport(now clock.Millis, vm string, rp Report) {
	le.assumed.reconcile(vm, func(engine string) int { return rp.runsAt(engine) - len(le.others.runs[engine][vm]) })
	le.others.apply(now, vm, rp)
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
// at one time, with count additional runs that begin now. The present size of
// runs is known and only their growth is estimated, so the margin applies to the
// growth alone. It is relatively smaller for many runs than for one. Compared to
// a margin of 15 % on the whole memory, an engine whose runs are nine tenths
// prompt holds a seventh more runs, and one whose runs are half growth holds as
// many.
func (le *Ledger) Peak(now clock.Millis, engine string, added Run, count int) int {
	le.scratch = le.scratch[:0]
	for range count {
		le.scratch = append(le.scratch, added)
	}
	le.scratch = le.appendRuns(le.scratch, now, engine)
	return peak(le.scratch, growthDeviations*le.lengths.spread())
}

// RunCount returns the number of runs at an engine.
func (le *Ledger) RunCount(now clock.Millis, engine string) int {
	return len(le.appendRuns(nil, now, engine))
}

// appendRuns appends the runs at an engine to a list. Runs of other VMs are
// projected from their reports to now.
func (le *Ledger) appendRuns(list []Run, now clock.Millis, engine string) []Run {
	for en := range le.own {
		if en.run.Engine == engine {
			list = append(list, en.run)
		}
	}
	list = le.assumed.appendRuns(list, now, engine)
	for vm, runs := range le.others.runs[engine] {
		since, fresh := le.others.age(now, vm)
		if !fresh {
			continue
		}
		grown := int(float64(since) * le.speed)
		for _, run := range runs {
			list = append(list, run.grownBy(grown))
		}
	}
	return list
}

// grownBy returns the run after it has generated the given number of further
// tokens, but at most those that it has left.
func (ru Run) grownBy(tokens int) Run {
	grown := min(tokens, ru.Left)
	ru.Tokens += grown
	ru.Left -= grown
	return ru
}

// peak returns the most memory that the runs need at one time. The margin is the
// part by which the growth of a single run may exceed its expectation. For many
// runs the margin is smaller, since their lengths vary independently. The need
// only grows between the ends of two runs, so it is evaluated just before each
// end.
func peak(list []Run, margin float64) int {
	slices.SortFunc(list, func(ra, rb Run) int { return cmp.Compare(ra.Left, rb.Left) })
	held := 0
	for _, run := range list {
		held += run.Tokens
	}
	most := held
	for ix, run := range list {
		growing := len(list) - ix
		growth := float64(run.Left*growing) * (1 + margin/math.Sqrt(float64(growing)))
		most = max(most, held+int(growth))
		held -= run.Tokens
	}
	return most
}
