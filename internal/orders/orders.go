// Package orders decides, for one cell of model engines, which orders its engines are
// given: changes of role that follow the load, and the orders of operators.
//
// At most one order of a cell is in progress at a time, and only while this VM holds
// the cell's lease. A change of role goes through these phases:
//
//	AwaitingLease  the lease is requested
//	Settling       the lease is held; every engine must report its role again,
//	               late enough that no order of the previous holder can still
//	               change it
//	Fencing        engines that check fencing tokens get the new token and refuse
//	               older orders from then on
//	Choosing       the load must still require the change; the engine is chosen
//	Draining       the engine gets no new work and completes what it runs
//	Sending        the order is sent with the lease's fencing token
//	Verifying      the reply was lost; the engine's own report shows the effect
//
// After Verifying the same order may be sent again with the same token, which is safe
// because orders are idempotent. A failure before Sending leaves the engine in its
// previous role.
//
// A [Cell] does no I/O: it takes events and the time, and returns intents. It relies on
// the roles that the engines report, never on those in the VM list.
//
// # Usage
//
//	ce := &orders.Cell{Settings: orders.Settings{Dwell: 5 * clock.Minute}}
//	for _, in := range ce.Step(now, orders.Observed{Engines: engines}) {
//		switch in := in.(type) {
//		case orders.WantLease: ...     // acquire or release the lease; reply with LeaseHeld and LeaseLapsed
//		case orders.Drain: ...         // stop or resume new work for the engine; reply with Drained
//		case orders.Inspect: ...       // reply with Inspected
//		case orders.Send: ...          // reply with Sent
//		case orders.OperatorReply: ... // forward to the operator
//		case orders.LogEvent: ...
//		}
//	}
package orders

