package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/poison"
	"alderdyke/internal/pool"
	"alderdyke/pkg/clock"
)

const (
	// prefillTimeout bounds one prefill. One that is given up is wasted work,
	// so the bound is for engines that are gone.
	prefillTimeout = 1200 * clock.Millis(1)
	// replacedAvoidTime outlasts the registry entry of an engine whose address was reused.
	// The engine there takes reservations for the earlier one, so that each VM
	// that finds out by itself pays for a prefill.
	replacedAvoidTime = 4 * clock.Second
	// generationRetryCost is what another attempt at a generation costs the budget at least:
	// one more decode arrives. A prefill before it is paid for when it is sent.
	generationRetryCost = 1
	// minGenerationRetryTime is the least time in which another attempt at a generation
	// is of use: a place, a prefill and the first event.
	minGenerationRetryTime = 300 * clock.Millis(1)
)

// decoding is a decode that an engine was ordered.
type decoding struct {
	rsp            *http.Response
	orderedAt      clock.Millis // when
	computesPrompt bool         // the engine computes the prompt too
	tokensAhead    int          // tokens of prompts that it had to compute before
	events         int          // that came from it
	promptDone     func()       // is called when the first event came, or the decode failed
	end            func()       // ends the call at the engine
}

// close ends what is left of the decode.
func (dec decoding) close() {
	_ = dec.rsp.Body.Close() // it was read, broke, or is given up
	dec.promptDone()
	dec.end()
}

func (rl *Relay) newDecoding(ex *exchange, pl place, itself bool) decoding {
	dec := decoding{orderedAt: rl.now(), computesPrompt: itself, promptDone: func() {}, end: func() {}}
	if itself {
		rl.mu.Lock()
		dec.tokensAhead = rl.ledger.PromptTokens(dec.orderedAt, pl.server.ID)
		rl.mu.Unlock()
		dec.promptDone = rl.countLocalPrompt(pl, ex.req.Prompt.Tokens)
	}
	return dec
}

// serveGeneration carries a generation: a place first, so that the prompt is not
// computed for nothing; then the prefill; then the decode.
func (rl *Relay) serveGeneration(ctx context.Context, wr http.ResponseWriter, ex *exchange) error {
	defer rl.dropPrompt(ex)
	for number := 1; ; number++ {
		if err := rl.checkPoison(ctx, ex); err != nil {
			return err
		}
		pl, err := rl.findPlace(ctx, ex)
		if err != nil {
			return err
		}
		rn, err := rl.startRun(ctx, ex, pl)
		if err == nil && !rl.awaitRerun(ctx, ex, number, rn) {
			return rl.deliver(ctx, wr, ex, rn)
		}
		if err == nil {
			rl.endRun(rn)
			continue
		}
		rl.leavePlace(pl)
		if err := rl.awaitRetry(ctx, ex, number, generationRetryCost, err, minGenerationRetryTime); err != nil {
			return err
		}
	}
}

// awaitRerun tells whether a generation that its engine failed by its own word is
// begun once more: one that may be resumed may also run again.
func (rl *Relay) awaitRerun(ctx context.Context, ex *exchange, number int, rn *run) bool {
	if rn.rsp.StatusCode < http.StatusInternalServerError || !ex.rt.Resumable {
		return false
	}
	failed := backend.InDoubtError{Server: rn.pl.server.ID, Call: "Send", Status: rn.rsp.StatusCode}
	return rl.awaitRetry(ctx, ex, number, generationRetryCost, failed, minGenerationRetryTime) == nil
}

// startRun has the prompt computed and the decode begun. After an error nothing
// is left at the engines, and the place is the caller's to leave.
func (rl *Relay) startRun(ctx context.Context, ex *exchange, pl place) (*run, error) {
	_, dec, err := rl.startDecode(ctx, ex, pl, ex.req.LastEventID)
	if err != nil {
		return nil, err
	}
	return rl.newRun(ex, pl, dec), nil
}

// startDecode has the prompt computed and the decode begun behind an event. After
// an error nothing is left at the engines.
func (rl *Relay) startDecode(ctx context.Context, ex *exchange, pl place, after string) (Handle, decoding, error) {
	pr, kept := rl.takePrompt(ex)
	if !kept {
		pr = computedPrompt{handle: rl.prefill(ctx, ex, pl), at: rl.now()}
	}
	if rl.Backends().Restarted(pr.handle.Server) {
		pr = computedPrompt{} // another life of the engine may have given the same ID to another prompt
	}
	if err := rl.checkDecode(ctx, ex, pl); err != nil {
		err = backend.NotSentError{Server: pl.server.ID, Call: "Decode", Err: err}
		rl.keepPrompt(ex, pr, err)
		rl.release(ex, pl)
		return Handle{}, decoding{}, err
	}
	dec, err := rl.decode(ctx, ex, pl, pr, after)
	return pr.handle, dec, err
}

