package engine

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/engine"
	"alderdyke/internal/standin"
	"alderdyke/pkg/clock"
)

func (en *Engine) serveCancel(rw http.ResponseWriter, req *http.Request) {
	var od wire.CancelOrder
	if err := standin.ReadJSON(req, standin.MaxBody, &od); err != nil || od.Request == "" {
		en.decline(rw, backend.BadOrder, 0)
		return
	}
	standin.WriteJSON(rw, wire.CancelResult{Ended: en.cancel(od)})
}

// cancel ends the runs of a request up to an attempt and adds a tombstone, so
// that late orders of these attempts are declined.
func (en *Engine) cancel(od wire.CancelOrder) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.addTombstone(od)
	ended := 0
	for key, rn := range en.runs {
		if key.request == od.Request && key.attempt <= od.Attempt {
			en.endRun(rn, Cancelled)
			ended++
		}
	}
	return ended
}

func (en *Engine) addTombstone(od wire.CancelOrder) {
	now := time.Now()
	if len(en.cancelled) >= maxTombstones {
		for request, tb := range en.cancelled {
			if now.After(tb.expiresAt) {
				delete(en.cancelled, request)
			}
		}
	}
	en.cancelled[od.Request] = tombstone{
		attempt:   max(od.Attempt, en.cancelled[od.Request].attempt),
		expiresAt: now.Add(en.Settings.CancelRetention.Std()),
	}
}

func (en *Engine) serveRunning(rw http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(rw, en.runningReport())
}

// runningReport lists the runs in the order in which they began.
func (en *Engine) runningReport() wire.RunningReport {
	en.mu.Lock()
	defer en.mu.Unlock()
	held := slices.SortedFunc(maps.Values(en.runs), func(ra, rb *run) int { return cmp.Compare(ra.seq, rb.seq) })
	doc := wire.RunningReport{Runs: []wire.Running{}}
	for _, rn := range held {
		doc.Runs = append(doc.Runs, wire.Running{
			Request: rn.key.request, Customer: rn.rec.Customer, Attempt: rn.key.attempt, VM: rn.rec.VM,
			Stage: rn.stage, Since: clock.Of(time.Since(rn.stageSince)), Slot: !rn.slotSince.IsZero(), Tokens: len(rn.tokens),
		})
	}
	return doc
}

func (en *Engine) serveOrder(rw http.ResponseWriter, req *http.Request) {
	var od wire.Order
	if err := standin.ReadJSON(req, standin.MaxBody, &od); err != nil || !validOrder(od) || (od.Kind == wire.RaiseFence && en.noRaiseFence.Load()) {
		en.decline(rw, backend.BadOrder, 0)
		return
	}
	res, ok := en.applyOrder(od, vmOf(req))
	if !ok {
		en.decline(rw, backend.StaleFence, 0)
		return
	}
	if isLoad(od.Kind) && !res.Repeated && standin.Sleep(req.Context(), en.Settings.ModelLoadTime.Std()) != nil {
		return
	}
	standin.WriteJSON(rw, res)
}

// DeclineRaiseFence makes the engine decline the order RaiseFence, as engines of earlier
// versions do, which do not know it.
func (en *Engine) DeclineRaiseFence() { en.noRaiseFence.Store(true) }

func validOrder(od wire.Order) bool {
	switch {
	case od.Kind == wire.ChangeRole:
		return od.Role == board.Prefill || od.Role == board.Decode
	case od.Kind == wire.RaiseFence:
		return od.Fence != 0
	default:
		return isLoad(od.Kind) && od.Name != ""
	}
}

// isLoad reports whether an order has the engine load something, which takes time.
func isLoad(kind wire.OrderKind) bool {
	return kind == wire.LoadModel || kind == wire.LoadAdapter || kind == wire.LoadVersion
}

// applyOrder checks the fencing number, records the order and applies it to
// the engine. It returns false if the fencing number is not accepted.
func (en *Engine) applyOrder(od wire.Order, vm board.VMRef) (wire.OrderResult, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	ok := en.acceptFence("Order", od.Fence) && (od.Fence != 0 || !en.Settings.ChecksFencing)
	en.history.Orders = append(en.history.Orders, OrderRecord{Order: od, VM: vm, At: en.now(), Accepted: ok})
	if !ok {
		return wire.OrderResult{}, false
	}
	en.orderState.Role = en.role
	before := en.orderState
	before.Repeated = true
	switch od.Kind {
	case wire.RaiseFence:
		return before, true
	case wire.ChangeRole:
		if en.role == od.Role {
			return before, true
		}
		en.role, en.orderState.Role = od.Role, od.Role
	case wire.LoadModel:
		if en.orderState.Model == od.Name {
			return before, true
		}
		en.orderState.Model = od.Name
	case wire.LoadVersion:
		if en.orderState.Version == od.Name {
			return before, true
		}
		en.orderState.Version = od.Name
	case wire.LoadAdapter:
		if slices.Contains(en.orderState.Adapters, od.Name) {
			return before, true
		}
		en.orderState.Adapters = append(slices.Clone(en.orderState.Adapters), od.Name)
	}
	en.sampleLoad()
	return en.orderState, true
}
