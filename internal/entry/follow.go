package entry

import (
	"context"
	"errors"
	"fmt"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/refusal"
)

var errUnknownKey = errors.New("the VM has no run of the request")

// follow forwards the answer that another VM produces. It returns nil when the
// answer has ended, and errAnswerExpired if the part that this VM has belongs to
// a different answer.
func (rn *run) follow(ctx context.Context, runner board.VMRef) error {
	if rn.vm.isSelf(runner) {
		return errUnknownKey // this VM abandoned the run; the claim passes to another VM
	}
	vm, ok := rn.vm.Board.Fleet().VM(runner.ID)
	if !ok {
		return errUnknownKey
	}
	if rn.followed != runner {
		rn.followed = runner
		rn.tr.add(event.Following, runner.ID)
	}
	cn, err := rn.vm.Peers.Open(ctx, vm)
	if err != nil {
		return fmt.Errorf("open a stream to %s: %w", runner.ID, err)
	}
	defer cn.Close()
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	defer stop()
	// A key may have run more than once, so the whole answer is requested and
	// compared with the part that is already here.
	ask := &peerpb.AttachAsk{Customer: rn.id.Customer, Key: rn.id.Key}
	if err := cn.Send(&peerpb.Frame{Body: &peerpb.Frame_AttachAsk{AttachAsk: ask}}); err != nil {
		return fmt.Errorf("request the answer from %s: %w", runner.ID, err)
	}
	return rn.copyAnswer(cn, runner)
}

func (rn *run) copyAnswer(cn frameStream, runner board.VMRef) error {
	for {
		fr, err := cn.Recv()
		if err != nil {
			return fmt.Errorf("follow %s: %w", runner.ID, err)
		}
		ae := fr.GetAnswerEvent()
		if ae == nil {
			return errUnknownKey
		}
		ev := eventFromWire(ae)
		if ev.Kind == answer.Refused && ev.Refusal.Reason == refusal.CallerGone {
			return errUnknownKey // the runner stopped for lack of a caller, but there is one here
		}
		if err := rn.checkLength(ev); err != nil {
			return fmt.Errorf("follow %s: %w", runner.ID, err)
		}
		if err := rn.st.AddOrVerify(ev); err != nil {
			return fmt.Errorf("follow %s: %w", runner.ID, joinExpired(err))
		}
		rn.countAnswer()
		if ev.Kind.Final() {
			return nil
		}
	}
}

// joinExpired joins errAnswerExpired to an answer.OtherAnswerError.
func joinExpired(err error) error {
	if _, other := errors.AsType[answer.OtherAnswerError](err); other {
		return errors.Join(errAnswerExpired, err)
	}
	return err
}

// serveAttach sends the answer of a request that this VM runs to another VM, for
// as long as that VM follows it.
func (vm *VM) serveAttach(ctx context.Context, ask *peerpb.AttachAsk, cn frameStream) {
	rn, ok := vm.runs.find(requestID{Customer: ask.GetCustomer(), Key: ask.GetKey()})
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if ok {
		rn.awaitRoleWithTimeout(ctx)
	}
	if !ok || !rn.hasRole(running) {
		cn.Send(doneFrame())
		return
	}
	if ask.GetFind() {
		cn.Send(&peerpb.Frame{Body: &peerpb.Frame_AttachReply{AttachReply: &peerpb.AttachReply{}}})
	}
	go func() { // the follower sends nothing; it closes its stream when it stops following
		cn.Recv()
		stop()
	}()
	rd := rn.st.Attach(int(ask.GetFrom()))
	defer rd.Detach()
	for {
		ev, err := rd.Next(ctx)
		if err != nil {
			return
		}
		if cn.Send(&peerpb.Frame{Body: &peerpb.Frame_AnswerEvent{AnswerEvent: eventToWire(ev)}}) != nil {
			return
		}
		if ev.Kind.Final() {
			<-ctx.Done() // let the follower read the last event before the stream closes
			return
		}
	}
}

// awaitRoleWithTimeout waits until it is decided whether this VM runs the request. Seats
// may name this VM as the runner to other VMs before the last grant arrives here.
func (rn *run) awaitRoleWithTimeout(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, claimTimeout.Std())
	defer stop()
	rn.awaitRoleDecision(ctx)
}

func eventToWire(ev answer.Event) *peerpb.AnswerEvent {
	ae := &peerpb.AnswerEvent{ID: int64(ev.ID), Kind: string(ev.Kind), Data: ev.Data}
	if ev.Kind == answer.Refused {
		ae.Refusal = refusalToWire(ev.Refusal)
	}
	return ae
}

func eventFromWire(ae *peerpb.AnswerEvent) answer.Event {
	ev := answer.Event{ID: int(ae.GetID()), Kind: answer.Kind(ae.GetKind()), Data: ae.GetData()}
	if ev.Kind == answer.Refused {
		ev.Refusal = refusalFromWire(ae.GetRefusal())
	}
	return ev
}

// replayableEnd reports whether an answer with this end may be replayed to callers
// that request it again. A refusal that guarantees NotRun releases the key instead,
// and so does one for a caller that has a part of another answer.
func replayableEnd(ev answer.Event) bool {
	if ev.Kind != answer.Refused {
		return true
	}
	return ev.Refusal.Ran != refusal.NotRun && ev.Refusal.Reason != refusal.AnswerExpired
}
