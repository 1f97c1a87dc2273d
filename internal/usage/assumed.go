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
	// assumedPromptTTL is the same for a prompt. The VM first reserves the place,
	// which takes 5 to 10 ms, and its report of the reservation does not include the
	// prompt yet.
	assumedPromptTTL = 40 * clock.Millis(1)
	// unreportedRunTTL is how long a place counts if reports of the VM arrive that
	// do not include it. A report sent before the VM received the reply can't
	// include the place; the next one does. The VM waits up to 30 ms for the reply
	// and reports the place within 4 ms.
	unreportedRunTTL = 40 * clock.Millis(1)
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
		promptUntil clock.Millis // when the prompt stops counting
	}
)

// AssumePlacement counts a place and a prompt as taken by another VM until that
// VM reports them, so that the next VM that asks is placed elsewhere.
func (le *Ledger) AssumePlacement(now clock.Millis, vm string, run Run, prefill string) {
	le.assumed.expire(now)
	le.assumed.list = append(le.assumed.list, assumption{vm: vm, run: run, assignedAt: now, runUntil: now + assumedRunTTL, prefill: prefill, promptUntil: now + assumedPromptTTL})
}

func (am *assumptions) expire(now clock.Millis) {
	am.list = slices.DeleteFunc(am.list, func(as assumption) bool { return now >= as.runUntil && now >= as.promptUntil })
}

// reconcile matches a VM's assumed places with its new report. A reported place
// stops being assumed. Any other one counts only until the VM's next report must
// include it. The function more returns how many runs the VM has at an engine
// beyond those in its previous report.
func (am *assumptions) reconcile(vm string, more func(engine string) int) {
	matched := make(map[string]int) // by engine: newly reported places that were matched
	for ix := range am.list {
		as := &am.list[ix]
		if as.vm != vm || as.runUntil == 0 {
			continue
		}
		as.runUntil = min(as.runUntil, as.assignedAt+unreportedRunTTL)
		if engine := as.run.Engine; matched[engine] < more(engine) {
			matched[engine]++
			as.runUntil = 0
		}
	}
}

// appendRuns appends the assumed runs at an engine to a list.
func (am *assumptions) appendRuns(list []Run, now clock.Millis, engine string) []Run {
	for _, as := range am.list {
		if now < as.runUntil && as.run.Engine == engine {
			list = append(list, as.run)
		}
	}
	return list
}

// promptTokens returns the tokens of assumed prompts at an engine.
func (am *assumptions) promptTokens(now clock.Millis, engine string) int {
	sum := 0
	for _, as := range am.list {
		if as.prefill == engine && now < as.promptUntil {
			sum += as.run.Tokens
		}
	}
	return sum
}
