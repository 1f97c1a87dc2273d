package entry

import (
	"context"
	"fmt"
	"sync/atomic"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// finder copies an answer that another VM produces or keeps, for callers who
// request it without sending the request again.
type finder struct {
	cn    frameStream
	st    *answer.Stream
	held  heldAnswer
	ended atomic.Bool
}

// findRemote looks for the answer of a key at the other VMs, one after the other.
// A caller that sends the whole request again finds it through the seats of the
// key, at less cost.
func (vm *VM) findRemote(ctx context.Context, id requestID) (*answer.Stream, error) {
	for _, to := range vm.Board.Fleet().Serving() {
		if to.ID == vm.Self.ID {
			continue
		}
		if st, err := vm.findAt(ctx, to, id); err == nil {
			return st, nil
		}
	}
	return nil, refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.AnswerExpired,
		Detail: "no answer is kept for the key",
	}
}

// findAt queries one VM. The returned stream receives events until the answer
// ends or its last reader leaves.
func (vm *VM) findAt(ctx context.Context, to board.VM, id requestID) (*answer.Stream, error) {
	cn, err := vm.openAnswer(ctx, to, id)
	if err != nil {
		return nil, err
	}
	fd := &finder{cn: cn, st: answer.NewStream(), held: heldAnswer{budget: vm.memoryBudget()}}
	fd.st.OnWatchers(fd.watchersChanged)
	vm.wg.Go(fd.feed)
	return fd.st, nil
}

// openAnswer opens the answer of a key at a VM that produces or keeps it.
func (vm *VM) openAnswer(ctx context.Context, to board.VM, id requestID) (frameStream, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout.Std())
	defer stop()
	cn, err := vm.Peers.Open(context.WithoutCancel(ctx), to)
	if err != nil {
		return nil, fmt.Errorf("open a stream to %s: %w", to.ID, err)
	}
	ask := &peerpb.AttachAsk{Customer: id.Customer, Key: id.Key, Find: true}
	if err := cn.Send(&peerpb.Frame{Body: &peerpb.Frame_AttachAsk{AttachAsk: ask}}); err != nil {
		cn.Close()
		return nil, fmt.Errorf("request the answer from %s: %w", to.ID, err)
	}
	fr, err := recvOrClose(ctx, cn)
	if err != nil || fr.GetAttachReply() == nil {
		cn.Close()
		return nil, errUnknownKey
	}
	return cn, nil
}

func (fd *finder) watchersChanged(watchers int) {
	if watchers == 0 {
		fd.cn.Close()
	}
	fd.release()
}

// release ends the counting of an answer that has ended and is not read.
func (fd *finder) release() {
	if fd.ended.Load() && fd.st.Watchers() == 0 {
		fd.held.end()
	}
}

// feed copies the answer. If the other VM is lost or sends an invalid event, the
// answer ends with a refusal, because this VM can't determine the outcome of the
// request.
func (fd *finder) feed() {
	defer fd.cn.Close()
	defer fd.release()
	defer fd.ended.Store(true)
	for {
		fr, err := fd.cn.Recv()
		if err != nil || fr.GetAnswerEvent() == nil {
			break
		}
		ev := eventFromWire(fr.GetAnswerEvent())
		if fd.st.Add(ev) != nil {
			break
		}
		fd.held.set(int64(fd.st.Size()))
		if ev.Kind.Final() {
			return
		}
	}
	fd.st.Refuse(refusal.Refusal{
		Ran:        refusal.MayHaveRun,
		Reason:     refusal.VMLost,
		RetryAfter: clock.Second,
		Detail:     "the VM that runs the request can't be reached; ask again",
	})
}
