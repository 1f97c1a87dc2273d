package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/internal/standin"
)

func (en *Engine) serveDecode(rw http.ResponseWriter, req *http.Request) {
	var od wire.DecodeOrder
	if err := standin.ReadJSON(req, standin.MaxBody, &od); err != nil || od.Request == "" || od.MaxTokens < 1 {
		en.decline(rw, backend.BadOrder, 0)
		return
	}
	rn, reason := en.admitDecode(od)
	if reason != "" {
		en.decline(rw, reason, 0)
		return
	}
	en.streamTokens(rw, req, rn, rn.kv.base)
}

// admitDecode starts the decode of an imported run, or returns the reason to
// decline it.
func (en *Engine) admitDecode(od wire.DecodeOrder) (*run, backend.Reason) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.ctx.Err() != nil {
		return nil, backend.Refused
	}
	if en.isCancelled(od.Request, od.Attempt) {
		return nil, backend.Cancelled
	}
	rn := en.runs[runKey{od.Request, od.Attempt, board.Decode}]
	switch {
	case rn == nil || rn.stage == sched.Transferring:
		return nil, backend.NoKV
	case rn.stage != wire.Imported:
		return nil, backend.Duplicate
	case od.From != rn.kv.base:
		return nil, backend.BadOrder
	}
	want := max(od.MaxTokens, rn.kv.base+1)
	if en.Settings.VaryLength {
		want = max(standin.Length(rn.kv.hash, od.MaxTokens), rn.kv.base+1)
	}
	if rn.kv.length > 0 {
		want = max(min(od.MaxTokens, rn.kv.length), rn.kv.base+1)
	}
	rn.rec.Decodes++
	en.setStage(rn, sched.Decoding)
	en.work.Go(func() { en.generate(rn, want) })
	return rn, ""
}

// generate generates tokens at the speed of the batch until the answer is
// complete, regardless of whether a caller reads them.
func (en *Engine) generate(rn *run, want int) {
	due := time.Now()
	for ix := rn.kv.base; ix < want; ix++ {
		due = due.Add(en.Control.Slowed(en.timePerToken()))
		if standin.Sleep(rn.ctx, time.Until(due)) != nil {
			return
		}
		if en.Control.Faults().Pause {
			if en.Control.AwaitUnpaused(rn.ctx) != nil {
				return
			}
			due = time.Now()
		}
		en.emitToken(rn, ix, ix == want-1)
	}
}

// timePerToken returns the time per output token at the current batch size.
func (en *Engine) timePerToken() time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	others := -1
	for _, rn := range en.runs {
		if rn.stage == sched.Decoding {
			others++
		}
	}
	by := 1 + en.Settings.BatchSlowdown*float64(max(0, others))
	return time.Duration(float64(en.Settings.TPOT.Std()) * by)
}

// emitToken appends a token to the answer. After the last token the memory slot
// is free, and the answer can be resumed until AnswerRetention has passed.
func (en *Engine) emitToken(rn *run, index int, last bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.runs[rn.key] != rn {
		return
	}
	rn.tokens = append(rn.tokens, standin.Token(rn.kv.hash, index))
	rn.rec.Tokens++
	if !last {
		close(rn.changed)
		rn.changed = make(chan struct{})
		return
	}
	rn.complete = true
	en.setStage(rn, sched.Ended)
	en.recordOutcome(rn, Complete)
	en.sampleLoad()
	en.runAfter(rn, en.Settings.AnswerRetention.Std(), func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		en.endRun(rn, Complete)
	})
}

func (en *Engine) serveResume(rw http.ResponseWriter, req *http.Request) {
	qy := req.URL.Query()
	from, err := strconv.Atoi(qy.Get("From"))
	if err != nil || from < 0 {
		en.decline(rw, backend.BadOrder, 0)
		return
	}
	rn := en.newestDecode(qy.Get("Request"))
	if rn == nil || from < rn.kv.base {
		en.decline(rw, backend.Unknown, 0)
		return
	}
	if qy.Get("Take") == "true" {
		en.reassign(rn, vmOf(req))
	}
	en.streamTokens(rw, req, rn, from)
}

// reassign records the VM that the run now belongs to.
func (en *Engine) reassign(rn *run, vm board.VMRef) {
	en.mu.Lock()
	defer en.mu.Unlock()
	rn.rec.VM = vm
}

// newestDecode returns the decode of a request's highest attempt, or nil.
func (en *Engine) newestDecode(request string) *run {
	en.mu.Lock()
	defer en.mu.Unlock()
	var out *run
	for key, rn := range en.runs {
		streams := rn.stage == sched.Decoding || rn.stage == sched.Ended
		if key.request == request && streams && (out == nil || key.attempt > out.key.attempt) {
			out = rn
		}
	}
	return out
}

// streamTokens sends the tokens from an index on, as they are generated, until
// the last one or the end of the run.
func (en *Engine) streamTokens(rw http.ResponseWriter, req *http.Request, rn *run, from int) {
	rw.Header().Set("Content-Type", "application/x-ndjson")
	rw.Header().Set(wire.AttemptHeader, strconv.Itoa(rn.key.attempt))
	rw.WriteHeader(http.StatusOK)
	enc, flush := json.NewEncoder(rw), http.NewResponseController(rw)
	if flush.Flush() != nil {
		return
	}
	for {
		if en.Control.AwaitUnpaused(req.Context()) != nil {
			return
		}
		tok, state, changed := en.tokenAt(rn, from)
		en.abortIfLost(rn)
		if state == tokenPending {
			if !awaitChange(req.Context(), changed) {
				return
			}
			continue
		}
		if state == streamOver && tok.Ended == "" { // resumed after the last token
			return
		}
		if tok.Ended == "" && en.Control.TakeStreamCut(from) {
			standin.AbortConnection()
		}
		if enc.Encode(tok) != nil || flush.Flush() != nil || tok.Last || tok.Ended != "" {
			return
		}
		from++
	}
}

type streamState int

const (
	tokenReady streamState = iota
	tokenPending
	streamOver
)

// tokenAt returns the token with the given index, or whether to wait for it or
// to end the stream.
func (en *Engine) tokenAt(rn *run, index int) (wire.Token, streamState, <-chan struct{}) {
	en.mu.Lock()
	defer en.mu.Unlock()
	switch {
	case index < rn.kv.base: // generated by an earlier attempt
		return wire.Token{Ended: string(backend.Unknown)}, streamOver, nil
	case index < rn.kv.base+len(rn.tokens):
		index -= rn.kv.base
		last := rn.complete && index == len(rn.tokens)-1
		return wire.Token{Index: rn.kv.base + index, Text: rn.tokens[index], Last: last}, tokenReady, nil
	case rn.complete:
		return wire.Token{}, streamOver, nil
	case en.runs[rn.key] != rn:
		return wire.Token{Ended: string(backend.Cancelled)}, streamOver, nil
	default:
		return wire.Token{}, tokenPending, rn.changed
	}
}

func awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	}
}
