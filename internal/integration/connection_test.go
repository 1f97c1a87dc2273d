package integration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin"
	"alderdyke/internal/standin/deployment"
	"alderdyke/pkg/refusal"
)

// The connections of callers break again and again, in the middle of answers:
// each caller comes back with its key and gets one whole answer.
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
			eventually(t, "the answer goes on", func() bool { return og.received() > (round+1)*40*tokenBytes })
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

// Callers on a slow network get whole answers.
func TestCallersAreSlow(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	for _, vm := range fl.vms {
		fl.proxy(deployment.CallerLink, vm.set.ID).slow(t, 300)
	}
	var calls []*ongoing
	for ix := range 6 {
		calls = append(calls, fl.chat(fl.client(), "fieldnote", fmt.Sprintf("slow-%d", ix), 50),
			fl.payment(fl.client(), fmt.Sprintf("slow-payment-%d", ix)))
	}
	for _, og := range calls {
		assert.Check(t, og.wait())
	}
	fl.checkInvariants()
}

// The first VM that a payment is sent to loses the caller's connection, and
// the caller sends it through all others with the same key: it runs once, and
// the caller has its answer or the truth.
func TestPaymentAfterLostConnection(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, slowServicePlan())
	for ix := range 4 {
		key := fmt.Sprintf("reconnect-%d", ix)
		first := fl.vms[ix%len(fl.vms)]
		og := fl.paymentAt(first, key)
		eventually(t, "the payment runs", func() bool { return fl.serviceRuns(key) == 1 })
		og.hangUp()
		for _, vm := range fl.otherVMs(first) {
			assert.Check(t, fl.paymentAt(vm, key).wait())
		}
		assert.Equal(t, fl.serviceRuns(key), 1)
	}
	fl.checkInvariants()
}

// A server of the plain service dies under calls: what is idempotent is
// answered by the other, and a payment runs at most once.
func TestPlainServerDies(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, slowServicePlan())
	cl := fl.client()
	var records, payments []*ongoing
	for ix := range 6 {
		records = append(records, fl.record(cl, fmt.Sprintf("dies-record-%d", ix)))
		payments = append(payments, fl.payment(cl, fmt.Sprintf("dies-payment-%d", ix)))
	}
	first := fl.dp.Services[0]
	eventually(t, "the server is at work", func() bool { return first.History().Running > 0 })
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
