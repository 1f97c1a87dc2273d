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

// Parts of the time that a prefill engine keeps a KV cache.
const (
	// silencePart is how long a runner without a stream to its accountant
	// waits for one before it uses the engine that the grant named.
	silencePart = 0.25
	// keepPart is how long a transfer may be waited for without an accountant;
	// what is left is for the order to reach the engine.
	keepPart = 0.9
	// wordPart is how long an accountant's word is waited for. It counts from
	// when it hears of the KV cache, and takes a request that found no engine
	// back just before the end, without using up one of its attempts.
	wordPart = 1.25
)

var (
	errMoved  = errors.New("the accountant chose another decode engine")
	errLapsed = errors.New("no decode engine had a place while the KV cache was kept")
)

// transfer brings the KV cache to the decode engine that the accountant
// chooses, and to another one if that one refuses it or the transfer stalls.
func (ma *modelAttempt) transfer(ctx context.Context) error {
	now := ma.rn.vm.Clock.Now()
	if err := ma.choose(ctx, now); err != nil {
		return err
	}
	for ; ; ma.number++ { // an engine declines an attempt that it was told to cancel
		if err := ma.rn.checkPoison(); err != nil {
			return err
		}
		err := ma.importKV(ctx)
		switch {
		case err == nil || ctx.Err() != nil || errors.Is(err, errPreempted):
			return err
		case errors.Is(err, errMoved):
			continue
		}
		if _, reason := backend.OutcomeOf(err); reason == backend.NoKV {
			ma.rs.tell(sched.Lapsed, ma.decode.ID, 0)
		} else {
			ma.rs.progress(sched.Rejected, ma.decode.ID, 0, 0)
		}
		if next := ma.chooseAgain(ctx, now); next != nil {
			return errors.Join(next, err)
		}
	}
}

// keptPart is the point at which a part of the time is over for which the KV
// cache is kept since a point.
func (ma *modelAttempt) keptPart(since clock.Millis, part float64) clock.Millis {
	return since + clock.Millis(part*float64(ma.kv.KeptFor))
}

// choose waits for the binding choice of the decode engine, or for the word that
// there was none while the KV cache was kept. Without a stream to an accountant it
// goes on, after a silence, with the engine that the grant named.
func (ma *modelAttempt) choose(ctx context.Context, since clock.Millis) error {
	if ma.alone {
		return nil
	}
	fr, err := ma.rs.decision(ctx, ma.keptPart(since, silencePart))
	if err == nil && fr == nil && ma.rs.connected() {
		fr, err = ma.rs.decision(ctx, ma.keptPart(since, wordPart))
	}
	switch {
	case err != nil:
		return failure{"wait for the transfer", err}
	case fr == nil && ma.rs.connected(), fr == nil && ma.decode.ID == "":
		return failure{"wait for the transfer", errLapsed}
	case fr == nil:
		return nil
	}
	return ma.obey(fr)
}

// chooseAgain finds another decode engine after one refused the KV cache. Where
// that had lapsed, the accountant takes the request back.
func (ma *modelAttempt) chooseAgain(ctx context.Context, since clock.Millis) error {
	if ma.alone {
		return ma.useDecode(ma.rn.vm.redirectAlone(ctx, ma.rs.ask, ma.decode.ID))
	}
	part := keepPart
	if ma.rs.connected() {
		part = wordPart
	}
	fr, err := ma.rs.decision(ctx, ma.keptPart(since, part))
	switch {
	case err != nil:
		return failure{"wait for another transfer", err}
	case fr == nil:
		return failure{"wait for another transfer", errLapsed}
	}
	return ma.obey(fr)
}

func (ma *modelAttempt) obey(fr *peerpb.Frame) error {
	if fr.GetPreempt() != nil {
		return errPreempted
	}
	return ma.useDecode(fr.GetTransfer().GetDecodeServer())
}

func (ma *modelAttempt) useDecode(id string) error {
	srv, ok := ma.rn.vm.server(id)
	if !ok {
		return failure{"use the transfer", fmt.Errorf("%q: %w", id, errUnknown)}
	}
	ma.rn.tr.add(event.TransferChosen, id)
	ma.decode = srv
	return nil
}

// importKV has the decode engine fetch the KV cache, and leaves off when the
// accountant chooses another engine meanwhile or takes the grant back.
func (ma *modelAttempt) importKV(ctx context.Context) error {
	ma.rs.progress(sched.Transferring, ma.decode.ID, 0, 0)
	ma.touched[ma.decode.ID] = struct{}{}
	ctx, stop := context.WithTimeout(ctx, importStall.Std())
	defer stop()
	done := make(chan error, 1)
	srv, said := ma.decode, ma.rs.said
	sc := ma.rn.beginCall(srv)
	go func() {
		done <- ma.rn.vm.Engines.Import(ctx, srv, engine.ImportOrder{
			Request:  ma.name,
			Customer: ma.rn.id.Customer,
			Attempt:  ma.number,
			Quick:    ma.rn.quick(),
			KV:       ma.kv.KV,
			From:     ma.prefill.Address,
		})
	}()
	for {
		select {
		case err := <-done:
			ma.rn.recordCall(ctx, sc, err)
			if _, why := backend.OutcomeOf(err); why == backend.TransferFailed && ctx.Err() == nil {
				ma.rn.recordBrokenCall(ctx, sentCall{server: ma.prefill, held: true})
			}
			if err != nil {
				ma.heed(err)
				ma.letGo(srv.ID)
				return failure{"import", err}
			}
			ma.decode.Incarnation = ma.rn.vm.incarnations.Latest(srv.ID) // which holds the KV cache
			return nil
		case fr, ok := <-said:
			if !ok {
				said = nil // no accountant any more
				continue
			}
			if err := ma.replaced(fr, srv.ID); err != nil {
				return err
			}
		}
	}
}

// replaced leaves an import off if a decision of the accountant puts another
// engine or another grant in its place.
func (ma *modelAttempt) replaced(fr *peerpb.Frame, server string) error {
	pr, next := fr.GetPreempt(), fr.GetTransfer()
	switch {
	case pr != nil && pr.GetAttempt() == ma.rs.attempt:
		ma.letGo(server)
		return errPreempted
	case next != nil && next.GetDecodeServer() != server:
		ma.letGo(server)
		if err := ma.useDecode(next.GetDecodeServer()); err != nil {
			return err
		}
		return errMoved
	default:
		return nil
	}
}
