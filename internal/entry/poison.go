package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"

	"alderdyke/internal/answer"
	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/engine"
	"alderdyke/internal/fleet"
	"alderdyke/internal/poison"
	"alderdyke/internal/rendezvous"
	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// pingTries is how often a server that cuts the connection is asked: one connection
	// may break on the way.
	pingTries = 2
	// startedTellers is how many VMs tell one that has started what it missed.
	startedTellers = 2
)

// sentCall is a call that carried a request to a server, or read its answer there.
type sentCall struct {
	server   board.BackendServer
	held     bool         // the server's incarnation is the one that holds the request
	told     uint64       // how often the server had told its incarnation before the call
	began    clock.Millis // point at which the server was sent the request; zero: not known
	answered bool         // tokens came
}

func (vm *VM) initPoison() {
	gd := &vm.poison
	gd.Clock, gd.Log, gd.Scope = vm.Clock, vm.Log, vm.Scope
	gd.Key = func() []byte { return []byte(vm.Settings.Peer.Secret.Reveal()) }
	gd.Probe = vm.probe
	gd.Backends = vm.Board.Backends
	gd.Broadcast = vm.spread().TellEnd
	gd.VMs = func() int { return len(vm.Board.Fleet().Serving()) }
}

// spread reaches all VMs by datagrams.
func (vm *VM) spread() fleet.Spread {
	return fleet.Spread{Self: vm.Self.ID, View: vm.Board.Fleet, Peers: vm.Peers}
}

// probe asks a server whether it is there in the incarnation that a call was sent to.
func (vm *VM) probe(ctx context.Context, cl poison.Call) poison.Finding {
	var err error
	for range pingTries {
		if err = vm.ping(ctx, cl.Server); err == nil || ctx.Err() != nil {
			break
		}
	}
	refused, now := errors.Is(err, syscall.ECONNREFUSED), vm.incarnations.Latest(cl.Server.ID)
	switch {
	case ctx.Err() != nil:
		return poison.Alive
	case cl.InstanceConfirmed && now != cl.Server.Incarnation:
		return poison.Crashed
	case cl.Server.Incarnation != 0 && (refused || unanswered(err)):
		return poison.Unanswered
	case refused:
		return poison.Crashed
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

// askIncarnation asks a server for its incarnation while a call to it is under way.
func (vm *VM) askIncarnation(srv board.BackendServer) {
	vm.wg.Go(func() {
		ctx, stop := context.WithTimeout(vm.runCtx, reportWithin.Std())
		defer stop()
		_ = vm.ping(ctx, srv) // a server that does not answer tells no incarnation
	})
}

// tellStarted tells VMs that have started, or were lost and are back, which requests are
// under suspicion. Two VMs tell each of them, for one may not know.
func (vm *VM) tellStarted(old, now *board.Fleet) {
	if !vm.poison.HasSuspects() {
		return
	}
	for _, other := range now.VMs {
		was, _ := old.VM(other.ID)
		known := was.Health == board.Alive && was.Incarnation == other.Incarnation
		if known || other.Health != board.Alive || other.ID == vm.Self.ID || !vm.tellsStarted(now, other) {
			continue
		}
		for _, en := range vm.poison.Snapshot() {
			vm.spread().TellEndTo(other, en)
		}
	}
}

// tellsStarted reports whether this VM is one of those that tell another what it missed.
func (vm *VM) tellsStarted(fl *board.Fleet, other board.VM) bool {
	tellers := rendezvous.Top(other.ID, fl.VMs, startedTellers, func(one *board.VM) bool {
		return one.Health == board.Alive && one.ID != other.ID
	})
	return slices.ContainsFunc(tellers, func(one board.VM) bool { return one.ID == vm.Self.ID })
}

// mark names the request by what is the same at each of its tries.
func (rn *run) mark() suspect.Mark { return rn.vm.poison.Mark(rn.req.Fingerprint) }

// checkPoison refuses a request under which servers ended.
func (rn *run) checkPoison() error {
	if !rn.vm.poison.HasSuspects() {
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

// recordSuccess notes that a request which this VM ran had its whole answer. One that
// was followed ends without an error too, also in a refusal.
func (rn *run) recordSuccess() {
	last, _ := rn.st.Last()
	if rn.is(running) && last.Kind != answer.Refused && rn.vm.poison.HasSuspects() {
		rn.vm.poison.RecordSuccess(rn.name(), rn.mark())
	}
}

// beginCall begins a call that carries the request to a server. The server is asked for
// its incarnation beside it if none is known, or if the request is under suspicion: the
// one that is known may have ended unnoticed.
func (rn *run) beginCall(srv board.BackendServer) sentCall {
	vm := rn.vm
	sc := sentCall{server: srv, began: vm.Clock.Now(), told: vm.incarnations.Reports(srv.ID)}
	if vm.incarnations.FirstMissing(srv.ID) || vm.poison.HasSuspects() && vm.poison.Suspected(rn.mark()) {
		vm.askIncarnation(srv)
	}
	return sc
}

// recordCall notes how a call ended that carried the request to a server, or read its
// answer there. Where it broke off, it returns when it is known whether the server has
// ended, or soon after.
func (rn *run) recordCall(ctx context.Context, sc sentCall, err error) {
	_, doubt := errors.AsType[backend.InDoubtError](err)
	if doubt && poison.MayHaveCrashed(ctx, err) && !errors.Is(err, engine.ErrEnded) {
		rn.recordBrokenCall(ctx, sc)
	}
}

// recordHeld notes how a call ended that goes on with what a server held for the request:
// one that can't be reached, or holds nothing, may have ended before the call.
func (rn *run) recordHeld(ctx context.Context, sc sentCall, err error) {
	_, why := backend.OutcomeOf(err)
	if ctx.Err() == nil && (unreachable(err) || why == backend.Unknown || why == backend.NoKV) {
		rn.recordBrokenCall(ctx, sc)
	}
}

func (rn *run) recordBrokenCall(ctx context.Context, sc sentCall) {
	if !sc.held {
		sc.server.Incarnation = rn.vm.incarnations.Latest(sc.server.ID)
	}
	rn.vm.poison.RecordBrokenCall(ctx, poison.Call{
		Request:           rn.name(),
		Mark:              rn.mark(),
		Server:            sc.server,
		Instance:          fmt.Sprintf("%s/%d", sc.server.ID, sc.server.Incarnation),
		InstanceConfirmed: sc.server.Incarnation != 0 && (sc.held || rn.vm.incarnations.Reports(sc.server.ID) > sc.told),
		SentAt:            sc.began,
		Answered:          sc.answered,
		Concurrent:        poison.UnknownConcurrent,
	})
}

// decodesAt is what the seats of a key are told of a decode.
func decodesAt(srv board.BackendServer, name string) claim.StateChanged {
	return claim.StateChanged{State: claim.Decoding, DecodeServer: srv.ID, DecodeIncarnation: srv.Incarnation, EngineRequest: name}
}

func (rn *run) name() string { return rn.id.Customer + "/" + rn.id.Key }
