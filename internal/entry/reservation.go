package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Spans of reservations.
const (
	// answerWithin bounds the wait for the accountant's first sign of life.
	answerWithin = 400 * clock.Millis(1)
	// accountantTimeout is how long a request that may wait looks for its
	// accountant before it chooses by load reports.
	accountantTimeout = 2 * clock.Second
	reopenPause       = 50 * clock.Millis(1)
)

var errAccountantAway = errors.New("the accountant can't be asked")

type (
	// reservation is the runner's side of a place in a cell. One goroutine
	// keeps its stream to whichever VM accounts for the cell; the runner
	// reads what the accountant decided.
	reservation struct {
		vm  *VM
		ask *peerpb.ReserveAsk
		tr  *trace

		ctx  context.Context
		stop context.CancelFunc
		said chan *peerpb.Frame // decisions, in order

		mu      sync.Mutex
		cn      frames
		granted bool
		attempt uint32 // of the newest grant
		stage   sched.Stage
		prefill string
		decode  string
		tokens  int
		since   clock.Millis
		closed  bool
	}
)

// reserve opens a reservation and keeps it open. The runner must end it.
func (vm *VM) reserve(ctx context.Context, ask *peerpb.ReserveAsk, tr *trace) *reservation {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	rs := &reservation{
		vm:   vm,
		ask:  ask,
		tr:   tr,
		ctx:  ctx,
		stop: stop,
		said: make(chan *peerpb.Frame, outboxDepth),
	}
	vm.wg.Go(rs.keep)
	return rs
}

// next waits for the accountant's next decision.
func (rs *reservation) next(ctx context.Context) (*peerpb.Frame, error) {
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the accountant: %w", context.Cause(ctx))
	case fr, ok := <-rs.said:
		if !ok {
			return nil, errAccountantAway
		}
		return fr, nil
	}
}

// grant waits for a place. A refusal comes back as an error.
func (rs *reservation) grant(ctx context.Context) (*peerpb.Grant, error) {
	for {
		fr, err := rs.next(ctx)
		if err != nil {
			return nil, err
		}
		switch body := fr.GetBody().(type) {
		case *peerpb.Frame_Grant:
			rs.note(body.Grant)
			return body.Grant, nil
		case *peerpb.Frame_Refusal:
			return nil, refusalFromWire(body.Refusal)
		}
	}
}

// decision waits, up to a point in time, for a Transfer or a Preempt of the
// newest grant. It returns no frame if none came by then.
func (rs *reservation) decision(ctx context.Context, until clock.Millis) (*peerpb.Frame, error) {
	wait, stop := context.WithTimeout(ctx, (until - rs.vm.Clock.Now()).Std())
	defer stop()
	for {
		fr, err := rs.next(wait)
		switch {
		case ctx.Err() != nil:
			return nil, err
		case err != nil:
			return nil, nil
		case fr.GetTransfer() != nil && fr.GetTransfer().GetAttempt() == rs.attempt:
			return fr, nil
		case fr.GetPreempt() != nil && fr.GetPreempt().GetAttempt() == rs.attempt:
			return fr, nil
		}
	}
}

// connected tells whether an accountant hears this reservation.
func (rs *reservation) connected() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.cn != nil
}

// progress tells the accountant how far the request is.
func (rs *reservation) progress(stage sched.Stage, server string, tokens int, took clock.Millis) {
	rs.mu.Lock()
	rs.stage = stage
	rs.since = rs.vm.Clock.Now()
	rs.tokens = tokens
	switch stage {
	case sched.Prefilling, sched.Prefilled:
		rs.prefill = server
	default:
		rs.decode = server
	}
	cn, attempt := rs.cn, rs.attempt
	rs.mu.Unlock()
	if cn != nil {
		cn.Send(progressFrame(attempt, stage, server, tokens, took))
	}
}

// tell sends the accountant a word on an engine, with the span that belongs to it. It
// changes nothing of the reservation.
func (rs *reservation) tell(stage sched.Stage, server string, span clock.Millis) {
	rs.mu.Lock()
	cn, attempt, tokens := rs.cn, rs.attempt, rs.tokens
	rs.mu.Unlock()
	if cn != nil {
		cn.Send(progressFrame(attempt, stage, server, tokens, span))
	}
}

