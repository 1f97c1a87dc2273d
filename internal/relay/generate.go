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
	// prefillTimeout bounds one prefill. The work of a prefill that times out is
	// wasted, so the timeout is meant for engines that no longer answer.
	prefillTimeout = 1200 * clock.Millis(1)
	// prefillTimeoutFactor raises that for an engine with a long queue, as a multiple of
	// the expected time: engines are up to 2.5 times slower than usual for a while, and a
	// prompt that timed out is computed again by its decode engine, whose runs pause.
	prefillTimeoutFactor = 3
	// replacedAvoidTime is how long an engine is avoided whose address was reused; it
	// outlasts the registry entry of that engine. The new engine at the address accepts
	// reservations for the earlier engine, so each VM that has to find out by itself
	// pays for a prefill.
	replacedAvoidTime = 4 * clock.Second
	// generationRetryCost is the minimum that another attempt at a generation costs
	// the budget: one more decode arrives. A prefill before it is paid for when it is
	// sent.
	generationRetryCost = 1
	// minGenerationRetryTime is the least time in which another attempt at a
	// generation is useful: for a place, a prefill and the first event.
	minGenerationRetryTime = 300 * clock.Millis(1)
)

// decoding is a decode that was sent to an engine.
type decoding struct {
	rsp            *http.Response
	server         board.BackendServer // that sends the response
	sentAt         clock.Millis        // when the decode was sent
	computesPrompt bool                // the engine computes the prompt too
	tokensAhead    int                 // tokens of prompts queued at the engine before this one
	events         int                 // received from the decode
	promptDone     func()              // called when the first event came, or the decode failed
	end            func()              // ends the call at the engine
}

// close releases what is left of the decode.
func (dec decoding) close() {
	_ = dec.rsp.Body.Close() // it was read to its end, broke, or is abandoned
	dec.promptDone()
	dec.end()
}

// newDecoding describes a decode that is about to be sent. If the engine computes the
// prompt itself, the prompt is counted there.
func (rl *Relay) newDecoding(ex *exchange, pl place, atDecoder bool) decoding {
	dec := decoding{server: pl.server, sentAt: rl.now(), computesPrompt: atDecoder, promptDone: func() {}, end: func() {}}
	if atDecoder {
		rl.mu.Lock()
		dec.tokensAhead = rl.ledger.PromptTokens(dec.sentAt, pl.server.ID)
		rl.mu.Unlock()
		dec.promptDone = rl.countLocalPrompt(pl, ex.req.Prompt.Tokens)
	}
	return dec
}

// serveGeneration serves a generation: first a place, so that no prompt is computed
// in vain; then the prefill; then the decode.
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
		rl.bindVersion(ex, pl.server)
		rn, err := rl.startRun(ctx, ex, pl)
		if err == nil && !rl.awaitRerun(ctx, ex, number, rn) {
			return rl.deliver(ctx, wr, ex, rn)
		}
		if err == nil {
			rl.endRun(rn)
			continue
		}
		rl.leavePlace(pl)
		if mayGoElsewhere(err) && number < maxDeclinedAttempts {
			continue
		}
		if err := rl.awaitRetry(ctx, ex, number, generationRetryCost, err, minGenerationRetryTime); err != nil {
			return err
		}
	}
}

// awaitRerun reports whether a generation that its engine answered with a failure is
// started again, and waits for the backoff if so. A generation that may be resumed
// may also run again.
func (rl *Relay) awaitRerun(ctx context.Context, ex *exchange, number int, rn *run) bool {
	if rn.rsp.StatusCode < http.StatusInternalServerError || !ex.rt.Resumable {
		return false
	}
	failed := backend.InDoubtError{Server: rn.pl.server.ID, Call: "Send", Status: rn.rsp.StatusCode}
	return rl.awaitRetry(ctx, ex, number, generationRetryCost, failed, minGenerationRetryTime) == nil
}

// startRun has the prompt computed and starts the decode. After an error the engines
// hold nothing for the request, and the caller must leave the place.
func (rl *Relay) startRun(ctx context.Context, ex *exchange, pl place) (*run, error) {
	_, dec, err := rl.startDecode(ctx, ex, pl, ex.req.LastEventID)
	if err != nil {
		return nil, err
	}
	return rl.newRun(ex, pl, dec), nil
}

