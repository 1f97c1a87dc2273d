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

// mostDirect is how many VMs this one tells a word by itself. In a larger fleet one
// VM of each group passes it on, which takes less time (BenchmarkWord) and fewer
// crossings between failure domains, where bytes cost most.
const mostDirect = 32

// Spread sends words to the VMs of a fleet. Words between VMs may be lost, and are
// renewed.
type Spread struct {
	Self  string // ID of this VM
	View  func() *board.Fleet
	Peers *peer.Transport
}

func (fl *Fleet) spread() Spread { return Spread{Self: fl.Self.ID, View: fl.View, Peers: fl.peers} }

// TellAll sends words, in their order, to each VM that lives. In a large fleet
// they go to one VM of each group, drawn anew for each call, which passes them
// on: one that is lost, or dead and not known to be, costs its group these words
// alone.
func (sp Spread) TellAll(words ...*peerpb.Datagram) {
	living := sp.living(func(vm board.VM) bool { return vm.ID != sp.Self })
	if len(living) <= mostDirect {
		sp.send(living, words)
		return
	}
	for _, gr := range groupsOf(living) {
		head := gr.vms[rand.IntN(len(gr.vms))]
		for _, word := range words {
			word.Forward = gr.wire
		}
		sp.send([]board.VM{head}, words)
	}
}

// PassOn sends a word to the group that its sender named, if it named one.
func (sp Spread) PassOn(word *peerpb.Datagram) {
	gr, from := word.GetForward(), word.GetFrom()
	if gr == nil {
		return
	}
	word.Forward = nil
	sp.send(sp.living(func(vm board.VM) bool {
		return inGroup(gr, vm) && vm.ID != sp.Self && vm.ID != from
	}), []*peerpb.Datagram{word})
}

// TellEnd tells all VMs that live at which server's end a request was there.
func (sp Spread) TellEnd(en suspect.Crash) { sp.TellAll(endToWire(en)) }

// TellEndTo tells one VM of an end. Words between VMs may be lost.
func (sp Spread) TellEndTo(vm board.VM, en suspect.Crash) { _ = sp.Peers.Datagram(vm, endToWire(en)) }

func (sp Spread) send(vms []board.VM, words []*peerpb.Datagram) {
	for _, word := range words {
		_ = sp.Peers.Broadcast(vms, word)
	}
}

// living lists the VMs that live and are wanted.
func (sp Spread) living(want func(vm board.VM) bool) []board.VM {
	var out []board.VM
	for _, vm := range sp.View().VMs {
		if vm.Health == board.Alive && vm.Incarnation != 0 && want(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// group is VMs of one failure domain that hear a word by one of them.
type group struct {
	vms  []board.VM
	wire *peerpb.Group
}

// groupsOf divides VMs into groups of at most the square root of their number,
// which makes what the sender sends about what one that passes on does. The
// groups of a domain join without a gap, so that a VM that the sender does not
// know yet belongs to one of them too.
func groupsOf(vms []board.VM) []group {
	most := int(math.Ceil(math.Sqrt(float64(len(vms)))))
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
		out = append(out, groupsOfDomain(sorted[:count], most)...)
		sorted = sorted[count:]
	}
	return out
}

// groupsOfDomain divides the VMs of one domain, sorted by ID, evenly.
func groupsOfDomain(vms []board.VM, most int) []group {
	parts := (len(vms) + most - 1) / most
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

// inGroup tells whether a VM belongs to a group. The last group of a domain has
// no upper end.
func inGroup(gr *peerpb.Group, vm board.VM) bool {
	return vm.FailureDomain == gr.GetFailureDomain() && vm.ID > gr.GetAfter() && (gr.GetUpTo() == "" || vm.ID <= gr.GetUpTo())
}
