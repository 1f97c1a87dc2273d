package relay_test

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/relay"
	"alderdyke/internal/retry"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Model engines crashed while some of those that were left failed half of what
// they were asked. A VM went on with the streams elsewhere, and the next engine
// answered with a failure of its own: a status of 500 and an empty body. The
// call had ended without an error, so the VM took the response for the rest of
// the stream. Its orderly end became the end of the answer: the caller got a
// status of 200 and half an answer, with a last chunk that said that it was
// whole. A run that was moved away from a leaving engine ended in the same way.
// These lines settled it, by Status, and by Events and Last, which stayed where
// the first engine had broken off:
//
//	RelayDecode After=61 Status=500 Error=
//	RelayResumed Last=61 Status=500 Error=
//	RelayAnswered Events=61 Last=61
//
//	RelayMoved Last=57 Status=500 Error=
//	RelayAnswered Events=57 Last=57

// unrelatedResponses are responses that do not go on with an answer of which the caller has
// the first event.
var unrelatedResponses = []struct {
	name   string
	status int
	body   string
}{
	{"a failure without a body", http.StatusInternalServerError, ""},
	{"a failure with a body", http.StatusInternalServerError, "out of memory\n"},
	{"a failure that reads like events", http.StatusInternalServerError, eventTwo + eventThree},
	{"another success", http.StatusNoContent, ""},
	{"the stream from its start", http.StatusOK, eventOne + eventTwo + eventThree},
	{"a stream without the next event", http.StatusOK, eventThree},
	{"events without numbers", http.StatusOK, "data: b\n\n"},
	{"text", http.StatusOK, "out of memory\n"},
}

// moveAfterFirstEvent has the run of a request moved away once its first event is out. Its
// stream ends with the error when the run is stopped; nil is an orderly end.
func moveAfterFirstEvent(rl *relay.Relay, sv *servers, end error, next func() *http.Response) {
	stopped := make(chan struct{})
	sv.onMove = func(_ int, _ board.BackendServer, stop bool) error {
		if stop {
			close(stopped)
		}
		return nil
	}
	sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
		if nth > 1 {
			return next(), nil
		}
		return streamUntil(eventOne, stopped, "", end), nil
	}
	leaveAfter(rl, sv, allServers, 200*time.Millisecond)
}

// leaveAfter has the first engine that was sent a run leave after a span.
func leaveAfter(rl *relay.Relay, sv *servers, all []board.BackendServer, span time.Duration) {
	time.AfterFunc(span, func() {
		leaving := slices.Clone(all)
		for ix := range leaving {
			leaving[ix].Leaving = leaving[ix].ID == sv.sentTo()[0]
		}
		rl.SetBackends(rl.Clock.Now(), leaving)
	})
}

// withDecoders adds decode engines to those of the rig.
func withDecoders(rl *relay.Relay, ids ...string) []board.BackendServer {
	more := slices.Clone(allServers)
	for _, id := range ids {
		more = append(more, board.BackendServer{ID: id, Service: "model", Role: board.Decode})
	}
	slices.SortFunc(more, func(ba, bb board.BackendServer) int { return cmp.Compare(ba.ID, bb.ID) })
	rl.SetBackends(rl.Clock.Now(), more)
	return more
}

// An answer goes on only with events of its own. What else an engine answers is
// neither joined to it nor taken for its end.
func TestContinuationTakesOnlyFollowingEvents(t *testing.T) {
	for _, tc := range unrelatedResponses {
		t.Run("resumed, "+tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
					if nth == 1 {
						return answer(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
					}
					return answer(tc.status, tc.body, nil), nil
				}
				rec, err := serve(t.Context(), rl, "resumable")
				assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
				assert.Equal(t, rec.Body.String(), eventOne)
				synctest.Wait()
				assert.Equal(t, sv.held(), 0)
			})
		})
		t.Run("moved, "+tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				moveAfterFirstEvent(rl, sv, io.ErrUnexpectedEOF, func() *http.Response { return answer(tc.status, tc.body, nil) })
				rec, err := serve(t.Context(), rl, "draft")
				assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
				assert.Equal(t, rec.Body.String(), eventOne)
			})
		})
	}
}

// An answer that ends with its connection ends in order also where this VM had
// its run stopped to move it. Then it is not whole: the rest is read where the
// run went.
func TestStoppedRunIsNotAWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		moveAfterFirstEvent(rl, sv, nil, func() *http.Response { return answer(http.StatusOK, eventTwo+eventThree, nil) })
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo+eventThree)
	})
}

// A caller who comes back with the last event that it has gets what follows it,
// or nothing of this engine's.
func TestReturningCallerGetsFollowingEvents(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		want       string // empty: it is refused
	}{
		{"the next event", eventTwo + eventThree, eventTwo + eventThree},
		{"nothing is left", "", ""},
		{"the stream from its start", eventOne + eventTwo, "refused"},
		{"text", "out of memory\n", "refused"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
					return answer(http.StatusOK, tc.body, nil), nil
				}
				rec, req := newGeneration(rl, 14*clock.Second, 5000)
				req.LastEventID = "1"
				err := rl.Serve(t.Context(), rec, req)
				if tc.want == "refused" {
					assert.Equal(t, refusalOf(t, err).Ran, refusal.MayHaveRun)
					assert.Equal(t, rec.Body.Len(), 0)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, rec.Body.String(), tc.want)
			})
		})
	}
}

