package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// Timeouts and backoff of cancels.
const (
	cancelTimeout    = 2 * clock.Second
	cancelMinBackoff = 100 * clock.Millis(1)
	cancelMaxBackoff = 5 * clock.Second
)

type (
	// pendingCancel identifies a request that a backend server may still hold for this VM.
	pendingCancel struct {
		Server  string
		Request string
		Attempt int // cancels this attempt and all earlier ones
	}

	// janitor cancels requests that this VM no longer needs. It retries until the
	// backend server confirms or is no longer listed, because a cancel or its
	// reply may be lost.
	janitor struct {
		cancel func(ctx context.Context, srv board.BackendServer, request string, attempt int) error
		find   func(id string) (board.BackendServer, bool)
		lg     event.Logger

		mu      sync.Mutex
		pending map[pendingCancel]chan struct{} // closed when the cancel is complete
		wg      sync.WaitGroup
	}
)

// cancelAll starts to cancel all attempts of the request at the backend server. A
// second call is harmless. The channel is closed when the server has confirmed, or
// when no further retry is possible.
func (ja *janitor) cancelAll(ctx context.Context, server, request string) <-chan struct{} {
	return ja.cancelAttempts(ctx, server, request, engine.AllAttempts)
}

// cancelAttempts cancels the given attempt and all earlier ones, so that a later
// one may use the same backend server.
func (ja *janitor) cancelAttempts(ctx context.Context, server, request string, attempt int) <-chan struct{} {
	pc := pendingCancel{Server: server, Request: request, Attempt: attempt}
	ja.mu.Lock()
	defer ja.mu.Unlock()
	if settled, ok := ja.pending[pc]; ok {
		return settled
	}
	if ja.pending == nil {
		ja.pending = make(map[pendingCancel]chan struct{})
	}
	settled := make(chan struct{})
	ja.pending[pc] = settled
	ja.wg.Go(func() {
		ja.cancelWithRetry(ctx, pc)
		ja.mu.Lock()
		delete(ja.pending, pc)
		ja.mu.Unlock()
		close(settled)
	})
	return settled
}

// pendingCount returns the number of unconfirmed cancels.
func (ja *janitor) pendingCount() int {
	ja.mu.Lock()
	defer ja.mu.Unlock()
	return len(ja.pending)
}

func (ja *janitor) cancelWithRetry(ctx context.Context, pc pendingCancel) {
	pause := cancelMinBackoff
	for {
		err := ja.cancelOnce(ctx, pc)
		if err == nil {
			return
		}
		ja.lg.Log(event.CancelUnconfirmed, event.F("Server", pc.Server), event.F("Error", err.Error()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.Std()):
		}
		pause = min(2*pause, cancelMaxBackoff)
	}
}

func (ja *janitor) cancelOnce(ctx context.Context, pc pendingCancel) error {
	srv, ok := ja.find(pc.Server)
	if !ok {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout.Std())
	defer stop()
	if err := ja.cancel(ctx, srv, pc.Request, pc.Attempt); err != nil {
		return fmt.Errorf("cancel at %s: %w", pc.Server, err)
	}
	return nil
}
