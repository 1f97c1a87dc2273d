package entry

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/actor"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/orders"
	"alderdyke/internal/register"
	"alderdyke/internal/sched"
	enginesim "alderdyke/internal/standin/engine"
	"alderdyke/pkg/clock"
)

// A holder that was paused and still considers itself the holder of the lease sends no order.
// The reported outcome is what the engine did.
func TestSendChecksTheLease(t *testing.T) {
	for _, tc := range []struct {
		name   string
		paused clock.Millis
		fence  uint64 // highest fencing token that the engine has seen
		want   orders.Reason
		taken  int // orders that reached the engine
	}{
		{"Held", 0, 0, orders.CarriedOut, 1},
		{"Paused", leaseDuration, 0, orders.LeaseLost, 0},
		{"TooLittleLeft", leaseDuration - register.DefaultMargin - 1, 0, orders.LeaseLost, 0},
		{"Fenced", 0, 1 << 40, orders.Fenced, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			en := &enginesim.Engine{ID: "e0", Role: board.Prefill, Settings: enginesim.Settings{ChecksFencing: true}}
			ts := httptest.NewServer(en.Handler())
			defer en.Close()
			defer ts.Close()
			srv := board.BackendServer{ID: "e0", Role: board.Prefill, Address: strings.TrimPrefix(ts.URL, "http://")}
			lb := newTestLease(t)
			vm := lb.le.vm
			vm.Engines = &engine.Client{Clock: lb.clk}
			hc := &heldCell{vm: vm, ctx: t.Context(), cell: cell{Name: "m/0", Servers: []board.BackendServer{srv}}}
			hc.ac = actor.New[sched.Event, sched.Intent](lb.clk, sched.Tick{}, cellTick)
			hc.rec = newReconciler(hc)
			or := hc.newOrderer(t.Context(), "m/0")
			or.lease = lb.le

			if tc.fence != 0 {
				_, err := vm.Engines.Order(t.Context(), srv, engine.Order{Kind: engine.LoadModel, Name: "m", Fence: tc.fence})
				assert.NilError(t, err)
			}
			lb.step(register.LeaseWanted{Hold: true})
			lb.clk.Advance(tc.paused)
			or.send(orders.Send{Server: "e0", LeaseMargin: 2, Order: engine.Order{Kind: engine.ChangeRole, Role: board.Decode, Fence: lb.entry.Revision}})
			sent := (<-or.ac.Events).(orders.Sent)
			assert.Equal(t, sent.Outcome.Reason, tc.want)
			hist := en.History()
			assert.Equal(t, len(hist.Orders), tc.taken)
			assert.Equal(t, hist.Role == board.Decode, tc.want == orders.CarriedOut)
			assert.Equal(t, hc.rec.roles["e0"].role == board.Decode, tc.want == orders.CarriedOut)
		})
	}
}

// The role in use is the one that the engine reported last, even if the VM list or older
// reports contradict it.
func TestNewestReportedRoleWins(t *testing.T) {
	lb := newTestLease(t)
	srv := board.BackendServer{ID: "e0", Role: board.Prefill}
	hc := &heldCell{vm: lb.le.vm, ctx: t.Context(), cell: cell{Name: "m/0", Servers: []board.BackendServer{srv}}}
	rc := newReconciler(hc)
	role := func() board.Role { return rc.markUnfit(hc.servers())[0].Role }
	assert.Equal(t, role(), board.Prefill, "the role of the list, as the engine has reported none")
	assert.Assert(t, rc.recordRole("e0", reportedRole{role: board.Decode, at: 100}))
	assert.Equal(t, role(), board.Decode)
	assert.Assert(t, !rc.recordRole("e0", reportedRole{role: board.Prefill, at: 99}), "an older report")
	assert.Assert(t, !rc.recordRole("e0", reportedRole{at: 200}), "a report without a role")
	assert.Equal(t, role(), board.Decode)
	assert.Assert(t, rc.recordRole("e0", reportedRole{role: board.Prefill, at: 101}))
	assert.Equal(t, role(), board.Prefill)
}

func TestDemandCountsWhatUsesAnEngine(t *testing.T) {
	hc := &heldCell{held: map[string]*heldRequest{
		"waits":     {quick: true},
		"patient":   {},
		"prefills":  {granted: true, stage: sched.Prefilling, prefill: "p", decode: "d"},
		"decodes":   {granted: true, stage: sched.Decoding, prefill: "p", decode: "d"},
		"preempted": {granted: true, preempted: true, stage: sched.Prefilling, prefill: "p", decode: "d"},
	}}
	dm := hc.demand()
	got, err := json.Marshal([]any{dm.quick, dm.patient, dm.granted})
	assert.NilError(t, err)
	assert.Equal(t, string(got), `[1,2,{"d":2,"p":1}]`)
	assert.DeepEqual(t, dm.pendingPrompts, map[string]int{"p": 1})
}

// A prefill engine keeps a KV cache until a decode engine has it, and must not change its role
// before, but the KV cache costs it no computation.
func TestDemandSeparatesPromptsFromKVCaches(t *testing.T) {
	for _, stage := range []sched.Stage{sched.Prefilled, sched.Transferring, sched.Rejected} {
		hc := &heldCell{held: map[string]*heldRequest{"waits": {granted: true, stage: stage, prefill: "p", decode: "d"}}}
		dm := hc.demand()
		assert.DeepEqual(t, dm.granted, map[string]int{"p": 1, "d": 1})
		assert.Equal(t, len(dm.pendingPrompts), 0, "%s", stage)
	}
}
