package claim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	defaultPatience   = 2 * clock.Second
	defaultAskTimeout = 300 * clock.Millis(1)
	firstBackoff      = 20 * clock.Millis(1)
	grantValid        = 10 * clock.Second
	maxSupers         = 3
)

type (
	// Asker is one request's search for the grants of its key's seats, and
	// afterwards the runner's link to them. Set the exported fields before
	// the first Step, and pass Changed for as long as the key runs here.
	Asker struct {
		Self        board.VMRef
		Customer    string
		Key         string
		Fingerprint []byte // hash of the request, at most 64 bytes
		Idempotent  bool
		// Fresh says that this VM made the key for this request, so that
		// nobody can have asked for it before.
		Fresh bool
		// GivenUp is a runner that said that it does not know the key.
		GivenUp    board.VMRef
		Keep       clock.Millis // how long seats keep the key after its end
		Patience   clock.Millis // span for the search; two seconds by default
		AskTimeout clock.Millis // span for one ask; 300 ms by default
		Rand       *rand.Rand   // for claim numbers and jitter

		// Stray counts replies to asks that were given up.
		Stray uint64

		seats   *Seats
		fleet   *board.Fleet
		group   Group
		phase   phase
		began   clock.Millis
		round   int
		roundAt clock.Millis // when the round began
		retryAt clock.Millis
		claim   uint64
		attempt uint32
		super   *peerpb.ClaimReply // the dead runner's claim to replace
		supers  int                // how many were replaced so far
		number  uint64             // of the last ask
		without guard              // only tests take guards away
		asks    []seatAsk          // of this round
		told    []board.VMRef      // seats that heard of the claim, in any round
	}

	// seatAsk is one ask of a round.
	seatAsk struct {
		number  uint64
		to      board.VMRef
		expires clock.Millis
		failed  bool
		reply   *peerpb.ClaimReply
	}

	// tally is what the replies of a round amount to.
	tally struct {
		granted, clear, held, unknown, waiting int
		otherPrint                             bool
		attempt                                uint32
		resume                                 *peerpb.ClaimReply // names a decode that may be resumed
		best                                   *peerpb.ClaimReply // of the Held replies
		bestCount                              int                // seats that hold the claim of best
	}

	phase int
)

const (
	idle phase = iota
	asking
	backingOff
	confirming
	decided
)

// Step takes one event. After Decided, only Became and Revalidate have an
// effect.
func (ak *Asker) Step(now clock.Millis, ev AskerEvent) []AskerIntent {
	switch ev := ev.(type) {
	case Begin:
		ak.seats, ak.fleet, ak.began, ak.phase = ev.Seats, ev.Fleet, now, asking
		return ak.begin(now)
	case Replied:
		return ak.replied(now, ev)
	case Failed:
		return ak.failed(now, ev.Number)
	case Changed:
		return ak.changed(now, ev)
	case Elapsed:
		return ak.elapsed(now)
	case Became:
		return ak.tell(ev.State, ev.DecodeServer, ev.EngineRequest)
	case Revalidate:
		return ak.revalidate(now, ev)
	}
	return nil
}

// revalidate asks anew whether the claim stands. One that is still searched
// for has nothing to confirm: the search goes on, with a round of its own.
func (ak *Asker) revalidate(now clock.Millis, ev Revalidate) []AskerIntent {
	ak.seats, ak.fleet = ev.Seats, ev.Fleet
	if ak.phase == asking || ak.phase == backingOff {
		ak.phase = asking
		return ak.begin(now)
	}
	ak.began, ak.phase, ak.round = now, confirming, 0
	return ak.begin(now)
}

// begin starts a round.
func (ak *Asker) begin(now clock.Millis) []AskerIntent {
	ak.group = ak.seats.Group(ak.Customer, ak.Key)
	ak.asks, ak.roundAt = nil, now
	if ak.claim == 0 {
		ak.claim = ak.Rand.Uint64() | 1
	}
	if len(ak.group) == 0 {
		return ak.roundOver(now, tally{})
	}
	return ak.next(now)
}

// next asks the seat after the last one asked.
func (ak *Asker) next(now clock.Millis) []AskerIntent {
	to := ak.group[len(ak.asks)]
	ak.number++
	timeout := cmp.Or(ak.AskTimeout, defaultAskTimeout)
	ak.asks = append(ak.asks, seatAsk{number: ak.number, to: to, expires: now + timeout})
	if !slices.Contains(ak.told, to) {
		ak.told = append(ak.told, to)
	}
	ask := &peerpb.ClaimAsk{
		Key: ak.Key, Customer: ak.Customer, Fingerprint: ak.Fingerprint,
		RunnerID: ak.Self.ID, RunnerIncarnation: ak.Self.Incarnation,
		Idempotent: ak.Idempotent, Keep: int64(ak.Keep), Claim: ak.claim,
		Group: ak.group.digest(), Supersedes: ak.super.GetClaim(), Confirm: ak.phase == confirming,
	}
	return []AskerIntent{SendAsk{Number: ak.number, To: to, Ask: ask}, Wake{now + timeout}}
}

