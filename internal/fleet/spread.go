package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/suspect"
)

// maxDirectVMs is the largest number of VMs to which this VM sends a message itself. In a
// larger fleet one VM of each group forwards it, which takes less time
// (BenchmarkBroadcast) and crosses failure domains less often, where traffic costs most.
const maxDirectVMs = 32

// Broadcaster sends messages to the VMs of a fleet. Messages may be lost, and their
// senders repeat them.
type Broadcaster struct {
	Self  string // ID of this VM
	View  func() *board.Fleet
	Peers *peer.Transport
}

func (fl *Fleet) broadcaster() Broadcaster {
	return Broadcaster{Self: fl.Self.ID, View: fl.View, Peers: fl.peers}
}

// Broadcast sends messages, in their order, to each other VM that is alive. In a large
// fleet it sends them to one VM of each group, picked at random for each call, which
// forwards them. If that VM is dead but not yet detected as such, or the datagram is lost,
// its group misses only these messages.
func (br Broadcaster) Broadcast(msgs ...*peerpb.Datagram) {
	living := br.alive(func(vm board.VM) bool { return vm.ID != br.Self })
	if len(living) <= maxDirectVMs {
		br.sendTo(living, msgs)
		return
	}
	for _, gr := range groupsOf(living) {
		head := gr.vms[rand.IntN(len(gr.vms))]
		for _, msg := range msgs {
			msg.Forward = gr.wire
		}
		br.sendTo([]board.VM{head}, msgs)
	}
}

// Forward sends a message to the group that its sender named, if any.
func (br Broadcaster) Forward(msg *peerpb.Datagram) {
	gr, from := msg.GetForward(), msg.GetFrom()
	if gr == nil {
		return
	}
	msg.Forward = nil
	br.sendTo(br.alive(func(vm board.VM) bool {
		return inGroup(gr, vm) && vm.ID != br.Self && vm.ID != from
	}), []*peerpb.Datagram{msg})
}

// BroadcastReport sends what this VM reports about requests to all VMs alive.
func (br Broadcaster) BroadcastReport(re suspect.Report) { br.Broadcast(reportToWire(re)) }

// SendReport sends a report to one VM. The message may be lost.
func (br Broadcaster) SendReport(vm board.VM, re suspect.Report) {
	_ = br.Peers.SendDatagram(vm, reportToWire(re))
}

func (br Broadcaster) sendTo(vms []board.VM, msgs []*peerpb.Datagram) {
	for _, msg := range msgs {
		_ = br.Peers.Broadcast(vms, msg)
	}
}

// alive lists the VMs that are alive and match the predicate.
func (br Broadcaster) alive(want func(vm board.VM) bool) []board.VM {
	var out []board.VM
	for _, vm := range br.View().VMs {
		if vm.Health == board.Alive && vm.Incarnation != 0 && want(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// group holds VMs of one failure domain that get a message through one of them.
type group struct {
	vms  []board.VM
	wire *peerpb.Group
}

// groupsOf divides VMs into groups of at most the square root of their number, so that
// the sender and a forwarding VM send about equally many messages. The groups of a failure
// domain cover all IDs without a gap, so that a VM that the sender does not know yet
// belongs to one of them too.
func groupsOf(vms []board.VM) []group {
	maxSize := int(math.Ceil(math.Sqrt(float64(len(vms)))))
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(va, vb board.VM) int {
		return cmp.Or(cmp.Compare(va.FailureDomain, vb.FailureDomain), cmp.Compare(va.ID, vb.ID))
	})
	var out []group
	for len(sorted) > 0 {
		domain := sorted[0].FailureDomain
		count := slices.IndexFunc(sorted, func(vm board.VM) bool { return vm.FailureDomain != domain })
		if count < 0 {
			count = len(sorted)
		}
		out = append(out, groupsOfDomain(sorted[:count], maxSize)...)
		sorted = sorted[count:]
	}
	return out
}

// groupsOfDomain divides the VMs of one failure domain, sorted by ID, evenly.
func groupsOfDomain(vms []board.VM, maxSize int) []group {
	parts := (len(vms) + maxSize - 1) / maxSize
	out := make([]group, 0, parts)
	after := ""
	for part := range parts {
		some := vms[part*len(vms)/parts : (part+1)*len(vms)/parts]
		gr := group{vms: some, wire: &peerpb.Group{FailureDomain: vms[0].FailureDomain, After: after}}
		if part < parts-1 {
			gr.wire.UpTo = some[len(some)-1].ID
		}
		after = gr.wire.UpTo
		out = append(out, gr)
	}
	return out
}

// inGroup reports whether a VM belongs to a group. The last group of a failure domain has
// no upper bound of IDs, and the first one no lower bound.
func inGroup(gr *peerpb.Group, vm board.VM) bool {
	return vm.FailureDomain == gr.GetFailureDomain() && vm.ID > gr.GetAfter() && (gr.GetUpTo() == "" || vm.ID <= gr.GetUpTo())
}
