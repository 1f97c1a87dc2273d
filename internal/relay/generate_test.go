package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/relay"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	eventOne   = "id: 1\ndata: a\n\n"
	eventTwo   = "id: 2\ndata: b\n\n"
	eventThree = "id: 3\ndata: c\n\n"
)

func TestGenerationTakesItsPlaceFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
		se := sv.sent[0]
		assert.Assert(t, strings.HasPrefix(se.server, "d"), se.server)
		assert.Assert(t, se.op.Reservation != "" && se.op.Source.ID != "")
		assert.Assert(t, strings.HasPrefix(se.op.Source.Server.ID, "f"))
		assert.Equal(t, sv.held(), 0)
	})
}

// A request without a place is refused immediately, before its prompt is computed,
// and gets a retry-after; a request that was refused before waits longer.
func TestNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onReserve = func(board.BackendServer, int) error { return errFull }
		began := time.Now()
		_, err := serveWithLimit(t.Context(), rl, "draft", 14*clock.Second)
		rf := refusalOf(t, err)
		assert.Equal(t, rf.Ran, refusal.NotRun)
		assert.Equal(t, rf.Reason, refusal.QueueFull)
		assert.Assert(t, rf.RetryAfter > 0)
		first := time.Since(began)
		assert.Assert(t, first <= relay.DefaultPlaceWait.Std(), first)
		assert.Equal(t, len(sv.prefills), 0)

		began = time.Now()
		_, err = serveWithLimit(t.Context(), rl, "draft", 11*clock.Second)
		refusalOf(t, err)
		assert.Equal(t, time.Since(began), 2*time.Second-relay.DefaultStartTime.Std(), "the callers' patience, minus the start time")
	})
}

func TestPlaceThatBecomesFreeIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		full := true
		sv.onReserve = func(board.BackendServer, int) error {
			if full {
				return errFull
			}
			return nil
		}
		time.AfterFunc(100*time.Millisecond, func() {
			sv.mu.Lock()
			defer sv.mu.Unlock()
			full = false
		})
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
	})
}

// Reservations are sized by the caller's hint, within the request's own limit.
func TestReservationFollowsTheHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		var tokens int
		sv.onReserve = func(_ board.BackendServer, want int) error {
			tokens = want
			return nil
		}
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Assert(t, tokens >= 5000+2000 && tokens < 5000+2000+16, "%d", tokens)
	})
}

// A VM that knows the usage of all others reserves little more than the prompt, and
// skips engines whose runs will need their memory. A VM that is partitioned, or has no
// recent report from another VM, must not assume that the engines are empty: it
// reserves the size that the run may reach.
func TestReservationByKnownUsage(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others []string
		whole  bool
		told   int // tokens that vm-2 uses at each decode engine
		want   int // reserved; zero: no engine is asked
	}{
		{"all VMs reported", []string{"vm-2"}, true, 100, 5000 + relay.DefaultReserveTokens},
		{"the engines are full", []string{"vm-2"}, true, 9000, 0},
		{"one VM is silent", []string{"vm-2", "vm-3"}, true, 9000, 7000},
		{"partitioned", nil, false, 100, 7000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				rl.OtherVMs = func() ([]string, bool) { return tc.others, tc.whole }
				rl.ReceiveUsage("vm-2", usage.Report{Runs: []usage.Run{{Engine: "d1", Tokens: tc.told}, {Engine: "d2", Tokens: tc.told}}})
				reserved := 0
				sv.onReserve = func(_ board.BackendServer, tokens int) error {
					reserved = tokens
					return nil
				}
				_, err := serve(t.Context(), rl, "draft")
				assert.Equal(t, err != nil, tc.want == 0)
				assert.Assert(t, reserved >= tc.want && reserved < tc.want+16, "%d", reserved)
			})
		})
	}
}

