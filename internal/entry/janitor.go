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

// Spans of the janitor.
const (
	cancelTimeout  = 2 * clock.Second
	cancelFirstTry = 100 * clock.Millis(1)
	cancelLongest  = 5 * clock.Second
)

type (
	// debt is a request that a backend server may still hold for this VM.
	debt struct {
		Server  string
		Request string
		Attempt int // up to which all are cancelled
	}

	// janitor cancels what this VM no longer wants, again and again until
	// the backend server confirms or is gone: an order to cancel, or its
	// reply, may be lost.
	janitor struct {
		cancel func(ctx context.Context, srv board.BackendServer, request string, attempt int) error
		find   func(id string) (board.BackendServer, bool)
		lg     event.Logger

		mu   sync.Mutex
		open map[debt]chan struct{} // closed once settled
		wg   sync.WaitGroup
	}
)

// free starts to cancel the request for good at the backend server. Asking
// twice does no harm. The channel is closed once the server confirmed, or once
// nothing more can be done.
func (ja *janitor) free(ctx context.Context, server, request string) <-chan struct{} {
	return ja.freeAttempt(ctx, server, request, engine.AllAttempts)
}

// freeAttempt cancels the attempts up to the given one, so that a later one
// may use the same backend server.
func (ja *janitor) freeAttempt(ctx context.Context, server, request string, attempt int) <-chan struct{} {
	db := debt{Server: server, Request: request, Attempt: attempt}
	ja.mu.Lock()
	defer ja.mu.Unlock()
	if settled, ok := ja.open[db]; ok {
		return settled
	}
	if ja.open == nil {
		ja.open = make(map[debt]chan struct{})
	}
	settled := make(chan struct{})
	ja.open[db] = settled
	ja.wg.Go(func() {
		ja.settle(ctx, db)
		ja.mu.Lock()
		delete(ja.open, db)
		ja.mu.Unlock()
		close(settled)
	})
	return settled
}

// owed tells how many cancels are not confirmed yet.
func (ja *janitor) owed() int {
	ja.mu.Lock()
	defer ja.mu.Unlock()
	return len(ja.open)
}

func (ja *janitor) settle(ctx context.Context, db debt) {
	pause := cancelFirstTry
	for {
		err := ja.try(ctx, db)
		if err == nil {
			return
		}
		ja.lg.Log(event.CancelUnconfirmed, event.F("Server", db.Server), event.F("Error", err.Error()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.Std()):
		}
		pause = min(2*pause, cancelLongest)
	}
}

func (ja *janitor) try(ctx context.Context, db debt) error {
	srv, ok := ja.find(db.Server)
	if !ok {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout.Std())
	defer stop()
	if err := ja.cancel(ctx, srv, db.Request, db.Attempt); err != nil {
		return fmt.Errorf("cancel at %s: %w", db.Server, err)
	}
	return nil
}
