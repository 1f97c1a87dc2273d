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

var errIncompleteKV = errors.New("KV cache did not arrive completely")

type (
	// kvHead is the first message of a transfer between two stand-ins. The
	// bytes themselves are not sent, only the number of bytes that have passed
	// the link.
	kvHead struct {
		Hash   uint64
		Tokens int
		Base   int // number of output tokens that earlier attempts generated
		Length int // length of the answer; zero if the prompt does not determine it
		Bytes  int64
	}

	// kvPart reports bytes that have passed the link since the last part, or the
	// end of the transfer.
	kvPart struct {
		Bytes int64
		Done  bool
	}
)

// serveKV sends a retained KV cache at the rate of the link.
func (en *Engine) serveKV(rw http.ResponseWriter, req *http.Request) {
	rn := en.pinKV(req.URL.Query().Get("KV"))
	if rn == nil {
		en.decline(rw, backend.NoKV, 0)
		return
	}
	defer en.unpinKV(rn)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer context.AfterFunc(rn.ctx, cancel)()
	tr := &run{seq: rn.seq, ctx: ctx, quick: req.URL.Query().Get("Quick") == "true"}
	en.sendKV(rw, rn, tr)
}

// pinKV returns the run of a retained KV cache, which then does not expire
// before unpinKV, or nil.
func (en *Engine) pinKV(name string) *run {
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

func (en *Engine) unpinKV(rn *run) {
	en.mu.Lock()
	rn.kv.pins--
	en.mu.Unlock()
	en.expireKV(rn)
}

// sendKV writes a KV cache part by part as it passes the egress link. It does
// not hold the link while it writes to the connection.
func (en *Engine) sendKV(rw http.ResponseWriter, rn, tr *run) {
	enc, flush := json.NewEncoder(rw), http.NewResponseController(rw)
	if enc.Encode(kvHead{Hash: rn.kv.hash, Tokens: rn.kv.tokens, Base: rn.kv.base, Length: rn.kv.length, Bytes: rn.kv.bytes}) != nil {
		return
	}
	for part := range en.exportKV(rn, tr) {
		if enc.Encode(part) != nil || flush.Flush() != nil {
			return
		}
		if part.Done {
			en.mu.Lock()
			rn.rec.Exports++
			en.mu.Unlock()
			return
		}
	}
	standin.AbortConnection()
}

// exportKV passes a KV cache over the egress link and sends every part to the
// returned channel. The channel is closed without a last part that is marked
// as done if the transfer is aborted.
func (en *Engine) exportKV(rn, tr *run) <-chan kvPart {
	jb := en.newTransferJob(tr, rn.kv.bytes)
	parts := make(chan kvPart, int(jb.length/quantum)+2) // buffers all parts, so that onProgress does not block
	var sent int64
	jb.onProgress = func(done time.Duration) {
		now := min(rn.kv.bytes, int64(float64(rn.kv.bytes)*float64(done)/float64(jb.length)))
		if now > sent {
			parts <- kvPart{Bytes: now - sent}
			en.addLinkBytes(sent - now)
			sent = now
		}
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.ctx.Err() != nil {
		close(parts)
		return parts
	}
	en.linkBytes += rn.kv.bytes
	en.sampleLoad()
	en.work.Go(func() {
		defer close(parts)
		defer func() { en.addLinkBytes(sent - rn.kv.bytes) }()
		if en.egress.run(jb) == nil {
			parts <- kvPart{Done: true}
		}
	})
	return parts
}

// newTransferJob returns a job that uses the link for a number of bytes and is
// blocked while transfers are stalled.
func (en *Engine) newTransferJob(rn *run, bytes int64) job {
	jb := en.newJob(rn, durationAt(float64(bytes), en.Settings.LinkBytesPerSecond))
	jb.awaitUnblocked = en.Control.AwaitUnstalled
	jb.blocked = func() bool {
		ft := en.Control.Faults()
		return ft.Pause || ft.StallTransfer
	}
	return jb
}

func (en *Engine) addLinkBytes(by int64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.linkBytes += by
	en.sampleLoad()
}

func (en *Engine) serveImport(rw http.ResponseWriter, req *http.Request) {
	var od wire.ImportOrder
	if err := standin.ReadJSON(req, standin.MaxBody, &od); err != nil || od.Request == "" || od.From == "" {
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
	case <-req.Context().Done(): // the work continues without the caller
		return
	}
	en.abortIfLost(rn)
	en.mu.Lock()
	reason = rn.failure
	dropped := rn.stage != wire.Imported && rn.stage != sched.Decoding && rn.stage != sched.Ended
	en.mu.Unlock()
	switch {
	case reason != "":
		en.decline(rw, reason, 0)
	case dropped:
		rw.WriteHeader(http.StatusGone)
	default:
		standin.WriteJSON(rw, struct{}{})
	}
}

// admitImport starts a run with a memory slot and the transfer of its KV cache, or
// returns the reason to decline it.
func (en *Engine) admitImport(od wire.ImportOrder, vm board.VMRef) (*run, backend.Reason) {
	en.mu.Lock()
	defer en.mu.Unlock()
	reason := en.declineReason(board.Decode, od.Request, od.Attempt)
	if reason != "" {
		return nil, reason
	}
	if en.slotsHeld() >= en.Settings.Slots {
		return nil, backend.Full
	}
	rn := en.newRun(runKey{od.Request, od.Attempt, board.Decode}, od.Customer, od.Quick, vm)
	rn.slotSince = time.Now()
	rn.rec.KV = od.KV
	en.setStage(rn, sched.Transferring)
	en.work.Go(func() { en.importKV(rn, od) })
	return rn, ""
}

// importKV fetches a KV cache into the memory slot. It frees the slot if that
// fails.
func (en *Engine) importKV(rn *run, od wire.ImportOrder) {
	head, err := en.fetchKV(rn, od)
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.runs[rn.key] != rn {
		return // cancelled in the meantime
	}
	if err != nil {
		rn.failure = backend.TransferFailed
		if de, ok := errors.AsType[backend.DeclinedError](err); ok && de.Reason == backend.NoKV {
			rn.failure = backend.NoKV
		}
		en.endRun(rn, TransferFailed)
		return
	}
	rn.kv = kvCache{hash: head.Hash, tokens: head.Tokens, base: head.Base, length: head.Length, bytes: head.Bytes}
	rn.rec.PromptHash, rn.rec.PromptTokens = head.Hash, head.Tokens
	en.setStage(rn, wire.Imported)
	close(rn.done)
}

func (en *Engine) fetchKV(rn *run, od wire.ImportOrder) (kvHead, error) {
	qy := url.Values{"KV": {od.KV}, "Quick": {strconv.FormatBool(od.Quick)}}
	dest := url.URL{Scheme: "http", Host: od.From, Path: wire.KVPath, RawQuery: qy.Encode()}
	req, err := http.NewRequestWithContext(rn.ctx, http.MethodGet, dest.String(), nil)
	if err != nil {
		return kvHead{}, fmt.Errorf("fetch KV cache: %w", err)
	}
	rsp, err := backend.Send(rn.ctx, en.HTTP, backend.Call{Server: od.From, Name: "KV", Request: req, FreshConnection: true})
	if err != nil {
		return kvHead{}, fmt.Errorf("fetch KV cache: %w", err)
	}
	defer rsp.Body.Close()
	return en.receiveParts(rn, bufio.NewReader(rsp.Body))
}

// receiveParts passes the parts of a KV cache over the ingress link. The link
// is released between two parts, so that quick runs get at least every second
// turn on it.
func (en *Engine) receiveParts(rn *run, body io.Reader) (kvHead, error) {
	dec := json.NewDecoder(body)
	var head kvHead
	if err := dec.Decode(&head); err != nil {
		return kvHead{}, fmt.Errorf("read head: %w", errIncompleteKV)
	}
	for left := head.Bytes; ; {
		var part kvPart
		if err := dec.Decode(&part); err != nil {
			return kvHead{}, fmt.Errorf("read part: %w", errIncompleteKV)
		}
		if part.Done && left == 0 {
			return head, nil
		}
		if part.Done || part.Bytes <= 0 || part.Bytes > left {
			return kvHead{}, fmt.Errorf("check part size: %w", errIncompleteKV)
		}
		if err := en.ingress.run(en.newTransferJob(rn, part.Bytes)); err != nil {
			return kvHead{}, err
		}
		left -= part.Bytes
	}
}
