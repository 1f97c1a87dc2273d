package relay

import (
	"context"
	"errors"
	"net/http"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

const (
	// prefillWithin bounds one prefill: the largest prompts take 200 ms, and
	// half a second of others may be before one. A prefill that is given up is
	// paid for in vain, so the bound is for engines that are gone.
	prefillWithin = 1200 * clock.Millis(1)
	// generateCost is what another attempt at a generation costs the budget: a
	// second prefill and a second decode arrive.
	generateCost = 2
	// generateNeed is the least time in which another attempt at a generation
	// is of use: a place, a prefill and the first event.
	generateNeed = 300 * clock.Millis(1)
)

// generate carries a generation: a place first, so that the prompt is not
// computed for nothing; then the prefill; then the decode.
func (rl *Relay) generate(ctx context.Context, wr http.ResponseWriter, ex *exchange) error {
	for number := 1; ; number++ {
		pl, err := rl.findPlace(ctx, ex)
		if err != nil {
			return err
		}
		rn, err := rl.start(ctx, ex, pl)
		if err == nil {
			return rl.pass(ctx, wr, ex, rn)
		}
		rl.leavePlace(pl)
		if err := rl.again(ctx, ex, number, generateCost, err, generateNeed); err != nil {
			return err
		}
	}
}

// start has the prompt computed and the decode begun. After an error nothing
// is left at the engines, and the place is the caller's to leave.
func (rl *Relay) start(ctx context.Context, ex *exchange, pl place) (*run, error) {
	hd := rl.prefill(ctx, ex)
	if err := rl.mayDecode(ctx, pl); err != nil {
		rl.forget(ex, hd)
		rl.release(ex, pl)
		return nil, backend.NotSentError{Server: pl.server.ID, Call: "Decode", Err: err}
	}
	rsp, err := rl.decode(ctx, ex, pl, hd, ex.req.After)
	if err != nil {
		return nil, err
	}
	return rl.newRun(ex, pl, rsp), nil
}

// mayDecode tells why a decode at a place is of no use any more; nil if it is.
func (rl *Relay) mayDecode(ctx context.Context, pl place) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !rl.poolOf(pl.service).Stays(pl.server.ID) {
		return errLeft
	}
	return nil
}

// decode begins a decode at a place. If the engine declines a computed prompt
// it is asked once to compute the prompt itself: the prompt may have lapsed,
// which says nothing of this engine. After an error nothing is left at the
// engines.
func (rl *Relay) decode(ctx context.Context, ex *exchange, pl place, hd Handle, after string) (*http.Response, error) {
	op := Options{Left: rl.left(ex), Source: hd, Reservation: pl.reservation, After: after}
	rsp, err := rl.sendDecode(ctx, ex, pl, op)
	if _, why := backend.OutcomeOf(err); hd.ID != "" && why == backend.Full && rl.again(ctx, ex, 1, 1, err, generateNeed) == nil {
		op.Source, op.Left = Handle{}, rl.left(ex)
		if rsp, err = rl.sendDecode(ctx, ex, pl, op); err == nil {
			rl.declined(hd.Server.ID)
			rl.forget(ex, hd)
		}
	}
	if err != nil {
		rl.afterDecode(ctx, ex, pl, hd, err)
		return nil, err
	}
	ex.ran++
	rl.mu.Lock()
	rl.poolOf(ex.svc.Name).Worked(pl.server.ID)
	rl.mu.Unlock()
	return rsp, nil
}

func (rl *Relay) sendDecode(ctx context.Context, ex *exchange, pl place, op Options) (*http.Response, error) {
	rsp, err := rl.Servers.Send(ctx, pl.server, ex.req, op)
	rl.Log.Log(event.RelayDecode, event.F("Request", ex.req.ID), event.F("Server", pl.server.ID), event.F("After", op.After),
		event.F("Prefill", op.Source.Server.ID), event.F("Since", (rl.now()-ex.req.Came).String()), event.F("Error", text(err)))
	return rsp, err
}

var errLeft = errors.New("the engine has begun to leave")

// afterDecode cleans up after a decode that did not begin.
func (rl *Relay) afterDecode(ctx context.Context, ex *exchange, pl place, hd Handle, err error) {
	if !backend.NotRun(err) {
		ex.ran++
	}
	rl.forget(ex, hd)
	rl.release(ex, pl)
	if _, why := backend.OutcomeOf(err); why == backend.Full {
		rl.declined(pl.server.ID)
		return
	}
	rl.fault(ctx, ex, pl.server.ID, err)
}

// fault notes what a failed call says of an engine. An engine that declines
// what it reserved a place for is about to change its role.
func (rl *Relay) fault(ctx context.Context, ex *exchange, server string, err error) {
	if ctx.Err() != nil {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	po := rl.poolOf(ex.svc.Name)
	if _, why := backend.OutcomeOf(err); why == backend.Unknown || why == backend.WrongRole {
		po.Deny(server)
		return
	}
	po.Failed(rl.now(), server)
}

// prefill has the prompt computed, if an engine for that has room. Without a
// handle the decode engine computes it, at half the speed and beside its runs:
// a prompt that waits for long, or is computed twice, costs more.
func (rl *Relay) prefill(ctx context.Context, ex *exchange) Handle {
	rl.mu.Lock()
	po := rl.poolOf(ex.svc.Name)
	now, tokens := rl.now(), ex.req.Prompt.Tokens
	bs, ok := po.Prefiller(now, rl.Settings.PromptsAhead, rl.promptsAt(now))
	if ok {
		rl.ledger.Prompt(bs.ID, tokens)
		rl.usageMoved()
	}
	rl.mu.Unlock()
	if !ok {
		rl.Log.Log(event.RelayNoPrefill, event.F("Request", ex.req.ID))
		return Handle{}
	}
	began := rl.now()
	within, stop := context.WithTimeout(ctx, prefillWithin.Std())
	defer stop()
	hd, err := rl.Servers.Prefill(within, bs, ex.req, rl.left(ex))
	rl.mu.Lock()
	rl.ledger.Prompt(bs.ID, -tokens)
	rl.usageMoved()
	if err == nil {
		po.Worked(bs.ID)
	}
	rl.mu.Unlock()
	if err != nil {
		rl.fault(ctx, ex, bs.ID, err)
	}
	rl.Log.Log(event.RelayPrefill, event.F("Request", ex.req.ID), event.F("Server", bs.ID),
		event.F("Took", (rl.now()-began).String()), event.F("Error", text(err)))
	if err != nil {
		return Handle{}
	}
	return hd
}
