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

// promptSeeds is how many courses are played; more are played by hand.
var promptSeeds = flag.Uint64("prompts.seeds", 20, "seeds of the courses of prompts")

const (
	// maxPromptDelay bounds how much later than at the engine that would be done first
	// any prompt may be done, and maxMeanPromptDelay the mean of that in any two
	// seconds. Generations have half a second to their first event.
	maxPromptDelay     = clock.Second
	maxMeanPromptDelay = 100 * clock.Millis(1)
	promptWindow       = 2 * clock.Second
	promptSpan         = 40 * clock.Second
	// promptRatePerEngine is the prompts a second for each engine, which is busy for two
	// thirds of the time.
	promptRatePerEngine = 6
	// repeatedPromptPart of the prompts were computed by their engine just before, which
	// still has them.
	repeatedPromptPart = 0.02
	// meanSchedulerTerm is how long one VM chooses for all in the mean.
	meanSchedulerTerm = 8 * clock.Second
)

// promptTime is how long an engine that has nothing else computes a prompt.
func promptTime(tokens int) clock.Millis { return 20 + clock.Millis(tokens/30) }

// The VM that chose for all had a prompt computed by an engine that had computed it half
// a second before, and still had it: 16 ms. It was the first that this VM had ever seen
// of this engine, and what it took to be the engine's pace. From then on all prompts of
// all VMs went there, and since only a prompt with nothing before it teaches the pace,
// nothing corrected it.
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
	assert.Assert(t, pf.Server.ID != list[2].ID, "%d tokens before it, expected to take %v", pf.QueuedTokens, pf.ExpectedTime)
}

type (
	// promptSim is a fleet whose prompts one VM places, by what it has seen of its own.
	promptSim struct {
		t             *testing.T
		rnd           *rand.Rand
		vms           int
		list          []board.BackendServer
		now           clock.Millis
		po            *pool.Pool // of the VM that chooses
		nextScheduler clock.Millis
		jobs          map[string][]promptJob // by engine, in the order in which they are done
		delays        []delaySample
	}

	promptJob struct {
		tokens      int
		done        clock.Millis
		pf          pool.Prefill
		began       clock.Millis
		ofScheduler bool // of the VM that chooses
	}

	delaySample struct{ at, delay clock.Millis }
)

// play plays a course and returns by how much prompts were late at most, and in the mean
// of the worst window.
func (ps *promptSim) play() (most, mean clock.Millis) {
	rate := float64(promptRatePerEngine*len(ps.list)) / float64(clock.Second)
	for due := 0.0; ps.now < promptSpan; due += ps.rnd.ExpFloat64() / rate {
		ps.now = clock.Millis(due)
		ps.finish()
		if ps.now >= ps.nextScheduler {
			ps.po = newPool(roles(len(ps.list))...)
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

func roles(count int) []board.Role {
	out := make([]board.Role, count)
	for ix := range out {
		out[ix] = board.Prefill
	}
	return out
}

// place has the chooser place a prompt, and notes how much later it is done than at the
// engine that would be done first.
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

// freeAt is when an engine has done what it has.
func (ps *promptSim) freeAt(id string) clock.Millis {
	if jobs := ps.jobs[id]; len(jobs) > 0 {
		return jobs[len(jobs)-1].done
	}
	return ps.now
}

func (ps *promptSim) ahead(id string) int {
	sum := 0
	for _, jo := range ps.jobs[id] {
		sum += jo.tokens
	}
	return sum
}

// finish has the chooser learn from those of its own prompts that are done.
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

// However little the VM that chooses has seen, whenever it is another one that has seen
// nothing, and whatever engines still had of some prompts: no prompt is done much later
// than where it would be done first.
func TestPromptsGoWhereTheyAreDoneFirst(t *testing.T) {
	for _, tc := range []struct{ vms, engines int }{{7, 3}, {69, 9}, {300, 40}} {
		t.Run(fmt.Sprint(tc.vms), func(t *testing.T) {
			t.Parallel()
			var most, mean clock.Millis
			for seed := range *promptSeeds {
				ps := &promptSim{t: t, rnd: rand.New(rand.NewPCG(seed, 40)), vms: tc.vms, list: engines(roles(tc.engines)...), jobs: make(map[string][]promptJob)}
				mo, me := ps.play()
				if mo > maxPromptDelay || me > maxMeanPromptDelay {
					t.Errorf("seed %d: %v later at most, %v in the mean of the worst window", seed, mo, me)
				}
				most, mean = max(most, mo), max(mean, me)
			}
			t.Logf("%v later at most, %v in the mean of the worst window", most, mean)
		})
	}
}
