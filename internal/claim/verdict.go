package claim

import (
	"cmp"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// evaluate decides on the replies received so far.
func (ak *Asker) evaluate(now clock.Millis) []AskerIntent {
	ta := ak.tallyReplies()
	if ak.phase == confirming {
		return ak.evaluateConfirm(now, ta)
	}
	switch {
	case ta.otherPrint:
		return ak.decideRefusal(Reused, refusal.NotRun, refusal.KeyReused, ta)
	case ta.granted >= ak.majority():
		return ak.decideRun(now, ta)
	case ak.Idempotent && ta.granted > 0 && ta.held == 0:
		return ak.decideRun(now, ta)
	}
	if out, done := ak.evaluateHeld(now, ta); done {
		return out
	}
	switch {
	case ta.waiting > 0:
		return nil
	case len(ak.asks) < len(ak.group):
		return ak.askNext(now)
	}
	return ak.endRound(now, ta)
}

// evaluateHeld decides what can be decided as soon as a seat holds another claim.
func (ak *Asker) evaluateHeld(now clock.Millis, ta tally) ([]AskerIntent, bool) {
	if ta.bestHeld == nil {
		return nil, false
	}
	state := State(ta.bestHeld.GetState())
	alive := ak.runnerAlive(ta.bestHeld)
	switch {
	case alive && state == Claimed && ak.isOwn(ta.bestHeld):
		return nil, false // released by this VM; the update is still on its way
	case alive && state != Doubtful && (ta.granted == 0 || state.dispatched() || ta.bestHeldCount >= ak.majority()):
		return ak.decideFollow(ta), true
	case alive:
		return nil, false
	case ak.Idempotent || (state == Decoding && ta.bestHeld.GetEngineRequest() != ""):
		if ak.superseded.GetClaim() == ta.bestHeld.GetClaim() || ak.supersedeCount >= maxSupersedes {
			return nil, false
		}
		ak.superseded = ta.bestHeld
		ak.supersedeCount++
		return ak.beginRound(now), true
	case state == Complete:
		return ak.decideRefusal(Ended, refusal.MayHaveRun, refusal.VMLost, ta), true
	case state.dispatched() || ta.bestHeldCount >= ak.majority():
		return ak.decideRefusal(InDoubt, refusal.MayHaveRun, refusal.KeyInDoubt, ta), true
	}
	return nil, false
}

func (ak *Asker) majority() int {
	if ak.disabled&guardMajority != 0 {
		return 1
	}
	return ak.group.Majority()
}

// runnerAlive reports whether the runner of a claim may still have the key.
func (ak *Asker) runnerAlive(rp *peerpb.ClaimReply) bool {
	ref := board.VMRef{ID: rp.GetRunnerID(), Incarnation: rp.GetRunnerIncarnation()}
	if ref == ak.LostRunner {
		return false
	}
	if ref == ak.Self {
		return true
	}
	vm, ok := ak.fleet.VM(ref.ID)
	return ok && vm.VMRef == ref && (vm.Health == board.Alive || vm.Health == board.Suspect)
}

// isOwn reports whether a claim was made by this VM in its current incarnation.
func (ak *Asker) isOwn(rp *peerpb.ClaimReply) bool {
	return board.VMRef{ID: rp.GetRunnerID(), Incarnation: rp.GetRunnerIncarnation()} == ak.Self
}

// endRound ends a round in which all seats were asked without a decision: it releases
// the claim and asks the seats again after a backoff.
func (ak *Asker) endRound(now clock.Millis, ta tally) []AskerIntent {
	if !ak.scheduleRetry(now) {
		return ak.timedOut(now, ta)
	}
	out := ak.releaseAll()
	ak.phase = backingOff
	return append(out, Wake{ak.retryAt})
}

// scheduleRetry sets the start of the next round and reports whether there is time for
// it.
func (ak *Asker) scheduleRetry(now clock.Millis) bool {
	backoff := minBackoff << min(ak.round, 5)
	backoff += clock.Millis(ak.Rand.Int64N(int64(backoff)))
	ak.round++
	ak.retryAt = now + backoff
	return ak.retryAt < ak.startedAt+cmp.Or(ak.Patience, defaultPatience)
}

// timedOut ends a search for which no further round fits into Patience. The request did
// not run if nobody else can have the key, or if a majority of the seats has no other
// claim on record.
func (ak *Asker) timedOut(now clock.Millis, ta tally) []AskerIntent {
	ran := refusal.MayHaveRun
	if ak.Fresh || (len(ak.group) > 0 && ta.noClaim >= ak.majority()) {
		ran = refusal.NotRun
	}
	switch {
	case ta.bestHeld != nil && ak.runnerAlive(ta.bestHeld) && State(ta.bestHeld.GetState()) != Doubtful:
		return ak.decideFollow(ta)
	case ak.Idempotent:
		return ak.decideRun(now, ta)
	case ta.bestHeld != nil:
		return ak.decideRefusal(InDoubt, ran, refusal.KeyInDoubt, ta)
	case len(ak.group) == 0:
		return ak.decideRefusal(Unavailable, ran, refusal.Starting, ta)
	}
	return ak.decideRefusal(Unavailable, ran, refusal.HomeUnreachable, ta)
}

// decideRun ends the search; this VM runs the key.
func (ak *Asker) decideRun(now clock.Millis, ta tally) []AskerIntent {
	ak.phase = decided
	ak.attempt = max(ta.attempt, ak.superseded.GetAttempt()+1)
	dc := Decided{Verdict: Run, Runner: ak.Self, Attempt: ak.attempt, Until: ak.roundStart + grantTTL}
	if ak.superseded != nil {
		dc.Verdict = TakeOver
		dc = dc.withDecode(ak.superseded)
	}
	if ta.resume != nil {
		dc = dc.withDecode(ta.resume)
	}
	out := []AskerIntent{dc}
	if ak.Idempotent && len(ak.asks) < min(2, len(ak.group)) {
		out = append(out, ak.askNext(now)...) // a second record, which the request does not wait for
	}
	return out
}

// decideFollow ends the search; another VM runs or ran the key.
func (ak *Asker) decideFollow(ta tally) []AskerIntent {
	out := ak.releaseAll()
	ak.phase = decided
	return append(out, Decided{
		Verdict: Follow, Attempt: ta.bestHeld.GetAttempt(),
		Runner: board.VMRef{ID: ta.bestHeld.GetRunnerID(), Incarnation: ta.bestHeld.GetRunnerIncarnation()},
	}.withDecode(ta.bestHeld))
}

// decideRefusal ends the search with a verdict that refuses the request.
func (ak *Asker) decideRefusal(vd Verdict, ran refusal.Ran, rs refusal.Reason, ta tally) []AskerIntent {
	out := ak.releaseAll()
	ak.phase = decided
	dc := Decided{Verdict: vd, Ran: ran, Reason: rs, Attempt: ta.bestHeld.GetAttempt()}
	if ta.bestHeld != nil {
		dc.Runner = board.VMRef{ID: ta.bestHeld.GetRunnerID(), Incarnation: ta.bestHeld.GetRunnerIncarnation()}
	}
	return append(out, dc)
}

// cannotConfirm reports whether the claim can no longer be confirmed: another claim is
// on record, or too few seats have it.
func (ak *Asker) cannotConfirm(ta tally, need int) bool {
	return ak.Idempotent && ta.held > 0 || ta.held+ta.absent > len(ak.group)-need
}

// evaluateConfirm decides whether a runner may continue. Seats that do not reply, or are
// settling after a change of their table, neither confirm nor deny the claim: they are
// asked again, and the claim stays unchanged.
func (ak *Asker) evaluateConfirm(now clock.Millis, ta tally) []AskerIntent {
	need := ak.majority()
	if ak.Idempotent {
		need = 1
	}
	switch {
	case ta.granted >= need && (!ak.Idempotent || ta.held == 0 && ta.waiting == 0 && len(ak.asks) == len(ak.group)):
		ak.phase = decided
		return []AskerIntent{Decided{
			Verdict: Run, Runner: ak.Self, Attempt: max(ak.attempt, ta.attempt), Until: ak.roundStart + grantTTL,
		}}
	case ta.waiting > 0:
		return nil
	case len(ak.asks) < len(ak.group):
		return ak.askNext(now)
	case !ak.cannotConfirm(ta, need) && ak.scheduleRetry(now):
		ak.phase = confirmingLater
		return []AskerIntent{Wake{ak.retryAt}}
	}
	ak.phase = decided
	return []AskerIntent{Decided{Verdict: Lost, Runner: ak.Self, Attempt: ak.attempt}}
}

// withDecode adds the decode named by a message to the verdict.
func (dc Decided) withDecode(msg decodeMessage) Decided {
	dc.DecodeServer, dc.DecodeIncarnation, dc.EngineRequest = msg.GetDecodeServer(), msg.GetDecodeIncarnation(), msg.GetEngineRequest()
	return dc
}