// end gives the place back with a final frame that says what the engines hold.
func (rs *reservation) end(stage sched.Stage) {
	rs.mu.Lock()
	cn := rs.cn
	closed := rs.closed
	attempt, tokens := rs.attempt, rs.tokens
	if !rs.granted {
		stage = withdrawn
	}
	rs.closed = true
	rs.mu.Unlock()
	if closed {
		return
	}
	if cn != nil {
		cn.Send(progressFrame(attempt, stage, "", tokens, 0))
		cn.Close()
	}
	rs.stop()
}

func (rs *reservation) note(gr *peerpb.Grant) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.granted = true
	rs.attempt = gr.GetAttempt()
	rs.stage, rs.prefill, rs.decode = sched.Prefilling, gr.GetPrefillServer(), gr.GetDecodeServer()
	rs.since = rs.vm.Clock.Now()
}

// keep holds a stream to the accountant until the reservation ends, and opens
// another when it breaks or when another VM accounts for the cell. It gives
// up, by closing said, if no grant came and no accountant answers.
func (rs *reservation) keep() {
	defer close(rs.said)
	var awaySince clock.Millis
	for rs.ctx.Err() == nil {
		err := rs.stream()
		if rs.ctx.Err() != nil {
			return
		}
		now := rs.vm.Clock.Now()
		if err == nil || awaySince == 0 {
			awaySince = now
		}
		if rs.waiting() && now-awaySince >= rs.timeout() {
			rs.tr.add(event.AccountantAway, fmt.Sprint(err))
			rs.vm.Log.Log(event.AccountantAway, event.F("Cell", rs.ask.GetCell()), event.F("Error", fmt.Sprint(err)))
			return
		}
		if !clock.Sleep(rs.ctx, reopenPause) {
			return
		}
	}
}

func (rs *reservation) timeout() clock.Millis {
	if rs.ask.GetQuick() {
		return quickAccountantTimeout(clock.Millis(rs.ask.GetTTFT()))
	}
	return accountantTimeout
}

func (rs *reservation) waiting() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return !rs.granted
}

// stream opens one stream and reads it to its end. It returns an error if the
// accountant never answered.
func (rs *reservation) stream() error {
	cn, err := rs.vm.openAccountant(rs.ctx, rs.ask.GetCell())
	if err != nil {
		return err
	}
	defer cn.Close()
	stop := context.AfterFunc(rs.ctx, func() { cn.Close() })
	defer stop()
	if err := rs.announce(cn); err != nil {
		return err
	}
	for {
		fr, err := cn.Recv()
		if err != nil {
			rs.drop(cn)
			return nil
		}
		if rf := fr.GetRefusal(); rf != nil && refusal.Reason(rf.GetReason()) == refusal.SchedulerAway {
			rs.drop(cn)
			return errAccountantAway
		}
		select {
		case rs.said <- fr:
		case <-rs.ctx.Done():
			return nil
		}
	}
}

// announce sends the first frame and waits for the accountant's sign of life.
func (rs *reservation) announce(cn frames) error {
	if err := cn.Send(&peerpb.Frame{Body: &peerpb.Frame_ReserveAsk{ReserveAsk: rs.opening()}}); err != nil {
		return fmt.Errorf("ask for a place: %w", err)
	}
	ctx, stop := context.WithTimeout(rs.ctx, answerWithin.Std())
	defer stop()
	fr, err := recvWithin(ctx, cn)
	if err != nil {
		return fmt.Errorf("ask for a place: %w", err)
	}
	if fr.GetDone() == nil {
		return errAccountantAway
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.closed {
		return errAccountantAway
	}
	rs.cn = cn
	if !rs.granted {
		rs.tr.add(event.GrantWaits, "")
	}
	return nil
}

// opening is the first frame: a question, or the announcement of a grant that
// is in use.
func (rs *reservation) opening() *peerpb.ReserveAsk {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ask := proto.CloneOf(rs.ask)
	if !rs.granted {
		return ask
	}
	ask.Attempt = rs.attempt
	ask.Stage = string(rs.stage)
	ask.PrefillServer = rs.prefill
	ask.DecodeServer = rs.decode
	ask.Tokens = int64(rs.tokens)
	ask.Since = int64(rs.vm.Clock.Now() - rs.since)
	return ask
}

func (rs *reservation) drop(cn frames) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.cn == cn {
		rs.cn = nil
	}
}
