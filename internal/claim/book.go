package claim

import (
	"cmp"
	"maps"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	defaultMaxRecords  = 100_000
	defaultClaimTTL    = 30 * clock.Minute
	defaultSettleSpan  = clock.Second
	defaultDeadSeatTTL = 30 * clock.Second
	resendDelay        = clock.Second
)

type (
	// Settings of a Book. The zero value of a field means its default.
	Settings struct {
		// MaxRecords limits the records created by asks; 100,000 by default. As many
		// records again may be received in handoffs.
		MaxRecords int
		// ClaimTTL is how long a claim that has not ended is kept after its last
		// update; 30 minutes by default. It must exceed the sum of the longest request
		// and the longest Keep.
		ClaimTTL clock.Millis
		// SettleSpan is how long the fleet must be stable before a table is proposed;
		// one second by default.
		SettleSpan clock.Millis
		// DeadSeatTTL is how long a VM that is considered dead keeps its seat; 30
		// seconds by default. Until then its groups work with their two other seats.
		DeadSeatTTL clock.Millis
	}

	// Counts are statistics of a Book.
	Counts struct {
		Records     int // current number of records
		Granted     uint64
		Held        uint64
		Refused     map[Answer]uint64 // by answer
		Conflicts   uint64            // records from handoffs that conflicted with a record here
		HandoffsIn  uint64            // parts
		HandoffsOut uint64            // parts
		BadMessages uint64
	}

	// Book holds the claim records of one VM in its role as a seat. Set the exported
	// fields before the first Step. The zero Settings are usable.
	Book struct {
		Self     board.VMRef
		Settings Settings
		// FromLogStart means that the log stream of seat tables is read from its first
		// record. Without it, the Book waits for HistoryReceived, so that it never
		// mistakes a later table for the first.
		FromLogStart bool

		recs            records
		seats           *SeatTable
		learnedAt       map[uint64]clock.Millis         // when each table was learned
		received        map[uint64]map[board.VMRef]bool // seats whose handoff for a table is complete, by epoch
		partialHandoffs map[handoffSource]*partialHandoff
		handedOff       map[uint64]bool // epochs of the tables for which the records were handed off
		pendingResends  []pendingResend // handoffs that were not acknowledged
		lastSending     uint64          // number of the last handoff sent
		fleet           fleetWatch
		counts          Counts
		disabled        guard // guards that tests disable
	}

	// handoffSource identifies one seat's records for one table.
	handoffSource struct {
		from  board.VMRef
		epoch uint64
	}

	// partialHandoff is a handoff of which parts are missing. A handoff with a higher
	// number from the same seat replaces it.
	partialHandoff struct {
		sending uint64          // number of the handoff at its sender
		parts   map[uint32]bool // parts received
	}

	pendingResend struct {
		to    board.VMRef
		epoch uint64
		at    clock.Millis
	}
)

// Seats returns the current seat table and its predecessors, or nil before the first
// table.
func (bk *Book) Seats() *SeatTable { return bk.seats }

// Counts returns the statistics so far.
func (bk *Book) Counts() Counts {
	out := bk.counts
	out.Records = len(bk.recs.byName)
	out.Refused = maps.Clone(out.Refused)
	return out
}

// Step processes one event. The time must not go back between steps.
func (bk *Book) Step(now clock.Millis, ev Event) []Intent {
	bk.recs.sweep(now)
	switch ev := ev.(type) {
	case Asked:
		return []Intent{Reply{ev.Token, bk.answerAsk(now, ev.Ask)}}
	case Updated:
		bk.update(now, ev.Update)
	case HandedOff:
		bk.receive(now, ev.Handoff)
		return bk.handOff(now)
	case HandoffFailed:
		bk.pendingResends = append(bk.pendingResends, pendingResend{ev.To, ev.Epoch, now + resendDelay})
		return []Intent{Wake{now + resendDelay}}
	case TableAppended:
		return bk.tableAppended(now, ev)
	case HistoryReceived:
		return bk.restoreHistory(now, ev.Seats)
	case FleetChanged:
		bk.fleet.observe(now, ev.Fleet)
		return bk.propose(now)
	case Tick:
		return slices.Concat(bk.resendPending(now), bk.handOff(now), bk.propose(now))
	}
	return nil
}

