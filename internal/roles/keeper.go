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
//	ke.Services = func() map[string]roles.Service { ... }
//	ke.ShouldOrder = func() bool { ... }
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
	// fencedPause is how long nothing is ordered after an engine refused the
	// fencing token: another VM has a newer one.
	fencedPause = 15 * clock.Second
	// orderTimeout bounds one order.
	orderTimeout = clock.Second
	// minLeaseLeft is what must be left of the lease when an order is sent.
	minLeaseLeft = 1500 * clock.Millis(1)
)

type (
	// Service is the engines of one model service.
	Service struct {
		Engines    []board.BackendServer
		SwitchTime clock.Millis // time that a change of role takes
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
		Register    Register
		Orders      Orders
		Holder      *register.Holder // owned by the Keeper from Run on
		Services    func() map[string]Service
		ShouldOrder func() bool // tells whether this VM is the one to order
		// OnOrdered hears of each engine that was ordered to change its role,
		// or may have been, and until when that may be under way; may be nil.
		OnOrdered func(server string, until clock.Millis)
		Settings  Settings
		Clock     clock.Source
		Log       event.Logger

		plans            map[string]*Plan
		pausedUntil      clock.Millis // nothing is ordered before
		leaseWantedUntil clock.Millis // the lease is wanted until
	}
)

// leaseLinger is how long after an order the lease is still wanted, so that a
// second change needs no new one.
const leaseLinger = 4 * clock.Second

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
			ke.tick(ctx)
		}
	}
}

func (ke *Keeper) now() clock.Millis { return clock.OrBoottime(ke.Clock).Now() }

// tick decides once, and orders what is due if the lease is held.
func (ke *Keeper) tick(ctx context.Context) {
	now := ke.now()
	due := ke.dueChanges(now)
	if len(due) > 0 && ke.ShouldOrder() && now >= ke.pausedUntil {
		ke.leaseWantedUntil = now + leaseLinger
	}
	// Observed also while the lease is not wanted: another VM's lease is
	// waited out from when it was seen.
	ke.observe(ctx)
	if now >= ke.leaseWantedUntil {
		ke.stepHolder(ctx, register.LeaseWanted{}) // a lease that is still held lapses by itself
		return
	}
	ke.stepHolder(ctx, register.LeaseWanted{Hold: true})
	for _, ch := range due {
		ke.order(ctx, ch)
	}
}

func (ke *Keeper) dueChanges(now clock.Millis) []Change {
	var out []Change
	for name, svc := range ke.Services() {
		pl := ke.plans[name]
		if pl == nil {
			pl = &Plan{Settings: ke.Settings}
			ke.plans[name] = pl
		}
		pl.SwitchTime = svc.SwitchTime
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
		ke.stepHolder(ctx, register.LeaseTick{})
		return // the store's loss has a line of its own; without it there is no lease
	}
	ke.stepHolder(ctx, register.LeaseObserved{Entry: en, Known: true})
}

// stepHolder tells the holder and carries out what it intends.
func (ke *Keeper) stepHolder(ctx context.Context, ev register.HolderEvent) {
	for _, in := range ke.Holder.Step(ke.now(), ev) {
		switch in := in.(type) {
		case register.LeaseAppend:
			ke.appendLease(ctx, in)
		case register.LogEvent:
			ke.Log.Log(in.Event, in.Fields...)
		case register.LeaseHeld, register.LeaseLost, register.Wake:
		}
	}
}

func (ke *Keeper) appendLease(ctx context.Context, in register.LeaseAppend) {
	rec, err := register.Parse(0, in.Data)
	pub, ok := rec.(register.Publish)
	if err == nil && !ok {
		err = fmt.Errorf("lease record of type %T", rec)
	}
	if err == nil {
		err = ke.Register.Swap(ctx, pub.Base, pub.ID, pub.Value)
	}
	ke.stepHolder(ctx, register.LeaseAppended{ID: in.ID, Err: err})
	ke.observe(ctx)
}

// order gives one order if the lease allows it.
func (ke *Keeper) order(ctx context.Context, ch Change) {
	token, may := ke.Holder.MayOrder(ke.now() + minLeaseLeft)
	if !may {
		return
	}
	within, stop := context.WithTimeout(ctx, orderTimeout.Std())
	defer stop()
	err := ke.Orders.ChangeRole(within, ch, token, func() bool {
		held, may := ke.Holder.MayOrder(ke.now() + minLeaseLeft)
		return may && held == token
	})
	fields := []event.Field{event.F("Server", ch.Server.ID), event.F("Service", ch.Server.Service),
		event.F("To", ch.To), event.F("Token", token)}
	now := ke.now()
	if err == nil {
		ke.recordOrder(now, ch)
		ke.leaseWantedUntil = now + leaseLinger
		ke.Log.Log(event.RoleOrdered, fields...)
		return
	}
	ke.Log.Log(event.RoleNotOrdered, append(fields, event.F("Error", err.Error()))...)
	oc, why := backend.OutcomeOf(err)
	switch {
	case why == backend.StaleFence:
		ke.pausedUntil = now + fencedPause
		ke.leaseWantedUntil = 0
	case oc == backend.InDoubt:
		// It may be carried out, now or seconds later: count on it.
		ke.recordOrder(now, ch)
	}
}

func (ke *Keeper) recordOrder(now clock.Millis, ch Change) {
	until := ke.plans[ch.Server.Service].RecordOrder(now, ch)
	if ke.OnOrdered != nil {
		ke.OnOrdered(ch.Server.ID, until)
	}
}
