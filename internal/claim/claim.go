// Package claim decides which VM runs a request key, so that a request that is not
// idempotent runs at most once even though VMs have different views of the fleet,
// pause, restart with empty memory and lose messages.
//
// Each key has a [Group] of three seats in different failure domains. A VM runs a key
// only with the grants of two of them, so any two VMs that run the same key would need
// a grant of the same seat. A group does not depend on which VMs seem alive. It follows
// from the seat table, which changes only when VMs are replaced, and whose changes are
// ordered by the platform's log. A seat that is new to a key grants nothing until a
// majority of the key's previous seats have handed over their records and stopped
// granting under the previous table.
//
// A [Book] holds the records of one VM in its role as a seat. An [Asker] collects the
// grants for one request; an ask is its message to a seat. Both are pure: they take
// events and the time, and return intents.
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
	Claimed       State = "Claimed"       // granted; the request may have run once a majority granted
	Dispatched    State = "Dispatched"    // sent to a backend server
	Decoding      State = "Decoding"      // a decode is running and can be resumed
	Released      State = "Released"      // released by its runner, which never sent the request
	RefusedNotRun State = "RefusedNotRun" // ended; no backend server started the request
	Complete      State = "Complete"      // ended; its runner may still hold the answer
	Doubtful      State = "Doubtful"      // seats handed over conflicting claims
)

// A seat's answers to an ask.
const (
	Granted    Answer = "Granted"    // the claim is on record
	Held       Answer = "Held"       // another claim is on record
	OtherPrint Answer = "OtherPrint" // the key is on record with another request's fingerprint
	Absent     Answer = "Absent"     // asked to confirm a claim that is not on record
	Full       Answer = "Full"       // the key is not on record and there is no capacity for it
	Settling   Answer = "Settling"   // the seat has not yet received all earlier records
	Minority   Answer = "Minority"   // the seat has been in a minority of the fleet for too long
	OtherGroup Answer = "OtherGroup" // the key has other seats in the seat's table
	Malformed  Answer = "Malformed"  // the ask is invalid
)

