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

// These tests guard against two runs of different engines in one answer, and against
// a partial answer that looks complete. When a stream breaks, or a run is moved away
// from a leaving engine, the next engine may answer with a failure of its own, for
// example status 500 with an empty body. Its call ends without an error, so the
// response must be checked: otherwise its orderly end would become the end of the
// answer, and the caller would get status 200 and half an answer that is marked as
// complete.

// unrelatedResponses do not continue an answer of which the caller has the first
// event.
var unrelatedResponses = []struct {
	name   string
	status int
	body   string
}{
	{"a failure without a body", http.StatusInternalServerError, ""},
	{"a failure with a body", http.StatusInternalServerError, "out of memory\n"},
	{"a failure that looks like events", http.StatusInternalServerError, eventTwo + eventThree},
	{"another success", http.StatusNoContent, ""},
	{"the stream from its start", http.StatusOK, eventOne + eventTwo + eventThree},
	{"a stream without the next event", http.StatusOK, eventThree},
	{"events without numbers", http.StatusOK, "data: b\n\n"},
	{"text", http.StatusOK, "out of memory\n"},
}

// moveAfterFirstEvent makes the run of a request move once its first event is out.
// Its stream ends with the error when the run is stopped; nil is an orderly end.
func moveAfterFirstEvent(rl *relay.Relay, sv *servers, end error, next func() *http.Response) {
	moveAfterFirstEventOf(rl, sv, allServers, end, next)
}

// moveAfterFirstEventOf is moveAfterFirstEvent with other servers than those of the rig.
func moveAfterFirstEventOf(rl *relay.Relay, sv *servers, all []board.BackendServer, end error, next func() *http.Response) {
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
	leaveAfter(rl, sv, all, 200*time.Millisecond)
}

// leaveAfter makes the first engine that was sent a run leave after a delay.
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

// An answer continues only with its own events. Any other response of an engine is
// neither appended to it nor taken for its end.
func TestContinuationTakesOnlyFollowingEvents(t *testing.T) {
	for _, tc := range unrelatedResponses {
		t.Run("resumed, "+tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
					if nth == 1 {
						return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
					}
					return newResponse(tc.status, tc.body, nil), nil
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
				moveAfterFirstEvent(rl, sv, io.ErrUnexpectedEOF, func() *http.Response { return newResponse(tc.status, tc.body, nil) })
				rec, err := serve(t.Context(), rl, "draft")
				assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
				assert.Equal(t, rec.Body.String(), eventOne)
			})
		})
	}
}

// If an answer is delimited by the end of its connection, it also ends in order when
// this VM stopped its run to move it. The answer is not complete then: the rest is
// read from the engine that the run moved to.
func TestStoppedRunIsNotACompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		moveAfterFirstEvent(rl, sv, nil, func() *http.Response { return newResponse(http.StatusOK, eventTwo+eventThree, nil) })
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo+eventThree)
	})
}

// A caller that reconnects with its last event gets the events that follow, or
// nothing from this engine.
func TestReturningCallerGetsFollowingEvents(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		want       string // "refused": the request is refused
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
					return newResponse(http.StatusOK, tc.body, nil), nil
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

// An engine that fails or declines the continuation is skipped: the next engine
// continues, for as long as the route allows.
func TestNextEngineContinuesTheStream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		second func() (*http.Response, error)
	}{
		{"failed", func() (*http.Response, error) { return newResponse(http.StatusInternalServerError, "", nil), nil }},
		{"declined", func() (*http.Response, error) { return nil, errFull }},
		{"another answer", func() (*http.Response, error) { return newResponse(http.StatusOK, eventOne, nil), nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// An engine that declines costs three arrivals, the one that
				// continues costs two.
				rl, sv := newRigWith(t, 2, relay.Settings{Budget: retry.Settings{Burst: 5, Refill: 0.001, Ratio: rigRatio, BaseBackoff: 1}})
				withDecoders(rl, "d3", "d4")
				second := ""
				sv.onSend = func(_ context.Context, nth int, se sent) (*http.Response, error) {
					switch {
					case nth == 1:
						return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
					case second == "":
						second = se.server
					}
					if se.server == second {
						return tc.second()
					}
					return newResponse(http.StatusOK, eventTwo+eventThree, nil), nil
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

// A stream of a plain service has no place that a new run could take, so it is cut
// when it breaks.
func TestStreamWithoutAPlaceIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
		}
		rec, err := serve(t.Context(), rl, "plain-stream")
		assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
		assert.Equal(t, rec.Body.String(), eventOne)
	})
}

