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
func (mb *Member) Rank() int {
	view := mb.View()
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.rankedView != view {
		mb.rankedView, mb.rank = view, mb.rankInView(view)
	}
	return mb.rank
}

// rankInView is the place in a view. Those that are not among the first are alike.
func (mb *Member) rankInView(view *board.Fleet) int {
	first := rendezvous.Top(mb.TopicName, view.VMs, topic.MaxReaders, eligible(view))
	if len(first) <= 1 {
		return topic.RankAlone
	}
	rank := slices.IndexFunc(first, func(vm board.VM) bool { return vm.ID == mb.Self.ID })
	if rank < 0 {
		return topic.MaxReaders // it is behind all that read, or leaves
	}
	return rank
}

// ownTopicRank is the same for the project's own topic, which is where a VM that
// knows no other learns of them.
func (mb *Member) ownTopicRank() int {
	if others, _ := mb.Others(); len(others) == 0 {
		return 0
	}
	return mb.Rank()
}
