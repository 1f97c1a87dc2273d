// Package orders decides, for one cell of model engines, which orders its
// engines are given: changes of role that follow the load, and what operators
// ask for.
//
// One order of a cell is under way at a time, and only while this VM holds
// the cell's lease. A change of role goes through these phases:
//
//	Asking    the lease is wanted
//	Settling  it is held; every engine must say its role anew, late enough
//	          that no order of the holder before can still change it
//	Fencing   engines that check fencing tokens are told the new one, by an
//	          order to stay what they are; older orders are refused from then on
//	Choosing  the load must still call for the change; the engine is chosen
//	Draining  the engine gets no new work and ends what it runs
//	Sending   the order is under way with the lease's fencing token
//	Doubting  its reply was lost; the engine's own report tells what it did
//
// After Doubting the same order goes out again with the same token, which
// harms nothing since orders are idempotent. Whatever fails before Sending
// leaves the engine in the role that it had.
//
// A [Cell] does no I/O: it is given events and the time, and returns intents.
// The roles that it works with are those that the engines report, never those
// of the VM list.
//
// # Usage
//
//	ce := &orders.Cell{Settings: orders.Settings{Dwell: 5 * clock.Minute}}
//	for _, in := range ce.Step(now, orders.Observed{Engines: engines}) {
//		switch in := in.(type) {
//		case orders.WantLease: ...    // the lease; answer with LeaseHeld and LeaseLapsed
//		case orders.Drain: ...   // give the engine no new work, or new work again
//		case orders.Inspect: ... // answer with Inspected
//		case orders.Send: ...    // answer with Sent
//		case orders.OperatorReply: ...  // to an operator
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

// Why an order was not carried out, or is not known to have been.
const (
	NoLease         Reason = "NoLease"    // the lease could not be had in time
	LeaseLost       Reason = "LeaseLost"  // the lease ended before the order was sent
	NotSettled      Reason = "NotSettled" // an engine did not say its role in time
	NotNeeded       Reason = "NotNeeded"  // the roles or the load have changed meanwhile
	TooFew          Reason = "TooFew"     // the old role would be left with too few engines
	NotDrained      Reason = "NotDrained" // the engine did not end its work in time
	Fenced          Reason = "Fenced"     // the engine knows a newer fencing token
	Declined        Reason = "Declined"   // the engine did not take the order
	InDoubt         Reason = "InDoubt"    // the engine may have carried the order out
	UnknownEngine   Reason = "Unknown"    // the engine is not in the cell
	TooMany         Reason = "TooMany"    // too many orders wait
	CellMoved       Reason = "CellMoved"  // another VM accounts for the cell now
	CarriedOut      Reason = ""           // it was carried out
	maxWaiting             = 16           // orders of operators that may wait
	maxSendTries           = 4            // of one order
	inspectInterval        = clock.Second // while draining or in doubt
)

type (
	// Settings of a Cell. The zero value of a field means its default.
	Settings struct {
		NoRoleChanges bool         // decides no change of role; operators' orders are still given
		Dwell         clock.Millis // least span between two changes of role in the cell; 5 min
		Window        clock.Millis // for how long the load must call for a change; half of Dwell
		SpareFor      clock.Millis // for how long a role must have been able to spare the engine; three times Dwell
		DrainTimeout  clock.Millis // until a change is given up; 1 min
		LeaseTimeout  clock.Millis // until the lease must be held, and roles known; 1 min
		NeedTimeout   clock.Millis // until a load that does not call for the change any more must do so again; 10 s
		// MaxOrderDelay is how long an order of the lease's holder before this one
		// may be under way after its lease has ended; 10 s. It is waited out
		// if an engine of the cell ignores fencing tokens.
		MaxOrderDelay clock.Millis
		// LeaseMargin is what must be left of the lease when an order to an engine
		// that ignores fencing tokens is sent; 2 s.
		LeaseMargin clock.Millis
		MinEngines  int     // engines that each role keeps; 1
		High        float64 // part of a role in use from which it is short; 0.9
		Low         float64 // part in use that the other role may come to; 0.7
	}

	// Engine is what is known of one engine.
	Engine struct {
		ID             string
		Role           board.Role   // that it reports; empty if it says none
		RoleAt         clock.Millis // a point at which the report was true, rather too early
		ChecksFencing  bool
		Usable         bool // reports its load and is not leaving
		Granted        int  // granted requests that the cell counts on it
		PendingPrompts int  // of these, the ones whose prompts it has yet to compute
		Running        int  // by its report
		Slots          int
		Queued         int
	}

	// Outcome of a Send.
	Outcome struct {
		Reason   Reason // Carried out, LeaseLost, Fenced, Declined or InDoubt
		Decline  backend.Reason
		Role     board.Role // of the engine after an order that was carried out
		Repeated bool       // the order had been carried out before
	}

	// Reason why an order was not carried out.
	Reason string

	// Event is what a Cell is told: Observed, LeaseHeld, LeaseLapsed, Inspected, Sent,
	// OperatorOrder or Tick.
	Event interface{ orderEvent() }

	// Intent is what a Cell wants done: WantLease, Drain, Inspect, Send, OperatorReply
	// or LogEvent.
	Intent interface{ orderIntent() }

	// Observed tells the state of the cell, about twice a second.
	Observed struct {
		Engines []Engine
		Quick   int // quick requests that wait for a place
		Patient int // patient ones
	}

	// LeaseHeld tells that the lease is held, or was renewed, with a token.
	LeaseHeld struct{ Token uint64 }

	// LeaseLapsed tells that the lease is not held any more.
	LeaseLapsed struct{ Token uint64 }

	// Inspected answers an Inspect. Asked is a point on this VM's clock
	// before the engine was asked.
	Inspected struct {
		Server string
		Asked  clock.Millis
		Failed bool
		Runs   int
		Role   board.Role
		RoleAt clock.Millis
	}

	// Sent answers a Send.
	Sent struct {
		Server  string
		Outcome Outcome
	}

	// OperatorOrder asks for an operator's order to an engine. It gets one OperatorReply.
	OperatorOrder struct {
		ID     string
		Server string
		Order  engine.Order // a LoadModel, LoadAdapter or LoadVersion without a token
	}

	// Tick passes the time.
	Tick struct{}

	// WantLease tells whether the lease is wanted.
	WantLease struct{ Hold bool }

	// Drain tells that an engine is to get no new work, or work again.
	Drain struct {
		Server string
		Stop   bool
	}

	// Inspect asks what an engine runs, and its role.
	Inspect struct{ Server string }

	// Send gives an order. It must not leave this VM unless, when all else
	// is ready, the lease's token is still that of the order and at least
	// LeaseMargin of the lease is left.
	Send struct {
		Server      string
		Order       engine.Order
		LeaseMargin clock.Millis
	}

	// OperatorReply ends an OperatorOrder.
	OperatorReply struct {
		ID      string
		Reason  Reason
		Outcome Outcome
	}

	// LogEvent asks for a log line.
	LogEvent struct {
		Event  event.Event
		Fields []event.Field
	}
)

func (Observed) orderEvent()      {}
func (LeaseHeld) orderEvent()     {}
func (LeaseLapsed) orderEvent()   {}
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
