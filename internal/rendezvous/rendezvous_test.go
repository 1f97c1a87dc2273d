package rendezvous

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
)

func randomFleet(rnd *rand.Rand) []board.VM {
	var out []board.VM
	domains := 1 + rnd.IntN(9)
	for ix := range rnd.IntN(40) {
		out = append(out, board.VM{
			VMRef:         board.VMRef{ID: fmt.Sprintf("vm-%d", ix), Incarnation: 1},
			FailureDomain: fmt.Sprintf("domain-%d", rnd.IntN(domains)),
			Leaving:       rnd.IntN(4) == 0,
		})
	}
	return out
}

// spreadByRank computes the expected result of Spread from the complete ranking.
func spreadByRank(key string, vms []board.VM, count int) []board.VM {
	out := []board.VM{}
	ranked := Rank(key, vms)
	for _, vm := range ranked {
		same := func(other board.VM) bool { return other.FailureDomain == vm.FailureDomain }
		if len(out) < count && !slices.ContainsFunc(out, same) {
			out = append(out, vm)
		}
	}
	for _, vm := range ranked {
		if len(out) < count && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

func TestSpreadAndFirstMatchRank(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	for round := range 2000 {
		vms, key := randomFleet(rnd), fmt.Sprintf("key-%d", round)
		assert.DeepEqual(t, Spread(key, vms, 3), spreadByRank(key, vms, 3))

		fit := func(vm *board.VM) bool { return !vm.Leaving }
		want := slices.DeleteFunc(Rank(key, vms), func(vm board.VM) bool { return vm.Leaving })
		got, ok := First(key, vms, fit)
		assert.Equal(t, ok, len(want) > 0)
		if ok {
			assert.Equal(t, got, want[0])
		}
	}
}

// Spread and First must not allocate for each VM of the fleet.
func TestAllocationsDoNotGrowWithFleet(t *testing.T) {
	var vms []board.VM
	for ix := range 380 {
		vms = append(vms, board.VM{VMRef: board.VMRef{ID: fmt.Sprintf("vm-%03d", ix)}, FailureDomain: fmt.Sprintf("domain-%d", ix%8)})
	}
	spread := testing.AllocsPerRun(10, func() { Spread("customer\x00key", vms, 3) })
	first := testing.AllocsPerRun(10, func() { First("cell/model/0", vms, func(*board.VM) bool { return true }) })
	assert.Assert(t, spread <= 8 && first <= 8, "%v allocations for Spread, %v for First", spread, first)
}

// Top must return the first VMs of Rank, for any count.
func TestTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []board.VM
		for ix := range rapid.IntRange(0, 40).Draw(t, "vms") {
			vms = append(vms, board.VM{VMRef: board.VMRef{ID: fmt.Sprint(ix)}})
		}
		key := rapid.String().Draw(t, "key")
		count := rapid.IntRange(0, 8).Draw(t, "count")
		fit := func(vm *board.VM) bool { return len(vm.ID) == 1 }
		want := slices.DeleteFunc(Rank(key, vms), func(vm board.VM) bool { return !fit(&vm) })
		assert.DeepEqual(t, Top(key, vms, count, fit), want[:min(count, len(want))])
	})
}
