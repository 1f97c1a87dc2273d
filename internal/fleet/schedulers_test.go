package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
)

func schedulerIDs(sc *schedulers) []string {
	var out []string
	for _, vm := range sc.vms {
		out = append(out, vm.ID)
	}
	return out
}

// In a small fleet each VM selects engines itself; in a large one three VMs select them for
// all, and all VMs name the same three.
func TestSchedulerSelection(t *testing.T) {
	for _, tc := range []struct{ vms, want int }{{1, 0}, {7, 0}, {maxDirectVMs + 1, 0}, {maxDirectVMs + 2, 3}, {295, 3}, {1000, 3}} {
		vms := largeFleet(tc.vms, 6)
		sc := selectSchedulers(&board.Fleet{Self: vms[0].VMRef, VMs: vms})
		assert.Equal(t, len(sc.vms), tc.want, "%d VMs", tc.vms)
		other := selectSchedulers(&board.Fleet{Self: vms[len(vms)-1].VMRef, VMs: vms})
		assert.DeepEqual(t, schedulerIDs(other), schedulerIDs(sc))
	}
}

// When the first scheduler is dead or leaves, those behind it move up, and a VM without
// any reports yet becomes the last. The death of other VMs changes nothing, and a fleet in
// which many died still counts as large.
func TestSchedulersMoveUp(t *testing.T) {
	vms := largeFleet(60, 6)
	view := &board.Fleet{Self: vms[0].VMRef, VMs: vms}
	before := schedulerIDs(selectSchedulers(view))
	for ix := range vms {
		if vms[ix].ID == before[0] {
			vms[ix].Leaving = true
		}
	}
	after := schedulerIDs(selectSchedulers(view))
	assert.DeepEqual(t, after[:2], before[1:])
	dead := 0
	for ix := range vms {
		keep := vms[ix].ID == after[0] || vms[ix].ID == after[1] || vms[ix].ID == after[2]
		if !keep && dead < 40 {
			vms[ix].Health = board.Dead
			dead++
		}
	}
	assert.DeepEqual(t, schedulerIDs(selectSchedulers(view)), after)
}

// A scheduler requests from those before it and then selects engines itself; all other
// VMs request from the schedulers in order.
func TestSchedulersBeforeSelf(t *testing.T) {
	vms := largeFleet(60, 6)
	view := &board.Fleet{Self: vms[0].VMRef, VMs: vms}
	order := schedulerIDs(selectSchedulers(view))
	for _, tc := range []struct {
		self string
		vms  []string
		here bool
	}{{order[0], nil, true}, {order[1], order[:1], true}, {order[2], order[:2], true}, {"stranger", order, false}} {
		mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: tc.self}}, fleet: &Fleet{}}
		mb.fleet.schedulers.Store(selectSchedulers(view))
		asked, here := mb.SchedulerVMs()
		assert.DeepEqual(t, asked, tc.vms)
		assert.Equal(t, here, tc.here)
	}
	mb := &Member{}
	asked, here := mb.SchedulerVMs()
	assert.Assert(t, len(asked) == 0 && here, "a VM that has not joined selects engines itself")
}
