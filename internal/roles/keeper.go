// Package roles divides the engines of each model service between prefill and
// decode.
//
// These engines finish their running work by themselves before they change their
// role, so they need not be drained first. Package orders handles servers that
// must be drained. This package decides how many engines of each role there
// should be ([Plan]) and orders the changes ([Keeper]). Only one VM gives orders:
// the holder of a lease whose revision is the fencing token. The lease is checked
// before an order and once more when the connection to the engine is established.
//
// The lease is not released after an order but expires, because two holders must
// not give orders shortly after one another.
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
	// leaseCheckInterval is the interval at which roles and lease are checked.
	leaseCheckInterval = 500 * clock.Millis(1)
	// fencedPause is how long no orders are given after an engine declined the
	// fencing token, because that means that another VM has a newer one.
	fencedPause = 15 * clock.Second
	// orderTimeout bounds the time of one order.
	orderTimeout = clock.Second
	// minLeaseLeft is the remaining time of the lease that is needed to send an order.
	minLeaseLeft = 1500 * clock.Millis(1)
)

type (
	// Service describes the engines of one model service.
	Service struct {
		Engines    []board.BackendServer
		SwitchTime clock.Millis // duration of a change of role
	}

	// Register is a register with compare-and-swap that outlives the VMs.
	Register interface {
		// Read returns a recent state of the register. It is called often.
		Read(ctx context.Context) (register.Entry, error)
		// Swap replaces the value if the revision is still base. An error
		// unwraps to a *logsvc.AppendError.
		Swap(ctx context.Context, base uint64, id string, value []byte) error
	}

	// Orders sends an order to an engine, unless may returns false when the connection
	// is established. Errors are those of package backend.
	Orders interface {
		ChangeRole(ctx context.Context, ch Change, token uint64, may func() bool) error
	}

	// Keeper gives the orders of one VM. Set the exported fields before Run.
	Keeper struct {
		Register    Register
		Orders      Orders
		Holder      *register.Holder // owned by the Keeper from Run on
		Services    func() map[string]Service
		ShouldOrder func() bool // reports whether this VM is the one to give orders
		// OnOrdered is called for each engine that was ordered to change its role, or
		// may have been, with the time until which the change may be in progress. It
		// may be nil.
		OnOrdered func(server string, until clock.Millis)
		Settings  Settings
		Clock     clock.Source
		Log       event.Logger

		plans            map[string]*Plan // by service
		pausedUntil      clock.Millis     // no orders are given before
		leaseWantedUntil clock.Millis     // the lease is acquired and renewed until then
	}
)

// leaseLinger is how long the lease is still renewed after an order, so that another
// change needs no new lease.
const leaseLinger = 4 * clock.Second

// Run orders the changes of roles that are due until the context ends.
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

// tick determines the changes that are due and orders them if the lease is held.
func (ke *Keeper) tick(ctx context.Context) {
	now := ke.now()
	due := ke.dueChanges(now)
	if len(due) > 0 && ke.ShouldOrder() && now >= ke.pausedUntil {
		ke.leaseWantedUntil = now + leaseLinger
	}
	// The register is also observed while no lease is wanted, because another VM's
	// lease counts as expired only after its duration, counted from when this VM
	// first observed it.
	ke.observe(ctx)
	if now >= ke.leaseWantedUntil {
		ke.stepHolder(ctx, register.LeaseWanted{}) // a lease that is still held expires
		return
	}
	ke.stepHolder(ctx, register.LeaseWanted{Hold: true})
	for _, ch := range due {
		ke.order(ctx, ch)
	}
}

// dueChanges returns the changes that are due, at most one for each service.
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

// observe reads the register of the lease.
func (ke *Keeper) observe(ctx context.Context) {
	en, err := ke.Register.Read(ctx)
	if err != nil {
		ke.stepHolder(ctx, register.LeaseTick{})
		return // the loss of the store is logged elsewhere; without the store there is no lease
	}
	ke.stepHolder(ctx, register.LeaseObserved{Entry: en, Known: true})
}

// stepHolder passes an event to the holder and carries out its intents.
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

// appendLease writes the holder's record to the register, passes the result to the
// holder, and reads the register again.
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

// order sends one order if the lease allows it.
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
		// The engine may still carry it out, now or seconds later, so it counts as ordered.
		ke.recordOrder(now, ch)
	}
}

// recordOrder records in the service's plan that a change was ordered, or may have been,
// and calls OnOrdered.
func (ke *Keeper) recordOrder(now clock.Millis, ch Change) {
	until := ke.plans[ch.Server.Service].RecordOrder(now, ch)
	if ke.OnOrdered != nil {
		ke.OnOrdered(ch.Server.ID, until)
	}
}
