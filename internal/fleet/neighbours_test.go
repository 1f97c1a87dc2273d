package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/topic"
)

// A VM that sees less than half of the others alive may be the one that is partitioned,
// and the others may have state that it lacks.
func TestOthersDuringPartition(t *testing.T) {
	vm := func(id string, health board.Health) board.VM {
		return board.VM{VMRef: board.VMRef{ID: id, Incarnation: 1}, Health: health}
	}
	for _, tc := range []struct {
		name  string
		vms   []board.VM
		ids   int
		whole bool
	}{
		{"all alive", []board.VM{vm("me", board.Alive), vm("b", board.Alive), vm("c", board.Alive)}, 2, true},
		{"some died", []board.VM{vm("me", board.Alive), vm("b", board.Alive), vm("c", board.Dead), vm("d", board.Suspect)}, 1, true},
		{"partitioned", []board.VM{vm("me", board.Alive), vm("b", board.Suspect), vm("c", board.Dead), vm("d", board.Dead)}, 0, false},
		{"the others have left", []board.VM{vm("me", board.Alive), vm("b", board.Left), vm("c", board.Left)}, 0, true},
		{"not joined", nil, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: "me"}}}
			mb.fleet = &Fleet{}
			mb.fleet.view.Store(&board.Fleet{VMs: tc.vms})
			ids, whole := mb.Others()
			assert.Equal(t, len(ids), tc.ids)
			assert.Equal(t, whole, tc.whole)
		})
	}
}

// The entry of a VM expires once it has been dead, or has left, for long enough without
// interruption; for a VM that returns, the time starts again.
func TestExpiredEntries(t *testing.T) {
	mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: "me"}}, fleet: &Fleet{},
		listed: map[string]vmEntry{"me": {}, "dead": {}, "left": {}, "back": {}, "suspect": {}}}
	see := func(back board.Health) {
		var view board.Fleet
		for id, health := range map[string]board.Health{"me": board.Alive, "dead": board.Dead, "left": board.Left,
			"back": back, "suspect": board.Suspect, "unlisted": board.Dead} {
			view.VMs = append(view.VMs, board.VM{VMRef: board.VMRef{ID: id, Incarnation: 1}, Health: health})
		}
		slices.SortFunc(view.VMs, func(va, vb board.VM) int { return strings.Compare(va.ID, vb.ID) })
		mb.fleet.view.Store(&view)
	}
	see(board.Dead)
	assert.DeepEqual(t, mb.expiredEntries(1000), []string(nil))
	see(board.Alive)
	assert.DeepEqual(t, mb.expiredEntries(2000), []string(nil))
	see(board.Dead)
	assert.DeepEqual(t, mb.expiredEntries(3000), []string(nil))
	assert.DeepEqual(t, mb.expiredEntries(1000+entryRetention), []string{"dead", "left"})
	assert.DeepEqual(t, mb.expiredEntries(3000+entryRetention), []string{"back", "dead", "left"})
}

// A VM whose own entry was removed is notified of it once.
func TestOwnEntryIsRemoved(t *testing.T) {
	mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: "me"}}, listed: make(map[string]vmEntry)}
	mb.applyRecord(topic.Record{Key: "vm/me", Value: []byte(`{"Incarnation":4}`), Offset: 1})
	assert.Assert(t, !mb.takeEntryRemoved())
	mb.applyRecord(topic.Record{Key: "vm/other", Offset: 2})
	assert.Assert(t, !mb.takeEntryRemoved())
	mb.applyRecord(topic.Record{Key: "vm/me", Offset: 3})
	assert.Assert(t, mb.takeEntryRemoved())
	assert.Assert(t, !mb.takeEntryRemoved())
}

// Guards against a late write of a VM's earlier process that replaces the entry of its current
// one: the others keep that one, and the VM writes its entry again for VMs that list the topic.
func TestLateEntryOfEarlierProcess(t *testing.T) {
	mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: "me"}}, listed: make(map[string]vmEntry)}
	for ix, name := range []string{"me", "other"} {
		record := func(incarnation int, offset uint64) topic.Record {
			return topic.Record{Key: "vm/" + name, Value: fmt.Appendf(nil, `{"Incarnation":%d,"Peers":"10.0.0.%d:1"}`, incarnation, incarnation), Offset: offset}
		}
		mb.applyRecord(record(5, uint64(10*ix)))
		mb.applyRecord(record(4, uint64(10*ix+1)))
		assert.Equal(t, mb.listed[name].Incarnation, uint64(5))
		assert.Equal(t, mb.listed[name].Peers, "10.0.0.5:1")
		assert.Equal(t, mb.takeEntryRemoved(), name == "me")
		mb.applyRecord(record(5, uint64(10*ix+2)))
		mb.applyRecord(record(6, uint64(10*ix+3)))
		assert.Equal(t, mb.listed[name].Incarnation, uint64(6))
		assert.Assert(t, !mb.takeEntryRemoved())
	}
}

// A VM that leaves ranks behind all readers; one that sees no other VM alive has RankAlone.
func TestRank(t *testing.T) {
	vm := func(id string, health board.Health, leaving bool) board.VM {
		return board.VM{VMRef: board.VMRef{ID: id, Incarnation: 1}, Health: health, Leaving: leaving}
	}
	rankOf := func(self string, vms ...board.VM) int {
		mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: self}}, TopicName: "t", fleet: &Fleet{}}
		mb.fleet.view.Store(&board.Fleet{VMs: vms})
		return mb.Rank()
	}
	all := []board.VM{vm("a", board.Alive, false), vm("b", board.Alive, false), vm("c", board.Alive, false)}
	ranks := []int{rankOf("a", all...), rankOf("b", all...), rankOf("c", all...)}
	slices.Sort(ranks)
	assert.DeepEqual(t, ranks, []int{0, 1, 2})
	assert.Equal(t, rankOf("a", vm("a", board.Alive, false)), topic.RankAlone)
	assert.Equal(t, rankOf("a", vm("a", board.Alive, false), vm("b", board.Dead, false)), topic.RankAlone)
	assert.Equal(t, rankOf("a", vm("a", board.Alive, true), all[1], all[2]), topic.MaxReaders)
}
