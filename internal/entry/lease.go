package entry

import (
	"context"
	"fmt"
	"sync"

	"alderdyke/internal/actor"
	"alderdyke/internal/orders"
	"alderdyke/internal/register"
	"alderdyke/pkg/clock"
)

const (
	// leaseDuration is how long another VM waits after the holder's last record
	// before it may acquire a cell's lease. The lease is held only while an order
	// is pending, and renewed after a third of the duration.
	leaseDuration = 20 * clock.Second
	leaseTick     = 250 * clock.Millis(1)
	leaseReadWait = 5 * clock.Second // long-poll wait of a read of the lease stream
)

// lease is this VM's side of one cell's lease. One loop steps its Holder; senders
// of orders check it immediately before they send.
type lease struct {
	vm     *VM
	ctx    context.Context
	ac     *actor.Actor[register.HolderEvent, register.HolderIntent]
	notify func(ev orders.Event) // receives LeaseHeld and LeaseLapsed

	mu         sync.Mutex
	ho         *register.Holder
	firstToken uint64 // first token of the current lease; zero if it is not held
}

func leasesStream(stream string) string { return stream + "Leases" }

func (vm *VM) newLease(ctx context.Context, cellName string, tell func(ev orders.Event)) *lease {
	// Each Holder needs IDs of its own, because a record with a repeated ID counts as a duplicate.
	number := vm.leaseSeed.Add(1)
	le := &lease{vm: vm, ctx: ctx, notify: tell, ho: &register.Holder{
		Resource: "cell/" + cellName,
		Self:     fmt.Sprintf("%.20s.%x.%d", vm.Self.ID, vm.Self.Incarnation, number),
		Rand:     vm.rand(hashID(cellName) + number),
		Duration: leaseDuration,
	}}
	le.ac = actor.New[register.HolderEvent, register.HolderIntent](vm.Clock, register.LeaseTick{}, leaseTick)
	le.ac.Step = le.step
	le.ac.Execute = le.handleIntent
	le.ac.WakeTime = actor.WakeTimeFunc[register.HolderIntent](func(wk register.Wake) clock.Millis { return wk.At })
	return le
}

func (le *lease) step(now clock.Millis, ev register.HolderEvent) []register.HolderIntent {
	le.mu.Lock()
	defer le.mu.Unlock()
	out := le.ho.Step(now, ev)
	for _, in := range out {
		switch in := in.(type) {
		case register.LeaseHeld:
			if le.firstToken == 0 {
				le.firstToken = in.Token
			}
		case register.LeaseLost:
			le.firstToken = 0
		}
	}
	return out
}

// mayOrder reports whether an order with the given token may be sent now: the
// token must belong to the current lease, and at least the margin must be left.
// It reads the clock itself.
func (le *lease) mayOrder(token uint64, margin clock.Millis) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	newest, may := le.ho.MayOrder(le.vm.Clock.Now() + margin)
	return may && le.firstToken != 0 && le.firstToken <= token && token <= newest
}

func (le *lease) handleIntent(in register.HolderIntent) {
	switch in := in.(type) {
	case register.LeaseAppend:
		le.vm.wg.Go(func() { le.append(in) })
	case register.LeaseHeld:
		le.notify(orders.LeaseHeld{Token: in.Token})
	case register.LeaseLost:
		le.notify(orders.LeaseLapsed{Token: in.Token})
	case register.LogEvent:
		le.vm.Log.Log(in.Event, in.Fields...)
	}
}

func (le *lease) append(in register.LeaseAppend) {
	ctx, stop := context.WithTimeout(le.ctx, appendTimeout.Std())
	defer stop()
	_, err := le.vm.Logs.Append(ctx, le.vm.leaseFollower.stream, in.Data)
	le.ac.Send(le.ctx, register.LeaseAppended{ID: in.ID, Err: err})
}

// observeLeases passes the logged state of the leases to this VM's cells. It is
// called between two steps of the follower.
func (vm *VM) observeLeases(fo *register.Follower) {
	for _, hc := range vm.scheduler.allCells() {
		le := hc.ord.lease
		en, known := fo.Entry(le.ho.Resource)
		le.ac.Send(le.ctx, register.LeaseObserved{Entry: en, Known: known && fo.Ready()})
	}
}
