package fleet

import (
	"slices"
	"strings"
	"testing"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
)

// BenchmarkView measures how a VM of 295 processes a new view of the fleet in which one
// other VM has changed.
func BenchmarkView(bb *testing.B) {
	vms := largeFleet(295, 6)
	slices.SortFunc(vms, func(va, vb board.VM) int { return strings.Compare(va.ID, vb.ID) })
	old := &board.Fleet{Self: vms[0].VMRef, VMs: vms}
	now := &board.Fleet{Self: vms[0].VMRef, VMs: slices.Clone(vms)}
	now.VMs[100].Leaving = true
	bb.Run("log", func(bb *testing.B) {
		for bb.Loop() {
			LogChanges(event.Logger{}, old, now)
		}
	})
	bb.Run("schedulers", func(bb *testing.B) {
		for bb.Loop() {
			selectSchedulers(now)
		}
	})
	bb.Run("rank", func(bb *testing.B) {
		mb := &Member{Self: vms[0], TopicName: "t"}
		for bb.Loop() {
			mb.rankInView(now)
		}
	})
}