// checkDecode tells why a decode at a place is of no use any more; nil if it is.
func (rl *Relay) checkDecode(ctx context.Context, ex *exchange, pl place) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := rl.checkPoison(ctx, ex); err != nil {
		return err
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !rl.poolOf(pl.service).AcceptsWork(rl.now(), pl.server.ID) {
		return errEngineLeaving
	}
	return nil
}

// decode begins a decode at a place. If the engine declines a computed prompt
// it is asked once to compute the prompt itself: the prompt may have lapsed,
// which says nothing of this engine. After an error nothing is left at the
// engines.
func (rl *Relay) decode(ctx context.Context, ex *exchange, pl place, pr computedPrompt, after string) (decoding, error) {
	hd := pr.handle
	op := Options{TimeLeft: rl.timeLeft(ex), Source: hd, Reservation: pl.reservation, LastEventID: after}
	dec, err := rl.sendDecode(ctx, ex, pl, op)
	if _, why := backend.OutcomeOf(err); hd.ID != "" && why == backend.Full && rl.awaitRetry(ctx, ex, 1, 1, err, minGenerationRetryTime) == nil {
		op.Source, op.TimeLeft = Handle{}, rl.timeLeft(ex)
		if dec, err = rl.sendDecode(ctx, ex, pl, op); err == nil {
			rl.avoidDeclined(hd.Server.ID)
			rl.forget(ex, hd)
		}
	}
	if err != nil {
		rl.cleanUpDecode(ctx, ex, pl, pr, err)
		return decoding{}, err
	}
	ex.possibleRuns++
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if po := rl.poolOf(ex.svc.Name); dec.rsp.StatusCode >= http.StatusInternalServerError {
		// One that fails at once looks empty, so that more would go there.
		rl.recordFailure(po, pl.server.ID)
	} else {
		rl.recordRecovery(po, pl.server.ID)
	}
	return dec, nil
}

// sendDecode orders a decode. After an error there is none to be closed.
func (rl *Relay) sendDecode(ctx context.Context, ex *exchange, pl place, op Options) (decoding, error) {
	dec := rl.newDecoding(ex, pl, op.Source.ID == "")
	ctx, dec.end = rl.beginCall(ctx, pl.server)
	fields, err := rl.callWithinBudget(ex, callDecode, pl.server.ID, func() (err error) {
		dec.rsp, err = rl.Servers.Send(ctx, pl.server, ex.req, op)
		return err
	})
	rl.Log.Log(event.RelayDecode, append(fields, event.F("Request", ex.req.ID), event.F("Server", pl.server.ID),
		event.F("After", op.LastEventID), event.F("Prefill", op.Source.Server.ID), event.F("Since", (rl.now()-ex.req.Arrived).String()),
		event.F("Status", statusOf(dec.rsp)), event.F("Error", errorText(err)))...)
	if err != nil {
		if poison.MayHaveCrashed(ctx, err) {
			rl.recordBrokenCall(ctx, ex, pl.server, false, rl.otherRunsAt(pl.server.ID))
		}
		dec.promptDone()
		dec.end()
		return decoding{}, err
	}
	return dec, nil
}

var errEngineLeaving = errors.New("the engine has begun to leave, or rests")

// cleanUpDecode cleans up after a decode that did not begin.
func (rl *Relay) cleanUpDecode(ctx context.Context, ex *exchange, pl place, pr computedPrompt, err error) {
	if !backend.NotRun(err) {
		ex.possibleRuns++
	}
	rl.keepPrompt(ex, pr, err)
	rl.release(ex, pl)
	if _, why := backend.OutcomeOf(err); why == backend.Full {
		rl.avoidDeclined(pl.server.ID)
		return
	}
	rl.recordFault(ctx, ex, pl.server.ID, err)
}

