package engine

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/internal/standin"
	"alderdyke/pkg/clock"
)

func (en *Engine) servePrefill(rw http.ResponseWriter, req *http.Request) {
	var od wire.PrefillOrder
	if err := standin.ReadJSON(req, standin.MaxBody, &od); err != nil || od.Request == "" || od.PromptTokens < 0 {
		en.decline(rw, backend.BadOrder, 0)
		return
	}
	rn, reason := en.admitPrefill(od, vmOf(req))
	if reason != "" {
		en.decline(rw, reason, en.Settings.KVRetention)
		return
	}
	select {
	case <-rn.done:
		en.writePrefillResult(rw, rn)
	case <-req.Context().Done(): // the work continues without the caller
	}
}

// admitPrefill starts a run for a prefill, or returns the reason to decline it.
func (en *Engine) admitPrefill(od wire.PrefillOrder, vm board.VMRef) (*run, backend.Reason) {
	en.mu.Lock()
	defer en.mu.Unlock()
	reason := en.declineReason(board.Prefill, od.Request, od.Attempt)
	if reason != "" {
		return nil, reason
	}
	if en.activePrefills() >= en.Settings.PrefillQueue {
		return nil, backend.Full
	}
	if !en.acceptFence("Work", od.Fence) {
		return nil, backend.StaleFence
	}
	rn := en.newRun(runKey{od.Request, od.Attempt, board.Prefill}, od.Customer, od.Quick, vm)
	rn.kv = kvCache{
		name: fmt.Sprintf("%s/%s/%d/%d", en.ID, od.Request, od.Attempt, rn.seq),
		hash: contextHash(od), tokens: od.PromptTokens, base: len(od.Answered),
		bytes: int64(od.PromptTokens) * en.Settings.KVBytesPerToken,
	}
	if en.Settings.Length != nil {
		rn.kv.length = en.Settings.Length(od.Prompt, math.MaxInt32)
	}
	rn.rec.KV, rn.rec.PromptHash, rn.rec.PromptTokens = rn.kv.name, rn.kv.hash, rn.kv.tokens
	en.setStage(rn, wire.Queued)
	en.work.Go(func() { en.runPrefill(rn, od) })
	return rn, ""
}

// contextHash returns the hash that the answer is derived from. Tokens of
// earlier attempts that do not belong to the answer to this prompt result in a
// different answer.
func contextHash(od wire.PrefillOrder) uint64 {
	if slices.Equal(od.Answered, standin.Answer(od.Prompt, len(od.Answered))) {
		return standin.Hash(od.Prompt)
	}
	return standin.Hash(od.Prompt + strings.Join(od.Answered, ""))
}

// activePrefills returns the number of waiting and running prefills. The caller
// holds the mutex.
func (en *Engine) activePrefills() int {
	count := 0
	for _, rn := range en.runs {
		if rn.stage == wire.Queued || rn.stage == sched.Prefilling {
			count++
		}
	}
	return count
}

// runPrefill waits for its turn, simulates the computation of the tokens that
// the prefix cache does not hold, and retains the KV cache for its transfer.
func (en *Engine) runPrefill(rn *run, od wire.PrefillOrder) {
	jb := en.newJob(rn, time.Nanosecond) // ends as soon as it has had its first turn
	if en.prefills.run(jb) != nil {
		return
	}
	prefixes := wire.Prefixes(od.Prompt)
	en.mu.Lock()
	cached := 0
	if len(od.Prompt) > 0 {
		cached = od.PromptTokens * en.cache.match(prefixes) * wire.BlockBytes / len(od.Prompt)
	}
	rn.rec.CachedTokens = cached
	en.setStage(rn, sched.Prefilling)
	en.mu.Unlock()

	todo := od.PromptTokens - cached
	jb = en.newJob(rn, durationAt(float64(todo), en.Settings.PrefillTokensPerSecond))
	jb.onProgress = func(done time.Duration) {
		en.mu.Lock()
		rn.rec.ComputedTokens = int(float64(todo) * float64(done) / float64(jb.length))
		en.mu.Unlock()
	}
	if en.prefills.run(jb) != nil {
		return
	}
	en.retainKV(rn, prefixes, cached)
}

