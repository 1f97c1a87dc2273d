package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/operator"
	"alderdyke/internal/orders"
	"alderdyke/pkg/clock"
)

var healthNames = map[board.Health]string{
	board.Alive:   "Alive",
	board.Suspect: "Suspect",
	board.Dead:    "Dead",
	board.Left:    "Left",
}

// operatorBackend exposes the VM to the operators' interface.
type operatorBackend struct{ vm *VM }

// Templates implements operator.Backend.
func (os operatorBackend) Templates() *board.Templates { return os.vm.Board.Templates() }

// Drain implements operator.Backend.
func (os operatorBackend) Drain(context.Context) error {
	os.vm.beginStop()
	return nil
}

// Publish implements operator.Backend.
func (os operatorBackend) Publish(ctx context.Context, pub operator.Publication) (operator.Verdict, error) {
	return os.vm.publish(ctx, pub)
}

// Explain implements operator.Backend. It queries every VM that may have run the request.
func (os operatorBackend) Explain(ctx context.Context, customer, key string) ([]operator.ExplainLine, error) {
	return os.vm.explain(ctx, requestID{Customer: customer, Key: key})
}

// Order implements operator.Backend. The VM that schedules an engine's cell sends the
// order, even if another VM held the lease before.
func (os operatorBackend) Order(ctx context.Context, od operator.Order) (operator.OrderReply, error) {
	vm := os.vm
	cellName, ok := vm.cellOfServer(od.Server)
	if !ok {
		return operator.OrderReply{}, operator.Fault{Reason: operator.UnknownServer, Detail: fmt.Sprintf("%.60q is no model engine of the VM list", od.Server)}
	}
	hc, ok := vm.scheduler.find(cellName)
	if !ok {
		at, _ := schedulerOf(cellName, vm.Board.Fleet())
		return operator.OrderReply{}, operator.Fault{Reason: operator.Elsewhere, Detail: fmt.Sprintf("VM %s gives orders to %s; ask that one", at.ID, od.Server)}
	}
	an := hc.ord.giveOrder(ctx, orders.OperatorOrder{
		ID: uuid.NewString(), Server: od.Server, Order: engine.Order{Kind: od.Kind, Name: od.Name},
	})
	switch an.Reason {
	case orders.CarriedOut:
		return operator.OrderReply{Order: od, VM: vm.Self.ID}, nil
	case orders.InDoubt:
		return operator.OrderReply{}, operator.Fault{Reason: operator.InDoubt, Detail: "the engine may have carried the order out; give it again"}
	default:
		return operator.OrderReply{}, operator.Fault{
			Reason: operator.NotOrdered,
			Detail: fmt.Sprintf("the order was not carried out: %s %s", an.Reason, an.Outcome.Decline),
		}
	}
}

// Status implements operator.Backend.
func (os operatorBackend) Status(context.Context) operator.Status {
	vm := os.vm
	fl := vm.Board.Fleet()
	now := vm.Clock.Now()
	st := operator.Status{
		VM:            vm.Self.ID,
		Incarnation:   vm.Self.Incarnation,
		FailureDomain: vm.Settings.FailureDomain,
		Region:        vm.Settings.Region,
		Uptime:        now - vm.startedAt,
		Draining:      vm.draining.Load(),
		Quorate:       fl.Quorate,
		InProgress:    vm.runs.inProgress(),
		Kept:          vm.runs.keptCount(),
		Unconfirmed:   vm.janitor.pendingCount(),
		Log:           vm.logStatus(now),
		Cells:         vm.scheduler.status(),
	}
	if seats := vm.seats.Load(); seats != nil {
		st.Seats = len(seats.VMs)
	}
	for _, other := range fl.VMs {
		st.Fleet = append(st.Fleet, operator.VMStatus{
			ID:            other.ID,
			Incarnation:   other.Incarnation,
			FailureDomain: other.FailureDomain,
			Region:        other.Region,
			Caller:        other.Caller,
			Health:        healthNames[other.Health],
			Leaving:       other.Leaving,
			Listed:        other.Listed,
		})
	}
	st.Backends = serverStatus(vm.Board.Backends(), now)
	return st
}

func serverStatus(bk *board.Backends, now clock.Millis) []operator.ServerStatus {
	var out []operator.ServerStatus
	for _, srv := range bk.Servers {
		rp, reported := bk.Reports[srv.ID]
		ss := operator.ServerStatus{
			ID:            srv.ID,
			Service:       srv.Service,
			Role:          string(srv.Role),
			Address:       srv.Address,
			FailureDomain: srv.FailureDomain,
			ChecksFencing: srv.ChecksFencing,
			Leaving:       srv.Leaving || rp.Leaving,
			Reported:      reported,
		}
		if reported {
			ss.Running, ss.Slots, ss.Queued = rp.Running, rp.Slots, rp.Queued
			ss.ReportAge = now - rp.At
		}
		out = append(out, ss)
	}
	return out
}

// status returns the cells that this VM schedules.
func (ac *scheduler) status() []operator.CellStatus {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	var out []operator.CellStatus
	for name, hc := range ac.cells {
		waiting, granted := hc.counts()
		out = append(out, operator.CellStatus{Name: name, Waiting: waiting, Granted: granted})
	}
	slices.SortFunc(out, func(ca, cb operator.CellStatus) int { return cmp.Compare(ca.Name, cb.Name) })
	return out
}

func (hc *heldCell) counts() (waiting, granted int) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	for _, hr := range hc.held {
		if hr.granted {
			granted++
		} else {
			waiting++
		}
	}
	return waiting, granted
}

// keptCount returns the number of answers that are kept for returning callers.
func (rs *runs) keptCount() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return len(rs.ended)
}
