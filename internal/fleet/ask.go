package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/overload"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// maxSentAt is the highest reading of another VM's clock that is used: 35,000 years, so that
// differences of two fit their type.
const maxSentAt = 1 << 50

// errNotScheduler reports that the VM is not a scheduler any more.
var errNotScheduler = errors.New("the VM is not a scheduler")

// pendingRequests tracks this VM's requests of one kind that have no reply yet. The
// zero value is empty and ready to use.
type pendingRequests[A any] struct {
	mu         sync.Mutex
	lastNumber uint64
	waiting    map[uint64]chan A
}

// register returns the number of a new request, and the channel that gets its reply.
func (pr *pendingRequests[A]) register() (number uint64, answer <-chan A) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.waiting == nil {
		pr.waiting = make(map[uint64]chan A)
	}
	pr.lastNumber++
	ch := make(chan A, 1)
	pr.waiting[pr.lastNumber] = ch
	return pr.lastNumber, ch
}

// deliver passes a reply to the caller that waits for it. Late and duplicate replies
// are dropped.
func (pr *pendingRequests[A]) deliver(number uint64, ans A) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if ch := pr.waiting[number]; ch != nil {
		ch <- ans
		delete(pr.waiting, number)
	}
}

// remove ends the wait for a reply; a later one is dropped.
func (pr *pendingRequests[A]) remove(number uint64) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	delete(pr.waiting, number)
}

// call sends a request under a new number and waits for its reply. It doesn't resend: a
// caller that gets no reply sends its request to another VM.
func (pr *pendingRequests[A]) call(ctx context.Context, send func(number uint64) error) (A, error) {
	var none A
	number, answer := pr.register()
	defer pr.remove(number)
	if err := send(number); err != nil {
		return none, fmt.Errorf("send the request: %w", err)
	}
	select {
	case ans := <-answer:
		return ans, nil
	case <-ctx.Done():
		return none, fmt.Errorf("wait for the reply: %w", ctx.Err())
	}
}

// requestPlacement sends a placement request to a VM and waits for the reply.
func (fl *Fleet) requestPlacement(ctx context.Context, vm board.VM, ask usage.PlacementRequest) (usage.PlacementReply, error) {
	return fl.placementRequests.call(ctx, func(number uint64) error {
		pa := placementRequestToWire(number, ask)
		fl.stateWait(ctx, pa)
		return fl.peers.SendDatagram(vm, &peerpb.Datagram{Body: &peerpb.Datagram_PlaceAsk{PlaceAsk: pa}})
	})
}

// stateWait adds to a placement request when it is sent and how long this VM waits for the
// reply.
func (fl *Fleet) stateWait(ctx context.Context, pa *peerpb.PlaceAsk) {
	if deadline, ok := ctx.Deadline(); ok {
		within := clock.Of(time.Until(deadline).Round(time.Millisecond))
		pa.SentAt, pa.AnswerWithin = uint64(max(1, clock.OrBoottime(fl.Clock).Now())), millisToWire(max(1, within))
	}
}

// handlePlacementRequest answers a placement request, unless its sender will have stopped
// waiting before the reply arrives. The reply goes to the address that the request came
// from, since the sender may be too new to be known here.
func (fl *Fleet) handlePlacementRequest(dg *peerpb.Datagram, from netip.AddrPort) {
	if fl.OnPlacementRequest == nil {
		return
	}
	vm, pa := dg.GetFrom(), dg.GetPlaceAsk()
	began := clock.OrBoottime(fl.Clock).Now()
	late := fl.overload.Drop(began, overload.Query{VM: vm, Incarnation: dg.GetIncarnation(), SentAt: sentAtFromWire(pa.GetSentAt()), AnswerWithin: clock.Millis(pa.GetAnswerWithin())})
	fl.reportOverload(began)
	if late {
		// The sender sends its request to the next VM, as if this one were dead.
		if fl.OnLatePlacementRequest != nil {
			fl.OnLatePlacementRequest()
		}
		return
	}
	answer := placementReplyToWire(pa.GetNumber(), fl.OnPlacementRequest(vm, placementRequestFromWire(pa)))
	fl.overload.Handled(clock.OrBoottime(fl.Clock).Now() - began)
	to := board.VM{VMRef: board.VMRef{ID: vm}, Peer: from.String()}
	// If the reply is lost, the sender sends its request to the next VM.
	_ = fl.peers.SendDatagram(to, &peerpb.Datagram{Body: &peerpb.Datagram_PlaceAnswer{PlaceAnswer: answer}})
}

