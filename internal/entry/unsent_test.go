package entry

import (
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/claim"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// newUnsentRig is a hedgeRig whose VM is the only seat and, not being quorate,
// asks it again before each payment that it sends. The seat stands still at
// the first such ask, for longer than an ask waits.
func newUnsentRig(t *testing.T) *hedgeRig {
	t.Helper()
	rg := newHedgeRig(t)
	vm := rg.vm
	vm.Self = board.VMRef{ID: "vm-1", Incarnation: 1}
	vm.loopCtx = t.Context()
	vm.quorateUntil.Store(math.MinInt64)
	vm.Board.SetFleet(&board.Fleet{VMs: []board.VM{{VMRef: vm.Self}}})
	vm.initBook()
	vm.bookState.FromStart = true
	still := false
	vm.book.Step = func(now clock.Millis, ev claim.Event) []claim.Intent {
		if ask, ok := ev.(claim.Asked); ok && ask.Ask.GetConfirm() && !still {
			still = true
			time.Sleep(2 * callTimeout.Std())
		}
		return vm.stepBook(now, ev)
	}
	go vm.book.Run(t.Context())
	vm.book.Tell(t.Context(), claim.Seated{Epoch: 1, Table: &peerpb.SeatTable{
		Seats: []*peerpb.ClaimSeat{{ID: vm.Self.ID, Incarnation: vm.Self.Incarnation, FailureDomain: "d"}},
	}})
	synctest.Wait()
	return rg
}

// A VM that is not quorate has its claim confirmed before it sends a payment.
// Seats that stand still, or settle after a change of their table, don't
// confirm it, and the VM claimed the key anew under another number. It found
// its own claim at the seats, waited for a word that would free it and that
// nobody sends, and refused as if a VM that is lost may have run the key.
// Nothing had been sent to any server, and no VM was lost.
//
//	01:57:35.496 vm-1 claim=8349 confirm=false to=vm-1: Granted, Verdict:Run, fresh=0
//	01:57:35.761 vm-1 claim=8349 confirm=true to=vm-1: Settling RunnerID:"vm-1" State:"Claimed"
//	01:57:35.874 vm-1 Verdict:Lost
//	01:57:35.955 vm-1 claim=227 confirm=false to=vm-1: Held RunnerID:"vm-1" State:"Claimed"
//	01:57:38.396 vm-1 Verdict:Follow Runner:vm-1
//	01:57:38.500 vm-1 Verdict:InDoubt Runner:vm-1 Ran:MayHaveRun
func TestUnsentPaymentKeepsItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newUnsentRig(t)
		rn := rg.vm.newRun(caller.Request{
			Customer: "hoalua", Key: "k", KeyGiven: true, Deadline: clock.Minute,
			Class: template.Class{Service: "kiosk-api", Share: 1, StreamWait: clock.Minute},
			Plain: &caller.Plain{Service: "kiosk-api", Method: http.MethodPost, Path: "/payments/k"},
		})
		rn.process()
		last, final := rn.st.Last()
		assert.Assert(t, final)
		assert.Equal(t, last.Kind, answer.Whole, "%v", last.Refusal)
		assert.Equal(t, rg.totalRuns(), 1)
	})
}
