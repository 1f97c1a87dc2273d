package usage

import (
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// assumeRun is how long a place that was given to a VM counts without
	// that VM's word on it: an ask's way back, and a word's that is lost once.
	assumeRun = 300 * clock.Millis(1)
	// assumePrompt is the same for a prompt. The VM first reserves the place,
	// 5 to 10 ms, and its word on that says nothing of the prompt yet.
	assumePrompt = 40 * clock.Millis(1)
)

type (
	// assumptions are places and prompts that this VM gave to others and that they
	// did not tell of yet. The zero value has none.
	assumptions struct {
		list []assumption
	}

	assumption struct {
		vm      string
		run     Run
		runTo   clock.Millis // until when the run counts
		prefill string       // engine that computes the prompt; empty: none
		readTo  clock.Millis // until when the prompt counts there
	}
)

// Assume counts a place and a prompt as given to another VM until it tells of
// them, so that the next VM that asks is given another one.
func (le *Ledger) Assume(now clock.Millis, vm string, run Run, prefill string) {
	le.assumed.expire(now)
	le.assumed.list = append(le.assumed.list, assumption{vm: vm, run: run, runTo: now + assumeRun, prefill: prefill, readTo: now + assumePrompt})
}

func (am *assumptions) expire(now clock.Millis) {
	am.list = slices.DeleteFunc(am.list, func(as assumption) bool { return now >= as.runTo && now >= as.readTo })
}

// settle drops the places of a VM that has told of its runs since.
func (am *assumptions) settle(vm string) {
	for ix := range am.list {
		if am.list[ix].vm == vm {
			am.list[ix].runTo = 0
		}
	}
}

func (am *assumptions) at(list []Run, now clock.Millis, engine string) []Run {
	for _, as := range am.list {
		if now < as.runTo && as.run.Engine == engine {
			list = append(list, as.run)
		}
	}
	return list
}

func (am *assumptions) prompts(now clock.Millis, engine string) int {
	sum := 0
	for _, as := range am.list {
		if as.prefill == engine && now < as.readTo {
			sum += as.run.Tokens
		}
	}
	return sum
}
