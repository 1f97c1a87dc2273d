// Package usage foretells how much memory the generations at each engine will
// need, from what all VMs have there.
//
// A generation takes its prompt at once and grows by each token. A reservation
// of all that it may come to leaves two fifths of an engine's memory unused,
// since the runs at an engine are never all at their end together; admitting
// by what is used now lets them grow beyond it together. A [Ledger] knows the
// runs of this VM and what the others told of theirs, and works out the most
// memory that they will need at one time, as they grow and end. All runs of an
// engine grow at the same speed, so the one with the least to come ends first.
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
// The length of an answer is a guess. The ledger learns by route how answers come
// out against their callers' guesses, and leaves a margin on the growth of the runs
// at an engine. What VMs tell each other of failing engines and of requests that
// wait is kept here too. A Ledger does no I/O and
// is not safe for concurrent use. The zero value is ready.
package usage

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// speedGain is the weight of an event in the speed: a run of 70 events
	// counts as much as all before it.
	speedGain = 0.02
	// shortageTTL is how long a refusal for want of a place counts: a tenth of
	// a burst.
	shortageTTL = 500 * clock.Millis(1)
	// residualPart is the part of the first guess that a run which has outgrown
	// it is thought to have left. It is the mean of what is left where the
	// lengths spread by a half around their guess.
	residualPart = 0.3
	// maxDoubtfulRuns is how many runs an engine may have that is in doubt: those
	// that were placed within the tenth of a second in which the first of them
	// shows whether the engine is there.
	maxDoubtfulRuns = 2
	// ReportTTL is the age from which another VM's word counts no more. It is
	// renewed at least twice in that span.
	ReportTTL = 2500 * clock.Millis(1)
)

type (
	// Run is a generation at an engine.
	Run struct {
		Engine string
		Tokens int // in the engine's memory
		Left   int // expected to come
	}

	// Report is what one VM has at the engines.
	Report struct {
		Runs    []Run          // by engine
		Prompts map[string]int // tokens of prompts that are computed, by engine
		// Avoided lists engines that by their own word, or by an order of the
		// VM, take no new work for now.
		Avoided []string
		// Failing lists engines that broke off or did not answer just now.
		Failing []string
		// Waiting lists requests that found no place yet.
		Waiting []WaitingRequest
		// Shortage tells that the VM lately refused a new request for want of a
		// place.
		Shortage bool
	}

	// Entry is a run of this VM in its ledger.
	Entry struct {
		run        Run
		generated  int
		guess      int
		lastGrowth clock.Millis // when it grew last; zero: it has not begun
	}

	// Ledger is the runs of all VMs as one VM knows them.
	Ledger struct {
		own                 map[*Entry]struct{}
		prompts             map[string]int
		avoided             map[string]clock.Millis // by engine, until when
		failing             map[string]clock.Millis // the same
		shortageUntil       clock.Millis            // until when this VM's last refusal counts
		remoteShortageUntil clock.Millis            // the same of what a scheduler told
		others              reports
		assumed             assumptions
		speed               float64 // tokens in a millisecond; zero: no run of this VM has grown
		lengths             lengths // of answers against their guesses
		scratch             []Run   // of one engine, while its peak is worked out
	}
)

// Begin enters a run of this VM.
func (le *Ledger) Begin(run Run) *Entry {
	if le.own == nil {
		le.own = make(map[*Entry]struct{})
	}
	en := &Entry{run: run, guess: run.Left}
	le.own[en] = struct{}{}
	return en
}

// Run is the run as it is now; that of the nil Entry is empty.
func (en *Entry) Run() Run {
	if en == nil {
		return Run{}
	}
	return en.run
}

// Grow notes tokens that a run of this VM has generated.
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
	en.run.Left = max(en.guess-en.generated, int(residualPart*float64(en.guess)))
}

func (le *Ledger) updateSpeed(speed float64) {
	if le.speed == 0 {
		le.speed = speed
	}
	le.speed += speedGain * (speed - le.speed)
}

// End takes a run of this VM out.
func (le *Ledger) End(en *Entry) {
	if en != nil {
		delete(le.own, en)
	}
}

// Speed is the tokens that a run of this VM generates in a millisecond; zero if
// none has grown yet.
func (le *Ledger) Speed() float64 { return le.speed }

// ObserveAnswer notes that an answer of a route came to its end with so many tokens,
// and what its caller had guessed.
func (le *Ledger) ObserveAnswer(route string, guess, generated int) {
	le.lengths.observe(route, guess, generated)
}

// ExpectedTokens is the tokens that an answer of a route is expected to come to.
func (le *Ledger) ExpectedTokens(route string, guess int) int {
	return int(le.lengths.mean(route) * float64(guess))
}

// AddPrompt counts tokens of a prompt as computed at an engine; with a negative
// count, as done.
func (le *Ledger) AddPrompt(engine string, tokens int) {
	if le.prompts == nil {
		le.prompts = make(map[string]int)
	}
	if le.prompts[engine] += tokens; le.prompts[engine] <= 0 {
		delete(le.prompts, engine)
	}
}

