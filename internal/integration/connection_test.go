package integration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin"
	"alderdyke/internal/standin/deployment"
	"alderdyke/pkg/refusal"
)

// The connections of callers break repeatedly in the middle of answers. Each
// caller reconnects with its key and must get one complete answer.
func TestCallersConnectionsBreak(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	const tokens = 300
	var calls []*ongoing
	for ix := range 4 {
		calls = append(calls, fl.chat(fl.client(), "findings", fmt.Sprintf("break-%d", ix), tokens))
	}
	for round := range 4 {
		for _, og := range calls {
			eventually(t, "the answer continues", func() bool { return og.received() > (round+1)*40*tokenBytes })
		}
		for _, vm := range fl.vms {
			px := fl.proxy(deployment.CallerLink, vm.set.ID)
			px.reset(t)
			px.heal(t)
		}
	}
	for ix, og := range calls {
		assert.Check(t, og.wait())
		began, made := fl.decodeTotals(fmt.Sprintf("break-%d", ix))
		assert.Equal(t, began, 1)
		assert.Equal(t, made, tokens)
	}
	fl.checkInvariants()
}

// Callers on a slow network get complete answers.
func TestCallersAreSlow(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	for _, vm := range fl.vms {
		fl.proxy(deployment.CallerLink, vm.set.ID).slow(t, 300)
	}
	var calls []*ongoing
	for ix := range 6 {
		calls = append(calls, fl.chat(fl.client(), "fieldnote", fmt.Sprintf("slow-%d", ix), 50),
			fl.sendPayment(fl.client(), fmt.Sprintf("slow-payment-%d", ix)))
	}
	for _, og := range calls {
		assert.Check(t, og.wait())
	}
	fl.checkInvariants()
}

// The connection of the caller to the first VM that got a payment breaks, and
// the caller sends it through all other VMs with the same key. It must run once,
// and the caller must get its answer.
func TestPaymentAfterLostConnection(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, slowServicePlan())
	for ix := range 4 {
		key := fmt.Sprintf("reconnect-%d", ix)
		first := fl.vms[ix%len(fl.vms)]
		og := fl.sendPaymentAt(first, key)
		eventually(t, "the payment runs", func() bool { return fl.serviceRuns(key) == 1 })
		og.hangUp()
		for _, vm := range fl.otherVMs(first) {
			assert.Check(t, fl.sendPaymentAt(vm, key).wait())
		}
		assert.Equal(t, fl.serviceRuns(key), 1)
	}
	fl.checkInvariants()
}

// A server of the plain service dies during calls. The other server must answer
// the idempotent calls, and a payment must run at most once.
func TestPlainServerDies(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, slowServicePlan())
	cl := fl.client()
	var records, payments []*ongoing
	for ix := range 6 {
		records = append(records, fl.fetchRecord(cl, fmt.Sprintf("dies-record-%d", ix)))
		payments = append(payments, fl.sendPayment(cl, fmt.Sprintf("dies-payment-%d", ix)))
	}
	first := fl.dp.Services[0]
	eventually(t, "the server has running calls", func() bool { return first.History().Running > 0 })
	results.countFault("plain server died")
	first.Control.Set(standin.Faults{Dead: true})
	for _, og := range records {
		assert.Check(t, og.wait())
	}
	for _, og := range payments {
		if og.wait() != nil {
			assert.Check(t, og.waitRefusal().Ran == refusal.MayHaveRun)
		}
	}
	fl.checkInvariants()
}
