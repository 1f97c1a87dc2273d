package entry

import (
	"context"
	"errors"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// decodeListMaxAge is the age up to which a list of what the engines decode
	// serves further requests: many callers come back at once when VMs are
	// lost, and each list asks every decode engine.
	decodeListMaxAge = clock.Second
	// decodeListConcurrency bounds the engines that are asked at a time.
	decodeListConcurrency = 16
	// decodeListAttempts is how often an engine that does not answer in time is asked
	// before it counts as gone, with all that it held. Each ask takes a second
	// at most; a VM that takes over from two others is busy for about that
	// long.
	decodeListAttempts = 3
)

type (
	// decodeList is what the engines said last of the decodeList that they hold. The
	// zero value knows none.
	decodeList struct {
		mu       sync.Mutex // held while the engines are asked, so that one ask serves all
		listedAt clock.Millis
		complete bool // every engine answered
		byKey    map[requestID][]heldDecode
	}

	// heldDecode is a decode that an engine holds.
	heldDecode struct {
		server  string
		request string // its name at the engine
		runner  board.VMRef
	}
)

// find finds the decode find a key. It finds none if the engines hold several:
// which find them made the caller's part can't be told. Sure tells whether one that
// was not found is held nowhere: an engine that did not answer may hold it, and
// is asked anew the next time.
func (ds *decodeList) find(vm *VM, id requestID) (held heldDecode, found, sure bool) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if now := vm.Clock.Now(); ds.byKey == nil || !ds.complete || now-ds.listedAt >= decodeListMaxAge {
		ds.byKey, ds.complete = vm.listDecodes()
		ds.listedAt = now
	}
	if list := ds.byKey[id]; len(list) == 1 {
		return list[0], true, true
	}
	return heldDecode{}, false, ds.complete
}

// listDecodes asks all decode engines what they hold, and tells whether each
// answered. The list serves other requests too, so it does not end with the one
// that asks for it.
func (vm *VM) listDecodes() (byKey map[requestID][]heldDecode, whole bool) {
	ctx, stop := context.WithTimeout(vm.runCtx, reportTimeout.Std())
	defer stop()
	var (
		mu  sync.Mutex
		gr  errgroup.Group
		out = make(map[requestID][]heldDecode)
		all = true
	)
	gr.SetLimit(decodeListConcurrency)
	for _, srv := range vm.Board.Backends().Servers {
		if srv.Role == board.Plain {
			continue
		}
		gr.Go(func() error {
			runs, err := vm.Engines.Running(ctx, srv)
			if err != nil {
				vm.Log.Log(event.BackendUnreachable, event.F("Server", srv.ID), event.F("Error", err.Error()))
				mu.Lock()
				defer mu.Unlock()
				all = false
				return nil // the other engines may hold what is looked for
			}
			mu.Lock()
			defer mu.Unlock()
			for _, run := range runs {
				if id, ok := requestIDOf(run); ok && streamable(run) {
					out[id] = append(out[id], heldDecode{server: srv.ID, request: run.Request, runner: run.VM})
				}
			}
			return nil
		})
	}
	_ = gr.Wait() // no ask returns an error
	return out, all
}

// streamable tells whether the rest of an answer can be read from a run. That of a
// decode that made its last token can, for as long as the engine lists it.
func streamable(run engine.Running) bool {
	return run.Stage == sched.Decoding || run.Stage == sched.Ended
}

// requestIDOf reads the key out of a request's name at an engine, which is
// customer/key/attempt.
func requestIDOf(run engine.Running) (requestID, bool) {
	rest, ok := strings.CutPrefix(run.Request, run.Customer+"/")
	end := strings.LastIndexByte(rest, '/')
	if !ok || end < 0 {
		return requestID{}, false
	}
	return requestID{Customer: run.Customer, Key: rest[:end]}, true
}

// recoverable tells whether the engines may be asked for the caller's answer.
func (rn *run) recoverable() bool {
	return rn.req.Resumed && rn.req.Chat != nil && rn.req.Class.Idempotent
}

// withDecode adds the decode that the engines hold for the runner to a claim whose
// record does not name it: the runner's word of it may have been lost.
func (rn *run) withDecode(dec claim.Decided) claim.Decided {
	if dec.DecodeServer != "" || !rn.recoverable() {
		return dec
	}
	held, found, _ := rn.vm.decodes.find(rn.vm, rn.id)
	if found && held.runner == dec.Runner {
		dec.DecodeServer, dec.EngineRequest = held.server, held.request
	}
	return dec
}

// recoverAnswer goes on with the answer that the caller has a part of although the
// record of its key was lost with the VMs that kept it, or does not name the
// decode: the engines know what they decode, and for which VM. It tells whether
// the answer has its end.
func (rn *run) recoverAnswer(ctx context.Context) bool {
	if !rn.recoverable() {
		return false
	}
	var givenUp board.VMRef
	tries := 0 // in a row, at an engine that may hold the decode and does not say
	for pause := reopenDelay; ; pause = min(2*pause, maxFollowDelay) {
		held, found, sure := rn.vm.decodes.find(rn.vm, rn.id)
		if tries++; found || sure {
			tries = 0
		}
		if tries > 0 && tries < decodeListAttempts && clock.Sleep(ctx, pause) {
			continue
		}
		if !found || rn.vm.isSelf(held.runner) {
			return false
		}
		dec := claim.Decided{Runner: held.runner, DecodeServer: held.server, EngineRequest: held.request}
		if rn.vm.stoppedServing(held.runner) {
			rn.tr.add(event.RequestTakenOver, held.server)
			return rn.resumeDecode(ctx, dec)
		}
		switch err := rn.followOnce(ctx, dec, &givenUp); {
		case err == nil:
			return true
		case errors.Is(err, errAnswerExpired):
			return false
		}
		if !clock.Sleep(ctx, pause) {
			return false
		}
	}
}

// awaitRunner calls back once the VM that runs the request says that it does.
// A VM that stood still, or was cut off, waits for its caller when it goes on,
// and gives the request up if nobody reads it there.
func (rn *run) awaitRunner(ctx context.Context, runner board.VMRef, back func()) {
	for clock.Sleep(ctx, maxFollowDelay) {
		if rn.runsAt(ctx, runner) {
			back()
			return
		}
	}
}

// runsAt asks a VM whether it runsAt the request.
func (rn *run) runsAt(ctx context.Context, runner board.VMRef) bool {
	to, ok := rn.vm.Board.Fleet().VM(runner.ID)
	if !ok || to.Incarnation != runner.Incarnation {
		return false
	}
	cn, err := rn.vm.openAnswer(ctx, to, rn.id)
	if err != nil {
		return false
	}
	cn.Close()
	return true
}

// takenOver tells whether another VM goes on with the request, so that what
// the engines hold is no longer this VM's to cancel. A VM that stood still may
// have been overtaken unawares: before it cancels for want of a caller, it
// asks the seats of the key.
func (rn *run) takenOver(ctx context.Context) bool {
	if errors.Is(context.Cause(ctx), errKeyLost) {
		return true
	}
	var rf refusal.Refusal
	if !errors.As(context.Cause(ctx), &rf) || rf.Reason != refusal.CallerGone || rn.claimed.ctx.Err() != nil {
		return false
	}
	within, stop := context.WithTimeout(rn.vm.runCtx, claimTimeout.Std())
	defer stop()
	seen := rn.claimed.decisionCount()
	rn.claimed.revalidate()
	dec, err := rn.claimed.awaitDecision(within, seen)
	return err == nil && dec.Verdict == claim.Lost
}
