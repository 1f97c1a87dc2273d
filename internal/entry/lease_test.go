package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/register"
	"alderdyke/internal/settings"
	"alderdyke/pkg/clock"
)

// testLease is a lease of one VM with the log of its records.
type testLease struct {
	t     *testing.T
	clk   *clock.Manual
	le    *lease
	entry register.Entry
	next  uint64
}

func newTestLease(t *testing.T) *testLease {
	lb := &testLease{t: t, clk: &clock.Manual{}, next: 41}
	lb.clk.Advance(clock.Second)
	vm := &VM{Clock: lb.clk, Self: board.VMRef{ID: strings.Repeat("v", 63), Incarnation: 1_790_000_000_000}, Settings: settings.Default()}
	lb.le = vm.newLease(t.Context(), "m/0", nil)
	lb.step(register.LeaseObserved{Known: true})
	return lb
}

// step passes an event to the lease; the records that it appends are on the log at once.
func (lb *testLease) step(ev register.HolderEvent) {
	lb.t.Helper()
	for _, in := range lb.le.step(lb.clk.Now(), ev) {
		if la, ok := in.(register.LeaseAppend); ok {
			rec, err := register.Parse(lb.next, la.Data)
			assert.NilError(lb.t, err)
			pub := rec.(register.Publish)
			lb.next++
			lb.publishEntry(pub.ID, pub.Value)
		}
	}
}

func (lb *testLease) publishEntry(id string, value json.RawMessage) {
	lb.entry = register.Entry{Key: lb.le.ho.Resource, Revision: lb.next, ID: id, Value: value}
	lb.step(register.LeaseObserved{Entry: lb.entry, Known: true})
}

func TestLeaseExpiresByTheClock(t *testing.T) {
	const margin = 2 * clock.Second
	lb := newTestLease(t)
	assert.Assert(t, !lb.le.mayOrder(lb.next, 0), "the lease is not wanted yet")
	lb.step(register.LeaseWanted{Hold: true})
	token := lb.entry.Revision
	assert.Assert(t, token != 0 && lb.le.mayOrder(token, margin))
	assert.Assert(t, !lb.le.mayOrder(token-1, 0), "a token from before the lease")
	assert.Assert(t, !lb.le.mayOrder(token+1, 0), "a token that was never issued")

	// A paused holder receives no events, but its clock continues.
	lb.clk.Advance(leaseDuration - register.DefaultMargin - margin)
	assert.Assert(t, lb.le.mayOrder(token, 0))
	assert.Assert(t, !lb.le.mayOrder(token, margin), "too little time is left for an engine that does not check tokens")
	lb.clk.Advance(margin)
	assert.Assert(t, !lb.le.mayOrder(token, 0), "the lease has expired")
}

// Orders of a lease stay valid after a renewal, but not after the lease expired and was
// acquired again.
func TestOrdersOutliveRenewalsOnly(t *testing.T) {
	lb := newTestLease(t)
	lb.step(register.LeaseWanted{Hold: true})
	first := lb.entry.Revision
	lb.clk.Advance(leaseDuration / 2)
	lb.step(register.LeaseTick{})
	assert.Assert(t, lb.entry.Revision > first, "the lease was not renewed")
	assert.Assert(t, lb.le.mayOrder(first, 0) && lb.le.mayOrder(lb.entry.Revision, 0))

	lb.next++
	lb.publishEntry("another-vm", json.RawMessage(`{"Holder":"another","Duration":"20s"}`))
	assert.Assert(t, !lb.le.mayOrder(first, 0))
	lb.clk.Advance(2 * leaseDuration)
	lb.step(register.LeaseTick{})
	assert.Assert(t, lb.le.mayOrder(lb.entry.Revision, 0), "the lease was not acquired again")
	assert.Assert(t, !lb.le.mayOrder(first, 0), "an order of the previous lease")
}

// A VM that schedules a cell again starts with a new Holder, whose records must not be
// taken for duplicates.
func TestLeasesHaveDistinctIDs(t *testing.T) {
	lb := newTestLease(t)
	other := lb.le.vm.newLease(t.Context(), "m/0", nil)
	lb.step(register.LeaseWanted{Hold: true})
	one := lb.entry.ID
	other.step(lb.clk.Now(), register.LeaseObserved{Known: true})
	for _, in := range other.step(lb.clk.Now(), register.LeaseWanted{Hold: true}) {
		if la, ok := in.(register.LeaseAppend); ok {
			assert.Assert(t, la.ID != one && len(la.ID) <= register.MaxID, la.ID)
		}
	}
	assert.Assert(t, len(one) <= register.MaxID)
}
