package fleet

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/limit"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// BroadcastLimit sends a notice of a server's limit to all VMs alive.
func (fl *Fleet) BroadcastLimit(nt limit.Notice) { fl.broadcaster().Broadcast(limitDatagram(nt)) }

func limitDatagram(nt limit.Notice) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_ServerLimit{ServerLimit: limitToWire(nt)}}
}

func limitToWire(nt limit.Notice) *peerpb.ServerLimit {
	return &peerpb.ServerLimit{Server: nt.Server.ID, Incarnation: nt.Server.Incarnation, Rate: nt.Rate, Ended: nt.Ended, Age: millisToWire(max(0, nt.Age))}
}

// limitFromWire decodes a notice; false if it names no server or no rate.
func limitFromWire(sl *peerpb.ServerLimit) (limit.Notice, bool) {
	nt := limit.Notice{Server: limit.Server{ID: sl.GetServer(), Incarnation: sl.GetIncarnation()}, Rate: sl.GetRate(), Ended: sl.GetEnded(), Age: clock.Millis(sl.GetAge())}
	return nt, nt.Server.ID != "" && nt.Rate >= 0 && nt.Rate < limit.MaxRate
}

func (fl *Fleet) handleLimit(dg *peerpb.Datagram) {
	if nt, ok := limitFromWire(dg.GetServerLimit()); ok && fl.OnLimit != nil {
		fl.OnLimit(dg.GetFrom(), nt)
	}
}

// askLimits returns a datagram of membership to be sent. Until this VM knows the limits in
// force, its probes ask for them. These are few, and an Ack follows the limits, so that no
// further message is needed where no limit is in force.
func (fl *Fleet) askLimits(dg *peerpb.Datagram) *peerpb.Datagram {
	if dg.GetProbe() == nil || fl.OnLimitsKnown == nil || fl.limitsKnown.Load() {
		return dg
	}
	asking := proto.CloneOf(dg) // the original may share parts with others
	asking.GetProbe().LimitsAsked = true
	return asking
}

// exchangeLimits sends the limits in force to a VM that asks for them with its probe, before
// the Ack. An Ack of another VM that speaks for itself shows that this one has got them.
func (fl *Fleet) exchangeLimits(dg *peerpb.Datagram, from netip.AddrPort) {
	switch {
	case dg.GetProbe().GetLimitsAsked() && fl.Limits != nil:
		to := board.VM{VMRef: board.VMRef{ID: dg.GetFrom()}, Peer: from.String()}
		for _, nt := range fl.Limits() {
			_ = fl.peers.SendDatagram(to, limitDatagram(nt)) // a lost one is repeated with the next notice to all
		}
	case dg.GetAck() != nil && dg.GetAck().GetTarget() == "" && !dg.GetAck().GetMissed():
		fl.noteLimitsKnown()
	}
}

// noteLimitsKnown calls OnLimitsKnown once.
func (fl *Fleet) noteLimitsKnown() {
	if fl.OnLimitsKnown != nil && !fl.limitsKnown.Swap(true) {
		fl.OnLimitsKnown()
	}
}
