package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

func TestDemandThatWasObserved(t *testing.T) {
	po := Pool{engines: map[string]*engine{"f": {}}}
	assert.Equal(t, po.Demand(), usage.Demand{})
	po.Asked(5000, 400)
	assert.Equal(t, po.Demand(), usage.Demand{}, "no prompt was read yet")
	for _, tokens := range []int{2000, 5000, 9000} {
		po.Read(Prefill{Server: board.BackendServer{ID: "f"}}, tokens, clock.Millis(30+tokens/50))
	}
	for range 200 {
		po.Asked(2500, 200)
	}
	dm := po.Demand()
	assert.Assert(t, dm.Decode > 199 && dm.Decode < 202, "later ones count more: %v", dm)
	assert.Assert(t, dm.Seen > 35 && dm.Seen <= 41, "%v", dm)
}