// An engine that fails its requests does so at once and then looks empty. A stream
// that may be resumed is started again at another engine, and the engine that failed
// is skipped; any other stream ends with the engine's own failure.
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
						return newResponse(http.StatusInternalServerError, "", nil), nil
					}
					return newResponse(http.StatusOK, eventOne, nil), nil
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

// If nothing was sent yet, the next engine's response is an answer of its own,
// whatever it is.
func TestNextEngineBeginsTheAnswer(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		status     int
	}{
		{"a failure", "out of memory\n", http.StatusInternalServerError},
		{"a bad request", "bad prompt\n", http.StatusBadRequest},
		{"events without numbers", "data: a\n\n", http.StatusOK},
		{"a document", `{"text":"a"}`, http.StatusOK},
	} {
		t.Run("resumed, "+tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
					if nth == 1 {
						return newResponse(http.StatusOK, "id: 1\nda", io.ErrUnexpectedEOF), nil
					}
					return newResponse(tc.status, tc.body, nil), nil
				}
				rec, err := serve(t.Context(), rl, "resumable")
				assert.NilError(t, err)
				assert.Equal(t, rec.Code, tc.status)
				assert.Equal(t, rec.Body.String(), tc.body)
			})
		})
	}
}

// All new runs after the first are paid from the retry budget, even if each engine
// answers with events that do not follow.
func TestResumedRunsAreBudgeted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, paid = 12, 3 // the rig's budget pays for one further run per two calls
		rl, sv := newRig(t)
		withDecoders(rl, "d3", "d4", "d5", "d6")
		for range requests {
			runs := 0
			sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
				if runs++; runs == 1 {
					return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
				}
				return newResponse(http.StatusOK, eventOne, nil), nil
			}
			_, err := serve(t.Context(), rl, "thrice")
			assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
			time.Sleep(5 * time.Second)
		}
		assert.Assert(t, len(sv.sentTo()) <= 2*requests+paid, "%d runs", len(sv.sentTo()))
	})
}

// A prompt that was computed by an engine that has since restarted is not used: its
// ID may identify another prompt there.
func TestResumeIgnoresPromptOfAnEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		serverList := func(again bool) []board.BackendServer {
			out := slices.Clone(allServers)
			for ix := range out {
				out[ix].Name = out[ix].ID
				if again && out[ix].Role == board.Prefill {
					out[ix].ID += ".2"
				}
			}
			return out
		}
		rl.SetBackends(rl.Clock.Now(), serverList(false))
		sv.onPrefill = func(nth int, _ board.BackendServer) error {
			if nth == 2 {
				go rl.SetBackends(rl.Clock.Now(), serverList(true))
				synctestPause()
			}
			return nil
		}
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == 1 {
				return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
			}
			return newResponse(http.StatusOK, eventTwo, nil), nil
		}
		rec, err := serve(t.Context(), rl, "resumable")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
		assert.Equal(t, sv.sent[1].op.Source.ID, "")
	})
}

// A caller that names an event which its answer does not have is refused, and no
// engine is skipped for that.
func TestUnknownLastEventIDIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return newResponse(http.StatusOK, eventOne+eventTwo, nil), nil
		}
		rec, req := newGeneration(rl, 14*clock.Second, 5000)
		req.LastEventID, req.URI, req.Path = "900", "/thrice/x", "/thrice/x"
		err := rl.Serve(t.Context(), rec, req)
		assert.Equal(t, refusalOf(t, err).Ran, refusal.MayHaveRun)
		assert.Equal(t, len(sv.sentTo()), 1)
	})
}
