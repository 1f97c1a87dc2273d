package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/invariant"
)

const tokenBytes = 9 // of one token of a stand-in

// runnerOf waits until a decode of the key made some tokens and returns the
// VM that ordered it.
func (fl *fleet) runnerOf(key string, tokens int) *vm {
	fl.t.Helper()
	var id string
	eventually(fl.t, "a decode of "+key+" is under way", func() bool {
		for _, rec := range fl.engineRuns(board.Decode, key) {
			if rec.Tokens >= tokens {
				id = rec.VM.ID
			}
		}
		return id != ""
	})
	return fl.vm(id)
}

// A VM is killed in the middle of answers that it runs. Every caller goes on
// elsewhere with its key and gets one whole answer without a seam.
func TestVMKilledMidStream(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, usual())
	var calls []*ongoing
	for _, key := range []string{"kill-1", "kill-2", "kill-3", "kill-4"} {
		calls = append(calls, fl.chat(fl.client(), "findings", key, 300))
	}
	for _, og := range calls {
		eventually(t, "the answer is under way", func() bool { return og.received() > 10*tokenBytes })
	}
	lost := fl.runnerOf("kill-1", 10)
	killed := time.Now()
	lost.kill(t)
	results.span("a dead VM is detected", fl.holdsDead(fl.others(lost)[0], lost, killed))
	for _, og := range calls {
		assert.Check(t, og.end())
	}
	results.span("callers of a killed VM have their whole answers", time.Since(killed))
	fl.check()
}

// Callers leave for good; the engines are free soon after.
func TestNothingHeldForCallersWhoLeft(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, usual())
	var calls []*ongoing
	for _, key := range []string{"gone-1", "gone-2", "gone-3"} {
		calls = append(calls, fl.chat(fl.client(), "findings", key, 2000))
	}
	for _, og := range calls {
		eventually(t, "the answer is under way", func() bool { return og.received() > 5*tokenBytes })
	}
	for _, og := range calls {
		og.leave()
	}
	took := fl.awaitFree()
	results.span("engines free after callers left (their wait is 3s)", took)
	assert.Check(t, took < (streamWait.Std()+5*time.Second), "free after %v", took)
	fl.check()
}

// A VM is killed with live decodes of callers who never come back. The others
// free the engines.
func TestNothingHeldForALostVM(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, usual())
	og := fl.chat(fl.client(), "findings", "lost", 2000)
	eventually(t, "the answer is under way", func() bool { return og.received() > 5*tokenBytes })
	lost := fl.runnerOf("lost", 5)
	lost.kill(t)
	og.leave()
	results.span("engines free after a VM and its callers were lost", fl.awaitFree())
	fl.check()
	fl.note(func(hs *invariant.History) { assert.Equal(t, len(hs.Calls), 1) })
}

// Two VMs of different failure domains are killed at once, so that the record
// of some keys is lost with both. Every caller has a part of its answer, the
// engines go on with it, and each gets the rest without a second run.
func TestRecordsLostWithTwoVMs(t *testing.T) {
	t.Parallel()
	pl := usual()
	pl.vms, pl.decode = 5, 8
	fl := startFleet(t, pl)
	calls := make(map[string]*ongoing)
	for ix := range 30 {
		key := fmt.Sprintf("record-%d", ix)
		calls[key] = fl.chat(fl.client(), "findings", key, 600)
	}
	for _, og := range calls {
		eventually(t, "the answer is under way", func() bool { return og.received() > 5*tokenBytes })
	}
	fl.vms[0].kill(t)
	fl.vms[3].kill(t)
	for key, og := range calls {
		assert.Check(t, og.end(), "%s", key)
		assert.Check(t, len(fl.engineRuns(board.Decode, key)) == 1, "%s", key)
	}
	fl.check()
}
