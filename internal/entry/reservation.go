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
	// schedulerAckTimeout bounds the wait for the accountant's first sign of life.
	schedulerAckTimeout = 400 * clock.Millis(1)
	// schedulerTimeout is how long a request that may wait looks for its
	// accountant before it chooses by load reports.
	schedulerTimeout = 2 * clock.Second
	reopenDelay      = 50 * clock.Millis(1)
)

var errSchedulerAway = errors.New("the accountant can't be asked")

type (
	// reservation is the runner's side of a place in a cell. One goroutine
	// keeps its stream to whichever VM accounts for the cell; the runner
	// reads what the accountant decided.
	reservation struct {
		vm  *VM
		ask *peerpb.ReserveAsk
		tr  *trace

		ctx       context.Context
		stop      context.CancelFunc
		decisions chan *peerpb.Frame // decisions, in order

		mu         sync.Mutex
		cn         frameStream
		granted    bool
		attempt    uint32 // of the newest grant
		stage      sched.Stage
		prefill    string
		decode     string
		tokens     int
		stageSince clock.Millis
		closed     bool
	}
)

// reserve opens a reservation and keeps it open. The runner must end it.
func (vm *VM) reserve(ctx context.Context, ask *peerpb.ReserveAsk, tr *trace) *reservation {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	rs := &reservation{
		vm:        vm,
		ask:       ask,
		tr:        tr,
		ctx:       ctx,
		stop:      stop,
		decisions: make(chan *peerpb.Frame, outboxDepth),
	}
	vm.wg.Go(rs.maintain)
	return rs
}

// nextDecision waits for the accountant's nextDecision decision.
func (rs *reservation) nextDecision(ctx context.Context) (*peerpb.Frame, error) {
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the accountant: %w", context.Cause(ctx))
	case fr, ok := <-rs.decisions:
		if !ok {
			return nil, errSchedulerAway
		}
		return fr, nil
	}
}

// awaitGrant waits for a place. A refusal comes back as an error.
func (rs *reservation) awaitGrant(ctx context.Context) (*peerpb.Grant, error) {
	for {
		fr, err := rs.nextDecision(ctx)
		if err != nil {
			return nil, err
		}
		switch body := fr.GetBody().(type) {
		case *peerpb.Frame_Grant:
			rs.recordGrant(body.Grant)
			return body.Grant, nil
		case *peerpb.Frame_Refusal:
			return nil, refusalFromWire(body.Refusal)
		}
	}
}

// awaitDecision waits, up to a point in time, for a Transfer or a Preempt of the
// newest grant. It returns no frame if none came by then.
func (rs *reservation) awaitDecision(ctx context.Context, until clock.Millis) (*peerpb.Frame, error) {
	wait, stop := context.WithTimeout(ctx, (until - rs.vm.Clock.Now()).Std())
	defer stop()
	for {
		fr, err := rs.nextDecision(wait)
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

// sendProgress tells the accountant how far the request is.
func (rs *reservation) sendProgress(stage sched.Stage, server string, tokens int, took clock.Millis) {
	rs.mu.Lock()
	rs.stage = stage
	rs.stageSince = rs.vm.Clock.Now()
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

// sendEngineState sends the accountant a word on an engine, with the span that belongs to it. It
// changes nothing of the reservation.
func (rs *reservation) sendEngineState(stage sched.Stage, server string, span clock.Millis) {
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
		stage = stageWithdrawn
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

func (rs *reservation) recordGrant(gr *peerpb.Grant) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.granted = true
	rs.attempt = gr.GetAttempt()
	rs.stage, rs.prefill, rs.decode = sched.Prefilling, gr.GetPrefillServer(), gr.GetDecodeServer()
	rs.stageSince = rs.vm.Clock.Now()
}

// maintain holds a stream to the accountant until the reservation ends, and opens
// another when it breaks or when another VM accounts for the cell. It gives
// up, by closing said, if no grant came and no accountant answers.
func (rs *reservation) maintain() {
	defer close(rs.decisions)
	var awaySince clock.Millis
	for rs.ctx.Err() == nil {
		err := rs.runStream()
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
		if !clock.Sleep(rs.ctx, reopenDelay) {
			return
		}
	}
}

func (rs *reservation) timeout() clock.Millis {
	if rs.ask.GetQuick() {
		return quickSchedulerTimeout(clock.Millis(rs.ask.GetTTFT()))
	}
	return schedulerTimeout
}

func (rs *reservation) waiting() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return !rs.granted
}

// runStream opens one runStream and reads it to its end. It returns an error if the
// accountant never answered.
func (rs *reservation) runStream() error {
	cn, err := rs.vm.openScheduler(rs.ctx, rs.ask.GetCell())
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
			rs.dropStream(cn)
			return nil
		}
		if rf := fr.GetRefusal(); rf != nil && refusal.Reason(rf.GetReason()) == refusal.SchedulerAway {
			rs.dropStream(cn)
			return errSchedulerAway
		}
		select {
		case rs.decisions <- fr:
		case <-rs.ctx.Done():
			return nil
		}
	}
}

// announce sends the first frame and waits for the accountant's sign of life.
func (rs *reservation) announce(cn frameStream) error {
	if err := cn.Send(&peerpb.Frame{Body: &peerpb.Frame_ReserveAsk{ReserveAsk: rs.openingAsk()}}); err != nil {
		return fmt.Errorf("ask for a place: %w", err)
	}
	ctx, stop := context.WithTimeout(rs.ctx, schedulerAckTimeout.Std())
	defer stop()
	fr, err := recvOrClose(ctx, cn)
	if err != nil {
		return fmt.Errorf("ask for a place: %w", err)
	}
	if fr.GetDone() == nil {
		return errSchedulerAway
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.closed {
		return errSchedulerAway
	}
	rs.cn = cn
	if !rs.granted {
		rs.tr.add(event.GrantWaits, "")
	}
	return nil
}

// openingAsk is the first frame: a question, or the announcement of a grant that
// is in use.
func (rs *reservation) openingAsk() *peerpb.ReserveAsk {
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
	ask.Since = int64(rs.vm.Clock.Now() - rs.stageSince)
	return ask
}

func (rs *reservation) dropStream(cn frameStream) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.cn == cn {
		rs.cn = nil
	}
}
