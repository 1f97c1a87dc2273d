package claim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	defaultPatience   = 2 * clock.Second
	defaultAskTimeout = 300 * clock.Millis(1)
	minBackoff        = 20 * clock.Millis(1)
	grantTTL          = 10 * clock.Second
	maxSupersedes     = 3
)

type (
	// Asker collects the grants of a key's seats for one request and afterwards sends
	// the runner's updates to them. Set the exported fields before the first Step, and
	// pass ViewChanged for as long as the key runs here.
	Asker struct {
		Self        board.VMRef
		Customer    string
		Key         string
		Fingerprint []byte // hash of the request, at most 64 bytes
		Idempotent  bool
		// Fresh means that this VM generated the key for this request, so that nobody
		// can have asked for it before.
		Fresh bool
		// LostRunner is a runner that reported that it does not have the key.
		LostRunner board.VMRef
		Keep       clock.Millis // how long seats keep the key after it has ended
		Patience   clock.Millis // limit of the search; two seconds by default
		AskTimeout clock.Millis // timeout of one ask; 300 ms by default
		Rand       *rand.Rand   // for claim numbers and jitter

		// StrayReplies counts replies to abandoned asks.
		StrayReplies uint64

		seats          *SeatTable
		fleet          *board.Fleet
		group          Group
		phase          phase
		startedAt      clock.Millis
		round          int
		roundStart     clock.Millis // when the round began
		retryAt        clock.Millis
		claim          uint64
		attempt        uint32
		superseded     *peerpb.ClaimReply // the dead runner's claim to replace
		supersedeCount int                // number of claims replaced so far
		lastNumber     uint64             // of the last ask
		disabled       guard              // guards that tests disable
		asks           []seatAsk          // of this round
		notified       []board.VMRef      // seats that were sent the claim, in any round
		lastState      StateChanged       // last state that was sent to the seats
	}

	// seatAsk is one ask of a round.
	seatAsk struct {
		number  uint64
		to      board.VMRef
		expires clock.Millis
		failed  bool
		reply   *peerpb.ClaimReply
	}

	phase int
)

const (
	idle phase = iota
	asking
	backingOff
	confirming
	confirmingLater // the last round neither confirmed nor denied the claim
	decided
)

// Step processes one event. After Decided, only StateChanged and Revalidate have an
// effect.
func (ak *Asker) Step(now clock.Millis, ev AskerEvent) []AskerIntent {
	switch ev := ev.(type) {
	case Begin:
		ak.seats, ak.fleet, ak.startedAt, ak.phase = ev.Seats, ev.Fleet, now, asking
		return ak.beginRound(now)
	case Replied:
		return ak.replied(now, ev)
	case AskFailed:
		return ak.failed(now, ev.Number)
	case ViewChanged:
		return ak.changed(now, ev)
	case AskerTick:
		return ak.elapsed(now)
	case StateChanged:
		return ak.announceState(ev)
	case Revalidate:
		return ak.revalidate(now, ev)
	}
	return nil
}

// revalidate checks again whether the claim is on record. If the search has not ended,
// there is nothing to confirm, and it continues with a new round.
func (ak *Asker) revalidate(now clock.Millis, ev Revalidate) []AskerIntent {
	ak.seats, ak.fleet = ev.Seats, ev.Fleet
	if ak.phase == asking || ak.phase == backingOff {
		ak.phase = asking
		return ak.beginRound(now)
	}
	ak.startedAt, ak.phase, ak.round = now, confirming, 0
	return ak.beginRound(now)
}

// beginRound starts a round of asks to the seats of the key's current group. It keeps
// the claim's number unless the claim was released.
func (ak *Asker) beginRound(now clock.Millis) []AskerIntent {
	ak.group = ak.seats.Group(ak.Customer, ak.Key)
	ak.asks, ak.roundStart = nil, now
	if ak.claim == 0 {
		ak.claim = ak.Rand.Uint64() | 1
	}
	if len(ak.group) == 0 {
		return ak.endRound(now, tally{})
	}
	return ak.askNext(now)
}

// askNext sends an ask to the seat after the last one asked.
func (ak *Asker) askNext(now clock.Millis) []AskerIntent {
	to := ak.group[len(ak.asks)]
	ak.lastNumber++
	timeout := cmp.Or(ak.AskTimeout, defaultAskTimeout)
	ak.asks = append(ak.asks, seatAsk{number: ak.lastNumber, to: to, expires: now + timeout})
	if !slices.Contains(ak.notified, to) {
		ak.notified = append(ak.notified, to)
	}
	ask := &peerpb.ClaimAsk{
		Key: ak.Key, Customer: ak.Customer, Fingerprint: ak.Fingerprint,
		RunnerID: ak.Self.ID, RunnerIncarnation: ak.Self.Incarnation,
		Idempotent: ak.Idempotent, Keep: int64(ak.Keep), Claim: ak.claim,
		Group: ak.group.digest(), Supersedes: ak.superseded.GetClaim(), Confirm: ak.phase == confirming,
	}
	return []AskerIntent{SendAsk{Number: ak.lastNumber, To: to, Ask: ask}, Wake{now + timeout}}
}