// PromptTokens is how many tokens of prompts are computed at an engine for all VMs.
func (le *Ledger) PromptTokens(now clock.Millis, engine string) int {
	return le.prompts[engine] + le.others.promptTokens(now, engine) + le.assumed.promptTokens(now, engine)
}

// Avoid notes that an engine takes no new work until then: it was ordered to
// change its role, or declined what it had a place for. The other VMs are told.
func (le *Ledger) Avoid(engine string, until clock.Millis) {
	if le.avoided == nil {
		le.avoided = make(map[string]clock.Millis)
	}
	le.avoided[engine] = max(until, le.avoided[engine])
}

// Readmit ends an Avoid of this VM.
func (le *Ledger) Readmit(engine string) { delete(le.avoided, engine) }

// Avoided tells whether this VM or another one avoids an engine.
func (le *Ledger) Avoided(now clock.Millis, engine string) bool {
	return now < le.avoided[engine] || le.others.avoided(now, engine)
}

// unexpired lists the engines whose time is not over, sorted, and drops the others.
func unexpired(engines map[string]clock.Millis, now clock.Millis) []string {
	maps.DeleteFunc(engines, func(_ string, until clock.Millis) bool { return now >= until })
	return slices.Sorted(maps.Keys(engines))
}

// MarkFailed notes that an engine broke off or did not answer this VM, and until when
// that counts. The other VMs are told.
func (le *Ledger) MarkFailed(engine string, until clock.Millis) {
	if le.failing == nil {
		le.failing = make(map[string]clock.Millis)
	}
	le.failing[engine] = until
}

// ClearFailed ends a MarkFailed of this VM.
func (le *Ledger) ClearFailed(engine string) { delete(le.failing, engine) }

// Failing tells whether an engine failed another VM just now. It may be that VM
// which is cut off, so that this says where to go last, not where not to go.
func (le *Ledger) Failing(now clock.Millis, engine string) bool {
	return le.others.failing(now, engine)
}

// Doubtful tells whether an engine failed another VM just now and next to nothing
// runs there: it may be dead, or another one may answer in its place and take
// reservations for it.
func (le *Ledger) Doubtful(now clock.Millis, engine string) bool {
	return le.Failing(now, engine) && le.RunCount(now, engine) <= maxDoubtfulRuns
}

// MarkShortage notes that this VM refused a new request for want of a place.
func (le *Ledger) MarkShortage(now clock.Millis) { le.shortageUntil = now + shortageTTL }

// HasShortage tells whether some VM lately refused a new request for want of a place.
func (le *Ledger) HasShortage(now clock.Millis) bool {
	return now < le.shortageUntil || now < le.remoteShortageUntil || le.others.hasShortage(now)
}

// MarkRemoteShortage notes that a scheduler knows of such refusals.
func (le *Ledger) MarkRemoteShortage(now clock.Millis) { le.remoteShortageUntil = now + shortageTTL }

// Report is what this VM has at the engines.
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

// ApplyReport takes another VM's report in place of its last one, and of what it was
// assumed to have as far as the report can tell of that.
func (le *Ledger) ApplyReport(now clock.Millis, vm string, rp Report) {
	le.assumed.reconcile(vm, func(engine string) int { return rp.runsAt(engine) - len(le.others.runs[engine][vm]) })
	le.others.apply(now, vm, rp)
}

// runsAt is how many runs the VM has at an engine.
func (rp Report) runsAt(engine string) int {
	count := 0
	for _, run := range rp.Runs {
		if run.Engine == engine {
			count++
		}
	}
	return count
}

// HasFreshReport tells whether the VM's word is fresh.
func (le *Ledger) HasFreshReport(now clock.Millis, vm string) bool { return le.others.isFresh(now, vm) }

// Peak is the most memory, in tokens, that the runs of an engine will need at
// one time, with so many more of a size that begin now. What they hold is known;
// what they grow by is a guess, and so the margin is on the growth alone, and
// smaller for many runs together than for one. An engine whose runs are nine
// parts prompt then holds a seventh more of them than with a margin of 15 in 100
// on all its memory, and one whose runs grow by half holds as many.
func (le *Ledger) Peak(now clock.Millis, engine string, added Run, count int) int {
	le.scratch = le.scratch[:0]
	for range count {
		le.scratch = append(le.scratch, added)
	}
	le.scratch = le.appendRuns(le.scratch, now, engine)
	return peak(le.scratch, growthDeviations*le.lengths.spread())
}

// RunCount is how many runs an engine has.
func (le *Ledger) RunCount(now clock.Millis, engine string) int {
	return len(le.appendRuns(nil, now, engine))
}

// appendRuns adds the runs appendRuns an engine, as they are by now, to a list.
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

// grownBy is the run when it has generated so many more tokens.
func (ru Run) grownBy(tokens int) Run {
	grown := min(tokens, ru.Left)
	ru.Tokens += grown
	ru.Left -= grown
	return ru
}

// peak is the most that the runs need together, if the growth of one may exceed
// what is expected by the margin, a part of it, and that of many by less, since
// their lengths differ independently. Between two ends the need only grows, so
// it is looked at just before each end.
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
