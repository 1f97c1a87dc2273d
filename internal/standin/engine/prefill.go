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
		en.decline(rw, reason, en.Settings.KeepPrefill)
		return
	}
	select {
	case <-rn.done:
		en.answerPrefill(rw, rn)
	case <-req.Context().Done(): // the work goes on
	}
}

func (en *Engine) admitPrefill(od wire.PrefillOrder, vm board.VMRef) (*run, backend.Reason) {
	en.mu.Lock()
	defer en.mu.Unlock()
	reason := en.admit(board.Prefill, od.Request, od.Attempt)
	if reason != "" {
		return nil, reason
	}
	if en.computing() >= en.Settings.PrefillQueue {
		return nil, backend.Full
	}
	if !en.fence("Work", od.Fence) {
		return nil, backend.StaleFence
	}
	rn := en.begin(runKey{od.Request, od.Attempt, board.Prefill}, od.Customer, od.Quick, vm)
	rn.kv = kvCache{
		name: fmt.Sprintf("%s/%s/%d/%d", en.ID, od.Request, od.Attempt, rn.seq),
		hash: contextHash(od), tokens: od.PromptTokens, base: len(od.Answered),
		bytes: int64(od.PromptTokens) * en.Settings.KVBytesPerToken,
	}
	if en.Settings.Length != nil {
		rn.kv.length = en.Settings.Length(od.Prompt, math.MaxInt32)
	}
	rn.rec.KV, rn.rec.PromptHash, rn.rec.PromptTokens = rn.kv.name, rn.kv.hash, rn.kv.tokens
	en.enter(rn, wire.Queued)
	en.work.Go(func() { en.compute(rn, od) })
	return rn, ""
}

// contextHash is the hash that the answer follows from. Tokens that were
// answered before and are not those of this prompt lead to another answer.
func contextHash(od wire.PrefillOrder) uint64 {
	if slices.Equal(od.Answered, standin.Answer(od.Prompt, len(od.Answered))) {
		return standin.Hash(od.Prompt)
	}
	return standin.Hash(od.Prompt + strings.Join(od.Answered, ""))
}

// computing counts the prefills that wait or run. The mutex is held.
func (en *Engine) computing() int {
	count := 0
	for _, rn := range en.runs {
		if rn.stage == wire.Queued || rn.stage == sched.Prefilling {
			count++
		}
	}
	return count
}

// compute waits for its turn, computes what the prefix cache does not hold
// and keeps the KV cache for a while.
func (en *Engine) compute(rn *run, od wire.PrefillOrder) {
	jb := en.job(rn, time.Nanosecond) // its turn has come once this is over
	if en.prefills.use(jb) != nil {
		return
	}
	prefixes := wire.Prefixes(od.Prompt)
	en.mu.Lock()
	cached := 0
	if len(od.Prompt) > 0 {
		cached = od.PromptTokens * en.cache.match(prefixes) * wire.BlockBytes / len(od.Prompt)
	}
	rn.rec.CachedTokens = cached
	en.enter(rn, sched.Prefilling)
	en.mu.Unlock()

	todo := od.PromptTokens - cached
	jb = en.job(rn, span(float64(todo), en.Settings.PrefillTokensPerSecond))
	jb.step = func(done time.Duration) {
		en.mu.Lock()
		rn.rec.ComputedTokens = int(float64(todo) * float64(done) / float64(jb.length))
		en.mu.Unlock()
	}
	if en.prefills.use(jb) != nil {
		return
	}
	en.keep(rn, prefixes, cached)
}

// job makes a job of a run that stands still while the engine is paused.
func (en *Engine) job(rn *run, length time.Duration) job {
	return job{
		rn: rn, length: length, stretch: en.Control.Stretch, await: en.Control.Running,
		held: func() bool { return en.Control.Faults().Pause }, step: func(time.Duration) {},
	}
}

// keep makes a computed KV cache ready for its transfer.
func (en *Engine) keep(rn *run, prefixes []uint64, cached int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.runs[rn.key] != rn {
		return
	}
	blocks := max(1, len(prefixes))
	en.cache.store(prefixes, rn.kv.tokens/blocks, time.Now())
	rn.kv.until = time.Now().Add(en.Settings.KeepPrefill.Std())
	rn.result = wire.PrefillResult{
		KV: rn.kv.name, Tokens: rn.kv.tokens, CachedTokens: cached,
		KVBytes: rn.kv.bytes, KeptFor: en.Settings.KeepPrefill,
	}
	en.enter(rn, sched.Prefilled)
	close(rn.done)
	en.later(rn, en.Settings.KeepPrefill.Std(), func() { en.expire(rn) })
}

// expire drops a KV cache whose time is over and that no transfer reads.
func (en *Engine) expire(rn *run) {
	if en.Control.Running(rn.life) != nil {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if rn.kv.pins > 0 || time.Now().Before(rn.kv.until) {
		return
	}
	oc := Expired
	if rn.rec.Exports > 0 {
		oc = Complete
	}
	en.finish(rn, oc)
}

func (en *Engine) answerPrefill(rw http.ResponseWriter, rn *run) {
	en.cutIfDead()
	en.mu.Lock()
	res, ok := rn.result, rn.result.KV != ""
	en.mu.Unlock()
	if !ok { // it had begun, so it is not declined
		rw.WriteHeader(http.StatusGone)
		return
	}
	standin.WriteJSON(rw, res)
}

// span is how long an amount of work takes at a rate per second.
func span(amount, perSecond float64) time.Duration {
	return time.Duration(amount / perSecond * float64(time.Second))
}

// fence checks and remembers a fencing number. Zero stands for none and is
// let through. The mutex is held.
func (en *Engine) fence(kind string, number uint64) bool {
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
	en.report()
	seen := en.lagged(time.Now().Add(-en.Settings.LoadLag.Std()))
	en.mu.Unlock()
	seen.doc.Age = clock.Of(time.Since(seen.at))
	standin.WriteJSON(rw, seen.doc)
}

// report remembers the load of this moment. The mutex is held.
func (en *Engine) report() {
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
	en.loads = append(en.loads, stampedLoad{at: now, doc: doc})
	en.lagged(now.Add(-en.Settings.LoadLag.Std()))
}

// lagged returns the load of a past moment and forgets what was before it.
// The mutex is held.
func (en *Engine) lagged(at time.Time) stampedLoad {
	ix := 0
	for ix+1 < len(en.loads) && !en.loads[ix+1].at.After(at) {
		ix++
	}
	en.loads = en.loads[ix:]
	return en.loads[0]
}
