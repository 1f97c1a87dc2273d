package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/relay"
)

var errRunOver = backend.DeclinedError{Server: "x", Call: "Move", Reason: backend.Unknown}

// streamUntil returns a response without a length, whose body holds the text and,
// once the channel is closed, the rest. It ends with the error; nil is an orderly end
// of its connection.
func streamUntil(text string, until <-chan struct{}, rest string, end error) *http.Response {
	rd, wr := io.Pipe()
	go func() {
		_, _ = io.WriteString(wr, text)
		<-until
		_, _ = io.WriteString(wr, rest)
		_ = wr.CloseWithError(end)
	}()
	rsp := newResponse(http.StatusOK, "", nil)
	rsp.Body, rsp.ContentLength = rd, -1
	return rsp
}

// An engine stops a run before it finds that there is no room for the copy. No
// further engine may be asked then: if that one answered that the run has ended, the
// stopped answer would look complete.
func TestRunStoppedWithoutRoomIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		all := withDecoders(rl, "d3", "d4")
		stopped := make(chan struct{})
		var once sync.Once
		sv.onMove = func(nth int, _ board.BackendServer, stop bool) error {
			switch {
			case stop:
				once.Do(func() { close(stopped) })
				return errFull
			case nth > 1:
				return errRunOver
			}
			return nil
		}
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return streamUntil(eventOne, stopped, "", nil), nil
		}
		leaveAfter(rl, sv, all, 200*time.Millisecond)
		rec, err := serve(t.Context(), rl, "draft")
		assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
		assert.Equal(t, rec.Body.String(), eventOne)
		assert.Equal(t, sv.moves, 2)
	})
}

// Guards against cutting an accepted answer because its run could not be moved: the
// leaving engine stops the run for a copy, the other engine has no room, and nothing
// continues with the memory that the first engine kept. The run must continue where it
// was, even if its route may not be resumed.
func TestRunStoppedWithoutRoomContinuesWhereItWas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.kept = "kept"
		stopped := make(chan struct{})
		sv.onMove = func(_ int, _ board.BackendServer, stop bool) error {
			if !stop {
				return nil
			}
			close(stopped)
			return errFull
		}
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == 1 {
				return streamUntil(eventOne, stopped, "", io.ErrUnexpectedEOF), nil
			}
			return newResponse(http.StatusOK, eventTwo, nil), nil
		}
		leaveAfter(rl, sv, allServers, 200*time.Millisecond)
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
		assert.Equal(t, len(sv.sent), 2)
		assert.Equal(t, sv.sent[1].server, sv.sent[0].server)
		assert.Equal(t, sv.sent[1].op.Source.ID, "kept")
		assert.Equal(t, sv.sent[1].op.LastEventID, "1")
	})
}

// moveOnce makes the first run return a text and end without a length when its move
// stops it, and makes all other runs return the rest.
func moveOnce(sv *servers, text, rest string) {
	stopped := make(chan struct{})
	sv.onMove = func(_ int, _ board.BackendServer, stop bool) error {
		if stop {
			close(stopped)
		}
		return nil
	}
	sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
		if nth == 1 {
			return streamUntil(text, stopped, "", nil), nil
		}
		return newResponse(http.StatusOK, rest, nil), nil
	}
}

// A run that is moved before its first event begins its answer at the new engine,
// whether or not the answer is a stream of events.
func TestRunMovesBeforeItsFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		moveOnce(sv, "", `{"text":"a"}`)
		leaveAfter(rl, sv, allServers, 200*time.Millisecond)
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), `{"text":"a"}`)
	})
}

// An answer that ends before its move has stopped the run ends without a delay.
func TestMoveDoesNotDelayTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		ended := make(chan struct{})
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return streamUntil(eventOne, ended, eventTwo, nil), nil
		}
		leaveAfter(rl, sv, allServers, 200*time.Millisecond)
		time.AfterFunc(210*time.Millisecond, func() { close(ended) })
		began := time.Now()
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
		assert.Equal(t, time.Since(began), 210*time.Millisecond)
		time.Sleep(5 * time.Second)
		assert.Equal(t, sv.moves, 0)
	})
}

// The copy of a run is freed if the caller disconnects before the copy was used.
func TestCopyIsFreedWhenTheCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		ctx, leave := context.WithCancel(t.Context())
		sv.onMove = func(_ int, _ board.BackendServer, stop bool) error {
			if stop {
				sv.handles["copy"] = true
				time.AfterFunc(time.Millisecond, leave)
			}
			return nil
		}
		sv.onSend = func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
			return streamUntil(eventOne, ctx.Done(), "", nil), nil
		}
		leaveAfter(rl, sv, allServers, 200*time.Millisecond)
		_, err := serve(ctx, rl, "draft")
		assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
		time.Sleep(5 * time.Second)
		assert.Equal(t, sv.held(), 0)
	})
}
