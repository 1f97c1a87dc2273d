package claim

import (
	"cmp"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// weigh decides what the replies so far mean.
func (ak *Asker) weigh(now clock.Millis) []AskerIntent {
	ta := ak.count()
	if ak.phase == confirming {
		return ak.weighConfirm(now, ta)
	}
	switch {
	case ta.otherPrint:
		return ak.refuse(Reused, refusal.NotRun, refusal.KeyReused, ta)
	case ta.granted >= ak.majority():
		return ak.run(now, ta)
	case ak.Idempotent && ta.granted > 0 && ta.held == 0:
		return ak.run(now, ta)
	}
	if out, done := ak.weighHeld(now, ta); done {
		return out
	}
	switch {
	case ta.waiting > 0:
		return nil
	case len(ak.asks) < len(ak.group):
		return ak.next(now)
	}
	return ak.roundOver(now, ta)
}

// weighHeld decides what can be decided as soon as a seat holds another
// claim.
func (ak *Asker) weighHeld(now clock.Millis, ta tally) ([]AskerIntent, bool) {
	if ta.best == nil {
		return nil, false
	}
	state := State(ta.best.GetState())
	alive := ak.alive(ta.best)
	switch {
	case alive && state == Claimed && ak.own(ta.best):
		return nil, false // given back by this VM; the word of it is on its way
	case alive && state != Doubtful && (ta.granted == 0 || state.dispatched() || ta.bestCount >= ak.majority()):
		return ak.follow(ta), true
	case alive:
		return nil, false
	case ak.Idempotent || (state == Decoding && ta.best.GetEngineRequest() != ""):
		if ak.super.GetClaim() == ta.best.GetClaim() || ak.supers >= maxSupers {
			return nil, false
		}
		ak.super = ta.best
		ak.supers++
		return ak.begin(now), true
	case state == Complete:
		return ak.refuse(Ended, refusal.MayHaveRun, refusal.VMLost, ta), true
	case state.dispatched() || ta.bestCount >= ak.majority():
		return ak.refuse(InDoubt, refusal.MayHaveRun, refusal.KeyInDoubt, ta), true
	}
	return nil, false
}

func (ak *Asker) majority() int {
	if ak.without&guardMajority != 0 {
		return 1
	}
	return ak.group.Majority()
}

// alive tells whether the runner of a claim may still know the key.
func (ak *Asker) alive(rp *peerpb.ClaimReply) bool {
	ref := board.VMRef{ID: rp.GetRunnerID(), Incarnation: rp.GetRunnerIncarnation()}
	if ref == ak.GivenUp {
		return false
	}
	if ref == ak.Self {
		return true
	}
	vm, ok := ak.fleet.VM(ref.ID)
	return ok && vm.VMRef == ref && (vm.Health == board.Alive || vm.Health == board.Suspect)
}

// own tells whether a claim is of this run of this VM.
func (ak *Asker) own(rp *peerpb.ClaimReply) bool {
	return board.VMRef{ID: rp.GetRunnerID(), Incarnation: rp.GetRunnerIncarnation()} == ak.Self
}

// roundOver ends a round in which all seats were asked without a decision:
// the grants are given back, and after a pause the seats are asked again.
func (ak *Asker) roundOver(now clock.Millis, ta tally) []AskerIntent {
	if !ak.backOff(now) {
		return ak.timedOut(now, ta)
	}
	out := ak.giveBack()
	ak.phase = backingOff
	return append(out, Wake{ak.retryAt})
}

// backOff sets when the next round begins, and tells whether there is time for it.
func (ak *Asker) backOff(now clock.Millis) bool {
	backoff := firstBackoff << min(ak.round, 5)
	backoff += clock.Millis(ak.Rand.Int64N(int64(backoff)))
	ak.round++
	ak.retryAt = now + backoff
	return ak.retryAt < ak.began+cmp.Or(ak.Patience, defaultPatience)
}

func (ak *Asker) timedOut(now clock.Millis, ta tally) []AskerIntent {
	ran := refusal.MayHaveRun
	if ak.Fresh || (len(ak.group) > 0 && ta.clear >= ak.majority()) {
		ran = refusal.NotRun
	}
	switch {
	case ta.best != nil && ak.alive(ta.best) && State(ta.best.GetState()) != Doubtful:
		return ak.follow(ta)
	case ak.Idempotent:
		return ak.run(now, ta)
	case ta.best != nil:
		return ak.refuse(InDoubt, ran, refusal.KeyInDoubt, ta)
	case len(ak.group) == 0:
		return ak.refuse(Unavailable, ran, refusal.Starting, ta)
	}
	return ak.refuse(Unavailable, ran, refusal.HomeUnreachable, ta)
}

// run ends the search with the key as this VM's.
func (ak *Asker) run(now clock.Millis, ta tally) []AskerIntent {
	ak.phase = decided
	ak.attempt = max(ta.attempt, ak.super.GetAttempt()+1)
	dc := Decided{Verdict: Run, Runner: ak.Self, Attempt: ak.attempt, Until: ak.roundAt + grantValid}
	if ak.super != nil {
		dc.Verdict = TakeOver
		dc = dc.withDecode(ak.super)
	}
	if ta.resume != nil {
		dc = dc.withDecode(ta.resume)
	}
	out := []AskerIntent{dc}
	if ak.Idempotent && len(ak.asks) < min(2, len(ak.group)) {
		out = append(out, ak.next(now)...) // a second record, for which nothing waits
	}
	return out
}

func (ak *Asker) follow(ta tally) []AskerIntent {
	out := ak.giveBack()
	ak.phase = decided
	return append(out, Decided{
		Verdict: Follow, Attempt: ta.best.GetAttempt(),
		Runner: board.VMRef{ID: ta.best.GetRunnerID(), Incarnation: ta.best.GetRunnerIncarnation()},
	}.withDecode(ta.best))
}

func (ak *Asker) refuse(vd Verdict, ran refusal.Ran, rs refusal.Reason, ta tally) []AskerIntent {
	out := ak.giveBack()
	ak.phase = decided
	dc := Decided{Verdict: vd, Ran: ran, Reason: rs, Attempt: ta.best.GetAttempt()}
	if ta.best != nil {
		dc.Runner = board.VMRef{ID: ta.best.GetRunnerID(), Incarnation: ta.best.GetRunnerIncarnation()}
	}
	return append(out, dc)
}

// denied tells whether the claim can't be confirmed any more: another one is on
// record, or too few seats have it.
func (ak *Asker) denied(ta tally, need int) bool {
	return ak.Idempotent && ta.held > 0 || ta.held+ta.absent > len(ak.group)-need
}

// weighConfirm decides whether a runner may go on. Seats that stand still, or
// settle after a change of their table, say neither that the claim stands nor that
// it does not: they are asked again, and the claim stays as it is.
func (ak *Asker) weighConfirm(now clock.Millis, ta tally) []AskerIntent {
	need := ak.majority()
	if ak.Idempotent {
		need = 1
	}
	switch {
	case ta.granted >= need && (!ak.Idempotent || ta.held == 0 && ta.waiting == 0 && len(ak.asks) == len(ak.group)):
		ak.phase = decided
		return []AskerIntent{Decided{
			Verdict: Run, Runner: ak.Self, Attempt: max(ak.attempt, ta.attempt), Until: ak.roundAt + grantValid,
		}}
	case ta.waiting > 0:
		return nil
	case len(ak.asks) < len(ak.group):
		return ak.next(now)
	case !ak.denied(ta, need) && ak.backOff(now):
		ak.phase = confirmingLater
		return []AskerIntent{Wake{ak.retryAt}}
	}
	ak.phase = decided
	return []AskerIntent{Decided{Verdict: Lost, Runner: ak.Self, Attempt: ak.attempt}}
}

// withDecode returns the verdict with where the decode may run.
func (dc Decided) withDecode(msg decodeMessage) Decided {
	dc.DecodeServer, dc.DecodeIncarnation, dc.EngineRequest = msg.GetDecodeServer(), msg.GetDecodeIncarnation(), msg.GetEngineRequest()
	return dc
}
