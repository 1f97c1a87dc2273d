package fleet

import (
	"context"
	"net/netip"

	"alderdyke/internal/board"
	"alderdyke/internal/origin"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/rendezvous"
	"alderdyke/pkg/clock"
)

// OriginVMs implements origin.Peers.
func (mb *Member) OriginVMs(id origin.ID, count int, alive bool) []string {
	return originVMs(mb.View(), id, count, alive)
}

// originVMs selects the VMs of a view. This VM takes part in the selection, so that all VMs
// select the same others.
func originVMs(view *board.Fleet, id origin.ID, count int, alive bool) []string {
	var fit []board.VM
	for _, vm := range view.Serving() {
		if !alive || vm.Health == board.Alive && !vm.Leaving {
			fit = append(fit, vm)
		}
	}
	var out []string
	for _, vm := range rendezvous.Spread(id.String(), fit, count) {
		if vm.ID != view.Self.ID {
			out = append(out, vm.ID)
		}
	}
	return out
}

// AskOrigin implements origin.Peers.
func (mb *Member) AskOrigin(ctx context.Context, vm string, rq origin.Request) (origin.Reply, error) {
	fl, to, err := mb.resolvePeer(vm)
	if err != nil {
		return origin.Reply{}, err
	}
	return fl.originRequests.call(ctx, func(number uint64) error {
		return fl.peers.SendDatagram(to, originRequestToWire(number, rq))
	})
}

// handleOriginRequest answers a request at the address that it came from.
func (fl *Fleet) handleOriginRequest(vm string, from netip.AddrPort, oa *peerpb.OriginAsk) {
	rq, ok := originRequestFromWire(oa)
	if !ok || fl.OnOriginRequest == nil {
		return
	}
	to := board.VM{VMRef: board.VMRef{ID: vm}, Peer: from.String()}
	_ = fl.peers.SendDatagram(to, originReplyToWire(oa.GetNumber(), fl.OnOriginRequest(rq))) // the sender repeats its request
}

func originRequestToWire(number uint64, rq origin.Request) *peerpb.Datagram {
	oa := &peerpb.OriginAsk{Number: number, ID: rq.ID[:], Service: rq.Service, Version: rq.Record.Version,
		Life: millisToWire(max(0, rq.Life)), Span: millisToWire(max(0, rq.Span))}
	if rq.Record.Version != "" {
		oa.Service = rq.Record.Service
	}
	return &peerpb.Datagram{Body: &peerpb.Datagram_OriginAsk{OriginAsk: oa}}
}

// originRequestFromWire decodes a request; false if its ID has another length.
func originRequestFromWire(oa *peerpb.OriginAsk) (origin.Request, bool) {
	if len(oa.GetID()) != len(origin.ID{}) {
		return origin.Request{}, false
	}
	rq := origin.Request{ID: origin.ID(oa.GetID()), Life: clock.Millis(oa.GetLife()), Span: clock.Millis(oa.GetSpan())}
	if oa.GetVersion() != "" {
		rq.Record = origin.Record{Service: oa.GetService(), Version: oa.GetVersion()}
	} else {
		rq.Service = oa.GetService()
	}
	return rq, true
}

func originReplyToWire(number uint64, re origin.Reply) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_OriginAnswer{OriginAnswer: &peerpb.OriginAnswer{
		Number: number, Known: re.State == origin.Known, Ambiguous: re.State == origin.Ambiguous,
		Service: re.Record.Service, Version: re.Record.Version, Age: millisToWire(max(0, re.Age)), Sole: re.Sole, Several: re.Several}}}
}

// originReplyFromWire decodes a reply. A record without a version counts as unknown.
func originReplyFromWire(oa *peerpb.OriginAnswer) origin.Reply {
	re := origin.Reply{Sole: oa.GetSole(), Several: oa.GetSeveral()}
	switch {
	case oa.GetAmbiguous():
		re.State = origin.Ambiguous
	case oa.GetKnown() && oa.GetVersion() != "":
		re.State, re.Age = origin.Known, clock.Millis(oa.GetAge())
		re.Record = origin.Record{Service: oa.GetService(), Version: oa.GetVersion()}
	}
	return re
}
