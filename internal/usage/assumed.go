package usage

import (
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// assumedRunTTL is how long a place that was assigned to a VM counts without a
	// report of it. It covers the delivery of the reply to the VM and the loss of
	// one report.
	assumedRunTTL = 300 * clock.Millis(1)
	// assumedPromptTTL is how long an assumed prompt still counts once the VM has
	// reported the place: it has reserved the place, which takes 5 to 10 ms, but its
	// report does not include the prompt yet. Until then the prompt counts as long as
	// the place, because a reservation at a slow VM or engine takes longer than that,
	// and two prompts would be sent to one engine.
	assumedPromptTTL = 40 * clock.Millis(1)
	// unreportedRunTTL is how long a place counts if reports of the VM arrive that
	// do not include it. A report sent before the VM received the reply can't
	// include the place; the next one does. The VM waits up to 30 ms for the reply
	// and reports the place within 4 ms.
	unreportedRunTTL = 40 * clock.Millis(1)
	// blockTokens is the unit to which the sizes of runs are rounded up.
	blockTokens = 16
)

type (
	// assumptions holds the places and prompts that this VM assigned to others and
	// that they have not reported yet. The zero value has none.
	assumptions struct {
		list []assumption
	}

	assumption struct {
		vm          string
		run         Run
		assignedAt  clock.Millis
		runUntil    clock.Millis // when the run stops counting; zero: it was reported
		prefill     string       // engine that computes the prompt; empty: none
		prompt      int          // its tokens
		promptUntil clock.Millis // when the prompt stops counting
	}
)

// AssumePlacement counts a place and a prompt as taken by another VM until that
// VM reports them, so that the next VM that asks is placed elsewhere.
func (le *Ledger) AssumePlacement(now clock.Millis, vm string, run Run, prefill string) {
	le.assumed.expire(now)
	le.peaks.clear()
	le.assumed.list = append(le.assumed.list, assumption{vm: vm, run: run, assignedAt: now, runUntil: now + assumedRunTTL, prefill: prefill, prompt: run.Tokens, promptUntil: now + assumedRunTTL})
}

func (am *assumptions) expire(now clock.Millis) {
	am.list = slices.DeleteFunc(am.list, func(as assumption) bool { return now >= as.runUntil && now >= as.promptUntil })
}

// reconcile matches a VM's assumed places and prompts with its new report. A reported
// one stops being assumed. Any other place counts only until the VM's next report must
// include it, and its prompt for as long. The functions return how many runs, and how
// many tokens of prompts, the VM has at an engine beyond those in its previous report.
func (am *assumptions) reconcile(now clock.Millis, vm string, more, morePrompts func(engine string) int) {
	matched := make(map[string]int) // by engine: newly reported places that were matched
	prompts := make(map[string]int) // by engine: newly reported tokens that were matched
	for ix := range am.list {
		as := &am.list[ix]
		if as.vm != vm {
			continue
		}
		// The VM reports the exact size, which is up to one block less than that of its run.
		if left := morePrompts(as.prefill) - prompts[as.prefill]; now < as.promptUntil && left > max(0, as.prompt-blockTokens) {
			prompts[as.prefill] += as.prompt
			as.promptUntil = 0
		}
		if as.runUntil == 0 {
			continue
		}
		as.runUntil = min(as.runUntil, as.assignedAt+unreportedRunTTL)
		if engine := as.run.Engine; matched[engine] < more(engine) {
			matched[engine]++
			as.runUntil = 0
			as.promptUntil = min(as.promptUntil, now+assumedPromptTTL)
			continue
		}
		as.promptUntil = min(as.promptUntil, as.runUntil)
	}
}

// appendRuns appends the assumed runs at an engine to a list.
func (am *assumptions) appendRuns(list []Run, now clock.Millis, engine string) []Run {
	for ix := range am.list {
		if as := &am.list[ix]; now < as.runUntil && as.run.Engine == engine {
			list = append(list, as.run)
		}
	}
	return list
}

// promptTokens returns the tokens of assumed prompts at an engine.
func (am *assumptions) promptTokens(now clock.Millis, engine string) int {
	sum := 0
	for ix := range am.list {
		if as := &am.list[ix]; now < as.promptUntil && as.prefill == engine {
			sum += as.prompt
		}
	}
	return sum
}
