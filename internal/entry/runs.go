package entry

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"alderdyke/internal/answer"
	"alderdyke/internal/caller"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// keptOverhead is the approximate memory of an ended run beyond its answer, in bytes.
const keptOverhead = 2 << 10

type (
	// runs holds the requests of this VM, in progress and recently ended. Ended
	// ones are kept so that a caller can return for the answer. The zero value
	// keeps none.
	runs struct {
		retention clock.Millis // of an answer after its end
		maxBytes  int          // total size of the kept answers, without those that count in the memory budget

		mu    sync.Mutex
		byID  map[requestID]*run
		ended []keptRun // oldest first
		bytes int
	}

	// keptRun is a run whose answer has ended.
	keptRun struct {
		rn    *run
		since clock.Millis
	}
)

// find returns the run of a key.
func (rs *runs) find(id requestID) (*run, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rn, ok := rs.byID[id]
	return rn, ok
}

// getOrAdd returns the existing run of a key, or adds the one that fresh creates.
func (rs *runs) getOrAdd(id requestID, fresh func() *run) (rn *run, added bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rn, ok := rs.byID[id]; ok {
		return rn, false
	}
	if rs.byID == nil {
		rs.byID = make(map[requestID]*run)
	}
	rn = fresh()
	rs.byID[id] = rn
	return rn, true
}

// keepEnded keeps an ended run for a while if its answer may be replayed; otherwise the
// key becomes free for another run.
func (rs *runs) keepEnded(rn *run, now clock.Millis) {
	last, _ := rn.st.Last()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rn.ended = true
	if !replayableEnd(last) || (!rn.hasRole(running) && last.Kind == answer.Refused) {
		rs.remove(rn)
		rs.count(rn)
		return
	}
	rn.req.Chat, rn.req.Plain = nil, nil // only the answer is replayed
	rn.kept = true
	rs.ended = append(rs.ended, keptRun{rn: rn, since: now})
	rs.bytes += keptOverhead
	rs.count(rn)
	rs.evict(now)
}

// recount counts the answer of a run again after the number of its readers has changed.
func (rs *runs) recount(rn *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !rn.ended {
		return
	}
	rs.count(rn)
	if len(rs.ended) > 0 {
		rs.evict(rn.vm.Clock.Now())
	}
}

// count counts the answer of an ended run in exactly one place: in the memory budget while
// those read it who read it at its end, and then among the kept answers, until it is no longer
// kept; if it is read at that time, in the budget again. The caller holds the lock.
func (rs *runs) count(rn *run) {
	last, _ := rn.st.Last()
	read := rn.st.Watchers() > 0
	switch {
	case rn.kept && rn.keptBytes > 0:
	case read && last.Kind == answer.Whole:
		rn.countAnswer() // its reader is about to copy it, for which memory was reserved
	case read:
		rn.answer.set(int64(rn.st.Size()))
	default:
		if rn.kept {
			rn.keptBytes = rn.st.Size()
			rs.bytes += rn.keptBytes
		}
		rn.answer.end()
	}
}

// evict removes the oldest ended runs while they exceed the retention or the size limit.
// The caller holds the lock.
func (rs *runs) evict(now clock.Millis) {
	for len(rs.ended) > 0 {
		old := rs.ended[0]
		if now-old.since < rs.retention && rs.bytes <= rs.maxBytes {
			return
		}
		rs.bytes -= old.rn.keptBytes + keptOverhead
		rs.ended = rs.ended[1:]
		old.rn.kept, old.rn.keptBytes = false, 0
		rs.remove(old.rn)
		rs.count(old.rn)
	}
}

// remove removes a run. The caller holds the lock.
func (rs *runs) remove(rn *run) {
	if rs.byID[rn.id] == rn {
		delete(rs.byID, rn.id)
	}
}

// inProgress returns the number of runs that have not ended.
func (rs *runs) inProgress() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return len(rs.byID) - len(rs.ended)
}

// Start implements caller.Runner.
func (vm *VM) Start(_ context.Context, req caller.Request) (*answer.Stream, error) {
	id := requestID{Customer: req.Customer, Key: req.Key}
	if rn, ok := vm.runs.find(id); ok {
		return rn.answerFor(req)
	}
	err := vm.Accepting()
	if err != nil && !(vm.draining.Load() && req.KeyGiven) {
		return nil, err
	}
	if vm.runs.inProgress() >= vm.Settings.Limits.MaxStreams {
		return nil, refusal.Refusal{
			Ran:        ranBeforeClaim(req),
			Reason:     refusal.TooManyConnections,
			RetryAfter: clock.Second,
			Detail:     "this VM makes as many answers as it may",
		}
	}
	rn, added := vm.runs.getOrAdd(id, func() *run { return vm.newRun(req) })
	if !added {
		return rn.answerFor(req)
	}
	rn.arrivedDraining = err != nil // the claim will show whether the key runs elsewhere
	rn.takeMemory(req.Memory)
	vm.wg.Go(rn.process)
	return rn.st, nil
}

// ranBeforeClaim returns what is known of a request before its key is claimed: a key that
// the caller chose may have run elsewhere.
func ranBeforeClaim(req caller.Request) refusal.Ran {
	if req.KeyGiven {
		return refusal.MayHaveRun
	}
	return refusal.NotRun
}

// answerFor returns the answer of a run to a repetition of its request.
func (rn *run) answerFor(req caller.Request) (*answer.Stream, error) {
	if !bytes.Equal(rn.req.Fingerprint, req.Fingerprint) {
		return nil, refusal.Refusal{
			Ran:    refusal.NotRun,
			Reason: refusal.KeyReused,
			Detail: "the key belongs to another request",
		}
	}
	return rn.st, nil
}

// Find implements caller.Runner.
func (vm *VM) Find(ctx context.Context, customer, key string) (*answer.Stream, error) {
	id := requestID{Customer: customer, Key: key}
	if rn, ok := vm.runs.find(id); ok {
		return rn.st, nil
	}
	st, err := vm.findRemote(ctx, id)
	if err != nil {
		return nil, fmt.Errorf("find the answer: %w", err)
	}
	return st, nil
}

// Accepting implements caller.Runner.
func (vm *VM) Accepting() error {
	switch {
	case vm.draining.Load():
		return drainingRefusal()
	case !vm.Board.Templates().Ready:
		return refusal.Refusal{
			Ran:        refusal.NotRun,
			Reason:     refusal.Starting,
			RetryAfter: clock.Second,
			Detail:     "this VM has not learned the configuration yet",
		}
	}
	return nil
}

func drainingRefusal() refusal.Refusal {
	return refusal.Refusal{
		Ran:        refusal.NotRun,
		Reason:     refusal.Draining,
		RetryAfter: 1 * clock.Millis(1),
		Detail:     "this VM is leaving; use another of the addresses",
	}
}

// Addresses implements caller.Runner.
func (vm *VM) Addresses() ([]caller.Address, clock.Millis) {
	return caller.Candidates(vm.Board.Fleet()), vm.Settings.Addresses.KeepFor
}

func (vm *VM) recordRunEnd(rn *run) {
	vm.runs.keepEnded(rn, vm.Clock.Now())
	vm.runEnded.raise()
}