// answerAsk answers one ask. A grant is recorded, and the record is what later asks are
// answered with.
func (bk *Book) answerAsk(now clock.Millis, ask *peerpb.ClaimAsk) *peerpb.ClaimReply {
	nm := name{ask.GetCustomer(), ask.GetKey()}
	rc := bk.recs.find(nm, now)
	ans := bk.evaluate(now, nm, rc, ask)
	if ans != Granted {
		if ans == Held {
			bk.counts.Held++
		} else {
			bk.countRefused(ans)
		}
		return newReply(ans, rc)
	}
	bk.counts.Granted++
	if rc == nil || rc.claim != ask.GetClaim() {
		rc = bk.storeClaim(now, nm, rc, ask)
	}
	return newReply(Granted, rc)
}

// evaluate returns the answer to an ask without recording a grant.
func (bk *Book) evaluate(now clock.Millis, nm name, rc *record, ask *peerpb.ClaimAsk) Answer {
	if !validNames(nm, ask.GetRunnerID()) || ask.GetClaim() == 0 || len(ask.GetFingerprint()) > maxPrintBytes {
		return Malformed
	}
	gr := bk.seats.Group(nm.customer, nm.key)
	known := slices.Contains(gr, bk.Self) && gr.digest() == ask.GetGroup()
	if !known && bk.disabled&guardGroup == 0 {
		return OtherGroup
	}
	if rc != nil && !rc.state.freesKey() {
		return bk.evaluateHeld(now, nm, rc, ask)
	}
	switch {
	case rc != nil && rc.claim == ask.GetClaim(), ask.GetConfirm():
		return Absent
	case !ask.GetIdempotent() && bk.fleet.inMinorityFor(now, bk.claimTTL()/2):
		return Minority
	case !ask.GetIdempotent() && !bk.covers(now, nm, bk.seats):
		return Settling
	case rc == nil && len(bk.recs.byName) >= bk.maxRecords():
		return Full
	}
	return Granted
}

// evaluateHeld answers an ask for a key that is on record.
func (bk *Book) evaluateHeld(now clock.Millis, nm name, rc *record, ask *peerpb.ClaimAsk) Answer {
	switch {
	case rc.fingerprint != hashFingerprint(ask.GetFingerprint()):
		return OtherPrint
	case rc.claim == ask.GetClaim():
		if rc.state == Doubtful {
			return Held
		}
		if !rc.idempotent && !rc.state.dispatched() && !bk.covers(now, nm, bk.seats) {
			return Settling
		}
		return Granted
	case ask.GetSupersedes() == rc.claim && (rc.idempotent || rc.resumable()):
		return Granted
	}
	return Held
}

// resumable reports whether the decode of a dead runner can be resumed.
func (rc *record) resumable() bool { return rc.state == Decoding && rc.decode != nil }

// storeClaim records a granted claim. If it supersedes a claim that has not ended, the
// earlier claim is kept, so that a release restores it.
func (bk *Book) storeClaim(now clock.Millis, nm name, old *record, ask *peerpb.ClaimAsk) *record {
	rc := &record{
		claim:       ask.GetClaim(),
		fingerprint: hashFingerprint(ask.GetFingerprint()),
		runner:      board.VMRef{ID: ask.GetRunnerID(), Incarnation: ask.GetRunnerIncarnation()},
		expires:     now + bk.claimTTL(),
		keep:        min(max(clock.Millis(ask.GetKeep()), 0), bk.claimTTL()),
		attempt:     1,
		state:       Claimed,
		idempotent:  ask.GetIdempotent(),
	}
	if old != nil {
		rc.attempt = old.attempt + 1
	}
	if old != nil && !old.state.freesKey() {
		rc.superseded, rc.decode, rc.idempotent = old, old.decode, old.idempotent
		old.superseded = nil
		if !rc.idempotent {
			rc.state = Decoding
		}
	}
	bk.recs.put(now, nm, rc)
	return rc
}

