package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
)

// A VM is paused until the others suspect it, and then resumes. Its requests in
// progress must not be interrupted, and nothing may be decoded twice.
func TestSuspectedVMsRequestsAreNotCut(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	const tokens = 300
	keys := []string{"suspect-1", "suspect-2", "suspect-3"}
	var calls []*ongoing
	for _, key := range keys {
		calls = append(calls, fl.chat(fl.client(), "findings", key, tokens))
	}
	first := fl.awaitRunner(keys[0], 10)
	paused := time.Now()
	first.pause(t)
	eventually(t, "the VM is suspected", func() bool {
		for _, vm := range fl.otherVMs(first) {
			if fl.health(vm, first) != "Suspect" {
				return false
			}
		}
		return true
	})
	first.resume(t)
	results.recordDuration("pause until every VM suspects a VM", time.Since(paused))
	for ix, og := range calls {
		assert.Check(t, og.wait())
		began, made := fl.decodeTotals(keys[ix])
		assert.Equal(t, began, 1)
		assert.Equal(t, made, tokens)
	}
	eventually(t, "the VM is considered alive again", func() bool { return fl.health(fl.otherVMs(first)[0], first) == "Alive" })
	fl.checkInvariants()
}

// A VM is paused until the others consider it dead and take its requests over,
// and then resumes. Every caller must get one complete answer, and the engines
// must become free.
func TestVMResumesAfterItsRequestsWereTakenOver(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	var calls []*ongoing
	for ix := range 3 {
		calls = append(calls, fl.chat(fl.client(), "findings", fmt.Sprintf("wake-%d", ix), 900))
	}
	first := fl.awaitRunner("wake-0", 10)
	paused := time.Now()
	first.pause(t)
	for _, vm := range fl.otherVMs(first) {
		fl.awaitDead(vm, first, paused)
	}
	first.resume(t)
	for _, og := range calls {
		assert.Check(t, og.wait())
	}
	fl.awaitServing(first)
	fl.checkInvariants()
}

// A partition separates the VMs into two parts. Both must serve idempotent
// requests. A request that is not idempotent must run at most once, even if it is
// sent to both parts. After the partition the VMs must form one fleet again.
func TestPartition(t *testing.T) {
	t.Parallel()
	pl := defaultPlan()
	pl.vms = 5
	fl := startFleet(t, pl)
	few, many := fl.vms[:2], fl.vms[2:]
	fl.net.partition(few, many, true)
	var calls []*ongoing
	for ix := range 4 {
		key := fmt.Sprintf("parted-early-%d", ix)
		for _, vm := range fl.vms {
			calls = append(calls, fl.sendPaymentAt(vm, key))
		}
	}
	for _, one := range few {
		for _, other := range many {
			eventually(t, "each part considers the other dead", func() bool {
				return fl.health(one, other) == "Dead" && fl.health(other, one) == "Dead"
			})
		}
	}
	for ix := range 4 {
		key := fmt.Sprintf("parted-late-%d", ix)
		for _, vm := range fl.vms {
			calls = append(calls, fl.sendPaymentAt(vm, key))
		}
	}
	for ix, vm := range fl.vms {
		assert.Check(t, fl.fetchRecordAt(vm, fmt.Sprintf("parted-record-%d", ix)).wait())
		assert.Check(t, fl.chatAt(vm, fmt.Sprintf("parted-chat-%d", ix), 10).wait())
	}
	for _, og := range calls {
		og.wait()
	}
	fl.net.partition(few, many, false)
	healed := time.Now()
	for _, vm := range fl.vms {
		fl.awaitServing(vm)
	}
	results.recordDuration("one fleet again after a partition", time.Since(healed))
	fl.checkInvariants()
}

// The VM that runs an answer is paused while another VM follows the answer, which
// therefore continues to read it from the engine. When the first VM resumes, it
// must not assume that the caller has left, because the caller now reads through
// the other VM.
func TestRunnerResumesWhileAnotherVMReadsItsAnswer(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	runner, follower := fl.vms[0], fl.vms[1]
	early := fl.chatAt(runner, "read-on", 900)
	assert.Equal(t, fl.awaitRunner("read-on", 10), runner)
	og := fl.chatAt(follower, "read-on", 900)
	sees := func(what string) func() bool {
		return func() bool { return strings.Contains(fl.explainAt(follower, "read-on"), what) }
	}
	eventually(t, "the other VM follows", sees("Following"))
	early.hangUp()
	runner.pause(t)
	eventually(t, "the other VM continues to read the decode", sees("ReadOn"))
	runner.resume(t)
	assert.Check(t, og.wait())
	assert.Equal(t, len(fl.engineRuns(board.Decode, "read-on")), 1)
	fl.checkInvariants()
}

// A caller's connection breaks, its VM is then paused for longer than it waits for
// callers to return, and the caller meanwhile continues to read its answer through
// another VM. When the first VM resumes, its caller has not reconnected to it. It
// must not conclude that the caller has left, or else it would cancel the decode
// that the other VM reads, and a second decode would start.
func TestResumedVMWaitsForItsCaller(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	runner, other := fl.vms[0], fl.vms[1]
	early := fl.chatAt(runner, "stood-still", 900)
	assert.Equal(t, fl.awaitRunner("stood-still", 10), runner)
	early.hangUp()
	left := time.Now()
	eventually(t, "the VM notices that the caller has left", func() bool { return strings.Contains(fl.explainAt(runner, "stood-still"), "CallerLeft") })
	time.Sleep(streamWait.Std()/4 - time.Since(left))
	runner.pause(t)
	og := fl.chatAt(other, "stood-still", 900)
	eventually(t, "the other VM continues to read the decode", func() bool { return strings.Contains(fl.explainAt(other, "stood-still"), "ReadOn") })
	time.Sleep(streamWait.Std() + 200*time.Millisecond - time.Since(left))
	runner.resume(t)
	assert.Check(t, og.wait())
	assert.Equal(t, len(fl.engineRuns(board.Decode, "stood-still")), 1)
	fl.checkInvariants()
}
