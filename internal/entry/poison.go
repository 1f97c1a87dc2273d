package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/fleet"
	"alderdyke/internal/poison"
	"alderdyke/internal/rendezvous"
	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// pingTries is how often a server that cuts the connection is asked: one connection may
// break on the way.
const pingTries = 2

// startedTellers is how many VMs tell one that has started what it missed.
const startedTellers = 2

// sentCall is a call that carried a request to a server, or read its answer there.
type sentCall struct {
	server   board.BackendServer
	began    clock.Millis // point at which the server was sent the request; zero: not known
	answered bool         // tokens came
}

func (vm *VM) initPoison() {
	gd := &vm.poison
	gd.Clock, gd.Log, gd.Scope = vm.Clock, vm.Log, vm.Scope
	gd.Key = func() []byte { return []byte(vm.Settings.Peer.Secret.Reveal()) }
	gd.Probe = vm.probe
	gd.Backends = vm.Board.Backends
	gd.Tell = vm.spread().TellEnd
	gd.VMs = func() int { return len(vm.Board.Fleet().Serving()) }
}

// spread reaches all VMs by datagrams.
func (vm *VM) spread() fleet.Spread {
	return fleet.Spread{Self: vm.Self.ID, View: vm.Board.Fleet, Peers: vm.Peers}
}

// probe asks a server whether it is there in the incarnation that a call was sent to. A
// decode that a lost VM had started there, in whatever incarnation, must be held still.
func (vm *VM) probe(ctx context.Context, cl poison.Call) poison.Finding {
	if decode, lost := strings.CutPrefix(cl.Instance, lostDecode(cl.Server, "")); lost {
		return vm.probeDecode(ctx, cl.Server, decode)
	}
	var err error
	for range pingTries {
		if err = vm.ping(ctx, cl.Server); err == nil || errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			break
		}
	}
	switch now := vm.incarnations.Of(cl.Server.ID); {
	case errors.Is(err, syscall.ECONNREFUSED):
		return poison.Ended
	case cl.Server.Incarnation == 0 || ctx.Err() != nil:
		return poison.Alive
	case now != cl.Server.Incarnation:
		return poison.Ended
	case unanswered(err):
		return poison.Unanswered
	default:
		return poison.Alive
	}
}

func (vm *VM) probeDecode(ctx context.Context, srv board.BackendServer, decode string) poison.Finding {
	runs, err := vm.Engines.Running(ctx, srv)
	held := slices.ContainsFunc(runs, func(run engine.Running) bool { return run.Request == decode })
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), err == nil && !held:
		return poison.Ended
	case ctx.Err() == nil && unanswered(err):
		return poison.Unanswered
	default:
		return poison.Alive
	}
}

// unanswered tells whether a server took a connection and answered nothing on it.
func unanswered(err error) bool {
	ie, doubt := errors.AsType[backend.InDoubtError](err)
	return doubt && ie.Status == 0
}

func (vm *VM) ping(ctx context.Context, srv board.BackendServer) error {
	if srv.Role == board.Plain {
		return vm.Services.Ping(ctx, srv)
	}
	return vm.Engines.Ping(ctx, srv)
}

// learnIncarnation asks a server that this VM never called for its incarnation, so that
// an end of it is known by the first call.
func (vm *VM) learnIncarnation(srv board.BackendServer) {
	if !vm.incarnations.Missing(srv.ID) {
		return
	}
	vm.wg.Go(func() {
		ctx, stop := context.WithTimeout(vm.runCtx, reportWithin.Std())
		defer stop()
		_ = vm.ping(ctx, srv) // a server that does not answer tells no incarnation
	})
}

// tellStarted tells VMs that have started, or were lost and are back, which requests are
// under suspicion. Two VMs tell each of them, for one may not know.
func (vm *VM) tellStarted(old, now *board.Fleet) {
	if !vm.poison.Any() {
		return
	}
	for _, other := range now.VMs {
		was, _ := old.VM(other.ID)
		known := was.Health == board.Alive && was.Incarnation == other.Incarnation
		if known || other.Health != board.Alive || other.ID == vm.Self.ID || !vm.tells(now, other) {
			continue
		}
		for _, en := range vm.poison.Known() {
			vm.spread().TellEndTo(other, en)
		}
	}
}

// tells tells whether this VM is one of those that tell another what it missed.
func (vm *VM) tells(fl *board.Fleet, other board.VM) bool {
	tellers := rendezvous.Top(other.ID, fl.VMs, startedTellers, func(one *board.VM) bool {
		return one.Health == board.Alive && one.ID != other.ID
	})
	return slices.ContainsFunc(tellers, func(one board.VM) bool { return one.ID == vm.Self.ID })
}

// mark names the request by what is the same at each of its tries.
func (rn *run) mark() suspect.Mark { return rn.vm.poison.Mark(rn.req.Fingerprint) }

// checkPoison refuses a request under which servers ended.
func (rn *run) checkPoison() error {
	if !rn.vm.poison.Any() {
		return nil
	}
	span := rn.vm.poison.Check(rn.mark())
	if span == 0 {
		return nil
	}
	return refusal.Refusal{
		Ran:        refusal.NotRun,
		Reason:     refusal.EndsServers,
		RetryAfter: span,
		Detail:     "servers ended when they ran this request",
	}
}

// recordSuccess notes that a request which this VM ran had its whole answer. That of a
// request which was followed is noted by the VM that ran it, and may be a refusal.
func (rn *run) recordSuccess() {
	if rn.is(running) && rn.vm.poison.Any() {
		rn.vm.poison.RecordSuccess(rn.name(), rn.mark())
	}
}

// recordCall notes how a call ended that carried the request to a server, or read its
// answer there. Where it broke off, it returns when it is known whether the server has
// ended, or soon after.
func (rn *run) recordCall(ctx context.Context, sc sentCall, err error) {
	_, doubt := errors.AsType[backend.InDoubtError](err)
	if !doubt || !poison.Broke(ctx, err) || errors.Is(err, engine.ErrEnded) {
		return
	}
	if sc.server.Incarnation == 0 {
		sc.server.Incarnation = rn.vm.incarnations.Of(sc.server.ID)
	}
	rn.recordBrokenCall(ctx, sc, fmt.Sprintf("%s/%d", sc.server.ID, sc.server.Incarnation))
}

// recordLostDecode notes that a decode which a lost VM had started can't be read. Its
// server is asked for the decode, for nothing is known of the incarnation that began it.
func (rn *run) recordLostDecode(ctx context.Context, sc sentCall, decode string, err error) {
	if _, why := backend.OutcomeOf(err); ctx.Err() == nil && (unreachable(err) || why == backend.Unknown) {
		rn.recordBrokenCall(ctx, sc, lostDecode(sc.server, decode))
	}
}

// lostDecode names what was lost where the incarnation of the server is not known.
func lostDecode(srv board.BackendServer, decode string) string {
	return srv.ID + " decode " + decode
}

func (rn *run) recordBrokenCall(ctx context.Context, sc sentCall, instance string) {
	rn.vm.poison.RecordBrokenCall(ctx, poison.Call{
		Request:  rn.name(),
		Mark:     rn.mark(),
		Server:   sc.server,
		Instance: instance,
		Began:    sc.began,
		Answered: sc.answered,
		Beside:   poison.UnknownBeside,
	})
}

func (rn *run) name() string { return rn.id.Customer + "/" + rn.id.Key }
