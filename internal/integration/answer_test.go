package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/invariant"
	"alderdyke/internal/standin"
)

const tokenBytes = 9 // size of one token of a stand-in, in bytes

// awaitRunner waits until a decode of the key has generated the given number of
// tokens, and returns the VM that ordered it.
func (fl *fleet) awaitRunner(key string, tokens int) *vm {
	fl.t.Helper()
	var id string
	eventually(fl.t, "a decode of "+key+" is in progress", func() bool {
		for _, rec := range fl.engineRuns(board.Decode, key) {
			if rec.Tokens >= tokens {
				id = rec.VM.ID
			}
		}
		return id != ""
	})
	return fl.vm(id)
}

// engineRunCount returns the number of runs of a key at all engines: prefills, and
// transfers with their decodes.
func (fl *fleet) engineRunCount(key string) int {
	return len(fl.engineRuns(board.Prefill, key)) + len(fl.engineRuns(board.Decode, key))
}

// decodeTotals returns the number of decodes of a key that started, and the number
// of tokens that all of them generated. A transfer that was moved to another engine,
// as happens to slow ones, counts for no decode at the first engine.
func (fl *fleet) decodeTotals(key string) (began, tokens int) {
	for _, rec := range fl.engineRuns(board.Decode, key) {
		began += rec.Decodes
		tokens += rec.Tokens
	}
	return began, tokens
}

// A VM is killed in the middle of answers that it runs. Every caller continues at
// another VM with its key and must get one complete answer without a gap or a
// repetition.
func TestVMKilledMidStream(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	var calls []*ongoing
	for _, key := range []string{"kill-1", "kill-2", "kill-3", "kill-4"} {
		calls = append(calls, fl.chat(fl.client(), "findings", key, 300))
	}
	for _, og := range calls {
		eventually(t, "the answer is in progress", func() bool { return og.received() > 10*tokenBytes })
	}
	lost := fl.awaitRunner("kill-1", 10)
	killed := time.Now()
	lost.kill(t)
	results.recordDuration("a dead VM is detected", fl.awaitDead(fl.otherVMs(lost)[0], lost, killed))
	for _, og := range calls {
		assert.Check(t, og.wait())
	}
	results.recordDuration("callers of a killed VM have their whole answers", time.Since(killed))
	fl.checkInvariants()
}

// Callers leave and do not return. The engines must become free soon after.
func TestNothingHeldForCallersWhoLeft(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	var calls []*ongoing
	for _, key := range []string{"gone-1", "gone-2", "gone-3"} {
		calls = append(calls, fl.chat(fl.client(), "findings", key, 2000))
	}
	for _, og := range calls {
		eventually(t, "the answer is in progress", func() bool { return og.received() > 5*tokenBytes })
	}
	for _, og := range calls {
		og.hangUp()
	}
	took := fl.awaitEnginesFree()
	results.recordDuration("engines free after callers left (their wait is 3s)", took)
	assert.Check(t, took < (streamWait.Std()+5*time.Second), "engines became free after %v", took)
	fl.checkInvariants()
}

// A VM is killed while it runs decodes of callers that do not return. The other VMs
// must free the engines.
func TestNothingHeldForALostVM(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	og := fl.chat(fl.client(), "findings", "lost", 2000)
	eventually(t, "the answer is in progress", func() bool { return og.received() > 5*tokenBytes })
	lost := fl.awaitRunner("lost", 5)
	lost.kill(t)
	og.hangUp()
	results.recordDuration("engines free after a VM and its callers were lost", fl.awaitEnginesFree())
	fl.checkInvariants()
	fl.updateHistory(func(hs *invariant.History) { assert.Equal(t, len(hs.Calls), 1) })
}

// A transfer takes long, as happens when VMs and engines are busy, and the VM that
// schedules the cell moves it to another decode engine. The engines then list two
// runs of the key. One of them generated no token and must not count as a second
// decode:
//
//	Role=Decode Decodes=0 Tokens=0 Stages=[Transferring Imported] Outcome=Cancelled
//	Role=Decode Decodes=1 Tokens=600 Stages=[... Decoding Ended] Outcome=Complete
func TestMovedTransferIsNoSecondDecode(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	results.countFault("transfers stalled")
	for _, en := range fl.dp.Engines {
		en.Control.Set(standin.Faults{StallTransfer: true})
	}
	const tokens = 20
	og := fl.chat(fl.client(), "findings", "moved", tokens)
	eventually(t, "the first transfer is moved to another engine", func() bool {
		return len(fl.engineRuns(board.Decode, "moved")) > 1
	})
	for _, en := range fl.dp.Engines {
		en.Control.Set(standin.Faults{})
	}
	assert.NilError(t, og.wait())
	began, made := fl.decodeTotals("moved")
	assert.Equal(t, began, 1)
	assert.Equal(t, made, tokens)
	fl.checkInvariants()
}

// Two VMs of different failure domains are killed at once, so that all copies of
// the records of some keys are lost. Every caller has a part of its answer and the
// engines continue with it, so each caller must get the rest without a second run.
func TestRecordsLostWithTwoVMs(t *testing.T) {
	t.Parallel()
	pl := defaultPlan()
	pl.vms, pl.decode = 5, 8
	fl := startFleet(t, pl)
	const tokens = 600
	calls, runsBefore := make(map[string]*ongoing), make(map[string]int)
	for ix := range 30 {
		key := fmt.Sprintf("record-%d", ix)
		calls[key] = fl.chat(fl.client(), "findings", key, tokens)
	}
	for _, og := range calls {
		eventually(t, "the answer is in progress", func() bool { return og.received() > 5*tokenBytes })
	}
	for key := range calls {
		runsBefore[key] = fl.engineRunCount(key)
	}
	fl.vms[0].kill(t)
	fl.vms[3].kill(t)
	for key, og := range calls {
		assert.Check(t, og.wait(), "%s", key)
		began, made := fl.decodeTotals(key)
		assert.Check(t, began == 1 && made == tokens, "%s: %d decodes generated %d tokens", key, began, made)
		assert.Check(t, fl.engineRunCount(key) == runsBefore[key], "%s: an engine got another order for it", key)
	}
	fl.checkInvariants()
}
