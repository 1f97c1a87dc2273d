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

// Timeouts of reservations.
const (
	// schedulerAckTimeout limits the wait for the scheduler's acknowledgment.
	schedulerAckTimeout = 400 * clock.Millis(1)
	// schedulerTimeout is how long a request that may wait tries to reach its
	// scheduler before it is placed by load reports.
	schedulerTimeout = 2 * clock.Second
	reopenDelay      = 50 * clock.Millis(1) // before a broken stream is opened again
)

var errSchedulerAway = errors.New("the scheduler can't be reached")

type (
	// reservation is the runner's side of a slot in a cell. One goroutine maintains
	// its stream to the VM that currently schedules the cell; the runner reads the
	// scheduler's decisions.
	reservation struct {
		vm      *VM
		ask     *peerpb.ReserveAsk
		askedAt clock.Millis // when the spans in ask began
		tr      *trace

		ctx       context.Context
		stop      context.CancelFunc
		decisions chan decision // in order

		mu         sync.Mutex
		cn         frameStream
		stream     int // number of announcements so far
		granted    bool
		revoked    bool    // the newest grant was revoked
		confirmed  *uint32 // attempt number of the newest revoked grant of which the engines hold nothing; nil if there is none
		attempt    uint32  // number of the newest grant
		stage      sched.Stage
		prefill    string
		decode     string
		tokens     int
		stageSince clock.Millis
		closed     bool
	}

	// decision is a frame of the scheduler. It is void once the request was announced
	// on a later stream, because the scheduler then decides anew.
	decision struct {
		frame  *peerpb.Frame
		stream int // number of the announcement that it follows
	}
)

// reserve opens a reservation and keeps it open. The runner must end it.
func (vm *VM) reserve(ctx context.Context, ask *peerpb.ReserveAsk, tr *trace) *reservation {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	rs := &reservation{
		vm:        vm,
		ask:       ask,
		askedAt:   vm.Clock.Now(),
		tr:        tr,
		ctx:       ctx,
		stop:      stop,
		decisions: make(chan decision, outboxDepth),
	}
	vm.wg.Go(rs.maintain)
	return rs
}

// nextDecision waits for the scheduler's next decision.
func (rs *reservation) nextDecision(ctx context.Context) (decision, error) {
	select {
	case <-ctx.Done():
		return decision{}, fmt.Errorf("wait for the scheduler: %w", context.Cause(ctx))
	case dec, ok := <-rs.decisions:
		if !ok {
			return decision{}, errSchedulerAway
		}
		return dec, nil
	}
}

// awaitGrant waits for a slot. A refusal is returned as an error.
func (rs *reservation) awaitGrant(ctx context.Context) (*peerpb.Grant, error) {
	for {
		dec, err := rs.nextDecision(ctx)
		if err != nil {
			return nil, err
		}
		switch body := dec.frame.GetBody().(type) {
		case *peerpb.Frame_Grant:
			if rs.recordGrant(body.Grant, dec.stream) {
				return body.Grant, nil
			}
		case *peerpb.Frame_Refusal:
			if rs.valid(dec) {
				return nil, refusalFromWire(body.Refusal)
			}
		}
	}
}

// awaitDecision waits until the given time for a Transfer or a Preempt of the newest
// grant. It returns a nil frame if none arrived by then, or if no more decisions can
// arrive.
func (rs *reservation) awaitDecision(ctx context.Context, until clock.Millis) (*peerpb.Frame, error) {
	wait, stop := context.WithTimeout(ctx, (until - rs.vm.Clock.Now()).Std())
	defer stop()
	for {
		dec, err := rs.nextDecision(wait)
		switch {
		case ctx.Err() != nil:
			return nil, err
		case err != nil:
			return nil, nil
		case dec.frame.GetTransfer() != nil && dec.frame.GetTransfer().GetAttempt() == rs.attempt && rs.valid(dec):
			return dec.frame, nil
		case dec.frame.GetPreempt() != nil && rs.recordPreempt(dec):
			return dec.frame, nil
		}
	}
}

// connected reports whether the reservation has a stream to a scheduler.
func (rs *reservation) connected() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.cn != nil
}

// sendProgress reports the stage of the request to the scheduler.
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

// sendEngineState reports the state of an engine to the scheduler, with the duration that
// belongs to it. It does not change the reservation.
func (rs *reservation) sendEngineState(stage sched.Stage, server string, span clock.Millis) {
	rs.mu.Lock()
	cn, attempt, tokens := rs.cn, rs.attempt, rs.tokens
	rs.mu.Unlock()
	if cn != nil {
		cn.Send(progressFrame(attempt, stage, server, tokens, span))
	}
}

