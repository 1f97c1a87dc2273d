// Package claim decides which VM runs a request key, so that a request that
// is not idempotent runs at most once although VMs see the fleet differently,
// pause, restart with empty memory and lose messages.
//
// Each key has a [Group] of three seats in different failure domains. A VM
// runs a key only with the grants of two of them, so any two VMs that run the
// same key would need the same seat's grant. A group does not depend on who
// seems alive. It follows from the seat table, which changes only when VMs are
// replaced, and whose changes are ordered by the platform's log. A seat that
// is new to a key grants nothing until a majority of the seats before it have
// handed over their records and ceased to grant under the table before.
//
// A [Book] is the memory of one VM as a seat. An [Asker] is one request's
// search for grants. Both are pure: they are given events and the time, and
// return intents.
//
// # Usage
//
//	bk := &claim.Book{Self: self}
//	for _, in := range bk.Step(now, claim.Asked{Token: 7, Ask: ask}) {
//		switch in := in.(type) {
//		case claim.Reply: ...
//		case claim.SendHandoff: ...
//		case claim.Propose: ...
//		case claim.Wake: ...
//		}
//	}
//
//	ak := &claim.Asker{Self: self, Customer: "kedelsyn", Key: key, Rand: rnd}
//	for _, in := range ak.Step(now, claim.Begin{Seats: bk.Seats(), Fleet: fl}) {
//		switch in := in.(type) {
//		case claim.SendAsk: ...
//		case claim.SendUpdate: ...
//		case claim.Decided: ...
//		case claim.Wake: ...
//		}
//	}
package claim

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// States of a record.
const (
	Claimed       State = "Claimed"       // granted; may have run once a majority granted
	Dispatched    State = "Dispatched"    // sent to a backend server
	Decoding      State = "Decoding"      // a decode runs, which can be resumed
	Released      State = "Released"      // its runner gave it back and never sent it
	RefusedNotRun State = "RefusedNotRun" // ended; no backend server began it
	Complete      State = "Complete"      // ended; its runner may still hold the answer
	Doubtful      State = "Doubtful"      // seats handed over different claims
)

// What a seat answers to an ask.
const (
	Granted    Answer = "Granted"    // the claim is on record
	Held       Answer = "Held"       // another claim is on record
	OtherPrint Answer = "OtherPrint" // the key is on record for another request
	Absent     Answer = "Absent"     // asked to confirm, but the claim is not on record
	Full       Answer = "Full"       // no record of the key and no room for one
	Settling   Answer = "Settling"   // the seat has not got all records before it yet
	Minority   Answer = "Minority"   // the seat has long been in a minority of the fleet
	OtherGroup Answer = "OtherGroup" // by the seat's table the key has other seats
	Malformed  Answer = "Malformed"  // the ask can't be read
)

// Verdicts of an Asker.
const (
	// Run: run the key as the given attempt, and send nothing to a backend
	// server after Decided.Until without a new Revalidate.
	Run Verdict = "Run"
	// Follow: the key runs or ran at Runner, which holds the answer. A
	// runner that does not know the key has given it up: begin again. One
	// that can't be reached may have a decode that can be read on: it is
	// EngineRequest at DecodeServer, and must not be cancelled.
	Follow Verdict = "Follow"
	// TakeOver: as Run, after a runner that died. A request that is not
	// idempotent may only resume EngineRequest at DecodeServer.
	TakeOver Verdict = "TakeOver"
	// InDoubt: a runner that died may have run the key.
	InDoubt Verdict = "InDoubt"
	// Ended: the key was complete, and its answer died with its runner.
	Ended Verdict = "Ended"
	// Reused: the key names another request.
	Reused Verdict = "Reused"
	// Unavailable: too few seats could be asked within Patience.
	Unavailable Verdict = "Unavailable"
	// Lost: after a Revalidate, the key is no longer this runner's. Send
	// nothing more and end nothing.
	Lost Verdict = "Lost"
)

const (
	groupSize       = 3
	maxKeyBytes     = 256
	maxNameBytes    = 256
	maxPrintBytes   = 64
	maxSeats        = 4096
	maxBatchRecords = 256
)

// Guards that hold at most once up, each of which a test takes away to show
// that its absence is noticed.
const (
	guardMajority guard = 1 << iota // a majority of the group grants
	guardGroup                      // a seat grants only for its own table's group
	guardCovers                     // a new seat waits for the records before it
	guardHandoffs                   // it waits for a majority's records, not for one seat's
	guardWhole                      // a seat hands on only what is complete
	guardDoubt                      // claims that do not agree are not granted
)

var statesByRank = []State{Claimed, Released, Doubtful, Dispatched, Decoding, RefusedNotRun, Complete}