// newJob returns a job of a run that is blocked while the engine is paused.
func (en *Engine) newJob(rn *run, length time.Duration) job {
	return job{
		rn: rn, length: length, slowed: en.Control.Slowed, awaitUnblocked: en.Control.AwaitUnpaused,
		blocked: func() bool { return en.Control.Faults().Pause }, onProgress: func(time.Duration) {},
	}
}

// retainKV makes a computed KV cache available for its transfer until it expires.
func (en *Engine) retainKV(rn *run, prefixes []uint64, cached int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.runs[rn.key] != rn {
		return
	}
	blocks := max(1, len(prefixes))
	en.cache.store(prefixes, rn.kv.tokens/blocks, time.Now())
	rn.kv.expiresAt = time.Now().Add(en.Settings.KVRetention.Std())
	rn.result = wire.PrefillResult{
		KV: rn.kv.name, Tokens: rn.kv.tokens, CachedTokens: cached,
		KVBytes: rn.kv.bytes, KeptFor: en.Settings.KVRetention,
	}
	en.setStage(rn, sched.Prefilled)
	close(rn.done)
	en.runAfter(rn, en.Settings.KVRetention.Std(), func() { en.expireKV(rn) })
}

// expireKV drops a KV cache whose retention is over unless a transfer is
// reading it.
func (en *Engine) expireKV(rn *run) {
	if en.Control.AwaitUnpaused(rn.ctx) != nil {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if rn.kv.pins > 0 || time.Now().Before(rn.kv.expiresAt) {
		return
	}
	oc := Expired
	if rn.rec.Exports > 0 {
		oc = Complete
	}
	en.endRun(rn, oc)
}

func (en *Engine) writePrefillResult(rw http.ResponseWriter, rn *run) {
	en.abortIfLost(rn)
	en.mu.Lock()
	res, ok := rn.result, rn.result.KV != ""
	en.mu.Unlock()
	if !ok { // it had started, so it must not be declined
		rw.WriteHeader(http.StatusGone)
		return
	}
	standin.WriteJSON(rw, res)
}

// durationAt returns how long an amount of work takes at a rate per second.
func durationAt(amount, perSecond float64) time.Duration {
	return time.Duration(amount / perSecond * float64(time.Second))
}

// acceptFence checks a fencing number and records it if it is the highest so
// far. Zero means that there is none, and is accepted. The caller holds the
// mutex.
func (en *Engine) acceptFence(kind string, number uint64) bool {
	if number == 0 {
		return true
	}
	if en.Settings.ChecksFencing && number < en.fences[kind] {
		return false
	}
	en.fences[kind] = max(en.fences[kind], number)
	return true
}

func (en *Engine) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	en.sampleLoad()
	seen := en.laggedLoad(time.Now().Add(-en.Settings.LoadLag.Std()))
	en.mu.Unlock()
	seen.doc.Age = clock.Of(time.Since(seen.at))
	standin.WriteJSON(rw, seen.doc)
}

// sampleLoad records the current load. The caller holds the mutex.
func (en *Engine) sampleLoad() {
	doc := wire.LoadDoc{Role: en.role, LinkBytes: en.linkBytes, Leaving: en.Control.Faults().Leaving}
	if en.role == board.Decode {
		doc.Slots, doc.Running = en.Settings.Slots, en.slotsHeld()
	} else {
		doc.Slots = en.Settings.PrefillQueue
		for _, rn := range en.runs {
			switch rn.stage {
			case wire.Queued:
				doc.Queued++
			case sched.Prefilling:
				doc.Running++
			}
		}
	}
	now := time.Now()
	en.loads = append(en.loads, loadSample{at: now, doc: doc})
	en.laggedLoad(now.Add(-en.Settings.LoadLag.Std()))
}

// laggedLoad returns the load at a past time and discards older samples. The
// caller holds the mutex.
func (en *Engine) laggedLoad(at time.Time) loadSample {
	ix := 0
	for ix+1 < len(en.loads) && !en.loads[ix+1].at.After(at) {
		ix++
	}
	en.loads = en.loads[ix:]
	return en.loads[0]
}
