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
	en.stream(rw, req, rn, rn.kv.base)
}

func (en *Engine) admitDecode(od wire.DecodeOrder) (*run, backend.Reason) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.life.Err() != nil {
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
	en.enter(rn, sched.Decoding)
	en.work.Go(func() { en.generate(rn, want) })
	return rn, ""
}

// generate makes tokens at the pace of the batch until the answer is
// complete, whether somebody reads them or not.
func (en *Engine) generate(rn *run, want int) {
	due := time.Now()
	for ix := rn.kv.base; ix < want; ix++ {
		due = due.Add(en.Control.Stretch(en.pace()))
		if standin.Sleep(rn.life, time.Until(due)) != nil {
			return
		}
		if en.Control.Faults().Pause {
			if en.Control.Running(rn.life) != nil {
				return
			}
			due = time.Now()
		}
		en.emit(rn, ix, ix == want-1)
	}
}

// pace is the time per output token of the batch as it is now.
func (en *Engine) pace() time.Duration {
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

func (en *Engine) emit(rn *run, index int, last bool) {
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
	rn.whole = true
	en.enter(rn, sched.Ended)
	en.settle(rn, Complete)
	en.report()
	en.later(rn, en.Settings.KeepEnded.Std(), func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		en.finish(rn, Complete)
	})
}

func (en *Engine) serveResume(rw http.ResponseWriter, req *http.Request) {
	qy := req.URL.Query()
	from, err := strconv.Atoi(qy.Get("From"))
	if err != nil || from < 0 {
		en.decline(rw, backend.BadOrder, 0)
		return
	}
	rn := en.newest(qy.Get("Request"))
	if rn == nil || from < rn.kv.base {
		en.decline(rw, backend.Unknown, 0)
		return
	}
	if qy.Get("Take") == "true" {
		en.handOver(rn, vmOf(req))
	}
	en.stream(rw, req, rn, from)
}

// handOver notes for whom the run goes on.
func (en *Engine) handOver(rn *run, vm board.VMRef) {
	en.mu.Lock()
	defer en.mu.Unlock()
	rn.rec.VM = vm
}

// newest finds the decode of a request's highest attempt.
func (en *Engine) newest(request string) *run {
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

// stream sends tokens from an index on, those that were made and those to
// come.
func (en *Engine) stream(rw http.ResponseWriter, req *http.Request, rn *run, from int) {
	rw.Header().Set("Content-Type", "application/x-ndjson")
	rw.Header().Set(wire.AttemptHeader, strconv.Itoa(rn.key.attempt))
	rw.WriteHeader(http.StatusOK)
	enc, flush := json.NewEncoder(rw), http.NewResponseController(rw)
	if flush.Flush() != nil {
		return
	}
	for {
		if en.Control.Running(req.Context()) != nil {
			return
		}
		en.cutIfDead()
		tok, state, changed := en.at(rn, from)
		if state == waits {
			if !await(req.Context(), changed) {
				return
			}
			continue
		}
		if state == over && tok.Ended == "" { // resumed beyond the last token
			return
		}
		if tok.Ended == "" && en.Control.CutsAt(from) {
			standin.Cut()
		}
		if enc.Encode(tok) != nil || flush.Flush() != nil || tok.Last || tok.Ended != "" {
			return
		}
		from++
	}
}

type streamState int

const (
	has streamState = iota
	waits
	over
)

// at returns the token with the given index, or how to go on without it.
func (en *Engine) at(rn *run, index int) (wire.Token, streamState, <-chan struct{}) {
	en.mu.Lock()
	defer en.mu.Unlock()
	switch {
	case index < rn.kv.base: // made by an attempt before
		return wire.Token{Ended: string(backend.Unknown)}, over, nil
	case index < rn.kv.base+len(rn.tokens):
		index -= rn.kv.base
		last := rn.whole && index == len(rn.tokens)-1
		return wire.Token{Index: rn.kv.base + index, Text: rn.tokens[index], Last: last}, has, nil
	case rn.whole:
		return wire.Token{}, over, nil
	case en.runs[rn.key] != rn:
		return wire.Token{Ended: string(backend.Cancelled)}, over, nil
	default:
		return wire.Token{}, waits, rn.changed
	}
}

func await(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	}
}
