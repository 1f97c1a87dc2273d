package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/register"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

// A store that was restored without the lease record must not give the lease to a second
// VM while the first still relies on that record: all VMs wait until it has certainly
// ended.
func TestLeaseLostByStore(t *testing.T) {
	data := func(id string) []byte {
		value, err := json.Marshal(register.Lease{Holder: id, Duration: 4 * clock.Second})
		assert.NilError(t, err)
		entry, err := json.Marshal(leaseEntry{ID: id, Value: value})
		assert.NilError(t, err)
		return entry
	}
	vmRecord := topic.Record{Key: vmKeyPrefix + "me", Value: []byte("{}"), Offset: topic.Position(1, 3)}
	for _, tc := range []struct {
		name         string
		older        []topic.Record // contents of the copy
		entryRemoved bool
	}{
		{"all records lost", nil, true},
		{"lease lost", []topic.Record{vmRecord}, false},
		{"older lease restored", []topic.Record{vmRecord, {Key: LeaseKey, Value: data("another"), Offset: topic.Position(1, 4)}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: "me"}}, LeaseDuration: 4 * clock.Second}
			mb.Prepare()
			mb.applyRecord(topic.Record{Key: LeaseKey, Value: data("holder"), Offset: 20})
			before := mb.lease.entry
			ho := &register.Holder{Resource: LeaseKey, Self: "me", Rand: rand.New(rand.NewPCG(1, 1)), Duration: 4 * clock.Second}
			ho.Step(0, register.LeaseWanted{Hold: true})
			ho.Step(0, register.LeaseObserved{Entry: before, Known: true})
			now := 20 * clock.Second // that lease ended long before
			mb.storeRestored()
			mb.applySnapshot(tc.older)
			assert.Assert(t, mb.lease.entry.Revision > before.Revision, "a fencing token must not decrease")
			assert.Assert(t, !appends(ho.Step(now, register.LeaseObserved{Entry: mb.lease.entry, Known: true})))
			assert.Assert(t, !appends(ho.Step(now+4*clock.Second, register.LeaseTick{})))
			assert.Assert(t, appends(ho.Step(now+7*clock.Second, register.LeaseTick{})))
			assert.Equal(t, mb.takeEntryRemoved(), tc.entryRemoved, "this VM's entry is written again")
		})
	}
}

func appends(intents []register.HolderIntent) bool {
	for _, in := range intents {
		if _, ok := in.(register.LeaseAppend); ok {
			return true
		}
	}
	return false
}

// A VM that has seen no lease may have been partitioned while another VM took it, so it
// also waits out a lease that the store may have lost.
func TestUnseenLeaseLostByStore(t *testing.T) {
	mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: "me"}}, LeaseDuration: 4 * clock.Second}
	mb.Prepare()
	vmRecord := topic.Record{Key: vmKeyPrefix + "me", Value: []byte("{}"), Offset: topic.Position(1, 3)}
	mb.applySnapshot([]topic.Record{vmRecord})
	ho := &register.Holder{Resource: LeaseKey, Self: "me", Rand: rand.New(rand.NewPCG(1, 1)), Duration: 4 * clock.Second}
	ho.Step(0, register.LeaseObserved{Entry: mb.lease.entry, Known: true})
	now := 20 * clock.Second
	mb.storeRestored()
	vmRecord.Offset = topic.Position(2, 3)
	mb.applySnapshot([]topic.Record{vmRecord})
	ho.Step(now, register.LeaseWanted{Hold: true})
	assert.Assert(t, !appends(ho.Step(now, register.LeaseObserved{Entry: mb.lease.entry, Known: true})))
	assert.Assert(t, !appends(ho.Step(now+4*clock.Second, register.LeaseTick{})))
	assert.Assert(t, appends(ho.Step(now+7*clock.Second, register.LeaseTick{})))
}
