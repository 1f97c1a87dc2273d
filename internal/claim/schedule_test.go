package claim

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
)

// deliverAll delivers all messages of a kind to the VM, including those sent meanwhile.
func (wd *world) deliverAll(to board.VM, kind string) {
	for {
		ix := slices.IndexFunc(wd.packets, func(pk packet) bool {
			return pk.to == to.VMRef && kindOf(pk) == kind
		})
		if ix < 0 {
			return
		}
		wd.take(move{"deliver", ix})
	}
}

func kindOf(pk packet) string {
	switch pk.body.(type) {
	case *peerpb.ClaimAsk:
		return "ask"
	case *peerpb.ClaimReply:
		return "reply"
	case *peerpb.ClaimUpdate:
		return "update"
	default:
		return "handoff"
	}
}

// lateGrant is a schedule in which a seat that has handed over its records is asked by
// a VM that has not yet learned the new table.
func lateGrant(disabled guard) *world {
	sc := *scenarios()["Joined"]
	sc.disabled = disabled
	wd := newWorld(&sc)
	ia, ib, ic, id := 0, 1, 2, 3
	first := slices.IndexFunc(wd.packets, func(pk packet) bool { return pk.asker == 0 })
	wd.take(move{"deliver", first}) // the ask of a to itself
	wd.deliverAll(vmA, "reply")
	wd.take(move{"timeout", 0}) // the ask to b stays in transit
	for _, ix := range []int{ib, ic, id} {
		wd.take(move{"table", ix})
	}
	for _, vm := range []board.VM{vmB, vmC, vmD} {
		wd.deliverAll(vm, "handoff")
	}
	wd.deliverAll(vmC, "ask")
	wd.deliverAll(vmA, "reply")
	wd.take(move{"crash", ia})
	wd.deliverAll(vmA, "ask")
	for range 4 {
		late := slices.IndexFunc(wd.packets, func(pk packet) bool { return pk.asker == 1 && kindOf(pk) == "ask" })
		if late < 0 {
			break
		}
		wd.take(move{"deliver", late})
		wd.deliverAll(vmD, "reply")
	}
	return wd
}

// A seat that has handed over its records grants nothing more under the previous table.
func TestLateGrant(t *testing.T) {
	assert.Equal(t, lateGrant(0).dispatches, 1)
	assert.Equal(t, lateGrant(guardGroup).dispatches, 2)
}

// Random orders of events in worlds that are too large for exhaustive exploration: 7
// VMs in 4 failure domains, up to three tables, crashes, false death verdicts and
// abandoned asks.
func TestRandomSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		wd := newWorld(sc)
		for {
			moves := wd.moves()
			if bad := violation(wd, len(moves) == 0); bad != "" {
				rt.Fatal(bad)
			}
			if len(moves) == 0 {
				return
			}
			wd.take(rapid.SampledFrom(moves).Draw(rt, "move"))
		}
	})
}

func drawScenario(rt *rapid.T) *scenario {
	domains := []string{"aarhus-a", "aarhus-b", "vejle-1", "herning-1"}
	sc := &scenario{
		key:         fmt.Sprint("key-", rapid.IntRange(0, 30).Draw(rt, "key")),
		idempotent:  rapid.Bool().Draw(rt, "idempotent"),
		reports:     rapid.Bool().Draw(rt, "reports"),
		timeouts:    rapid.IntRange(0, 4).Draw(rt, "timeouts"),
		crashes:     rapid.IntRange(0, 3).Draw(rt, "crashes"),
		falseDeaths: rapid.IntRange(0, 2).Draw(rt, "doubts"),
		patience:    45,
	}
	for ix := range 7 {
		sc.start = append(sc.start, vm(fmt.Sprint("vm-", ix), domains[ix%len(domains)], 1))
	}
	now := slices.Clone(sc.start)
	for base := range rapid.IntRange(0, 3).Draw(rt, "tables") {
		for range rapid.IntRange(1, 3).Draw(rt, "replaced") {
			ix := rapid.IntRange(0, len(now)-1).Draw(rt, "VM")
			if now[ix].Incarnation > uint64(base)+1 {
				continue
			}
			now[ix].Incarnation = uint64(base) + 2
			sc.joiners = append(sc.joiners, now[ix])
		}
		sc.tables = append(sc.tables, table(uint64(base)+1, now...))
	}
	for ix := range rapid.IntRange(1, 4).Draw(rt, "askers") {
		sc.askers = append(sc.askers, fmt.Sprint("vm-", (2*ix)%7))
	}
	return sc
}