// startDecode has the prompt computed and starts the decode after an event. After an
// error the engines hold nothing for the request.
func (rl *Relay) startDecode(ctx context.Context, ex *exchange, pl place, after string) (Handle, decoding, error) {
	pr, kept := rl.takePrompt(ex, pl.server.Version)
	if !kept {
		pr = computedPrompt{handle: rl.prefill(ctx, ex, pl), at: rl.now()}
	}
	if rl.Backends().Restarted(pr.handle.Server) {
		pr = computedPrompt{} // another incarnation of the engine may have given the same ID to another prompt
	}
	if err := rl.checkDecode(ctx, pl); err != nil {
		err = backend.NotSentError{Server: pl.server.ID, Call: "Decode", Err: err}
		rl.keepPrompt(ex, pr, err)
		rl.release(ex, pl)
		return Handle{}, decoding{}, err
	}
	dec, err := rl.decode(ctx, ex, pl, pr, after)
	return pr.handle, dec, err
}

// checkDecode returns why a decode at a place is no longer useful, or nil if it is.
func (rl *Relay) checkDecode(ctx context.Context, pl place) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !rl.poolOf(pl.service).AcceptsWork(rl.now(), pl.server.ID) {
		return errEngineLeaving
	}
	return nil
}

// decode starts a decode at a place. If the engine declines a computed prompt, it is
// asked once to compute the prompt itself: the prompt may have expired, which is no
// fault of this engine. After an error the engines hold nothing for the request.
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
		// An engine that fails at once looks empty, which would attract more
		// requests.
		rl.recordFailure(po, pl.server.ID)
	} else {
		rl.recordRecovery(po, pl.server.ID)
	}
	return dec, nil
}

