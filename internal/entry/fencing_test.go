package entry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	enginesim "alderdyke/internal/standin/engine"
	"alderdyke/pkg/clock"
)

// awaitChange waits until a prefill engine has become a decode engine and returns it.
func (fl *testFleet) awaitChange() *enginesim.Engine {
	fl.t.Helper()
	eventually(fl.t, "a prefill engine changes its role", func() bool { return len(fl.changedEngines()) > 0 })
	return fl.changedEngines()[0]
}

// acceptedFences returns the fencing tokens of the orders that an engine has accepted, in
// order.
func acceptedFences(en *enginesim.Engine) []uint64 {
	var out []uint64
	for _, od := range en.History().Orders {
		if od.Accepted {
			out = append(out, od.Fence)
		}
	}
	return out
}

// A cell that still lacks decode engines after a change takes its lease again and tells
// all engines the new token. The engine that has changed decodes by then: it must not get
// an order to change its role.
func TestTokenIsNoChangeOfRole(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 1, true, quickRoles)
	stop := fl.startCallers(16) // more than the slots of two decode engines
	en := fl.awaitChange()
	changed := acceptedFences(en)
	eventually(t, "the changed engine is told a new token while it decodes", func() bool {
		fences := acceptedFences(en)
		return hasDecoded(en) && fences[len(fences)-1] > changed[len(changed)-1]
	})
	stop()
	checkDrained(t, en)
}

// Engines of earlier versions do not know the order RaiseFence. Their roles still follow
// the load, and each of them is told the token before the change.
func TestRolesFollowTheLoadAtEarlierEngines(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 1, true, quickRoles)
	for _, en := range fl.dp.Engines {
		en.DeclineRaiseFence()
	}
	stop := fl.startCallers(10)
	en := fl.awaitChange()
	eventually(t, "the changed engine decodes", func() bool { return hasDecoded(en) })
	stop()
	orders := en.History().Orders
	changedAt := clock.Millis(0)
	for _, od := range orders {
		if od.Role == board.Decode && changedAt == 0 {
			changedAt = od.At
		}
	}
	for _, other := range fl.dp.Engines {
		hist := other.History()
		assert.Assert(t, len(hist.Orders) > 0, "%s was not told the token", other.ID)
		od := hist.Orders[0]
		assert.Check(t, od.Kind == engine.ChangeRole && od.Role == other.Role && od.Accepted && od.At <= changedAt, "%s: %+v", other.ID, od)
	}
}