// confirmRevoked reports that the engines hold nothing of the revoked grants up to an attempt.
func (rs *reservation) confirmRevoked(attempt uint32) {
	rs.mu.Lock()
	if rs.confirmed == nil || *rs.confirmed < attempt {
		rs.confirmed = &attempt
	}
	cn := rs.cn
	rs.mu.Unlock()
	if cn != nil {
		cn.Send(progressFrame(attempt, stageRevoked, "", 0, 0))
	}
}

// repeatConfirmation sends the last confirmation on a new stream, because the stream before it
// may have lost it.
func (rs *reservation) repeatConfirmation(cn frameStream) {
	rs.mu.Lock()
	confirmed := rs.confirmed
	rs.mu.Unlock()
	if confirmed != nil {
		cn.Send(progressFrame(*confirmed, stageRevoked, "", 0, 0))
	}
}

// end gives up the slot with a final frame that reports what the engines hold.
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

// valid reports whether a decision was received on the stream on which the request was
// announced last.
func (rs *reservation) valid(dec decision) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return dec.stream == rs.stream
}

// recordPreempt records that the scheduler revoked the current grant and queued the request
// again. It reports false if the decision is void or about another grant.
func (rs *reservation) recordPreempt(dec decision) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if dec.stream != rs.stream || dec.frame.GetPreempt().GetAttempt() != rs.attempt {
		return false
	}
	rs.granted, rs.revoked = false, true
	return true
}

// recordGrant records a grant. It reports false if the grant is void.
func (rs *reservation) recordGrant(gr *peerpb.Grant, stream int) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if stream != rs.stream {
		return false
	}
	rs.granted, rs.revoked = true, false
	rs.attempt = gr.GetAttempt()
	rs.stage, rs.prefill, rs.decode = sched.Prefilling, gr.GetPrefillServer(), gr.GetDecodeServer()
	rs.stageSince = rs.vm.Clock.Now()
	return true
}

// maintain keeps a stream to the scheduler open until the reservation ends. It opens
// another one when the stream breaks or when another VM schedules the cell. If there is
// no grant and no scheduler responds, it gives up and closes decisions.
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

// timeout returns how long the request tries to reach its scheduler.
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

// runStream opens one stream and reads it to its end. It returns an error if the
// scheduler never responded.
func (rs *reservation) runStream() error {
	cn, err := rs.vm.openScheduler(rs.ctx, rs.ask.GetCell())
	if err != nil {
		return err
	}
	defer cn.Close()
	stop := context.AfterFunc(rs.ctx, func() { cn.Close() })
	defer stop()
	stream, err := rs.announce(cn)
	if err != nil {
		return err
	}
	rs.repeatConfirmation(cn)
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
		case rs.decisions <- decision{frame: fr, stream: stream}:
		case <-rs.ctx.Done():
			return nil
		}
	}
}

// announce sends the first frame and waits for the scheduler's acknowledgment. It returns
// the number of the announcement.
func (rs *reservation) announce(cn frameStream) (int, error) {
	ask, stream := rs.openingAsk()
	if err := cn.Send(&peerpb.Frame{Body: &peerpb.Frame_ReserveAsk{ReserveAsk: ask}}); err != nil {
		return 0, fmt.Errorf("request a slot: %w", err)
	}
	ctx, stop := context.WithTimeout(rs.ctx, schedulerAckTimeout.Std())
	defer stop()
	fr, err := recvOrClose(ctx, cn)
	if err != nil {
		return 0, fmt.Errorf("request a slot: %w", err)
	}
	if fr.GetDone() == nil {
		return 0, errSchedulerAway
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.closed {
		return 0, errSchedulerAway
	}
	rs.cn = cn
	if !rs.granted {
		rs.tr.add(event.GrantWaits, "")
	}
	return stream, nil
}

// openingAsk returns the first frame and the number of this announcement: a request for a
// slot, or the announcement of a grant that is in use.
func (rs *reservation) openingAsk() (*peerpb.ReserveAsk, int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.stream++
	ask := proto.CloneOf(rs.ask)
	elapsed := int64(rs.vm.Clock.Now() - rs.askedAt)
	ask.Deadline -= elapsed
	if ask.GetQuick() {
		// A patient request past its target may wait until its deadline, but would not
		// be admitted anew.
		ask.TTFT -= elapsed
	}
	if rs.revoked {
		ask.Attempt = rs.attempt + 1
	}
	if !rs.granted {
		return ask, rs.stream
	}
	ask.Attempt = rs.attempt
	ask.Stage = string(rs.stage)
	ask.PrefillServer = rs.prefill
	ask.DecodeServer = rs.decode
	ask.Tokens = int64(rs.tokens)
	ask.Since = int64(rs.vm.Clock.Now() - rs.stageSince)
	return ask, rs.stream
}

func (rs *reservation) dropStream(cn frameStream) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.cn == cn {
		rs.cn = nil
	}
}
