package fleet

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/rendezvous"
	"alderdyke/internal/topic"
)

// Rank is this VM's place among those that read the store for the others: 0 is
// the first of those that live. It is asked for several times a second and worked
// out once for each view of the fleet.
func (ne *Neighbours) Rank() int {
	view := ne.View()
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.ranked != view {
		ne.ranked, ne.rank = view, ne.rankIn(view)
	}
	return ne.rank
}

// rankIn is the place in a view. Those that are not among the first are alike.
func (ne *Neighbours) rankIn(view *board.Fleet) int {
	first := rendezvous.Top(ne.Name, view.VMs, topic.MaxReaders, mayServeAll(view))
	if len(first) <= 1 {
		return topic.RankAlone
	}
	rank := slices.IndexFunc(first, func(vm board.VM) bool { return vm.ID == ne.Self.ID })
	if rank < 0 {
		return topic.MaxReaders // it is behind all that read, or leaves
	}
	return rank
}

// rankHere is the same for the project's own topic, which is where a VM that
// knows no other learns of them.
func (ne *Neighbours) rankHere() int {
	if others, _ := ne.Others(); len(others) == 0 {
		return 0
	}
	return ne.Rank()
}
