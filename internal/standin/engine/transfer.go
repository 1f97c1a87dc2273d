package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/internal/standin"
)

var errTransfer = errors.New("KV cache did not arrive whole")

type (
	// kvHead opens a transfer between two stand-ins. The bytes themselves
	// are not sent, only how many of them have passed the link.
	kvHead struct {
		Hash   uint64
		Tokens int
		Bytes  int64
	}

	kvPart struct {
		Bytes int64
		Done  bool
	}
)

// serveKV sends a kept KV cache at the pace of the link.
func (en *Engine) serveKV(rw http.ResponseWriter, req *http.Request) {
	rn := en.pin(req.URL.Query().Get("KV"))
	if rn == nil {
		en.decline(rw, backend.NoKV, 0)
		return
	}
	defer en.unpin(rn)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer context.AfterFunc(rn.life, cancel)()
	tr := &run{seq: rn.seq, life: ctx, quick: req.URL.Query().Get("Quick") == "true"}
	en.send(rw, rn, tr)
}

// pin finds a kept KV cache and keeps it until unpin.
func (en *Engine) pin(name string) *run {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, rn := range en.runs {
		if rn.kv.name == name && rn.stage == sched.Prefilled {
			rn.kv.pins++
			return rn
		}
	}
	return nil
}

func (en *Engine) unpin(rn *run) {
	en.mu.Lock()
	rn.kv.pins--
	en.mu.Unlock()
	en.expire(rn)
}

// send writes a KV cache part by part as it passes the egress link.
func (en *Engine) send(rw http.ResponseWriter, rn, tr *run) {
	enc, flush := json.NewEncoder(rw), http.NewResponseController(rw)
	left := rn.kv.bytes
	en.addLink(left)
	defer func() { en.addLink(-left) }()
	if enc.Encode(kvHead{Hash: rn.kv.hash, Tokens: rn.kv.tokens, Bytes: left}) != nil {
		return
	}
	for left > 0 {
		part := min(left, en.partBytes())
		if en.egress.use(tr, en.linkSpan(part), en.Control.Moving) != nil {
			standin.Cut()
		}
		left -= part
		en.addLink(-part)
		if enc.Encode(kvPart{Bytes: part}) != nil || flush.Flush() != nil {
			return
		}
	}
	if enc.Encode(kvPart{Done: true}) == nil {
		en.mu.Lock()
		rn.rec.Exports++
		en.mu.Unlock()
	}
}

func (en *Engine) addLink(by int64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.linkBytes += by
	en.report()
}

// partBytes is how much of a KV cache passes a link in one turn.
func (en *Engine) partBytes() int64 {
	return max(1, int64(en.Settings.LinkBytesPerSecond*quantum.Seconds()))
}

func (en *Engine) linkSpan(bytes int64) time.Duration {
	return en.Control.Stretch(span(float64(bytes), en.Settings.LinkBytesPerSecond))
}

func (en *Engine) serveImport(rw http.ResponseWriter, req *http.Request) {
	var od wire.ImportOrder
	if err := standin.ReadJSON(req, maxOrder, &od); err != nil || od.Request == "" || od.From == "" {
		en.decline(rw, backend.BadOrder, 0)
		return
	}
	rn, reason := en.admitImport(od, vmOf(req))
	if reason != "" {
		en.decline(rw, reason, en.Settings.TPOT)
		return
	}
	select {
	case <-rn.done:
	case <-req.Context().Done(): // the work goes on
		return
	}
	en.cutIfDead()
	en.mu.Lock()
	reason = rn.failure
	gone := rn.stage != wire.Imported && rn.stage != sched.Decoding && rn.stage != sched.Ended
	en.mu.Unlock()
	switch {
	case reason != "":
		en.decline(rw, reason, 0)
	case gone:
		rw.WriteHeader(http.StatusGone)
	default:
		standin.WriteJSON(rw, struct{}{})
	}
}

func (en *Engine) admitImport(od wire.ImportOrder, vm board.VMRef) (*run, backend.Reason) {
	en.mu.Lock()
	defer en.mu.Unlock()
	reason := en.admit(board.Decode, od.Request, od.Attempt)
	if reason != "" {
		return nil, reason
	}
	if en.slotsHeld() >= en.Settings.Slots {
		return nil, backend.Full
	}
	rn := en.begin(runKey{od.Request, od.Attempt, board.Decode}, od.Customer, od.Quick, vm)
	rn.slotAt = time.Now()
	rn.rec.KV = od.KV
	en.enter(rn, sched.Transferring)
	en.work.Go(func() { en.receive(rn, od) })
	return rn, ""
}

// receive fetches a KV cache into the memory slot, or frees the slot.
func (en *Engine) receive(rn *run, od wire.ImportOrder) {
	head, err := en.fetch(rn, od)
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.runs[rn.key] != rn {
		return // cancelled meanwhile
	}
	if err != nil {
		rn.failure = backend.TransferFailed
		if de, ok := errors.AsType[backend.DeclinedError](err); ok && de.Reason == backend.NoKV {
			rn.failure = backend.NoKV
		}
		en.finish(rn, TransferFailed)
		return
	}
	rn.kv = kvCache{hash: head.Hash, tokens: head.Tokens, bytes: head.Bytes}
	rn.rec.PromptHash, rn.rec.PromptTokens = head.Hash, head.Tokens
	en.enter(rn, wire.Imported)
	close(rn.done)
}

func (en *Engine) fetch(rn *run, od wire.ImportOrder) (kvHead, error) {
	qy := url.Values{"KV": {od.KV}, "Quick": {strconv.FormatBool(od.Quick)}}
	dest := url.URL{Scheme: "http", Host: od.From, Path: wire.KVPath, RawQuery: qy.Encode()}
	req, err := http.NewRequestWithContext(rn.life, http.MethodGet, dest.String(), nil)
	if err != nil {
		return kvHead{}, fmt.Errorf("fetch KV cache: %w", err)
	}
	rsp, err := backend.Send(rn.life, en.HTTP, backend.Call{Server: od.From, Name: "KV", Request: req, Once: true})
	if err != nil {
		return kvHead{}, fmt.Errorf("fetch KV cache: %w", err)
	}
	defer rsp.Body.Close()
	return en.receiveParts(rn, bufio.NewReader(rsp.Body))
}

// receiveParts takes the parts of a KV cache off the ingress link.
func (en *Engine) receiveParts(rn *run, body io.Reader) (kvHead, error) {
	dec := json.NewDecoder(body)
	var head kvHead
	if err := dec.Decode(&head); err != nil {
		return kvHead{}, fmt.Errorf("read head: %w", errTransfer)
	}
	for left := head.Bytes; ; {
		var part kvPart
		if err := dec.Decode(&part); err != nil {
			return kvHead{}, fmt.Errorf("read part: %w", errTransfer)
		}
		if part.Done && left == 0 {
			return head, nil
		}
		if part.Done || part.Bytes <= 0 || part.Bytes > left {
			return kvHead{}, fmt.Errorf("count parts: %w", errTransfer)
		}
		if err := en.ingress.use(rn, en.linkSpan(part.Bytes), en.Control.Moving); err != nil {
			return kvHead{}, err
		}
		left -= part.Bytes
	}
}