// update applies a runner's update of its claim.
func (bk *Book) update(now clock.Millis, up *peerpb.ClaimUpdate) {
	nm := name{up.GetCustomer(), up.GetKey()}
	state := State(up.GetState())
	if !validNames(nm, up.GetRunnerID()) || up.GetClaim() == 0 || state.rank() == 0 || state == Doubtful ||
		len(up.GetDecodeServer()) > maxNameBytes || len(up.GetEngineRequest()) > maxNameBytes {
		bk.counts.BadMessages++
		return
	}
	rc := bk.recs.find(nm, now)
	switch {
	case state == Released:
		bk.release(now, nm, rc, up)
	case rc == nil:
	case rc.claim == up.GetClaim():
		bk.advance(now, rc, state, up)
	case rc.fingerprint == 0:
	case state.dispatched() && !rc.state.dispatched() && up.GetAttempt() >= rc.attempt:
		rc.claim, rc.attempt = up.GetClaim(), up.GetAttempt()
		rc.runner = board.VMRef{ID: up.GetRunnerID(), Incarnation: up.GetRunnerIncarnation()}
		rc.superseded, rc.decode, rc.state = nil, nil, Claimed
		bk.advance(now, rc, state, up)
	}
}

// advance applies an update to the record of the same claim, unless the record already
// has a later state.
func (bk *Book) advance(now clock.Millis, rc *record, state State, up *peerpb.ClaimUpdate) {
	if state.rank() < rc.state.rank() {
		return
	}
	rc.state = state
	if rd := resumableDecodeOf(up); rd != nil {
		rc.decode = rd
	}
	rc.expires = now + bk.claimTTL()
	if state == Complete || state.freesKey() {
		rc.expires = now + rc.keep
		rc.superseded = nil
	}
}

// release releases a claim that its runner never used. If there is no record, it
// creates a released one, so that a late ask of the same claim is not granted.
func (bk *Book) release(now clock.Millis, nm name, rc *record, up *peerpb.ClaimUpdate) {
	switch {
	case rc == nil:
		if len(bk.recs.byName) >= bk.maxRecords() {
			return
		}
		bk.recs.put(now, nm, &record{
			claim:   up.GetClaim(),
			runner:  board.VMRef{ID: up.GetRunnerID(), Incarnation: up.GetRunnerIncarnation()},
			expires: now + bk.claimTTL(), state: Released,
		})
	case rc.claim != up.GetClaim():
	case rc.superseded != nil:
		*rc = *rc.superseded
	case rc.state == Claimed:
		rc.state = Released
	}
}

func (bk *Book) maxRecords() int { return cmp.Or(bk.Settings.MaxRecords, defaultMaxRecords) }

func (bk *Book) claimTTL() clock.Millis { return cmp.Or(bk.Settings.ClaimTTL, defaultClaimTTL) }

func (bk *Book) countRefused(ans Answer) {
	if bk.counts.Refused == nil {
		bk.counts.Refused = map[Answer]uint64{}
	}
	bk.counts.Refused[ans]++
}

func newReply(ans Answer, rc *record) *peerpb.ClaimReply {
	out := &peerpb.ClaimReply{Verdict: string(ans)}
	if rc == nil || ans == OtherPrint || ans == Malformed {
		return out
	}
	out.RunnerID, out.RunnerIncarnation = rc.runner.ID, rc.runner.Incarnation
	out.Attempt, out.State, out.Claim = rc.attempt, string(rc.state), rc.claim
	if rc.decode != nil {
		out.DecodeServer, out.DecodeIncarnation, out.EngineRequest = rc.decode.server, rc.decode.incarnation, rc.decode.request
	}
	return out
}