// Verdicts of an Asker.
const (
	// Run means to run the key as the given attempt, and to send nothing to a backend
	// server after Decided.Until without a new Revalidate.
	Run Verdict = "Run"
	// Follow means that the key runs or ran at Runner, which holds the answer. If the
	// runner does not have the key, it has given the key up, and the search must start
	// again. If the runner is unreachable, a decode may still be running as
	// EngineRequest at DecodeServer; it can be resumed and must not be cancelled.
	Follow Verdict = "Follow"
	// TakeOver is like Run, but replaces a dead runner. A request that is not
	// idempotent may only resume EngineRequest at DecodeServer.
	TakeOver Verdict = "TakeOver"
	// InDoubt means that a dead runner may have run the key.
	InDoubt Verdict = "InDoubt"
	// Ended means that the key was complete, and its answer was lost with its runner.
	Ended Verdict = "Ended"
	// Reused means that the key belongs to another request.
	Reused Verdict = "Reused"
	// Unavailable means that too few seats replied within Patience.
	Unavailable Verdict = "Unavailable"
	// Lost means, after a Revalidate, that the key no longer belongs to this runner,
	// which must send nothing more and end nothing.
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

// Guards that ensure at-most-once execution. Tests disable each of them to show that a
// violation is then detected.
const (
	guardMajority  guard = 1 << iota // a majority of the group must grant
	guardGroup                       // a seat grants only for the group of its own table
	guardCovers                      // a new seat waits for the earlier records
	guardHandoffs                    // a new seat waits for a majority's records, not for those of one seat
	guardCoversAll                   // a seat hands on only complete records
	guardDoubt                       // conflicting claims are not granted
)

var statesByRank = []State{Claimed, Released, Doubtful, Dispatched, Decoding, RefusedNotRun, Complete}

type (
	guard uint

	// State is the state of a claim on record.
	State string

	// Answer is a seat's answer to an ask.
	Answer string

	// Verdict is the result of an Asker.
	Verdict string

	// Event is an input to a Book: Asked, Updated, HandedOff, HandoffFailed,
	// TableAppended, HistoryReceived, FleetChanged or Tick.
	Event interface{ event() }

	// Intent is an action that a Book requests: Reply, SendHandoff, Propose or Wake.
	Intent interface{ intent() }

	// Asked passes an ask of a VM, including this one. Token is returned in the Reply.
	Asked struct {
		Token uint64
		Ask   *peerpb.ClaimAsk
	}

	// Updated passes a runner's update of its claim.
	Updated struct{ Update *peerpb.ClaimUpdate }

	// HandedOff passes one part of another seat's records.
	HandedOff struct{ Handoff *peerpb.ClaimHandoff }

	// HandoffFailed reports that a SendHandoff was not acknowledged.
	HandoffFailed struct {
		To    board.VMRef
		Epoch uint64
	}

	// TableAppended passes a record of the log stream of seat tables, in log order.
	// Epoch is the record's offset plus one, so it grows along the log and is never
	// zero.
	TableAppended struct {
		Epoch uint64
		Table *peerpb.SeatTable
	}

	// HistoryReceived passes the tables of a peer. It has an effect only before the
	// first table.
	HistoryReceived struct{ Seats *SeatTable }

	// FleetChanged passes this VM's view of the fleet. It only determines which table
	// to propose.
	FleetChanged struct{ Fleet *board.Fleet }

	// Tick advances the time.
	Tick struct{}

	// Reply answers the ask with the same Token.
	Reply struct {
		Token uint64
		Reply *peerpb.ClaimReply
	}

	// SendHandoff sends one part of the records to another seat. If it is not
	// acknowledged, pass HandoffFailed.
	SendHandoff struct {
		To      board.VMRef
		Handoff *peerpb.ClaimHandoff
	}

	// Propose appends a table to the log stream of seat tables.
	Propose struct{ Table *peerpb.SeatTable }

	// Wake requests a Tick, or an AskerTick, at the given time.
	Wake struct{ At clock.Millis }

	// AskerEvent is an input to an Asker: Begin, Replied, AskFailed, ViewChanged,
	// AskerTick, StateChanged or Revalidate.
	AskerEvent interface{ askerEvent() }

	// AskerIntent is an action that an Asker requests: SendAsk, SendUpdate, Decided or
	// Wake.
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

	// AskFailed reports that an ask will not be replied to.
	AskFailed struct{ Number uint64 }

	// ViewChanged passes a new seat table, a new view of the fleet, or both.
	ViewChanged struct {
		Seats *SeatTable
		Fleet *board.Fleet
	}

	// AskerTick advances the time.
	AskerTick struct{}

	// StateChanged reports the state of the key after a Run or a TakeOver, to be sent
	// to the seats. No reply is expected.
	StateChanged struct {
		State             State // Dispatched, Decoding, RefusedNotRun or Complete
		DecodeServer      string
		DecodeIncarnation uint64 // of DecodeServer; zero if it reports none
		EngineRequest     string
	}

	// Revalidate requests a check whether a runner may continue: after a pause, after it
	// was considered dead, and after Decided.Until. It results in Decided with Run or
	// Lost.
	Revalidate struct {
		Seats *SeatTable
		Fleet *board.Fleet
	}

	// SendAsk sends an ask to a seat, which may be this VM itself.
	SendAsk struct {
		Number uint64
		To     board.VMRef
		Ask    *peerpb.ClaimAsk
	}

	// SendUpdate sends the claim's state to a seat; no reply is needed.
	SendUpdate struct {
		To     board.VMRef
		Update *peerpb.ClaimUpdate
	}

	// Decided is the verdict. Ran and Reason are set for verdicts that end in a
	// refusal.
	Decided struct {
		Verdict      Verdict
		Runner       board.VMRef
		Attempt      uint32
		DecodeServer string
		// DecodeIncarnation is of DecodeServer; zero if it reports none.
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

// dispatched reports whether the state proves that the claim had a majority.
func (st State) dispatched() bool { return st == Dispatched || st == Decoding || st == Complete }

// freesKey reports whether the key is free for another claim.
func (st State) freesKey() bool { return st == Released || st == RefusedNotRun }

// rank orders the states of one claim by how much is known of it.
func (st State) rank() int { return slices.Index(statesByRank, st) + 1 }