type (
	guard uint

	// State of a claim on record.
	State string

	// Answer of a seat.
	Answer string

	// Verdict of an Asker.
	Verdict string

	// Event is what a Book is told: Asked, Updated, HandedOff,
	// HandoffFailed, TableAppended, HistoryReceived, FleetChanged or Tick.
	Event interface{ event() }

	// Intent is what a Book wants done: Reply, SendHandoff, Propose or Wake.
	Intent interface{ intent() }

	// Asked passes an ask of a VM, this one included. Token comes back in
	// the Reply.
	Asked struct {
		Token uint64
		Ask   *peerpb.ClaimAsk
	}

	// Updated passes what a runner says of its claim.
	Updated struct{ Update *peerpb.ClaimUpdate }

	// HandedOff passes a part of another seat's records.
	HandedOff struct{ Handoff *peerpb.ClaimHandoff }

	// HandoffFailed tells that no acknowledgement came for a SendHandoff.
	HandoffFailed struct {
		To    board.VMRef
		Epoch uint64
	}

	// TableAppended passes a record of the log stream of seat tables, in the order
	// of the log. Epoch grows along the log and is never zero: the offset
	// plus one.
	TableAppended struct {
		Epoch uint64
		Table *peerpb.SeatTable
	}

	// HistoryReceived passes the tables that a peer knows. It has an effect only
	// before the first table.
	HistoryReceived struct{ Seats *SeatTable }

	// FleetChanged passes how this VM sees the fleet. It decides what table to
	// propose, and nothing else.
	FleetChanged struct{ Fleet *board.Fleet }

	// Tick passes the time.
	Tick struct{}

	// Reply answers the ask with the same Token.
	Reply struct {
		Token uint64
		Reply *peerpb.ClaimReply
	}

	// SendHandoff sends a part to another seat. It wants an acknowledgement;
	// without one, pass HandoffFailed.
	SendHandoff struct {
		To      board.VMRef
		Handoff *peerpb.ClaimHandoff
	}

	// Propose appends a table to the log stream of seat tables.
	Propose struct{ Table *peerpb.SeatTable }

	// Wake asks for a Tick, or for an AskerTick, at the given point.
	Wake struct{ At clock.Millis }

	// AskerEvent is what an Asker is told: Begin, Replied, AskFailed, ViewChanged,
	// AskerTick, StateChanged or Revalidate.
	AskerEvent interface{ askerEvent() }

	// AskerIntent is what an Asker wants done: SendAsk, SendUpdate, Decided
	// or Wake.
	AskerIntent interface{ askerIntent() }

	// Begin starts the search.
	Begin struct {
		Seats *SeatTable
		Fleet *board.Fleet
	}

	// Replied passes a seat's reply to the ask with the same Number.
	Replied struct {
		Number uint64
		Reply  *peerpb.ClaimReply
	}

	// AskFailed tells that no reply will come to an ask.
	AskFailed struct{ Number uint64 }

	// ViewChanged passes a new seat table, a new view of the fleet, or both.
	ViewChanged struct {
		Seats *SeatTable
		Fleet *board.Fleet
	}

	// AskerTick passes the time.
	AskerTick struct{}

	// StateChanged tells what became of the key after a Run or a TakeOver, for the
	// seats to know. It needs no reply and none is waited for.
	StateChanged struct {
		State             State // Dispatched, Decoding, RefusedNotRun or Complete
		DecodeServer      string
		DecodeIncarnation uint64 // of DecodeServer; zero if it does not tell
		EngineRequest     string
	}

	// Revalidate asks anew whether a runner may go on: after a pause, after
	// it was held dead, and after Decided.Until. Decided follows with Run or
	// Lost.
	Revalidate struct {
		Seats *SeatTable
		Fleet *board.Fleet
	}

	// SendAsk asks a seat, which may be this VM itself.
	SendAsk struct {
		Number uint64
		To     board.VMRef
		Ask    *peerpb.ClaimAsk
	}

	// SendUpdate tells a seat of the claim's state; no reply is needed.
	SendUpdate struct {
		To     board.VMRef
		Update *peerpb.ClaimUpdate
	}

	// Decided is the verdict. Ran, Reason and RetryAfter are set for the
	// verdicts that end in a refusal.
	Decided struct {
		Verdict      Verdict
		Runner       board.VMRef
		Attempt      uint32
		DecodeServer string
		// DecodeIncarnation is of DecodeServer; zero: it did not tell.
		DecodeIncarnation uint64
		EngineRequest     string
		Until             clock.Millis
		Ran               refusal.Ran
		Reason            refusal.Reason
	}
)

func (Asked) event()           {}
func (Updated) event()         {}
func (HandedOff) event()       {}
func (HandoffFailed) event()   {}
func (TableAppended) event()   {}
func (HistoryReceived) event() {}
func (FleetChanged) event()    {}
func (Tick) event()            {}

func (Reply) intent()       {}
func (SendHandoff) intent() {}
func (Propose) intent()     {}
func (Wake) intent()        {}

func (Begin) askerEvent()        {}
func (Replied) askerEvent()      {}
func (AskFailed) askerEvent()    {}
func (ViewChanged) askerEvent()  {}
func (AskerTick) askerEvent()    {}
func (StateChanged) askerEvent() {}
func (Revalidate) askerEvent()   {}

func (SendAsk) askerIntent()    {}
func (SendUpdate) askerIntent() {}
func (Decided) askerIntent()    {}
func (Wake) askerIntent()       {}

// dispatched tells whether the state proves that the claim had a majority.
func (st State) dispatched() bool { return st == Dispatched || st == Decoding || st == Complete }

// freesKey tells whether the key is free for another claim.
func (st State) freesKey() bool { return st == Released || st == RefusedNotRun }

// rank orders what is known of one claim.
func (st State) rank() int { return slices.Index(statesByRank, st) + 1 }
