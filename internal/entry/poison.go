package entry

import (
	"context"
	"encoding/binary"
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
	// pingAttempts is how often a server that cuts a connection is pinged: a single
	// connection may also break in the network.
	pingAttempts = 2
	// catchUpSenders is how many VMs send a started VM the crash notices that it missed.
	catchUpSenders = 2
)

// sentCall is a call that carried a request to a server, or read its answer there.
type sentCall struct {
	server             board.BackendServer
	holdsRequest       bool         // the server's incarnation is the one that holds the request
	confirmed          bool         // the server reported its incarnation immediately before the call
	incarnationReports uint64       // number of incarnation reports that the server had sent before the call
	began              clock.Millis // time at which the request was sent to the server; zero if unknown
	answered           bool         // tokens were received
}

func (vm *VM) initPoison() {
	gd := &vm.poison
	gd.Clock, gd.Log, gd.Scope = vm.Clock, vm.Log, vm.Scope
	gd.Key = func() []byte { return []byte(vm.Settings.Peer.Secret.Reveal()) }
	gd.Probe, gd.RepeatWait = vm.probe, poison.ProbeEnd
	gd.Backends = vm.Board.Backends
	gd.Broadcast = vm.broadcast().BroadcastReport
	gd.VMs = func() int { return len(vm.Board.Fleet().Serving()) }
}

// broadcast returns the sender of datagrams to all VMs.
func (vm *VM) broadcast() fleet.Broadcaster {
	return fleet.Broadcaster{Self: vm.Self.ID, View: vm.Board.Fleet, Peers: vm.Peers}
}

// probe checks whether a server still runs in the incarnation that a call was sent to.
func (vm *VM) probe(ctx context.Context, cl poison.Call) poison.Finding {
	var err error
	for range pingAttempts {
		if err = vm.ping(ctx, cl.Server); err == nil || ctx.Err() != nil {
			break
		}
	}
	refused, now := errors.Is(err, syscall.ECONNREFUSED), vm.incarnations.Latest(cl.Server.ID)
	switch {
	case ctx.Err() != nil:
		return poison.Unclear
	case cl.InstanceConfirmed && now != cl.Server.Incarnation:
		return poison.Crashed
	case cl.Server.Incarnation != 0 && (refused || noResponse(err)):
		return poison.Unanswered
	case refused:
		return poison.Crashed
	case now != cl.Server.Incarnation || cl.InstanceChanged || cl.Server.Incarnation == 0 && noResponse(err):
		return poison.Unclear
	default:
		return poison.Alive
	}
}

// noResponse reports whether a server accepted a connection but sent no response on it.
func noResponse(err error) bool {
	ie, doubt := errors.AsType[backend.InDoubtError](err)
	return doubt && !ie.Responded()
}

func (vm *VM) ping(ctx context.Context, srv board.BackendServer) error {
	if srv.Role == board.Plain {
		return vm.Services.Ping(ctx, srv)
	}
	return vm.Engines.Ping(ctx, srv)
}

// refreshIncarnation requests a server's incarnation and reports whether it was received.
func (vm *VM) refreshIncarnation(ctx context.Context, srv board.BackendServer) bool {
	ctx, stop := context.WithTimeout(ctx, reportTimeout.Std())
	defer stop()
	before := vm.incarnations.Reports(srv.ID)
	_ = vm.ping(ctx, srv) // a server that does not respond reports no incarnation
	return vm.incarnations.Reports(srv.ID) > before
}

// sendCatchUp sends the requests under suspicion to VMs that have started, or were lost
// and are back. Two VMs send to each of them, because one may not have them all.
func (vm *VM) sendCatchUp(old, now *board.Fleet) {
	if !vm.poison.HasSuspects() {
		return
	}
	for _, other := range now.VMs {
		was, _ := old.VM(other.ID)
		known := was.Health == board.Alive && was.Incarnation == other.Incarnation
		if known || other.Health != board.Alive || other.ID == vm.Self.ID || !vm.isCatchUpSender(now, other) {
			continue
		}
		for _, en := range vm.poison.Snapshot() {
			vm.broadcast().SendReport(other, en)
		}
	}
}

// isCatchUpSender reports whether this VM sends another one the crash notices that it
// missed.
func (vm *VM) isCatchUpSender(fl *board.Fleet, other board.VM) bool {
	senders := rendezvous.Top(other.ID, fl.VMs, catchUpSenders, func(one *board.VM) bool {
		return one.Health == board.Alive && one.ID != other.ID
	})
	return slices.ContainsFunc(senders, func(one board.VM) bool { return one.ID == vm.Self.ID })
}

// marks returns the marks that identify the content of the request, its customer, and the
// system messages that it shares with others. They are the same for all attempts
// at the request, under any key.
func (rn *run) marks() suspect.Marks {
	gd, req := &rn.vm.poison, rn.req
	ms := suspect.Marks{Request: gd.Mark(req.Fingerprint), Customer: gd.Mark([]byte(rn.id.Customer))}
	if req.Chat != nil && req.Chat.PrefixHash != 0 {
		ms.Parts = []suspect.Mark{gd.Mark([]byte(req.Chat.Model), binary.BigEndian.AppendUint64(nil, req.Chat.PrefixHash))}
	}
	return ms
}