func (ak *Asker) replied(now clock.Millis, ev Replied) []AskerIntent {
	sa := ak.find(ev.Number)
	if sa == nil || sa.reply != nil || (ak.phase != asking && ak.phase != confirming) {
		ak.Stray++
		return nil
	}
	sa.reply, sa.failed = ev.Reply, false
	return ak.weigh(now)
}

func (ak *Asker) failed(now clock.Millis, number uint64) []AskerIntent {
	sa := ak.find(number)
	if sa == nil || sa.failed || sa.reply != nil || (ak.phase != asking && ak.phase != confirming) {
		return nil
	}
	sa.failed = true
	return ak.weigh(now)
}

func (ak *Asker) find(number uint64) *seatAsk {
	for ix := range ak.asks {
		if ak.asks[ix].number == number {
			return &ak.asks[ix]
		}
	}
	return nil
}

// changed takes in a new table or view. Grants of another group count no
// more; the claim keeps its number, so seats of both groups grant it again.
func (ak *Asker) changed(now clock.Millis, ev Changed) []AskerIntent {
	if ev.Fleet != nil {
		ak.fleet = ev.Fleet
	}
	if ev.Seats == nil {
		return nil
	}
	ak.seats = ev.Seats
	if ak.phase != asking && ak.phase != confirming {
		return nil
	}
	if ak.seats.Group(ak.Customer, ak.Key).digest() == ak.group.digest() {
		return nil
	}
	return ak.begin(now)
}

func (ak *Asker) elapsed(now clock.Millis) []AskerIntent {
	switch ak.phase {
	case asking, confirming:
		hit := false
		for ix := range ak.asks {
			sa := &ak.asks[ix]
			if sa.reply == nil && !sa.failed && now >= sa.expires {
				sa.failed, hit = true, true
			}
		}
		if hit {
			return ak.weigh(now)
		}
	case backingOff:
		if now < ak.retryAt {
			return []AskerIntent{Wake{ak.retryAt}}
		}
		ak.phase = asking
		return ak.begin(now)
	case idle, decided:
	}
	return nil
}

// count sums the replies of the round up.
func (ak *Asker) count() tally {
	var ta tally
	for _, sa := range ak.asks {
		switch {
		case sa.reply != nil:
			ta.add(sa.reply)
		case sa.failed:
			ta.unknown++
		default:
			ta.waiting++
		}
	}
	if ta.best != nil {
		for _, sa := range ak.asks {
			if Answer(sa.reply.GetVerdict()) == Held && sa.reply.GetClaim() == ta.best.GetClaim() {
				ta.bestCount++
			}
		}
	}
	return ta
}

func (ta *tally) add(rp *peerpb.ClaimReply) {
	switch Answer(rp.GetVerdict()) {
	case Granted:
		ta.granted++
		ta.clear++
		ta.attempt = max(ta.attempt, rp.GetAttempt())
		if rp.GetDecodeServer() != "" {
			ta.resume = rp
		}
	case Full:
		ta.clear++
		ta.unknown++
	case Held:
		ta.held++
		if ta.best == nil || later(rp, ta.best) {
			ta.best = rp
		}
	case OtherPrint:
		ta.otherPrint = true
	default:
		ta.unknown++
	}
}

// later tells which of two claims on record says more about the key.
func later(ra, rb *peerpb.ClaimReply) bool {
	sa, sb := State(ra.GetState()), State(rb.GetState())
	if sa.dispatched() != sb.dispatched() {
		return sa.dispatched()
	}
	return cmp.Or(cmp.Compare(ra.GetAttempt(), rb.GetAttempt()), cmp.Compare(sa.rank(), sb.rank())) > 0
}