// sendDecode sends a decode. After an error there is nothing to close.
func (rl *Relay) sendDecode(ctx context.Context, ex *exchange, pl place, op Options) (decoding, error) {
	if !rl.claimBody(ex, pl.server.ID) {
		return decoding{}, backend.NotSentError{Server: pl.server.ID, Call: "Send", Err: rl.bodyRefusal(pl.server.ID)}
	}
	dec := rl.newDecoding(ex, pl, op.Source.ID == "")
	ctx, dec.end = rl.beginCall(ctx, ex, pl.server)
	fields, err := rl.callWithinBudget(ctx, ex, callDecode, pl.server.ID, func() (err error) {
		dec.rsp, err = rl.Servers.Send(ctx, pl.server, ex.req, op)
		return err
	})
	rl.Log.Log(event.RelayDecode, append(fields, event.F("Request", ex.req.ID), event.F("Server", pl.server.ID), event.F("Version", pl.server.Version),
		event.F("After", op.LastEventID), event.F("Resumes", ex.req.Resumes), event.F("Prefill", op.Source.Server.ID), event.F("Since", (rl.now()-ex.req.Arrived).String()),
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

// cleanUpDecode cleans up after a decode that did not start.
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

// recordFault records what a failed call shows about an engine. An engine that
// declines a call for which it reserved a place is about to change its role, or was
// replaced by another engine; the other VMs are informed of that.
func (rl *Relay) recordFault(ctx context.Context, ex *exchange, server string, err error) {
	if ctx.Err() != nil || isWithheld(err) {
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

// recordFailure makes this VM skip an engine for a while, and the other VMs ask it
// last. The lock is held.
func (rl *Relay) recordFailure(po *pool.Pool, server string) {
	rl.ledger.MarkFailed(server, po.MarkFailed(rl.now(), server))
	rl.notifyUsageChanged()
}

// recordRecovery ends the effect of recordFailure. The lock is held.
func (rl *Relay) recordRecovery(po *pool.Pool, server string) {
	po.MarkWorking(server)
	rl.ledger.ClearFailed(server)
}

// prefill has the prompt computed for a decode at a place. Without a handle, the
// decode engine computes it.
func (rl *Relay) prefill(ctx context.Context, ex *exchange, pl place) Handle {
	for {
		pf, ok := rl.choosePrefill(ex, pl)
		if !ok {
			return Handle{}
		}
		if _, ok := rl.ensurePermit(ctx, ex, pf.Server.ID, ex.reserve()); !ok && ctx.Err() == nil {
			rl.removePrompt(pf.Server.ID, ex.req.Prompt.Tokens)
			continue
		}
		if !rl.claimBody(ex, pf.Server.ID) {
			rl.removePrompt(pf.Server.ID, ex.req.Prompt.Tokens)
			return Handle{}
		}
		hd, err := rl.prefillAt(ctx, ex, pf)
		if err == nil {
			return hd
		}
		if !notSent(err) || ctx.Err() != nil || isWithheld(err) {
			return Handle{}
		}
		// Nothing reached the engine, which is skipped from now on.
	}
}

// removePrompt stops counting a prompt at an engine that does not compute it.
func (rl *Relay) removePrompt(engine string, tokens int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.AddPrompt(engine, -tokens)
	rl.notifyUsageChanged()
}

// choosePrefill chooses the engine that computes a prompt and counts the prompt
// there. It returns false if the decode engine is to compute it.
func (rl *Relay) choosePrefill(ex *exchange, pl place) (pool.Prefill, bool) {
	st := pool.StartBudget{Spent: rl.now() - ex.req.Arrived, Objective: ex.rt.Objective}
	pf, atDecoder := rl.assignPrefill(ex, pl, st)
	rl.count("Prompts", map[string]string{"Itself": strconv.FormatBool(atDecoder)})
	if atDecoder {
		rl.Log.Log(event.RelayNoPrefill, event.F("Request", ex.req.ID), event.F("Server", pl.server.ID), event.F("Doubt", pl.doubtful), event.F("By", pl.chosenBy),
			event.F("Best", pf.Server.ID), event.F("Ahead", pf.QueuedTokens), event.F("Would", pf.ExpectedTime.String()), event.F("Spent", st.Spent.String()))
	}
	return pf, !atDecoder
}

// assignPrefill chooses the engine and counts the prompt there, or reports that the
// decode engine computes it itself.
func (rl *Relay) assignPrefill(ex *exchange, pl place, st pool.StartBudget) (pf pool.Prefill, atDecoder bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	pf, atDecoder = rl.planPrefill(rl.now(), ex, rl.poolOf(ex.svc.Name), pl, st, rl.canPayPrefillAndDecode)
	if atDecoder {
		return pf, true
	}
	rl.ledger.AddPrompt(pf.Server.ID, ex.req.Prompt.Tokens)
	rl.notifyUsageChanged()
	return pf, false
}

// planPrefill is assignPrefill without counting the prompt. It changes nothing but the random
// numbers of the pool. The function is canPayPrefillAndDecode. The lock is held.
func (rl *Relay) planPrefill(now clock.Millis, ex *exchange, po *pool.Pool, pl place, st pool.StartBudget, paysBoth func(ex *exchange) bool) (pf pool.Prefill, atDecoder bool) {
	if rl.schedulerChoseDecoder(pl) {
		return pool.Prefill{}, true
	}
	pf, ok := rl.prefillForPlace(now, po, pl, ex.req.Prompt.Tokens)
	// An engine that may be down must first show that it is up, because reservations
	// are also accepted by an engine that replaced it. If the budget pays for only
	// one more arrival, that one is for the decode.
	return pf, !ok || pl.doubtful || !paysBoth(ex) || rl.shouldReadAtDecoder(ex, po, pl, pf, st)
}

// prefillForPlace returns the engine that was chosen together with a place, if it
// still computes prompts, or otherwise chooses one. The lock is held.
func (rl *Relay) prefillForPlace(now clock.Millis, po *pool.Pool, pl place, tokens int) (pool.Prefill, bool) {
	if pl.prefill != nil && po.CanPrefill(now, pl.prefill.Server.ID) && pl.prefill.Server.Version == pl.server.Version {
		return *pl.prefill, true
	}
	return rl.findPrefiller(now, po, tokens, pl.server)
}

// findPrefiller chooses the engine that computes a prompt for a decode. The lock is
// held.
func (rl *Relay) findPrefiller(now clock.Millis, po *pool.Pool, tokens int, decode board.BackendServer) (pool.Prefill, bool) {
	return po.ChoosePrefill(now, pool.Prompt{Tokens: tokens, Domain: decode.FailureDomain, Version: decode.Version, QueuedTokens: rl.promptsAt(now),
		LastResort: func(id string) bool { return rl.ledger.Failing(now, id) }})
}

// prefillAt has the prompt computed by an engine.
func (rl *Relay) prefillAt(ctx context.Context, ex *exchange, pf pool.Prefill) (Handle, error) {
	began := rl.now()
	within, end := rl.beginCall(ctx, ex, pf.Server)
	defer end()
	within, stop := context.WithTimeout(within, max(prefillTimeout, prefillTimeoutFactor*pf.ExpectedTime).Std())
	defer stop()
	tokens := ex.req.Prompt.Tokens
	var hd Handle
	fields, err := rl.callWithinBudget(ctx, ex, callPrefill, pf.Server.ID, func() (err error) {
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
	rl.Log.Log(event.RelayPrefill, append(fields, event.F("Request", ex.req.ID), event.F("Server", pf.Server.ID), event.F("Version", pf.Server.Version),
		event.F("Ahead", pf.QueuedTokens), event.F("Expected", pf.ExpectedTime.String()), event.F("Took", took.String()), event.F("Error", errorText(err)))...)
	return hd, err
}