// checkPoison refuses a request that crashed servers.
func (rn *run) checkPoison() error {
	if !rn.vm.poison.HasSuspects() {
		return nil
	}
	ms := rn.marks()
	dc := rn.vm.poison.Check(ms)
	if dc.Verdict != suspect.Refused {
		return nil
	}
	what := "this request"
	if dc.Mark != ms.Request {
		what = "requests with these system messages"
	}
	return refusal.Refusal{
		Ran:        refusal.NotRun,
		Reason:     refusal.EndsServers,
		RetryAfter: dc.After,
		Detail:     fmt.Sprintf("servers ended when they ran %s (mark %v, refused for %v)", what, dc.Mark, dc.Since),
	}
}

// recordSuccess records that a request which this VM ran has a complete answer. A
// followed request also ends without an error, even if its answer is a refusal, so it
// does not count.
func (rn *run) recordSuccess() {
	last, _ := rn.st.Last()
	if !rn.hasRole(running) || last.Kind == answer.Refused {
		return
	}
	if ms := rn.marks(); len(ms.Parts) > 0 || rn.vm.poison.HasSuspects() || rn.vm.poison.HasUnresolved() {
		rn.vm.poison.RecordSuccess(rn.keyName(), ms)
	}
}

// beginCall begins a call that carries the request to a server, if check permits it. It
// first requests the server's incarnation if the request is under suspicion, because the
// server may have restarted since its last report: whether it crashes during the call is
// certain only if its incarnation was known before. If none is known and there is no
// suspicion, the incarnation is requested while the call is in progress.
func (rn *run) beginCall(ctx context.Context, srv board.BackendServer, check func(ctx context.Context) error) (sentCall, error) {
	vm, gd := rn.vm, &rn.vm.poison
	sc := sentCall{server: srv, incarnationReports: vm.incarnations.Reports(srv.ID)}
	switch first := vm.incarnations.FirstMissing(srv.ID); {
	case (gd.HasSuspects() || gd.HasUnresolved()) && gd.Suspected(rn.marks()):
		sc.confirmed = vm.refreshIncarnation(ctx, srv)
	case first:
		vm.wg.Go(func() { vm.refreshIncarnation(vm.runCtx, srv) })
	}
	sc.server.Incarnation = vm.incarnations.Latest(srv.ID)
	if err := check(ctx); err != nil {
		return sentCall{}, err
	}
	sc.began = vm.Clock.Now()
	return sc, nil
}

// recordCall records the result of a call that carried the request to a server, or read
// its answer there. If the call broke off, recordCall returns when it is known whether
// the server has crashed, or soon after.
func (rn *run) recordCall(ctx context.Context, sc sentCall, err error) {
	_, doubt := errors.AsType[backend.InDoubtError](err)
	if doubt && poison.MayHaveCrashed(ctx, err) && !errors.Is(err, engine.ErrEnded) {
		rn.recordBrokenCall(ctx, sc)
	}
}

// recordHeldCall records the result of a call that continues with what a server held for
// the request: a server that can't be reached, or holds nothing, may have crashed before
// the call.
func (rn *run) recordHeldCall(ctx context.Context, sc sentCall, err error) {
	_, why := backend.OutcomeOf(err)
	if ctx.Err() == nil && (unreachable(err) || why == backend.Unknown || why == backend.NoKV) {
		rn.recordBrokenCall(ctx, sc)
	}
}

// recordBrokenCall reports a call that broke off to the poison guard, with the incarnation
// of the server that the call reached, as far as it is known.
func (rn *run) recordBrokenCall(ctx context.Context, sc sentCall) {
	certain, before := sc.holdsRequest || sc.confirmed, sc.server.Incarnation
	if !certain {
		sc.server.Incarnation = rn.vm.incarnations.Latest(sc.server.ID)
	}
	rn.vm.poison.RecordBrokenCall(ctx, poison.Call{
		Request:           rn.keyName(),
		Marks:             rn.marks(),
		Server:            sc.server,
		Instance:          fmt.Sprintf("%s/%d", sc.server.ID, sc.server.Incarnation),
		InstanceConfirmed: sc.server.Incarnation != 0 && (certain || rn.vm.incarnations.Reports(sc.server.ID) > sc.incarnationReports),
		InstanceChanged:   before != 0 && before != sc.server.Incarnation,
		SentAt:            sc.began,
		Answered:          sc.answered,
		Concurrent:        poison.UnknownConcurrent,
	})
}

// decodingState returns the state that is reported to the seats of a key for a decode.
func decodingState(srv board.BackendServer, name string) claim.StateChanged {
	return claim.StateChanged{State: claim.Decoding, DecodeServer: srv.ID, DecodeIncarnation: srv.Incarnation, EngineRequest: name}
}

func (rn *run) keyName() string { return rn.id.Customer + "/" + rn.id.Key }
