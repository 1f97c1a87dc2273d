package pool_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/pool"
	"alderdyke/pkg/clock"
)

// promptSeeds is the number of simulated runs. Larger numbers are set by hand.
var promptSeeds = flag.Uint64("prompts.seeds", 20, "seeds of the simulated prompts")

const (
	// maxPromptDelay bounds how much later a prompt may be done than at the engine
	// that would finish it first, and maxMeanPromptDelay bounds the mean delay in
	// any two seconds. Generations have half a second to their first event.
	maxPromptDelay     = clock.Second
	maxMeanPromptDelay = 100 * clock.Millis(1)
	promptWindow       = 2 * clock.Second
	promptSpan         = 40 * clock.Second
	// promptRatePerEngine is the number of prompts per second and engine. It keeps
	// an engine busy for two thirds of the time.
	promptRatePerEngine = 6
	// repeatedPromptPart is the part of prompts that their engine computed just
	// before and still has cached.
	repeatedPromptPart = 0.02
	// meanSchedulerTerm is the mean time for which one VM places all prompts.
	meanSchedulerTerm = 8 * clock.Second
)

// promptTime is how long an idle engine takes to compute a prompt.
func promptTime(tokens int) clock.Millis { return 20 + clock.Millis(tokens/30) }

// A single unusually fast prompt must not attract all later ones. An engine that
// still has a prompt cached from half a second before computes it in 16 ms. If
// this is the first prompt that the scheduling VM observes at the engine and is
// taken for the engine's pace, all prompts of all VMs go there. Only prompts
// without a queue update the pace, so nothing corrects it.
func TestOneFastPromptDoesNotAttractAllOthers(t *testing.T) {
	po := newPool(board.Prefill, board.Prefill, board.Prefill)
	list := engines(board.Prefill, board.Prefill, board.Prefill)
	for _, ob := range []struct {
		at     int
		tokens int
		took   clock.Millis
	}{{0, 5000, 221}, {1, 2300, 111}, {0, 1100, 58}, {2, 5300, 16}} {
		po.ObservePrefill(pool.Prefill{Server: list[ob.at]}, ob.tokens, ob.took)
	}
	ahead := map[string]int{list[2].ID: 13700}
	pf, ok := po.ChoosePrefill(0, pool.Prompt{Tokens: 2000, QueuedTokens: func(id string) int { return ahead[id] }})
	assert.Assert(t, ok)
	assert.Assert(t, pf.Server.ID != list[2].ID, "%d tokens queued, expected time %v", pf.QueuedTokens, pf.ExpectedTime)
}

type (
	// promptSim simulates a fleet in which one VM at a time places all prompts and
	// observes only its own.
	promptSim struct {
		t             *testing.T
		rnd           *rand.Rand
		vms           int
		list          []board.BackendServer
		now           clock.Millis
		po            *pool.Pool             // of the scheduling VM
		nextScheduler clock.Millis           // when another VM becomes the scheduling VM
		jobs          map[string][]promptJob // by engine, in order of completion
		delays        []delaySample
	}

	promptJob struct {
		tokens      int
		done        clock.Millis
		pf          pool.Prefill
		began       clock.Millis
		ofScheduler bool // sent by the scheduling VM
	}

	delaySample struct{ at, delay clock.Millis }
)

// run runs the simulation and returns the largest delay of a prompt and the mean
// delay in the worst window.
func (ps *promptSim) run() (most, mean clock.Millis) {
	rate := float64(promptRatePerEngine*len(ps.list)) / float64(clock.Second)
	for due := 0.0; ps.now < promptSpan; due += ps.rnd.ExpFloat64() / rate {
		ps.now = clock.Millis(due)
		ps.finish()
		if ps.now >= ps.nextScheduler {
			ps.po = newPool(prefillRoles(len(ps.list))...)
			ps.nextScheduler = ps.now + clock.Millis(ps.rnd.ExpFloat64()*float64(meanSchedulerTerm))
		}
		ps.place(500 + int(ps.rnd.ExpFloat64()*1500))
	}
	sum, first := clock.Millis(0), 0
	for ix, ds := range ps.delays {
		sum += ds.delay
		for ps.delays[first].at <= ds.at-promptWindow {
			sum -= ps.delays[first].delay
			first++
		}
		most = max(most, ds.delay)
		if ds.at > promptWindow {
			mean = max(mean, sum/clock.Millis(ix-first+1))
		}
	}
	return most, mean
}

