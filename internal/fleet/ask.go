package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

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
		return fl.peers.SendDatagram(vm, &peerpb.Datagram{Body: &peerpb.Datagram_PlaceAsk{PlaceAsk: placementRequestToWire(number, ask)}})
	})
}

// handlePlacementRequest answers a placement request. The reply goes to the address
// that the request came from, since the sender may be too new to be known here.
func (fl *Fleet) handlePlacementRequest(vm string, from netip.AddrPort, pa *peerpb.PlaceAsk) {
	if fl.OnPlacementRequest == nil {
		return
	}
	answer := placementReplyToWire(pa.GetNumber(), fl.OnPlacementRequest(vm, placementRequestFromWire(pa)))
	to := board.VM{VMRef: board.VMRef{ID: vm}, Peer: from.String()}
	// If the reply is lost, the sender sends its request to the next VM.
	_ = fl.peers.SendDatagram(to, &peerpb.Datagram{Body: &peerpb.Datagram_PlaceAnswer{PlaceAnswer: answer}})
}

func placementRequestToWire(number uint64, ask usage.PlacementRequest) *peerpb.PlaceAsk {
	return &peerpb.PlaceAsk{Number: number, Service: ask.Waiting.Service, Returning: ask.Waiting.Returning, Turn: ask.Waiting.Turn, Age: uint32(ask.Waiting.Age),
		Tokens: uint32(ask.Run.Tokens), Left: uint32(ask.Run.Left), Reserve: uint32(ask.ReserveTokens),
		MayWait: uint32(max(0, ask.MaxWait)), MayWaitBack: uint32(max(0, ask.MaxWaitReturning)), Skip: ask.Excluded, Prompt: ask.NeedsPrefill, Version: ask.Version}
}

func placementRequestFromWire(pa *peerpb.PlaceAsk) usage.PlacementRequest {
	return usage.PlacementRequest{
		Waiting: usage.WaitingRequest{Service: pa.GetService(), Returning: pa.GetReturning(), Turn: pa.GetTurn(), Age: clock.Millis(pa.GetAge())},
		Run:     usage.Run{Tokens: int(pa.GetTokens()), Left: int(pa.GetLeft())}, ReserveTokens: int(pa.GetReserve()),
		MaxWait: clock.Millis(pa.GetMayWait()), MaxWaitReturning: clock.Millis(pa.GetMayWaitBack()), Excluded: pa.GetSkip(), NeedsPrefill: pa.GetPrompt(), Version: pa.GetVersion()}
}

func placementReplyToWire(number uint64, ans usage.PlacementReply) *peerpb.PlaceAnswer {
	return &peerpb.PlaceAnswer{Number: number, Known: ans.Informed, Engines: ans.Engines, Before: uint32(ans.RequestsAhead), Short: ans.Shortage,
		Prefill: ans.Prefill, Ahead: uint32(ans.QueuedTokens), Doubtful: ans.Doubtful}
}

func placementReplyFromWire(pa *peerpb.PlaceAnswer) usage.PlacementReply {
	return usage.PlacementReply{Informed: pa.GetKnown(), Engines: pa.GetEngines(), RequestsAhead: int(pa.GetBefore()), Shortage: pa.GetShort(),
		Prefill: pa.GetPrefill(), QueuedTokens: int(pa.GetAhead()), Doubtful: pa.GetDoubtful()}
}
