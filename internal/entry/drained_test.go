package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/actor"
	"alderdyke/internal/board"
	"alderdyke/internal/orders"
	"alderdyke/pkg/clock"
)

// A drain is confirmed only when the scheduling loop has heeded it: the observations from then
// on count the grants that it decided on before.
func TestDrainIsConfirmedAfterEarlierGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr := newTestCell(t)
		hc := cr.hc
		hc.rec = newReconciler(hc)
		hc.cell.Servers = []board.BackendServer{{ID: "p0", Role: board.Prefill}, {ID: "d0", Role: board.Decode}}
		synctest.Wait()
		confirmed := make(chan orders.Drained, 1)
		hc.ord = &orderer{hc: hc, ac: actor.New[orders.Event, orders.Intent](hc.vm.Clock, orders.Tick{}, ordersTick)}
		hc.ord.ac.Execute = func(orders.Intent) {}
		hc.ord.ac.WakeTime = func(orders.Intent) (clock.Millis, bool) { return 0, false }
		hc.ord.ac.Step = func(_ clock.Millis, ev orders.Event) []orders.Intent {
			if dr, ok := ev.(orders.Drained); ok {
				confirmed <- dr
			}
			return nil
		}
		go hc.ord.ac.Run(t.Context())
		hc.ac.Send(t.Context(), barrier{run: func(clock.Millis) { time.Sleep(time.Second) }}) // the loop is late
		rr := cr.reserve("r1")
		hc.rec.drain(t.Context(), orders.Drain{Server: "p0", Stop: true})
		synctest.Wait()
		assert.Equal(t, hc.demand().granted["p0"], 0, "the loop has not decided yet")
		assert.Equal(t, len(confirmed), 0)
		dr := <-confirmed
		assert.Equal(t, dr.Server, "p0")
		assert.Assert(t, dr.At >= clock.Second)
		assert.Equal(t, hc.demand().granted["p0"], 1)
		assert.Assert(t, rr.receive().GetGrant() != nil)
	})
}
