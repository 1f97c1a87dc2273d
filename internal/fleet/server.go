package fleet

import (
	"context"
	"math"
	"net/netip"
	"slices"

	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// percent is the unit of loads on the wire.
const percent = 100

// serverReply is the answer to a request for a plain server; it is not known if the other
// VM knows too little of the servers.
type serverReply struct {
	allocation balance.Allocation
	known      bool
}

// HasSchedulers reports whether the fleet is large enough to have schedulers.
func (mb *Member) HasSchedulers() bool {
	fl := mb.currentFleet()
	return fl != nil && len(fl.Schedulers()) > 0
}

// AskServer requests a plain server from a scheduler; it fails if the VM is not a scheduler
// any more. The result ok is false if the scheduler knows too little of the servers.
func (mb *Member) AskServer(ctx context.Context, vm string, ask balance.Ask) (an balance.Allocation, ok bool, err error) {
	fl, to, err := mb.schedulerVM(vm)
	if err != nil {
		return balance.Allocation{}, false, err
	}
	rp, err := fl.serverRequests.call(ctx, func(number uint64) error {
		return fl.peers.SendDatagram(to, serverAskToWire(number, ask))
	})
	return rp.allocation, rp.known, err
}

// ReportServer tells a scheduler that a request of this VM has ended at a plain server.
func (mb *Member) ReportServer(vm string, rp balance.Report) {
	if fl, to, err := mb.schedulerVM(vm); err == nil {
		// If the report is lost, the request stops counting by itself.
		_ = fl.peers.SendDatagram(to, serverEndToWire(rp))
	}
}

func (mb *Member) schedulerVM(id string) (*Fleet, board.VM, error) {
	fl := mb.currentFleet()
	if fl == nil {
		return nil, board.VM{}, errNotJoined
	}
	list := fl.Schedulers()
	at := slices.IndexFunc(list, func(other board.VM) bool { return other.ID == id })
	if at < 0 {
		return nil, board.VM{}, errNotScheduler
	}
	return fl, list[at], nil
}

// handleServerMessage handles a message on plain servers, and reports whether it is one.
func (fl *Fleet) handleServerMessage(dg *peerpb.Datagram, from netip.AddrPort) bool {
	switch {
	case dg.GetServerAsk() != nil:
		if fl.OnServerRequest != nil {
			to := board.VM{VMRef: board.VMRef{ID: dg.GetFrom()}, Peer: from.String()}
			// If the reply is lost, the sender chooses by itself.
			_ = fl.peers.SendDatagram(to, fl.answerServerAsk(dg))
		}
	case dg.GetServerAnswer() != nil:
		fl.serverRequests.deliver(dg.GetServerAnswer().GetNumber(), serverReplyFromWire(dg.GetServerAnswer()))
	case dg.GetServerEnd() != nil:
		if fl.OnServerReport != nil {
			fl.OnServerReport(serverReportFromWire(dg.GetFrom(), dg.GetServerEnd()))
		}
	default:
		return false
	}
	return true
}

// answerServerAsk returns the answer to a VM's request.
func (fl *Fleet) answerServerAsk(dg *peerpb.Datagram) *peerpb.Datagram {
	sa := dg.GetServerAsk()
	an, known := fl.OnServerRequest(balance.Ask{VM: dg.GetFrom(), Number: sa.GetRequest(), Service: sa.GetService(), Version: sa.GetVersion(), Excluded: sa.GetSkip()})
	out := &peerpb.ServerAnswer{Number: sa.GetNumber(), Known: known, Server: an.Server, Wait: millisToWire(max(0, an.Wait)),
		Busy: uint32(min(max(0, math.Round(percent*an.Busy)), math.MaxUint32))}
	return &peerpb.Datagram{Body: &peerpb.Datagram_ServerAnswer{ServerAnswer: out}}
}

func serverAskToWire(number uint64, ask balance.Ask) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_ServerAsk{ServerAsk: &peerpb.ServerAsk{Number: number, Request: ask.Number,
		Service: ask.Service, Version: ask.Version, Skip: ask.Excluded}}}
}

func serverReplyFromWire(sa *peerpb.ServerAnswer) serverReply {
	an := balance.Allocation{Server: sa.GetServer(), Wait: clock.Millis(sa.GetWait()), Busy: float64(sa.GetBusy()) / percent}
	return serverReply{allocation: an, known: sa.GetKnown() && an.Server != ""}
}

func serverEndToWire(rp balance.Report) *peerpb.Datagram {
	end := &peerpb.ServerEnd{Request: rp.Number, Server: rp.Server, Took: millisToWire(max(0, rp.Took)), Full: rp.Full, Failed: rp.Failed}
	if ld := rp.Load; ld != nil {
		end.Running, end.Waiting, end.Slots, end.Pace = uint32(ld.Running), uint32(ld.Waiting), uint32(ld.Slots), uint32(ld.Pace)
	}
	return &peerpb.Datagram{Body: &peerpb.Datagram_ServerEnd{ServerEnd: end}}
}

func serverReportFromWire(vm string, end *peerpb.ServerEnd) balance.Report {
	rp := balance.Report{VM: vm, Number: end.GetRequest(), Server: end.GetServer(), Took: clock.Millis(end.GetTook()), Full: end.GetFull(), Failed: end.GetFailed()}
	if end.GetSlots() > 0 {
		rp.Load = &balance.Load{Running: int(end.GetRunning()), Waiting: int(end.GetWaiting()), Slots: int(end.GetSlots()), Pace: int(end.GetPace())}
	}
	return rp
}
