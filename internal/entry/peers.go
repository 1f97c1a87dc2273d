package entry

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/fleet"
	"alderdyke/internal/membership"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// Timeouts and limits of calls to and from other VMs.
const (
	callTimeout      = 1 * clock.Second
	dialTimeout      = 400 * clock.Millis(1)
	handshakeTimeout = 800 * clock.Millis(1)
	// maxPeerStreams limits the streams that one VM may hold open here. Most of
	// them are reservations, which live as long as their running or queued requests.
	maxPeerStreams = 2048
)

// peerHandler serves the streams that other VMs open.
type peerHandler struct{ vm *VM }

// Serve implements peer.Handler. The first frame determines the kind of stream.
func (ph peerHandler) Serve(ctx context.Context, from board.VMRef, cn *peer.Conn) {
	fr, err := cn.Recv()
	if err != nil {
		return
	}
	switch body := fr.GetBody().(type) {
	case *peerpb.Frame_ReserveAsk:
		ph.vm.scheduler.serve(from, body.ReserveAsk, cn)
	case *peerpb.Frame_AttachAsk:
		ph.vm.serveAttach(ctx, body.AttachAsk, cn)
	default:
		reply, err := ph.vm.answerPeer(ctx, fr)
		if err != nil || reply == nil {
			return
		}
		cn.Send(reply)
	}
}

// answerPeer answers requests that have a single reply.
func (vm *VM) answerPeer(ctx context.Context, fr *peerpb.Frame) (*peerpb.Frame, error) {
	switch body := fr.GetBody().(type) {
	case *peerpb.Frame_ClaimAsk:
		return vm.answerClaim(ctx, body.ClaimAsk)
	case *peerpb.Frame_ClaimUpdate:
		vm.updateBook(ctx, body.ClaimUpdate)
		return doneFrame(), nil
	case *peerpb.Frame_ClaimHandoff:
		vm.receiveHandoff(ctx, body.ClaimHandoff)
		return doneFrame(), nil
	case *peerpb.Frame_LogAsk:
		return vm.answerLog(ctx, body.LogAsk), nil
	case *peerpb.Frame_SnapshotAsk:
		return vm.answerSnapshot(ctx, body.SnapshotAsk)
	case *peerpb.Frame_ExplainAsk:
		return vm.answerExplain(body.ExplainAsk), nil
	default:
		return nil, fmt.Errorf("frame %T can't open a stream", fr.GetBody())
	}
}

// handleDatagram dispatches an authenticated datagram. If the queue of the membership
// loop is full, it drops the datagram, as the network may.
func (vm *VM) handleDatagram(dg *peerpb.Datagram, _ netip.AddrPort) {
	vm.broadcast().Forward(dg)
	if dg.GetRequestEnd() != nil || dg.GetPartsAnswered() != nil {
		if re, ok := fleet.ReportFromWire(dg); ok {
			vm.poison.RecordRemote(re)
		}
		return
	}
	select {
	case vm.members.Events <- membership.Received{Datagram: dg}:
	default:
	}
}

// callPeer calls another VM for a single reply; a call to this VM needs no
// connection.
func (vm *VM) callPeer(ctx context.Context, to board.VM, ask *peerpb.Frame) (*peerpb.Frame, error) {
	if to.ID == vm.Self.ID {
		return vm.answerPeer(ctx, ask)
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout.Std())
	defer stop()
	reply, err := vm.Peers.Call(ctx, to, ask)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", to.ID, err)
	}
	return reply, nil
}

// openScheduler opens a stream to the VM that schedules the cell.
func (vm *VM) openScheduler(ctx context.Context, cellName string) (frameStream, error) {
	to, ok := schedulerOf(cellName, vm.Board.Fleet())
	if !ok {
		return nil, errSchedulerAway
	}
	if to.ID == vm.Self.ID {
		near, far := newPipe()
		vm.wg.Go(func() { vm.serveLocal(far) })
		return near, nil
	}
	cn, err := vm.openWithTimeout(ctx, schedulerAckTimeout, to)
	if err != nil {
		return nil, fmt.Errorf("open a stream to the scheduler %s: %w", to.ID, err)
	}
	return cn, nil
}

// openWithTimeout opens a stream. The timeout applies to the opening alone; the stream
// lives until the context ends.
func (vm *VM) openWithTimeout(ctx context.Context, span clock.Millis, to board.VM) (*peer.Conn, error) {
	life, end := context.WithCancelCause(ctx)
	late := time.AfterFunc(span.Std(), func() { end(context.DeadlineExceeded) })
	cn, err := vm.Peers.Open(life, to)
	inTime := late.Stop()
	switch {
	case err != nil:
		end(err)
		return nil, fmt.Errorf("open a stream: %w", err)
	case !inTime:
		cn.Close()
		return nil, fmt.Errorf("open a stream: %w", context.DeadlineExceeded)
	}
	return cn, nil
}

func (vm *VM) serveLocal(cn frameStream) {
	fr, err := cn.Recv()
	if err != nil || fr.GetReserveAsk() == nil {
		cn.Close()
		return
	}
	vm.scheduler.serve(vm.Self, fr.GetReserveAsk(), cn)
}
