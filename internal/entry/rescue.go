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
	// decodeListMaxAge is the maximum age at which a decode list is reused for
	// further requests. Many callers return at once when VMs are lost, and each
	// listing queries every engine.
	decodeListMaxAge = clock.Second
	// decodeListConcurrency limits the engines that are queried at the same time.
	decodeListConcurrency = 16
	// decodeListAttempts is how often an engine that does not respond in time is
	// queried before it counts as lost, with all that it held. Each query takes
	// at most a second, and a VM that takes over from two others is busy for
	// about that long.
	decodeListAttempts = 3
)

type (
	// decodeList caches the decodes that the engines last reported. The zero value
	// is an empty list.
	decodeList struct {
		mu       sync.Mutex // held while the engines are queried, so that one listing serves all
		listedAt clock.Millis
		complete bool // every engine responded
		byKey    map[requestID][]heldDecode
	}

	// heldDecode is a decode that an engine holds.
	heldDecode struct {
		server  string
		request string // name at the engine
		runner  board.VMRef
	}
)

// find returns the decode of a key. It returns none if the engines hold several,
// because it can't determine which of them produced the caller's part. Sure reports
// whether a decode that was not found is held nowhere: an engine that did not respond
// may hold it, and is queried again the next time.
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

// listDecodes queries all model engines for their decodes, and reports whether each of
// them responded. Other requests use the list too, so the listing does not end with
// the request that caused it.
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
				return nil // other engines may hold the decode
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
	_ = gr.Wait() // the functions return no errors
	return out, all
}

// streamable reports whether the rest of an answer can be read from a run. A decode that
// produced its last token is streamable for as long as the engine lists it.
func streamable(run engine.Running) bool {
	return run.Stage == sched.Decoding || run.Stage == sched.Ended
}

// requestIDOf parses the key from a request's name at an engine, which has the form
// customer/key/attempt.
func requestIDOf(run engine.Running) (requestID, bool) {
	rest, ok := strings.CutPrefix(run.Request, run.Customer+"/")
	end := strings.LastIndexByte(rest, '/')
	if !ok || end < 0 {
		return requestID{}, false
	}
	return requestID{Customer: run.Customer, Key: rest[:end]}, true
}

// recoverable reports whether the caller's answer may be recovered from the engines.
func (rn *run) recoverable() bool {
	return rn.req.Resumed && rn.req.Chat != nil && rn.req.Class.Idempotent
}

// withDecode adds the decode that the engines hold for the runner to a claim whose record
// lacks it, because the runner's report of it may have been lost.
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

// recoverAnswer continues an answer of which the caller has a part, when the record of
// its key was lost with the VMs that kept it, or does not name the decode. The engines
// list their decodes, and for which VM they run. It reports whether the answer has ended.
func (rn *run) recoverAnswer(ctx context.Context) bool {
	if !rn.recoverable() {
		return false
	}
	var givenUp board.VMRef
	tries := 0 // consecutive listings that an engine which may hold the decode did not answer
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

// awaitRunner calls back once the VM that runs the request confirms that it does. A VM
// that was paused or partitioned waits for its caller when it resumes, and abandons the
// request if nobody reads it there.
func (rn *run) awaitRunner(ctx context.Context, runner board.VMRef, back func()) {
	for clock.Sleep(ctx, maxFollowDelay) {
		if rn.runsAt(ctx, runner) {
			back()
			return
		}
	}
}

// runsAt queries a VM whether it runs the request.
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

// takenOver reports whether another VM continues the request, so that this VM must not
// cancel what the engines hold. A VM that was paused may have lost the key without
// notice, so it queries the seats of the key before it cancels for lack of a caller.
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
