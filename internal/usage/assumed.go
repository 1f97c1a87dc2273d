package usage

import (
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// assumedRunTTL is how long a place that was given to a VM counts without
	// that VM's word on it: an ask's way back, and a word's that is lost once.
	assumedRunTTL = 300 * clock.Millis(1)
	// assumedPromptTTL is the same for a prompt. The VM first reserves the place,
	// 5 to 10 ms, and its word on that says nothing of the prompt yet.
	assumedPromptTTL = 40 * clock.Millis(1)
	// unreportedRunTTL is the same once a further word of that VM came: one that was
	// told before the VM had its answer says nothing of the place, and the next one
	// does. It waits for the answer for 30 ms, and tells of the place in 4 ms.
	unreportedRunTTL = 40 * clock.Millis(1)
)

type (
	// assumptions are places and prompts that this VM gave to others and that they
	// did not tell of yet. The zero value has none.
	assumptions struct {
		list []assumption
	}

	assumption struct {
		vm          string
		run         Run
		givenAt     clock.Millis // when
		runUntil    clock.Millis // until when the run counts
		prefill     string       // engine that computes the prompt; empty: none
		promptUntil clock.Millis // until when the prompt counts there
	}
)

// AssumePlacement counts a place and a prompt as given to another VM until it tells of
// them, so that the next VM that asks is given another one.
func (le *Ledger) AssumePlacement(now clock.Millis, vm string, run Run, prefill string) {
	le.assumed.expire(now)
	le.assumed.list = append(le.assumed.list, assumption{vm: vm, run: run, givenAt: now, runUntil: now + assumedRunTTL, prefill: prefill, promptUntil: now + assumedPromptTTL})
}

func (am *assumptions) expire(now clock.Millis) {
	am.list = slices.DeleteFunc(am.list, func(as assumption) bool { return now >= as.runUntil && now >= as.promptUntil })
}

// reconcile takes a word of a VM: a place that it tells of counts as told, and any
// other one only until the next word must have told of it. More is how many more
// runs the VM has at an engine than it told before.
func (am *assumptions) reconcile(vm string, more func(engine string) int) {
	told := make(map[string]int) // by engine: places that the word tells of
	for ix := range am.list {
		as := &am.list[ix]
		if as.vm != vm || as.runUntil == 0 {
			continue
		}
		as.runUntil = min(as.runUntil, as.givenAt+unreportedRunTTL)
		if engine := as.run.Engine; told[engine] < more(engine) {
			told[engine]++
			as.runUntil = 0
		}
	}
}

func (am *assumptions) appendRuns(list []Run, now clock.Millis, engine string) []Run {
	for _, as := range am.list {
		if now < as.runUntil && as.run.Engine == engine {
			list = append(list, as.run)
		}
	}
	return list
}

func (am *assumptions) promptTokens(now clock.Millis, engine string) int {
	sum := 0
	for _, as := range am.list {
		if as.prefill == engine && now < as.promptUntil {
			sum += as.run.Tokens
		}
	}
	return sum
}
