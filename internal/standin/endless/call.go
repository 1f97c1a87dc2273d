package endless

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// HangTimeout only detects that a call does not end.
const HangTimeout = 20 * time.Second

// Failures of a call to a response without end.
var (
	ErrCallHangs      = errors.New("the call does not end")
	ErrConnectionOpen = errors.New("a connection stays open")
	ErrNotReached     = errors.New("no request reached the server")
)

// cancelAfter is how long after the request began to arrive a call is cancelled: in the
// middle of the response.
const cancelAfter = 50 * time.Millisecond

type (
	// Limit is what ends the context of a call.
	Limit struct {
		Within       time.Duration // doubled at each repetition; zero: no time
		CancelMidway bool          // cancelled in the middle of the response
	}

	// Result is how a call ended.
	Result struct {
		Read int64 // bytes
		Err  error // of the call
	}
)

// Call makes a call to a server that sends the response. The call must connect with the
// meter, and each connection that carries a request must be closed at the call's end. A
// call whose time ended before it sent anything tells nothing about the response and is
// repeated, so that pauses of the process do not matter. Errors unwrap to ErrCallHangs,
// ErrConnectionOpen and ErrNotReached.
func Call(ctx context.Context, rsp Response, lm Limit, call func(ctx context.Context, mt *Meter, address string) error) (Result, error) {
	for began := time.Now(); ; lm.Within *= 2 {
		res, err := callOnce(ctx, rsp, lm, HangTimeout, call)
		if !errors.Is(err, ErrNotReached) || !errors.Is(res.Err, context.DeadlineExceeded) || time.Since(began) >= HangTimeout {
			return res, err
		}
	}
}

// callOnce makes one call, which, like the closing of its connections, must end within the
// given time.
func callOnce(ctx context.Context, rsp Response, lm Limit, hang time.Duration, call func(ctx context.Context, mt *Meter, address string) error) (Result, error) {
	srv, err := Start(rsp)
	if err != nil {
		return Result{}, fmt.Errorf("start a server: %w", err)
	}
	defer srv.Stop()
	ctx, stop := lm.context(ctx, srv)
	defer stop()
	mt, done, res := &Meter{}, make(chan error, 1), Result{}
	go func() { done <- call(ctx, mt, srv.Address()) }()
	select {
	case res.Err = <-done:
	case <-time.After(hang):
		return res, ErrCallHangs
	}
	opened, used := mt.closeUnused()
	if used == 0 {
		return res, fmt.Errorf("%w: %w", ErrNotReached, res.Err)
	}
	if !rsp.IgnoreRequest { // otherwise the server does not see that the connection was closed
		timeout := time.After(hang)
		for range opened {
			select {
			case <-srv.Closed():
			case <-timeout:
				return res, ErrConnectionOpen
			}
		}
	}
	res.Read = mt.Bytes()
	return res, nil
}

func (lm Limit) context(ctx context.Context, srv *Server) (context.Context, context.CancelFunc) {
	if lm.Within > 0 {
		return context.WithTimeout(ctx, lm.Within)
	}
	ctx, stop := context.WithCancel(ctx)
	if lm.CancelMidway {
		go func() {
			select {
			case <-srv.Began():
				time.AfterFunc(cancelAfter, stop)
			case <-ctx.Done():
			}
		}()
	}
	return ctx, stop
}