// prefillRoles returns the roles of a number of prefill engines.
func prefillRoles(count int) []board.Role {
	out := make([]board.Role, count)
	for ix := range out {
		out[ix] = board.Prefill
	}
	return out
}

// place lets the scheduling VM place a prompt, and records how much later it is
// done than at the engine that would finish it first.
func (ps *promptSim) place(tokens int) {
	pf, ok := ps.po.ChoosePrefill(ps.now, pool.Prompt{Tokens: tokens, QueuedTokens: ps.ahead})
	assert.Assert(ps.t, ok)
	first := ps.freeAt(ps.list[0].ID)
	for _, bs := range ps.list {
		first = min(first, ps.freeAt(bs.ID))
	}
	at := ps.freeAt(pf.Server.ID)
	ps.delays = append(ps.delays, delaySample{ps.now, at - first})
	took := promptTime(tokens)
	if ps.rnd.Float64() < repeatedPromptPart {
		took = 15
	}
	ps.jobs[pf.Server.ID] = append(ps.jobs[pf.Server.ID],
		promptJob{tokens: tokens, done: at + took, pf: pf, began: ps.now, ofScheduler: ps.rnd.IntN(ps.vms) == 0})
}

// freeAt returns when an engine has computed all of its prompts.
func (ps *promptSim) freeAt(id string) clock.Millis {
	if jobs := ps.jobs[id]; len(jobs) > 0 {
		return jobs[len(jobs)-1].done
	}
	return ps.now
}

// ahead returns the tokens of all prompts at an engine that are not done.
func (ps *promptSim) ahead(id string) int {
	sum := 0
	for _, jo := range ps.jobs[id] {
		sum += jo.tokens
	}
	return sum
}

// finish removes completed prompts and lets the scheduling VM observe its own.
func (ps *promptSim) finish() {
	for _, bs := range ps.list {
		jobs := ps.jobs[bs.ID]
		for len(jobs) > 0 && jobs[0].done <= ps.now {
			if jobs[0].ofScheduler {
				ps.po.ObservePrefill(jobs[0].pf, jobs[0].tokens, jobs[0].done-jobs[0].began)
			}
			jobs = jobs[1:]
		}
		ps.jobs[bs.ID] = jobs
	}
}

// No prompt is done much later than at the engine that would finish it first. This
// also holds if the scheduling VM has observed only a few prompts, after a change
// to a VM that has observed none, and if engines still have some prompts cached.
func TestPromptDelayIsBounded(t *testing.T) {
	for _, tc := range []struct{ vms, engines int }{{7, 3}, {69, 9}, {300, 40}} {
		t.Run(fmt.Sprint(tc.vms), func(t *testing.T) {
			t.Parallel()
			var most, mean clock.Millis
			for seed := range *promptSeeds {
				ps := &promptSim{t: t, rnd: rand.New(rand.NewPCG(seed, 40)), vms: tc.vms, list: engines(prefillRoles(tc.engines)...), jobs: make(map[string][]promptJob)}
				mo, me := ps.run()
				if mo > maxPromptDelay || me > maxMeanPromptDelay {
					t.Errorf("seed %d: largest delay %v, mean delay in the worst window %v", seed, mo, me)
				}
				most, mean = max(most, mo), max(mean, me)
			}
			t.Logf("largest delay %v, mean delay in the worst window %v", most, mean)
		})
	}
}
