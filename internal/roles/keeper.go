// Package roles keeps the engines of each model service divided between
// prefill and decode.
//
// Engines here end their running work by themselves before they change their
// role, so that nothing needs to be drained first; package orders is for those
// that have to be emptied. What remains is to decide how many engines of each
// role there should be ([Plan]), and to order a change as the only VM that
// does ([Keeper]): under a lease whose revision is the fencing token, which is
// looked at once more when the connection to the engine stands.
//
// The lease is not given back after an order, since two holders must not give
// orders shortly after one another; it lapses by itself.
//
// # Usage
//
//	ke := &roles.Keeper{Register: reg, Orders: orders, Holder: holder, Log: lg}
//	ke.Engines = func() map[string]roles.Service { ... }
//	ke.Mine = func() bool { ... }
//	ke.Run(ctx)
package roles

import (
	"context"
	"fmt"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/register"
	"alderdyke/pkg/clock"
)

const (
	// leaseCheckInterval is how often the roles are looked at.
	leaseCheckInterval = 500 * clock.Millis(1)
	// restAfter is how long nothing is ordered after an engine refused the
	// fencing token: another VM has a newer one.
	restAfter = 15 * clock.Second
	// orderWithin bounds one order.
	orderWithin = clock.Second
	// orderMargin is what must be left of the lease when an order is sent.
	orderMargin = 1500 * clock.Millis(1)
)

type (
	// Service is the engines of one model service.
	Service struct {
		Engines []board.BackendServer
		Switch  clock.Millis // time that a change of role takes
	}

	// Register is a register that changes by compare-and-swap and outlives
	// the VMs.
	Register interface {
		// Read returns the register as it was lately. It is called often.
		Read(ctx context.Context) (register.Entry, error)
		// Swap replaces the value if the revision is still base. An error
		// unwraps to a *logsvc.AppendError.
		Swap(ctx context.Context, base uint64, id string, value []byte) error
	}

	// Orders gives one order to an engine, unless may says no when the
	// connection stands. Errors are those of package backend.
	Orders interface {
		ChangeRole(ctx context.Context, ch Change, token uint64, may func() bool) error
	}

	// Keeper gives the orders of one VM. Set the exported fields before Run.
	Keeper struct {
		Register Register
		Orders   Orders
		Holder   *register.Holder // owned by the Keeper from Run on
		Services func() map[string]Service
		Mine     func() bool // tells whether this VM is the one to order
		// Ordered hears of each engine that was ordered to change its role,
		// or may have been, and until when that may be under way; may be nil.
		Ordered  func(server string, until clock.Millis)
		Settings Settings
		Clock    clock.Source
		Log      event.Logger

		plans map[string]*Plan
		rest  clock.Millis // nothing is ordered before
		want  clock.Millis // the lease is wanted until
	}
)

// leaseKept is how long after an order the lease is still wanted, so that a
// second change needs no new one.
const leaseKept = 4 * clock.Second

// Run keeps the roles until the context ends.
func (ke *Keeper) Run(ctx context.Context) {
	ke.plans = make(map[string]*Plan)
	ke.Holder.Lapses = true
	ticker := time.NewTicker(leaseCheckInterval.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			ke.look(ctx)
		}
	}
}

func (ke *Keeper) now() clock.Millis { return clock.Or(ke.Clock).Now() }

// look decides once, and orders what is due if the lease is held.
func (ke *Keeper) look(ctx context.Context) {
	now := ke.now()
	due := ke.due(now)
	if len(due) > 0 && ke.Mine() && now >= ke.rest {
		ke.want = now + leaseKept
	}
	// Observed also while the lease is not wanted: another VM's lease is
	// waited out from when it was seen.
	ke.observe(ctx)
	if now >= ke.want {
		ke.step(ctx, register.LeaseWanted{}) // a lease that is still held lapses by itself
		return
	}
	ke.step(ctx, register.LeaseWanted{Hold: true})
	for _, ch := range due {
		ke.order(ctx, ch)
	}
}

func (ke *Keeper) due(now clock.Millis) []Change {
	var out []Change
	for name, svc := range ke.Services() {
		pl := ke.plans[name]
		if pl == nil {
			pl = &Plan{Settings: ke.Settings}
			ke.plans[name] = pl
		}
		pl.Switch = svc.Switch
		if ch, ok := pl.Next(now, svc.Engines); ok {
			out = append(out, ch)
		}
	}
	return out
}

// observe reads the lease's register.
func (ke *Keeper) observe(ctx context.Context) {
	en, err := ke.Register.Read(ctx)
	if err != nil {
		ke.step(ctx, register.LeaseTick{})
		return // the store's loss has a line of its own; without it there is no lease
	}
	ke.step(ctx, register.LeaseObserved{Entry: en, Known: true})
}

// step tells the holder and carries out what it intends.
func (ke *Keeper) step(ctx context.Context, ev register.HolderEvent) {
	for _, in := range ke.Holder.Step(ke.now(), ev) {
		switch in := in.(type) {
		case register.LeaseAppend:
			ke.append(ctx, in)
		case register.LogEvent:
			ke.Log.Log(in.Event, in.Fields...)
		case register.LeaseHeld, register.LeaseLost, register.Wake:
		}
	}
}

func (ke *Keeper) append(ctx context.Context, in register.LeaseAppend) {
	rec, err := register.Parse(0, in.Data)
	pub, ok := rec.(register.Publish)
	if err == nil && !ok {
		err = fmt.Errorf("lease record of type %T", rec)
	}
	if err == nil {
		err = ke.Register.Swap(ctx, pub.Base, pub.ID, pub.Value)
	}
	ke.step(ctx, register.LeaseAppended{ID: in.ID, Err: err})
	ke.observe(ctx)
}

// order gives one order if the lease allows it.
func (ke *Keeper) order(ctx context.Context, ch Change) {
	token, may := ke.Holder.MayOrder(ke.now() + orderMargin)
	if !may {
		return
	}
	within, stop := context.WithTimeout(ctx, orderWithin.Std())
	defer stop()
	err := ke.Orders.ChangeRole(within, ch, token, func() bool {
		held, may := ke.Holder.MayOrder(ke.now() + orderMargin)
		return may && held == token
	})
	fields := []event.Field{event.F("Server", ch.Server.ID), event.F("Service", ch.Server.Service),
		event.F("To", ch.To), event.F("Token", token)}
	now := ke.now()
	if err == nil {
		ke.ordered(now, ch)
		ke.want = now + leaseKept
		ke.Log.Log(event.RoleOrdered, fields...)
		return
	}
	ke.Log.Log(event.RoleNotOrdered, append(fields, event.F("Error", err.Error()))...)
	oc, why := backend.OutcomeOf(err)
	switch {
	case why == backend.StaleFence:
		ke.rest = now + restAfter
		ke.want = 0
	case oc == backend.InDoubt:
		// It may be carried out, now or seconds later: count on it.
		ke.ordered(now, ch)
	}
}

func (ke *Keeper) ordered(now clock.Millis, ch Change) {
	until := ke.plans[ch.Server.Service].Ordered(now, ch)
	if ke.Ordered != nil {
		ke.Ordered(ch.Server.ID, until)
	}
}