// recordFault notes what a failed call says of an engine. An engine that declines
// what it reserved a place for is about to change its role, or is another engine
// by now, which the other VMs are told.
func (rl *Relay) recordFault(ctx context.Context, ex *exchange, server string, err error) {
	if ctx.Err() != nil || errors.Is(err, errBudget) {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	po := rl.poolOf(ex.svc.Name)
	switch _, why := backend.OutcomeOf(err); why {
	case backend.Unknown:
		po.RejectEntry(server)
		rl.ledger.Avoid(server, rl.now()+replacedAvoidTime)
		rl.notifyUsageChanged()
	case backend.WrongRole:
		po.RejectEntry(server)
	default:
		rl.recordFailure(po, server)
	}
}

// recordFailure has this VM pass an engine over, and the others ask it last. The lock is
// held.
func (rl *Relay) recordFailure(po *pool.Pool, server string) {
	rl.ledger.MarkFailed(server, po.MarkFailed(rl.now(), server))
	rl.notifyUsageChanged()
}

// recordRecovery ends that. The lock is held.
func (rl *Relay) recordRecovery(po *pool.Pool, server string) {
	po.MarkWorking(server)
	rl.ledger.ClearFailed(server)
}

// prefill has the prompt computed for a decode at a place. Without a handle the
// decode engine computes it.
func (rl *Relay) prefill(ctx context.Context, ex *exchange, pl place) Handle {
	for {
		pf, ok := rl.choosePrefill(ex, pl)
		if !ok {
			return Handle{}
		}
		hd, err := rl.prefillAt(ctx, ex, pf)
		if err == nil {
			return hd
		}
		if !notSent(err) || ctx.Err() != nil || errors.Is(err, errBudget) {
			return Handle{}
		}
		// Nothing reached the engine, which is passed over from now on.
	}
}

// choosePrefill chooses the engine that computes a prompt and counts it there;
// none if the decode engine is to do it.
func (rl *Relay) choosePrefill(ex *exchange, pl place) (pool.Prefill, bool) {
	st := pool.StartBudget{Spent: rl.now() - ex.req.Arrived, Objective: ex.rt.Objective}
	pf, itself := rl.assignPrefill(ex, pl, st)
	rl.count("Prompts", map[string]string{"Itself": strconv.FormatBool(itself)})
	if itself {
		rl.Log.Log(event.RelayNoPrefill, event.F("Request", ex.req.ID), event.F("Server", pl.server.ID), event.F("Doubt", pl.doubtful),
			event.F("Best", pf.Server.ID), event.F("Ahead", pf.QueuedTokens), event.F("Would", pf.ExpectedTime.String()), event.F("Spent", st.Spent.String()))
	}
	return pf, !itself
}

// assignPrefill chooses the engine and counts the prompt there, or tells that the
// decode engine computes it itself.
func (rl *Relay) assignPrefill(ex *exchange, pl place, st pool.StartBudget) (pf pool.Prefill, itself bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now, tokens := rl.now(), ex.req.Prompt.Tokens
	po := rl.poolOf(ex.svc.Name)
	pf, ok := rl.prefillForPlace(now, po, pl, tokens)
	// An engine that may be gone first shows that it is there: reservations are
	// taken also when another one answers in its place. Where the budget pays for
	// one more arrival only, that is the decode's.
	if !ok || pl.doubtful || !rl.canPayPrefillAndDecode(ex) || po.ShouldPrefillAtDecoder(pf, tokens, rl.ledger.PromptTokens(now, pl.server.ID), st) {
		return pf, true
	}
	rl.ledger.AddPrompt(pf.Server.ID, tokens)
	rl.notifyUsageChanged()
	return pf, false
}

// prefillForPlace is the engine that was chosen with a place, if it still computes
// prompts, or one that is chosen now. The lock is held.
func (rl *Relay) prefillForPlace(now clock.Millis, po *pool.Pool, pl place, tokens int) (pool.Prefill, bool) {
	if pl.prefill != nil && po.CanPrefill(now, pl.prefill.Server.ID) {
		return *pl.prefill, true
	}
	return rl.findPrefiller(now, po, tokens, pl.server)
}

// findPrefiller chooses the engine that computes a prompt for a decode. The lock is
// held.
func (rl *Relay) findPrefiller(now clock.Millis, po *pool.Pool, tokens int, decode board.BackendServer) (pool.Prefill, bool) {
	return po.ChoosePrefill(now, pool.Prompt{Tokens: tokens, Domain: decode.FailureDomain, QueuedTokens: rl.promptsAt(now),
		LastResort: func(id string) bool { return rl.ledger.Failing(now, id) }})
}

// prefillAt has the prompt computed at an engine.
func (rl *Relay) prefillAt(ctx context.Context, ex *exchange, pf pool.Prefill) (Handle, error) {
	began := rl.now()
	within, end := rl.beginCall(ctx, pf.Server)
	defer end()
	within, stop := context.WithTimeout(within, prefillTimeout.Std())
	defer stop()
	tokens := ex.req.Prompt.Tokens
	var hd Handle
	fields, err := rl.callWithinBudget(ex, callPrefill, pf.Server.ID, func() (err error) {
		hd, err = rl.Servers.Prefill(within, pf.Server, ex.req, rl.timeLeft(ex))
		return err
	})
	took := rl.now() - began
	rl.mu.Lock()
	rl.ledger.AddPrompt(pf.Server.ID, -tokens)
	rl.notifyUsageChanged()
	if err == nil {
		po := rl.poolOf(ex.svc.Name)
		rl.recordRecovery(po, pf.Server.ID)
		po.ObservePrefill(pf, tokens, took)
	}
	rl.mu.Unlock()
	if err != nil {
		if poison.MayHaveCrashed(within, err) {
			rl.recordBrokenCall(ctx, ex, pf.Server, false, poison.UnknownConcurrent)
		}
		rl.recordFault(ctx, ex, pf.Server.ID, err)
	}
	rl.Log.Log(event.RelayPrefill, append(fields, event.F("Request", ex.req.ID), event.F("Server", pf.Server.ID),
		event.F("Ahead", pf.QueuedTokens), event.F("Expected", pf.ExpectedTime.String()), event.F("Took", took.String()), event.F("Error", errorText(err)))...)
	return hd, err
}
