package entry

import (
	"context"
	"errors"
	"fmt"

	"alderdyke/internal/backend"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

// Fractions of the time for which a prefill engine keeps a KV cache.
const (
	// detachedWaitFraction is how long a runner without a stream to its scheduler
	// waits for one before it uses the engine that the grant named.
	detachedWaitFraction = 0.25
	// detachedLimitFraction limits the wait for a transfer without a scheduler; the
	// rest of the time is needed for the import order to reach the engine.
	detachedLimitFraction = 0.9
)

var (
	errRedirected = errors.New("the scheduler chose another decode engine")
	errKVExpired  = errors.New("no decode engine had a free slot while the KV cache was kept")
)

// transferKV transfers the KV cache to the decode engine that the scheduler chooses, and
// to another one if that one refuses it or the transfer stalls.
func (ma *modelAttempt) transferKV(ctx context.Context) error {
	now := ma.rn.vm.Clock.Now()
	if err := ma.awaitDecodeChoice(ctx, now); err != nil {
		return err
	}
	for ; ; ma.number++ { // a new number each time, because an engine declines an attempt that was cancelled there
		sc, err := ma.rn.beginCall(ctx, ma.decode, func(context.Context) error { return ma.rn.checkPoison() })
		if err != nil {
			return err
		}
		err = ma.importKV(ctx, sc)
		switch {
		case err == nil || ctx.Err() != nil || errors.Is(err, errPreempted):
			return err
		case errors.Is(err, errRedirected):
			continue
		}
		if _, reason := backend.OutcomeOf(err); reason == backend.NoKV {
			ma.rs.sendEngineState(sched.Lapsed, ma.decode.ID, 0)
		} else {
			ma.rs.sendProgress(sched.Rejected, ma.decode.ID, 0, 0)
		}
		if next := ma.chooseOtherDecode(ctx, now); next != nil {
			return errors.Join(next, err)
		}
	}
}

// retentionPoint returns the time at which the given fraction of the KV cache's retention
// has passed since a time.
func (ma *modelAttempt) retentionPoint(since clock.Millis, part float64) clock.Millis {
	return since + clock.Millis(part*float64(ma.kv.KeptFor))
}

// decisionDeadline returns until when the runner waits for a decision of the scheduler that it
// is connected to, given when the KV cache was computed. At the latest, the scheduler revokes
// the grant when it believes that the KV cache has expired, which does not use up one of the
// request's attempts. It counts from when it is informed, so there must be time for messages.
func (ma *modelAttempt) decisionDeadline(since clock.Millis) clock.Millis {
	return max(ma.retentionPoint(since, 1), ma.rn.vm.Clock.Now()) + ma.rs.timeout()
}

// awaitDecodeChoice waits for the scheduler's final choice of the decode engine, or for its
// decision that none was free while the KV cache was kept. Without a stream to a scheduler
// it continues after a wait with the engine that the grant named.
func (ma *modelAttempt) awaitDecodeChoice(ctx context.Context, since clock.Millis) error {
	if ma.placedLocally {
		return nil
	}
	fr, err := ma.rs.awaitDecision(ctx, ma.retentionPoint(since, detachedWaitFraction))
	if err == nil && fr == nil && ma.rs.connected() {
		fr, err = ma.rs.awaitDecision(ctx, ma.decisionDeadline(since))
	}
	switch {
	case err != nil:
		return failure{"wait for the transfer", err}
	case fr == nil && ma.rs.connected(), fr == nil && ma.decode.ID == "":
		return failure{"wait for the transfer", errKVExpired}
	case fr == nil:
		return nil
	}
	return ma.applyDecision(fr)
}

// chooseOtherDecode finds another decode engine after one refused the KV cache. If the KV
// cache has expired, the scheduler revokes the grant.
func (ma *modelAttempt) chooseOtherDecode(ctx context.Context, since clock.Millis) error {
	if ma.placedLocally {
		return ma.setDecode(ma.rn.vm.redirectByReports(ctx, ma.rs.ask, ma.decode.ID))
	}
	until := ma.retentionPoint(since, detachedLimitFraction)
	if ma.rs.connected() {
		until = ma.decisionDeadline(since)
	}
	fr, err := ma.rs.awaitDecision(ctx, until)
	switch {
	case err != nil:
		return failure{"wait for another transfer", err}
	case fr == nil:
		return failure{"wait for another transfer", errKVExpired}
	}
	return ma.applyDecision(fr)
}

func (ma *modelAttempt) applyDecision(fr *peerpb.Frame) error {
	if fr.GetPreempt() != nil {
		return errPreempted
	}
	return ma.setDecode(fr.GetTransfer().GetDecodeServer())
}

func (ma *modelAttempt) setDecode(id string) error {
	srv, ok := ma.rn.vm.server(id)
	if !ok {
		return failure{"use the transfer", fmt.Errorf("%q: %w", id, errUnknownServer)}
	}
	ma.rn.tr.add(event.TransferChosen, id)
	ma.decode = srv
	return nil
}

// importKV has the decode engine fetch the KV cache, in the call sc. It stops when the scheduler chooses
// another engine meanwhile or revokes the grant.
func (ma *modelAttempt) importKV(ctx context.Context, sc sentCall) error {
	ma.rs.sendProgress(sched.Transferring, ma.decode.ID, 0, 0)
	ma.usedEngines[ma.decode.ID] = struct{}{}
	ctx, stop := context.WithTimeout(ctx, importTimeout.Std())
	defer stop()
	done := make(chan error, 1)
	srv, decisions := ma.decode, ma.rs.decisions
	order := engine.ImportOrder{
		Request:  ma.name,
		Customer: ma.rn.id.Customer,
		Attempt:  ma.number,
		Quick:    ma.rn.quick(),
		KV:       ma.kv.KV,
		From:     ma.prefill.Address,
	}
	go func() { done <- ma.rn.vm.Engines.Import(ctx, srv, order) }()
	for {
		select {
		case err := <-done:
			ma.rn.recordCall(ctx, sc, err)
			if _, why := backend.OutcomeOf(err); why == backend.TransferFailed && ctx.Err() == nil {
				ma.rn.recordBrokenCall(ctx, sentCall{server: ma.prefill, holdsRequest: true})
			}
			if err != nil {
				ma.reportDecline(err)
				ma.cancelEngine(srv.ID)
				return failure{"import", err}
			}
			ma.decode.Incarnation = ma.rn.vm.incarnations.Latest(srv.ID) // the one that holds the KV cache
			return nil
		case dec, ok := <-decisions:
			if !ok {
				decisions = nil // the reservation has lost its scheduler
				continue
			}
			if err := ma.abortIfReplaced(dec, srv.ID); err != nil {
				return err
			}
		}
	}
}

// abortIfReplaced aborts an import if a decision of the scheduler replaces its engine or
// its grant.
func (ma *modelAttempt) abortIfReplaced(dec decision, server string) error {
	next := dec.frame.GetTransfer()
	switch {
	case dec.frame.GetPreempt() != nil && ma.rs.recordPreempt(dec):
		ma.cancelEngine(server)
		return errPreempted
	case next != nil && next.GetDecodeServer() != server && ma.rs.valid(dec):
		ma.cancelEngine(server)
		if err := ma.setDecode(next.GetDecodeServer()); err != nil {
			return err
		}
		return errRedirected
	default:
		return nil
	}
}