import (
	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// Reasons why an order was not carried out, or is not known to have been.
const (
	NoLease         Reason = "NoLease"    // the lease was not acquired in time
	LeaseLost       Reason = "LeaseLost"  // the lease ended before the order was sent
	NotSettled      Reason = "NotSettled" // an engine did not report its role in time
	NotNeeded       Reason = "NotNeeded"  // the roles or the load have changed meanwhile
	TooFew          Reason = "TooFew"     // the previous role would be left with too few engines
	NotDrained      Reason = "NotDrained" // the engine did not complete its work in time
	Fenced          Reason = "Fenced"     // the engine has a newer fencing token
	Declined        Reason = "Declined"   // the engine declined the order
	InDoubt         Reason = "InDoubt"    // the engine may have carried out the order
	UnknownEngine   Reason = "Unknown"    // the engine is not in the cell
	TooMany         Reason = "TooMany"    // too many orders are queued
	CellMoved       Reason = "CellMoved"  // another VM accounts for the cell now
	CarriedOut      Reason = ""           // it was carried out
	maxWaiting             = 16           // queued orders of operators
	maxSendTries           = 4            // per order
	inspectInterval        = clock.Second // while draining or verifying
)

type (
	// Settings of a Cell. The zero value of a field means its default.
	Settings struct {
		NoRoleChanges bool         // disables changes of role; operators' orders are still carried out
		Dwell         clock.Millis // minimum time between two changes of role in the cell; default 5 min
		Window        clock.Millis // how long the load must require a change; default half of Dwell
		SpareFor      clock.Millis // how long the other role must have been able to spare the engine; default three times Dwell
		DrainTimeout  clock.Millis // limit for draining the engine; default 1 min
		LeaseTimeout  clock.Millis // limit for acquiring the lease, and for learning the roles; default 1 min
		NeedTimeout   clock.Millis // limit for the load to require the change again after it has stopped doing so; default 10 s
		// MaxOrderDelay is how long an order of the lease's previous holder may be in
		// transit after its lease has ended; default 10 s. The Cell waits that long before
		// its own orders if an engine of the cell ignores fencing tokens, or checks them
		// but does not know the order RaiseFence.
		MaxOrderDelay clock.Millis
		// LeaseMargin is the minimum remaining time of the lease when an order is sent
		// to an engine that ignores fencing tokens; default 2 s.
		LeaseMargin clock.Millis
		MinEngines  int     // engines that each role keeps; default 1
		High        float64 // utilization at which a role is short of engines; default 0.9
		Low         float64 // maximum utilization of the other role after it has given up an engine; default 0.7
	}

	// Engine is the state of one engine.
	Engine struct {
		ID             string
		Role           board.Role   // as reported; empty if the engine reports none
		RoleAt         clock.Millis // when the report was true; may be too early, but never too late
		ChecksFencing  bool
		Usable         bool // reports its load and is not leaving
		Granted        int  // granted requests that the cell counts on the engine
		PendingPrompts int  // those of Granted whose prompts are not computed yet
		Running        int  // as reported
		Slots          int
		Queued         int
	}

	// Outcome is the result of a Send.
	Outcome struct {
		Reason   Reason // CarriedOut, LeaseLost, Fenced, Declined or InDoubt
		Decline  backend.Reason
		Role     board.Role // the engine's role after an order that was carried out
		Repeated bool       // the order had been carried out before
	}

	// Reason is the reason why an order was not carried out.
	Reason string

	// Event is an input to a Cell: Observed, LeaseHeld, LeaseLapsed, Drained, Inspected,
	// Sent, OperatorOrder or Tick.
	Event interface{ orderEvent() }

	// Intent is an action that a Cell requests: WantLease, Drain, Inspect, Send,
	// OperatorReply or LogEvent.
	Intent interface{ orderIntent() }

	// Observed reports the state of the cell, about twice a second.
	Observed struct {
		At      clock.Millis // before the state was read
		Engines []Engine
		Quick   int // queued quick requests
		Patient int // queued patient requests
	}

	// LeaseHeld reports that the lease was acquired or renewed, with its token.
	LeaseHeld struct{ Token uint64 }

	// LeaseLapsed reports that the lease is no longer held.
	LeaseLapsed struct{ Token uint64 }

	// Drained is the reply to a Drain that stops new work: the engine is granted nothing
	// from At on, and an Observed with a later time counts all that it was granted before.
	Drained struct {
		Server string
		At     clock.Millis
	}

	// Inspected is the reply to an Inspect. Asked is a time on this VM's clock before
	// the engine was queried.
	Inspected struct {
		Server string
		Asked  clock.Millis
		Failed bool
		Runs   int
		Role   board.Role
		RoleAt clock.Millis
	}

	// Sent is the reply to a Send.
	Sent struct {
		Server  string
		Outcome Outcome
	}

	// OperatorOrder submits an operator's order to an engine. It gets one
	// OperatorReply.
	OperatorOrder struct {
		ID     string
		Server string
		Order  engine.Order // a LoadModel, LoadAdapter or LoadVersion order without a token
	}

	// Tick advances the time.
	Tick struct{}

	// WantLease requests the lease to be acquired and held, or to be released.
	WantLease struct{ Hold bool }

	// Drain stops new work for an engine, or resumes it. A stop is confirmed by Drained.
	Drain struct {
		Server string
		Stop   bool
	}

	// Inspect queries what an engine runs, and its role.
	Inspect struct{ Server string }

	// Send sends an order. When everything else is ready, it must only be sent if the
	// lease's token is still that of the order and at least LeaseMargin of the lease
	// remains.
	Send struct {
		Server      string
		Order       engine.Order
		LeaseMargin clock.Millis
	}

	// OperatorReply is the result of an OperatorOrder.
	OperatorReply struct {
		ID      string
		Reason  Reason
		Outcome Outcome
	}

	// LogEvent requests a log entry.
	LogEvent struct {
		Event  event.Event
		Fields []event.Field
	}
)

func (Observed) orderEvent()      {}
func (LeaseHeld) orderEvent()     {}
func (LeaseLapsed) orderEvent()   {}
func (Drained) orderEvent()       {}
func (Inspected) orderEvent()     {}
func (Sent) orderEvent()          {}
func (OperatorOrder) orderEvent() {}
func (Tick) orderEvent()          {}

func (WantLease) orderIntent()     {}
func (Drain) orderIntent()         {}
func (Inspect) orderIntent()       {}
func (Send) orderIntent()          {}
func (OperatorReply) orderIntent() {}
func (LogEvent) orderIntent()      {}

func (se Settings) withDefaults() Settings {
	span := func(field *clock.Millis, def clock.Millis) {
		if *field == 0 {
			*field = def
		}
	}
	share := func(field *float64, def float64) {
		if *field == 0 {
			*field = def
		}
	}
	span(&se.Dwell, 5*clock.Minute)
	span(&se.Window, se.Dwell/2)
	span(&se.SpareFor, 3*se.Dwell)
	span(&se.DrainTimeout, clock.Minute)
	span(&se.LeaseTimeout, clock.Minute)
	span(&se.NeedTimeout, 10*clock.Second)
	span(&se.MaxOrderDelay, 10*clock.Second)
	span(&se.LeaseMargin, 2*clock.Second)
	share(&se.High, 0.9)
	share(&se.Low, 0.7)
	se.MinEngines = max(se.MinEngines, 1)
	return se
}