// An engine that fails, or declines, what it was to go on with is passed over:
// the next one goes on, for as long as the route allows.
func TestNextEngineContinuesTheStream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		second func() (*http.Response, error)
	}{
		{"failed", func() (*http.Response, error) { return answer(http.StatusInternalServerError, "", nil), nil }},
		{"declined", func() (*http.Response, error) { return nil, errFull }},
		{"not its rest", func() (*http.Response, error) { return answer(http.StatusOK, eventOne, nil), nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// An engine that declines costs three arrivals, the one that goes on two.
				rl, sv := newRigWith(t, 2, relay.Settings{Budget: retry.Settings{Burst: 5, Refill: 0.001, Ratio: rigRatio, BaseBackoff: 1}})
				withDecoders(rl, "d3", "d4")
				second := ""
				sv.onSend = func(_ context.Context, nth int, se sent) (*http.Response, error) {
					switch {
					case nth == 1:
						return answer(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
					case second == "":
						second = se.server
					}
					if se.server == second {
						return tc.second()
					}
					return answer(http.StatusOK, eventTwo+eventThree, nil), nil
				}
				rec, err := serve(t.Context(), rl, "thrice")
				assert.NilError(t, err)
				assert.Equal(t, rec.Body.String(), eventOne+eventTwo+eventThree)
				synctest.Wait()
				assert.Equal(t, sv.held(), 0)
			})
		})
	}
}

// A stream of a plain service has no place that a new run could take: it is cut
// where it breaks off.
func TestStreamWithoutAPlaceIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return answer(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
		}
		rec, err := serve(t.Context(), rl, "told")
		assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
		assert.Equal(t, rec.Body.String(), eventOne)
	})
}

// An engine that fails what it is given does so at once and then looks empty. A
// stream that may be resumed is begun anew at another engine, and the one that
// failed it is passed over; any other one ends with the engine's own failure.
func TestEngineThatFailsAtOnce(t *testing.T) {
	for _, tc := range []struct {
		route  string
		status int
		runs   int
	}{{"resumable", http.StatusOK, 2}, {"draft", http.StatusInternalServerError, 1}} {
		t.Run(tc.route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
					if nth == 1 {
						return answer(http.StatusInternalServerError, "", nil), nil
					}
					return answer(http.StatusOK, eventOne, nil), nil
				}
				rec, err := serve(t.Context(), rl, tc.route)
				assert.NilError(t, err)
				assert.Equal(t, rec.Code, tc.status)
				assert.Equal(t, len(sv.sentTo()), tc.runs)
				_, err = serve(t.Context(), rl, "draft")
				assert.NilError(t, err)
				assert.Assert(t, !slices.Contains(sv.sentTo()[1:], sv.sentTo()[0]))
				synctest.Wait()
				assert.Equal(t, sv.held(), 0)
			})
		})
	}
}

// Where nothing went out yet, the next engine's response is an answer of its own,
// whatever it is.
func TestNextEngineBeginsTheAnswer(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		status     int
	}{
		{"its own failure", "out of memory\n", http.StatusInternalServerError},
		{"what it can not read", "bad prompt\n", http.StatusBadRequest},
		{"events without numbers", "data: a\n\n", http.StatusOK},
		{"a document", `{"text":"a"}`, http.StatusOK},
	} {
		t.Run("resumed, "+tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
					if nth == 1 {
						return answer(http.StatusOK, "id: 1\nda", io.ErrUnexpectedEOF), nil
					}
					return answer(tc.status, tc.body, nil), nil
				}
				rec, err := serve(t.Context(), rl, "resumable")
				assert.NilError(t, err)
				assert.Equal(t, rec.Code, tc.status)
				assert.Equal(t, rec.Body.String(), tc.body)
			})
		})
	}
}

// All new runs but the first are paid from the budget of retries, also where each
// engine answers with events that do not follow.
func TestResumedRunsAreBudgeted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, paid = 12, 3 // the rig's budget pays for one further run of each two calls
		rl, sv := newRig(t)
		withDecoders(rl, "d3", "d4", "d5", "d6")
		for range requests {
			runs := 0
			sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
				if runs++; runs == 1 {
					return answer(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
				}
				return answer(http.StatusOK, eventOne, nil), nil
			}
			_, err := serve(t.Context(), rl, "thrice")
			assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
			time.Sleep(5 * time.Second)
		}
		assert.Assert(t, len(sv.sentTo()) <= 2*requests+paid, "%d runs", len(sv.sentTo()))
	})
}

// A prompt that was computed by an engine that has started again since is not
// gone on from: its ID may name another prompt there.
func TestResumeIgnoresPromptOfAnEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		lives := func(again bool) []board.BackendServer {
			out := slices.Clone(allServers)
			for ix := range out {
				out[ix].Name = out[ix].ID
				if again && out[ix].Role == board.Prefill {
					out[ix].ID += ".2"
				}
			}
			return out
		}
		rl.SetBackends(rl.Clock.Now(), lives(false))
		sv.onPrefill = func(nth int, _ board.BackendServer) error {
			if nth == 2 {
				go rl.SetBackends(rl.Clock.Now(), lives(true))
				synctestPause()
			}
			return nil
		}
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == 1 {
				return answer(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
			}
			return answer(http.StatusOK, eventTwo, nil), nil
		}
		rec, err := serve(t.Context(), rl, "resumable")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
		assert.Equal(t, sv.sent[1].op.Source.ID, "")
	})
}

// A caller that names an event which its answer never had is refused, and no
// engine is passed over for that.
func TestUnknownLastEventIDIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return answer(http.StatusOK, eventOne+eventTwo, nil), nil
		}
		rec, req := newGeneration(rl, 14*clock.Second, 5000)
		req.LastEventID, req.URI, req.Path = "900", "/thrice/x", "/thrice/x"
		err := rl.Serve(t.Context(), rec, req)
		assert.Equal(t, refusalOf(t, err).Ran, refusal.MayHaveRun)
		assert.Equal(t, len(sv.sentTo()), 1)
	})
}
