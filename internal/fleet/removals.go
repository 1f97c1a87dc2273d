package fleet

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/registry"
	"alderdyke/pkg/clock"
)

// maxRemovalDatagrams bounds what is sent to a VM that asks for removals. The newest come first.
const maxRemovalDatagrams = 16

// AskRemovals makes this VM ask another one for removals of servers' entries, since a listing of
// the store does not contain them.
func (mb *Member) AskRemovals() {
	if fl := mb.currentFleet(); fl != nil {
		fl.removalsKnown.Store(false)
	}
}

// askRemovals returns a datagram of membership to be sent. Until another VM has sent its
// removals, this VM's probes ask for them.
func (fl *Fleet) askRemovals(dg *peerpb.Datagram) *peerpb.Datagram {
	if dg.GetProbe() == nil || fl.OnRemovals == nil || fl.removalsKnown.Load() {
		return dg
	}
	fl.removalsProbe.Store(dg.GetProbe().GetNumber())
	asking := proto.CloneOf(dg) // the original may share parts with others
	asking.GetProbe().RemovalsAsked = true
	return asking
}

// exchangeRemovals sends this VM's removals to a VM that asks for them with its probe, before the
// Ack. The Ack of that probe shows that the other VM has got them.
func (fl *Fleet) exchangeRemovals(dg *peerpb.Datagram, from netip.AddrPort) {
	switch ack := dg.GetAck(); {
	case dg.GetProbe().GetRemovalsAsked() && fl.Removals != nil:
		to := board.VM{VMRef: board.VMRef{ID: dg.GetFrom()}, Peer: from.String()}
		for _, msg := range removalDatagrams(fl.Removals()) {
			_ = fl.peers.SendDatagram(to, msg) // a server listed for lack of a lost one is dropped as its entry expires
		}
	case ack != nil && ack.GetTarget() == "" && !ack.GetMissed() && ack.GetNumber() == fl.removalsProbe.Load():
		fl.removalsKnown.Store(true)
	}
}

func (fl *Fleet) handleRemovals(msg *peerpb.ServerRemovals) {
	if fl.OnRemovals != nil {
		fl.OnRemovals(removalsFromWire(msg))
	}
}

// removalDatagrams encodes removals, the first ones if there are too many.
func removalDatagrams(list []registry.Removal) []*peerpb.Datagram {
	var out []*peerpb.Datagram
	var part *peerpb.ServerRemovals
	for size := 0; len(list) > 0; list = list[1:] {
		rm := removalToWire(list[0])
		if size += proto.Size(rm) + recordOverhead; part == nil || size > maxUpdateBytes {
			if len(out) == maxRemovalDatagrams {
				break
			}
			part, size = &peerpb.ServerRemovals{}, proto.Size(rm)+recordOverhead
			out = append(out, &peerpb.Datagram{Body: &peerpb.Datagram_ServerRemovals{ServerRemovals: part}})
		}
		part.Removals = append(part.Removals, rm)
	}
	return out
}

func removalToWire(rm registry.Removal) *peerpb.ServerRemoval {
	return &peerpb.ServerRemoval{Server: rm.Key, Until: revisionToWire(rm.Until), Age: millisToWire(max(0, rm.Age))}
}

func removalsFromWire(msg *peerpb.ServerRemovals) []registry.Removal {
	var out []registry.Removal
	for _, rm := range msg.GetRemovals() {
		out = append(out, registry.Removal{Key: rm.GetServer(), Until: revisionFromWire(rm.GetUntil()), Age: clock.Millis(rm.GetAge())})
	}
	return out
}
