package fleet

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/rendezvous"
	"alderdyke/internal/topic"
)

// Rank returns this VM's rank among those that read the store for the fleet; 0 is the
// first of the VMs that are alive. It is cached for each view of the fleet, since it is
// called several times a second.
func (mb *Member) Rank() int {
	view := mb.View()
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.rankedView != view {
		mb.rankedView, mb.rank = view, mb.rankInView(view)
	}
	return mb.rank
}

// rankInView returns the rank in a view. All VMs that are not readers have the same rank.
func (mb *Member) rankInView(view *board.Fleet) int {
	first := rendezvous.Top(mb.TopicName, view.VMs, topic.MaxReaders, eligible(view))
	if len(first) <= 1 {
		return topic.RankAlone
	}
	rank := slices.IndexFunc(first, func(vm board.VM) bool { return vm.ID == mb.Self.ID })
	if rank < 0 {
		return topic.MaxReaders // it is not among the readers, or is leaving
	}
	return rank
}

// ownTopicRank is Rank for the fleet's own topic. A VM that knows no other VM has rank 0
// there, because it learns about the others from that topic.
func (mb *Member) ownTopicRank() int {
	if others, _ := mb.Others(); len(others) == 0 {
		return 0
	}
	return mb.Rank()
}