// reportOverload logs that this VM has begun or stopped to drop late placement requests.
func (fl *Fleet) reportOverload(now clock.Millis) {
	switch ch, ok := fl.overload.Change(now); {
	case !ok:
	case ch.Dropping:
		fl.Log.Log(event.SchedulerOverloaded)
	default:
		fl.Log.Log(event.SchedulerRelieved, event.F("Dropped", ch.Dropped), event.F("Answered", ch.Answered), event.F("For", ch.For.String()))
	}
}

// sentAtFromWire returns a point of a sender's clock; zero, which is not stated, if it is
// beyond any clock's.
func sentAtFromWire(sentAt uint64) clock.Millis {
	if sentAt > maxSentAt {
		return 0
	}
	return clock.Millis(sentAt)
}

func placementRequestToWire(number uint64, ask usage.PlacementRequest) *peerpb.PlaceAsk {
	return &peerpb.PlaceAsk{Number: number, Service: ask.Waiting.Service, Returning: ask.Waiting.Returning, Turn: ask.Waiting.Turn, Age: uint32(ask.Waiting.Age),
		Tokens: uint32(ask.Run.Tokens), Left: uint32(ask.Run.Left), Reserve: uint32(ask.ReserveTokens),
		MayWait: uint32(max(0, ask.MaxWait)), MayWaitBack: uint32(max(0, ask.MaxWaitReturning)), Skip: ask.Excluded, Prompt: ask.NeedsPrefill, Version: ask.Version,
		Objective: millisToWire(max(0, ask.Waiting.Objective)), ReturnWithin: millisToWire(max(0, ask.ReturnWithin)), Final: ask.Final, Deviation: uint32(ask.Run.Deviation)}
}

func placementRequestFromWire(pa *peerpb.PlaceAsk) usage.PlacementRequest {
	return usage.PlacementRequest{
		Waiting: usage.WaitingRequest{Service: pa.GetService(), Returning: pa.GetReturning(), Turn: pa.GetTurn(), Age: clock.Millis(pa.GetAge()),
			Objective: clock.Millis(pa.GetObjective())},
		Run: usage.Run{Tokens: int(pa.GetTokens()), Left: int(pa.GetLeft()), Deviation: int(pa.GetDeviation())}, ReserveTokens: int(pa.GetReserve()),
		MaxWait: clock.Millis(pa.GetMayWait()), MaxWaitReturning: clock.Millis(pa.GetMayWaitBack()), Excluded: pa.GetSkip(), NeedsPrefill: pa.GetPrompt(), Version: pa.GetVersion(),
		ReturnWithin: clock.Millis(pa.GetReturnWithin()), Final: pa.GetFinal()}
}

func placementReplyToWire(number uint64, ans usage.PlacementReply) *peerpb.PlaceAnswer {
	return &peerpb.PlaceAnswer{Number: number, Known: ans.Informed, Engines: ans.Engines, Before: uint32(ans.RequestsAhead), Short: ans.Shortage,
		Prefill: ans.Prefill, Ahead: uint32(ans.QueuedTokens), Doubtful: ans.Doubtful,
		Wait: millisToWire(max(0, ans.Wait)), Foreseen: ans.Foreseen, ReturnAfter: millisToWire(max(0, ans.ReturnAfter)), Bound: string(ans.Bound)}
}

func placementReplyFromWire(pa *peerpb.PlaceAnswer) usage.PlacementReply {
	ans := usage.PlacementReply{Informed: pa.GetKnown(), Engines: pa.GetEngines(), RequestsAhead: int(pa.GetBefore()), Shortage: pa.GetShort(),
		Prefill: pa.GetPrefill(), QueuedTokens: int(pa.GetAhead()), Doubtful: pa.GetDoubtful(), Bound: usage.BoundOf(pa.GetBound())}
	if wait := clock.Millis(pa.GetWait()); wait <= maxPlanned {
		ans.Wait, ans.Foreseen = wait, pa.GetForeseen()
	}
	if after := clock.Millis(pa.GetReturnAfter()); after <= maxPlanned {
		ans.ReturnAfter = after
	}
	return ans
}
