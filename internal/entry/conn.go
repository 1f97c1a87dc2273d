package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"alderdyke/internal/peer/peerpb"
)

// pipeDepth is the number of frames that each direction of a pipe buffers.
const pipeDepth = 16

var errPipeClosed = errors.New("the other end of the stream is closed")

type (
	// frameStream is a stream of messages to another VM, or within this VM.
	frameStream interface {
		Send(fr *peerpb.Frame) error
		Recv() (*peerpb.Frame, error)
		Close() error
	}

	// pipe is one end of a stream within this VM, so that a VM that schedules
	// its own requests needs no connection.
	pipe struct {
		out    chan<- *peerpb.Frame
		in     <-chan *peerpb.Frame
		local  *closer
		remote *closer
	}

	// closer closes its channel at most once.
	closer struct {
		once sync.Once
		done chan struct{}
	}
)

func newPipe() (near, far *pipe) {
	there := make(chan *peerpb.Frame, pipeDepth)
	back := make(chan *peerpb.Frame, pipeDepth)
	cla := &closer{done: make(chan struct{})}
	clb := &closer{done: make(chan struct{})}
	near = &pipe{out: there, in: back, local: cla, remote: clb}
	far = &pipe{out: back, in: there, local: clb, remote: cla}
	return near, far
}

// Send sends a frame to the other end.
func (pp *pipe) Send(fr *peerpb.Frame) error {
	select {
	case <-pp.remote.done:
		return errPipeClosed
	case <-pp.local.done:
		return errPipeClosed
	default:
	}
	select {
	case pp.out <- fr:
		return nil
	case <-pp.remote.done:
		return errPipeClosed
	case <-pp.local.done:
		return errPipeClosed
	}
}

// Recv waits for a frame. Frames that were sent before the other end closed are
// still received.
func (pp *pipe) Recv() (*peerpb.Frame, error) {
	select {
	case fr := <-pp.in:
		return fr, nil
	case <-pp.local.done:
		return nil, errPipeClosed
	case <-pp.remote.done:
	}
	select {
	case fr := <-pp.in:
		return fr, nil
	default:
		return nil, io.EOF
	}
}

// Close ends the stream for both ends.
func (pp *pipe) Close() error {
	pp.local.once.Do(func() { close(pp.local.done) })
	return nil
}

// recvOrClose waits for one frame, and closes the stream if the context ends
// first.
func recvOrClose(ctx context.Context, cn frameStream) (*peerpb.Frame, error) {
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	defer stop()
	fr, err := cn.Recv()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("wait for a frame: %w", context.Cause(ctx))
	}
	if err != nil {
		return nil, fmt.Errorf("receive a frame: %w", err)
	}
	return fr, nil
}
