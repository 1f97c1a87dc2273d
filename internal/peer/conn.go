package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
)

// pastDeadline is a deadline that ends all reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// Conn is one stream of frames. Send may be called from several goroutines, Recv from
// one at a time, and both concurrently. After an error of either, only Close may be
// called.
type Conn struct {
	ss      *session
	st      *yamux.Stream
	ctx     context.Context
	detach  func() bool   // keeps the end of ctx from calling unblock
	limit   int           // bytes of one encoded frame
	timeout time.Duration // for a frame to be completed, and for a new stream's first frame

	mu    sync.Mutex
	ended bool // the context ended or Close was called
}

func newConn(ctx context.Context, tr *Transport, ss *session, st *yamux.Stream) *Conn {
	cn := &Conn{ss: ss, st: st, ctx: ctx, limit: tr.Limits.MaxFrame, timeout: tr.FrameTimeout.Std()}
	cn.detach = context.AfterFunc(ctx, cn.unblock)
	return cn
}

// Peer returns the VM at the other end, with its incarnation.
func (cn *Conn) Peer() board.VMRef { return cn.ss.peer }

// Send writes one frame. If the frame is too large, it was certainly not sent
// ([NotSentError] around a [SizeError]); any other error is a [BrokenError].
func (cn *Conn) Send(fr *peerpb.Frame) error {
	raw, err := encode(fr, cn.limit)
	if err != nil {
		return NotSentError{VM: cn.ss.peer.ID, Step: StepEncode, Err: err}
	}
	if _, err := cn.st.Write(raw); err != nil {
		return cn.brokenError(err)
	}
	return nil
}

// Recv waits for the next frame. Its errors are a [BrokenError].
func (cn *Conn) Recv() (*peerpb.Frame, error) {
	rd := &byteReader{Reader: cn.st, onFirstByte: func() { cn.setReadDeadline(time.Now().Add(cn.timeout)) }}
	var fr peerpb.Frame
	if err := decode(rd, &fr, cn.limit); err != nil {
		return nil, cn.brokenError(err)
	}
	cn.setReadDeadline(time.Time{})
	cn.st.Shrink() // an idle stream holds no buffer
	return &fr, nil
}

// Close ends the stream in both directions; the peer's Recv returns io.EOF after the
// frames that were sent. It may be called more than once. An error means that the peer
// could not be notified; the peer then detects the loss itself.
func (cn *Conn) Close() error {
	cn.detach()
	cn.unblock()
	if err := cn.st.Close(); err != nil {
		return cn.brokenError(err)
	}
	return nil
}

// Watch returns a context that ends when the peer closes the stream or is lost. It is
// for a side that expects no more frames, and reads the stream until then: a received
// frame ends the context too.
func (cn *Conn) Watch(ctx context.Context) (context.Context, context.CancelFunc) {
	watched, cancel := context.WithCancelCause(ctx)
	go func() {
		_, err := cn.Recv()
		if err == nil {
			err = errors.New("unexpected frame")
		}
		cancel(err)
	}()
	return watched, func() { cancel(context.Canceled) }
}

// setFirstFrameDeadline limits the wait for the first frame.
func (cn *Conn) setFirstFrameDeadline() { cn.setReadDeadline(time.Now().Add(cn.timeout)) }

// setReadDeadline sets the read deadline, unless the stream has ended already.
func (cn *Conn) setReadDeadline(until time.Time) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.ended {
		_ = cn.st.SetReadDeadline(until)
	}
}

// unblock ends pending reads and writes.
func (cn *Conn) unblock() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.ended = true
	_ = cn.st.SetDeadline(pastDeadline)
}

func (cn *Conn) hasEnded() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.ended
}

// brokenError returns the error of a failed read or write with its cause. To a reader,
// a lost session looks like the end of the stream; it must not be reported as that.
func (cn *Conn) brokenError(err error) error {
	switch {
	case cn.ss.mux.IsClosed():
		err = ErrSessionLost
	case cn.ctx.Err() != nil:
		err = context.Cause(cn.ctx)
	case errors.Is(err, yamux.ErrTimeout) && cn.hasEnded():
		err = net.ErrClosed
	case errors.Is(err, yamux.ErrTimeout):
		err = ErrSlowFrame
	case errors.Is(err, yamux.ErrSessionShutdown), errors.Is(err, yamux.ErrConnectionWriteTimeout):
		err = ErrSessionLost
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = io.ErrUnexpectedEOF
	}
	return BrokenError{VM: cn.ss.peer, Err: err}
}
