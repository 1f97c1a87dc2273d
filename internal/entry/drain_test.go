package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/actor"
	"alderdyke/internal/board"
	"alderdyke/internal/orders"
	"alderdyke/internal/sched"
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
		synctest.Wait() // the loop has the request before the drain
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

// A runner that has not read the revocation of its grant may still send its prompt to the
// engine. The engine counts as used until the runner confirms that it holds nothing.
func TestRevokedGrantCountsUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr := newTestCell(t)
		rs := cr.openReservation("r1")
		gr, err := awaitGrantWithin(t, rs, clock.Minute)
		assert.NilError(t, err)
		rs.sendProgress(sched.Prefilling, "p0", 0, 0)
		rs.sendProgress(sched.Prefilled, "p0", 0, 10)
		rs.sendProgress(sched.Transferring, "d0", 0, 0)
		cr.setDecodeFull(true)
		rs.sendEngineState(sched.Lapsed, "d0", 0)
		fr, err := rs.awaitDecision(t.Context(), rs.vm.Clock.Now()+clock.Second)
		assert.NilError(t, err)
		if fr.GetTransfer() != nil {
			fr, err = rs.awaitDecision(t.Context(), rs.vm.Clock.Now()+clock.Second)
			assert.NilError(t, err)
		}
		assert.Assert(t, fr.GetPreempt() != nil)
		used := func() [2]int {
			synctest.Wait()
			dm := cr.hc.demand()
			return [2]int{dm.granted["p0"], dm.granted["d0"]}
		}
		assert.Equal(t, used(), [2]int{1, 1})
		cr.breakStream("r1")
		assert.Equal(t, used(), [2]int{1, 1}, "after another announcement")
		rs.confirmRevoked(gr.GetAttempt())
		assert.Equal(t, used(), [2]int{0, 0})
		cr.breakStream("r1")
		assert.Equal(t, used(), [2]int{0, 0}, "after another announcement")
	})
}

// The runner confirms the revocation of a grant when its engines have confirmed the cancels.
func TestRevocationIsConfirmedAfterCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := newPipe()
		cancelled := make(chan struct{})
		vm := &VM{Clock: sinceStart{time.Now()}, runCtx: t.Context()}
		vm.janitor.find = func(id string) (board.BackendServer, bool) { return board.BackendServer{ID: id}, true }
		vm.janitor.cancel = func(context.Context, board.BackendServer, string, int) error {
			<-cancelled
			return nil
		}
		ma := &modelAttempt{
			rn:          &run{vm: vm},
			usedEngines: map[string]struct{}{"p0": {}, "d0": {}},
			rs:          &reservation{vm: vm, ctx: t.Context(), cn: near, attempt: 3},
		}
		ma.cancelRevoked()
		synctest.Wait()
		assert.Equal(t, len(far.in), 0, "the engines have not confirmed")
		close(cancelled)
		fr, err := far.Recv()
		assert.NilError(t, err)
		assert.Equal(t, fr.GetProgress().GetStage(), string(stageRevoked))
		assert.Equal(t, fr.GetProgress().GetAttempt(), uint32(3))
	})
}