// weigh decides what the replies so far mean.
func (ak *Asker) weigh(now clock.Millis) []AskerIntent {
	ta := ak.count()
	if ak.phase == confirming {
		return ak.weighConfirm(now, ta)
	}
	switch {
	case ta.otherPrint:
		return ak.refuse(now, Reused, refusal.NotRun, refusal.KeyReused, ta)
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
		return ak.follow(now, ta), true
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
		return ak.refuse(now, Ended, refusal.MayHaveRun, refusal.VMLost, ta), true
	case state.dispatched() || ta.bestCount >= ak.majority():
		return ak.refuse(now, InDoubt, refusal.MayHaveRun, refusal.KeyInDoubt, ta), true
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
	backoff := firstBackoff << min(ak.round, 5)
	backoff += clock.Millis(ak.Rand.Int64N(int64(backoff)))
	ak.round++
	if now+backoff >= ak.began+cmp.Or(ak.Patience, defaultPatience) {
		return ak.outOfPatience(now, ta)
	}
	out := ak.giveBack()
	ak.phase, ak.retryAt = backingOff, now+backoff
	return append(out, Wake{ak.retryAt})
}

func (ak *Asker) outOfPatience(now clock.Millis, ta tally) []AskerIntent {
	ran := refusal.MayHaveRun
	if ak.Fresh || (len(ak.group) > 0 && ta.clear >= ak.majority()) {
		ran = refusal.NotRun
	}
	switch {
	case ta.best != nil && ak.alive(ta.best) && State(ta.best.GetState()) != Doubtful:
		return ak.follow(now, ta)
	case ak.Idempotent:
		return ak.run(now, ta)
	case ta.best != nil:
		return ak.refuse(now, InDoubt, ran, refusal.KeyInDoubt, ta)
	case len(ak.group) == 0:
		return ak.refuse(now, Unavailable, ran, refusal.Starting, ta)
	}
	return ak.refuse(now, Unavailable, ran, refusal.HomeUnreachable, ta)
}

// run ends the search with the key as this VM's.
func (ak *Asker) run(now clock.Millis, ta tally) []AskerIntent {
	ak.phase = decided
	ak.attempt = max(ta.attempt, ak.super.GetAttempt()+1)
	dc := Decided{Verdict: Run, Runner: ak.Self, Attempt: ak.attempt, Until: ak.roundAt + grantValid}
	if ak.super != nil {
		dc.Verdict = TakeOver
		dc.DecodeServer, dc.EngineRequest = ak.super.GetDecodeServer(), ak.super.GetEngineRequest()
	}
	if ta.resume != nil {
		dc.DecodeServer, dc.EngineRequest = ta.resume.GetDecodeServer(), ta.resume.GetEngineRequest()
	}
	out := []AskerIntent{dc}
	if ak.Idempotent && len(ak.asks) < min(2, len(ak.group)) {
		out = append(out, ak.next(now)...) // a second record, for which nothing waits
	}
	return out
}

func (ak *Asker) follow(_ clock.Millis, ta tally) []AskerIntent {
	out := ak.giveBack()
	ak.phase = decided
	return append(out, Decided{
		Verdict: Follow, Attempt: ta.best.GetAttempt(),
		Runner:       board.VMRef{ID: ta.best.GetRunnerID(), Incarnation: ta.best.GetRunnerIncarnation()},
		DecodeServer: ta.best.GetDecodeServer(), EngineRequest: ta.best.GetEngineRequest(),
	})
}

func (ak *Asker) refuse(_ clock.Millis, vd Verdict, ran refusal.Ran, rs refusal.Reason, ta tally) []AskerIntent {
	out := ak.giveBack()
	ak.phase = decided
	dc := Decided{Verdict: vd, Ran: ran, Reason: rs, Attempt: ta.best.GetAttempt()}
	if ta.best != nil {
		dc.Runner = board.VMRef{ID: ta.best.GetRunnerID(), Incarnation: ta.best.GetRunnerIncarnation()}
	}
	return append(out, dc)
}

// giveBack releases the claim at all seats that heard of it, whatever they
// answered: one that granted it may have handed it on meanwhile to one that
// did not. The claim's number is never used again.
func (ak *Asker) giveBack() []AskerIntent {
	var out []AskerIntent
	for _, to := range ak.told {
		out = append(out, SendUpdate{To: to, Update: ak.update(Released)})
	}
	ak.claim, ak.super, ak.told = 0, nil, nil
	return out
}

func (ak *Asker) update(state State) *peerpb.ClaimUpdate {
	return &peerpb.ClaimUpdate{
		Key: ak.Key, Customer: ak.Customer, RunnerID: ak.Self.ID, RunnerIncarnation: ak.Self.Incarnation,
		Attempt: ak.attempt, State: string(state), Claim: ak.claim,
	}
}

// tell sends the seats the state of the claim that runs.
func (ak *Asker) tell(state State, server, request string) []AskerIntent {
	if ak.phase != decided || ak.claim == 0 {
		return nil
	}
	if ak.super != nil && !ak.Idempotent && state.over() {
		return nil // the runner before may have run it
	}
	var out []AskerIntent
	for _, to := range ak.seats.Group(ak.Customer, ak.Key) {
		up := ak.update(state)
		up.DecodeServer, up.EngineRequest = server, request
		out = append(out, SendUpdate{To: to, Update: up})
	}
	return out
}

// weighConfirm decides whether a runner may go on.
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
	}
	ak.phase = decided
	return []AskerIntent{Decided{Verdict: Lost, Runner: ak.Self, Attempt: ak.attempt}}
}