func (ak *Asker) replied(now clock.Millis, ev Replied) []AskerIntent {
	sa := ak.findAsk(ev.Number)
	if sa != nil && sa.reply == nil && ak.phase == decided && ak.claim != 0 {
		return ak.announceLate(sa.to, ev.Reply)
	}
	if sa == nil || sa.reply != nil || (ak.phase != asking && ak.phase != confirming) {
		ak.StrayReplies++
		return nil
	}
	sa.reply, sa.failed = ev.Reply, false
	return ak.evaluate(now)
}

func (ak *Asker) failed(now clock.Millis, number uint64) []AskerIntent {
	sa := ak.findAsk(number)
	if sa == nil || sa.failed || sa.reply != nil || (ak.phase != asking && ak.phase != confirming) {
		return nil
	}
	sa.failed = true
	return ak.evaluate(now)
}

func (ak *Asker) findAsk(number uint64) *seatAsk {
	for ix := range ak.asks {
		if ak.asks[ix].number == number {
			return &ak.asks[ix]
		}
	}
	return nil
}

// changed applies a new table or view. Grants of another group no longer count; the
// claim keeps its number, so seats of both groups grant it again.
func (ak *Asker) changed(now clock.Millis, ev ViewChanged) []AskerIntent {
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
	return ak.beginRound(now)
}

func (ak *Asker) elapsed(now clock.Millis) []AskerIntent {
	switch ak.phase {
	case asking, confirming:
		return ak.expireAsks(now)
	case backingOff:
		if now < ak.retryAt {
			return []AskerIntent{Wake{ak.retryAt}}
		}
		ak.phase = asking
		return ak.beginRound(now)
	case confirmingLater:
		if now < ak.retryAt {
			return []AskerIntent{Wake{ak.retryAt}}
		}
		ak.phase = confirming
		return ak.beginRound(now)
	case idle, decided:
	}
	return nil
}

// expireAsks fails the asks whose timeout has passed. It requests another AskerTick for
// those still open, because the current one may have been requested by an earlier ask.
func (ak *Asker) expireAsks(now clock.Millis) []AskerIntent {
	hit := false
	var out []AskerIntent
	for ix := range ak.asks {
		sa := &ak.asks[ix]
		switch {
		case sa.reply != nil || sa.failed:
		case now >= sa.expires:
			sa.failed, hit = true, true
		default:
			out = append(out, Wake{sa.expires})
		}
	}
	if hit {
		out = append(out, ak.evaluate(now)...)
	}
	return out
}

// releaseAll releases the claim at all seats that were sent it, whatever they answered,
// because a seat that granted it may since have handed it over to one that did not. The
// claim's number is never used again.
func (ak *Asker) releaseAll() []AskerIntent {
	var out []AskerIntent
	for _, to := range ak.notified {
		out = append(out, SendUpdate{To: to, Update: ak.newUpdate(Released)})
	}
	ak.claim, ak.superseded, ak.notified, ak.lastState = 0, nil, nil, StateChanged{}
	return out
}

func (ak *Asker) newUpdate(state State) *peerpb.ClaimUpdate {
	return &peerpb.ClaimUpdate{
		Key: ak.Key, Customer: ak.Customer, RunnerID: ak.Self.ID, RunnerIncarnation: ak.Self.Incarnation,
		Attempt: ak.attempt, State: string(state), Claim: ak.claim,
	}
}

// announceState sends the state of the running claim to the seats.
func (ak *Asker) announceState(sc StateChanged) []AskerIntent {
	if ak.phase != decided || ak.claim == 0 {
		return nil
	}
	if ak.superseded != nil && !ak.Idempotent && sc.State.freesKey() {
		return nil // the previous runner may have run the request
	}
	ak.lastState = sc
	var out []AskerIntent
	for _, to := range ak.seats.Group(ak.Customer, ak.Key) {
		out = append(out, ak.stateUpdate(to))
	}
	return out
}

// announceLate sends the current state to a seat whose reply arrives while the claim is
// already running: an update that arrived before the seat's record had no effect.
func (ak *Asker) announceLate(to board.VMRef, rp *peerpb.ClaimReply) []AskerIntent {
	if Answer(rp.GetVerdict()) != Granted || ak.lastState.State == "" {
		return nil
	}
	return []AskerIntent{ak.stateUpdate(to)}
}

// stateUpdate returns the update that sends the running claim's state to a seat.
func (ak *Asker) stateUpdate(to board.VMRef) SendUpdate {
	up := ak.newUpdate(ak.lastState.State)
	up.DecodeServer, up.DecodeIncarnation, up.EngineRequest = ak.lastState.DecodeServer, ak.lastState.DecodeIncarnation, ak.lastState.EngineRequest
	return SendUpdate{To: to, Update: up}
}