// A decode that fails leaves nothing reserved or kept at an engine.
func TestFailedDecodeFreesTheEngines(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(sv *servers)
		ran     refusal.Ran
	}{
		{"decode declines", func(sv *servers) {
			sv.onSend = func(context.Context, int, sent) (*http.Response, error) { return nil, errFull }
		}, refusal.NotRun},
		{"decode is lost", func(sv *servers) {
			sv.onSend = func(context.Context, int, sent) (*http.Response, error) { return nil, errReset }
		}, refusal.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				tc.prepare(sv)
				_, err := serve(t.Context(), rl, "draft")
				assert.Equal(t, refusalOf(t, err).Ran, tc.ran)
				synctest.Wait()
				assert.Equal(t, sv.held(), 0)
			})
		})
	}
}

// A prefill that fails has run nothing: the decode engine computes the prompt at the
// reserved place, and no second prefill is paid for.
func TestFailedPrefillIsComputedByTheDecodeEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onPrefill = func(int, board.BackendServer) error { return errReset }
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, len(sv.prefills), 1)
		assert.Assert(t, sv.sent[0].op.Reservation != "")
		assert.Equal(t, sv.sent[0].op.Source.ID, "")
		assert.Equal(t, sv.held(), 0)
	})
}

// An expired prompt is declined: the same engine computes it at the place that is
// still reserved, and the prefill engine is skipped.
func TestExpiredPromptIsComputedByTheDecodeEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(_ context.Context, _ int, se sent) (*http.Response, error) {
			if strings.HasPrefix(se.op.Source.Server.ID, "f") {
				return nil, errFull
			}
			return newResponse(http.StatusOK, eventOne, nil), nil
		}
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, distinct(sv.sentTo()), 1)
		assert.Equal(t, sv.sent[0].op.Reservation, sv.sent[1].op.Reservation)
		_, err = serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, distinct(sv.prefills), 2)
		synctest.Wait()
		assert.Equal(t, sv.held(), 0)
	})
}

// A decode engine that does not know the request, has changed its role or refuses the
// connection has not fetched the computed prompt: the decode at the next place uses
// it, and no engine computes it again, which the budget would have to pay for.
func TestPromptIsReusedAfterADeclinedDecode(t *testing.T) {
	for _, err := range []error{errUnknownRun, errWrongRole, errRefused} {
		t.Run(err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
					if nth == 1 {
						return nil, err
					}
					return newResponse(http.StatusOK, eventOne, nil), nil
				}
				_, err := serve(t.Context(), rl, "resumable")
				assert.NilError(t, err)
				assert.Equal(t, len(sv.prefills), 1)
				assert.Equal(t, len(sv.sent), 2)
				assert.Equal(t, sv.sent[1].op.Source, sv.sent[0].op.Source)
				assert.Assert(t, sv.sent[1].server != sv.sent[0].server)
				synctest.Wait()
				assert.Equal(t, sv.held(), 0)
			})
		})
	}
}

// If no decode follows, the computed prompt is freed.
func TestPromptOfARefusedRequestIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) { return nil, errUnknownRun }
		_, err := serve(t.Context(), rl, "resumable")
		assert.Equal(t, refusalOf(t, err).Ran, refusal.NotRun)
		synctest.Wait()
		assert.Equal(t, sv.held(), 0)
	})
}

// A stream that breaks and may not be resumed is cut; it must not end in a refusal,
// which would make the part that was sent look like a complete answer.
func TestBrokenStreamIsCut(t *testing.T) {
	for _, name := range []string{"draft", "resumable"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
					sv.onReserve = func(board.BackendServer, int) error { return errFull }
					return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
				}
				rec, err := serve(t.Context(), rl, name)
				assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
				assert.Equal(t, rec.Body.String(), eventOne, "only whole events are sent")
			})
		})
	}
}

func TestResumableStreamContinuesAfterItsLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == 1 {
				return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
			}
			return newResponse(http.StatusOK, eventTwo+eventThree, nil), nil
		}
		rec, err := serve(t.Context(), rl, "resumable")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo+eventThree)
		assert.Equal(t, sv.sent[1].op.LastEventID, "1")
		assert.Equal(t, distinct(sv.sentTo()), 2, "the engine whose stream broke is skipped")
		assert.Equal(t, sv.held(), 0)
	})
}

// A run at a leaving engine continues at another engine with its memory.
func TestRunMovesFromALeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		stopped := make(chan struct{})
		var once sync.Once
		sv.onMove = func(_ int, _ board.BackendServer, stop bool) error {
			if stop {
				once.Do(func() { close(stopped) })
			}
			return nil
		}
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth > 1 {
				return newResponse(http.StatusOK, eventTwo+eventThree, nil), nil
			}
			rd, wr := io.Pipe()
			go func() {
				_, _ = io.WriteString(wr, eventOne)
				<-stopped
				_ = wr.CloseWithError(io.ErrUnexpectedEOF)
			}()
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: rd}, nil
		}
		leaveAfter(rl, sv, allServers, 200*time.Millisecond)
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo+eventThree)
		assert.Equal(t, sv.sent[1].op.Source.ID, "copy")
		assert.Equal(t, sv.sent[1].op.LastEventID, "1")
		assert.Equal(t, sv.moves, 2, "a copy while it runs, and the rest after it stopped")
	})
}

// A run that ends while it is being moved leaves no copy behind.
func TestCopyOfARunThatEndedIsFreed(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error // of the call that stops the run
	}{{"it ended before the last part was copied", errFull}, {"it ended with the last part", nil}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				ended := make(chan struct{})
				sv.onMove = func(_ int, _ board.BackendServer, stop bool) error {
					sv.handles["copy"] = true
					if stop {
						close(ended)
						sv.mu.Unlock()
						synctestPause()
						sv.mu.Lock()
						return tc.err
					}
					return nil
				}
				sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
					rd, wr := io.Pipe()
					go func() {
						_, _ = io.WriteString(wr, eventOne)
						<-ended
						_ = wr.Close()
					}()
					return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: rd}, nil
				}
				leaveAfter(rl, sv, allServers, 200*time.Millisecond)
				rec, err := serve(t.Context(), rl, "draft")
				assert.NilError(t, err)
				assert.Equal(t, rec.Body.String(), eventOne)
				time.Sleep(5 * time.Second)
				assert.Equal(t, sv.held(), 0)
			})
		})
	}
}

// synctestPause lets all other goroutines of the bubble run until they block.
func synctestPause() { time.Sleep(time.Millisecond) }

// A run that can't be moved because no engine has room ends where it is.
func TestRunThatCanNotMoveEndsWhereItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onMove = func(int, board.BackendServer, bool) error { return errFull }
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			rd, wr := io.Pipe()
			go func() {
				_, _ = io.WriteString(wr, eventOne)
				time.Sleep(3 * time.Second)
				_, _ = io.WriteString(wr, eventTwo)
				_ = wr.Close()
			}()
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: rd}, nil
		}
		time.AfterFunc(200*time.Millisecond, func() {
			leaving := slices.Clone(allServers)
			leaving[0].Leaving, leaving[1].Leaving = true, true
			rl.SetBackends(rl.Clock.Now(), leaving)
		})
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
	})
}

func TestDisconnectedCallerFreesTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		closed := make(chan struct{})
		sv.onSend = func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
			rd, wr := io.Pipe()
			go func() {
				_, _ = io.WriteString(wr, eventOne)
				<-ctx.Done()
				_ = wr.CloseWithError(ctx.Err())
				close(closed)
			}()
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: rd}, nil
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, leave)
		_, err := serve(ctx, rl, "resumable")
		assert.Assert(t, errors.Is(err, relay.ErrCut))
		<-closed
		assert.Equal(t, len(sv.sentTo()), 1)
		assert.Equal(t, rl.OpenRequests(), 0)
	})
}
