package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"alderdyke/internal/relay"
	"alderdyke/pkg/refusal"
)

// framings are the ways in which a response can delimit its body.
var framings = []struct {
	name   string
	length int64
	coding []string
}{
	{"connection", -1, nil},
	{"chunks", -1, []string{"chunked"}},
	{"length", 0, nil}, // the exact value is not read
}

// newFramedResponse creates a response whose body ends in order.
func newFramedResponse(contentType, text string, length int64, coding []string) *http.Response {
	rsp := newResponse(http.StatusOK, text, nil)
	rsp.ContentLength, rsp.TransferEncoding = length, coding
	if contentType != "" {
		rsp.Header.Set("Content-Type", contentType)
	}
	return rsp
}

// A stream that ends inside an event was broken off, although its connection was
// closed in order. A resumable stream continues elsewhere; any other is cut.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for _, tail := range []string{"i", "id: 2", "id: 2\n", "id: 2\nda", "id: 2\ndata: b", "id: 2\ndata: b\n", "event: e\n"} {
		for _, begin := range []string{eventOne, ""} {
			for _, fr := range framings {
				for _, eol := range []string{"\n", "\r\n"} {
					text := strings.ReplaceAll(begin+tail, "\n", eol)
					t.Run(fr.name+" "+text, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							checkIncomplete(t, strings.ReplaceAll(begin, "\n", eol), func() *http.Response {
								return newFramedResponse("text/event-stream", text, fr.length, fr.coding)
							})
						})
					})
				}
			}
		}
	}
}

// Without a content type, the events tell that a body is a stream of events.
func TestStreamWithoutATypeThatEndsInsideAnEvent(t *testing.T) {
	for _, tc := range []struct{ whole, tail string }{{eventOne, "id: 2\nda"}, {eventOne, "i"}, {"", "id: 1\nda"}, {"", "data:"}} {
		t.Run(tc.whole+tc.tail, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checkIncomplete(t, tc.whole, func() *http.Response { return newFramedResponse("", tc.whole+tc.tail, -1, nil) })
			})
		})
	}
}

// checkIncomplete serves requests whose first engine gives the broken response, of
// which the caller may get only the whole events.
func checkIncomplete(t *testing.T, whole string, broken func() *http.Response) {
	t.Helper()
	rest := eventTwo + eventThree
	if whole == "" {
		rest = eventOne + rest
	}
	rl, sv := newRig(t)
	sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
		if nth == 1 {
			return broken(), nil
		}
		return newResponse(http.StatusOK, rest, nil), nil
	}
	rec, err := serve(t.Context(), rl, "resumable")
	assert.NilError(t, err)
	assert.Equal(t, rec.Body.String(), whole+rest)
	assert.Equal(t, len(sv.sentTo()), 2)

	rl, sv = newRig(t)
	sv.onSend = func(context.Context, int, sent) (*http.Response, error) { return broken(), nil }
	rec, err = serve(t.Context(), rl, "draft")
	assert.Equal(t, rec.Body.String(), whole)
	if whole == "" {
		assert.Equal(t, refusalOf(t, err).Ran, refusal.MayHaveRun)
	} else {
		assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
	}
	synctest.Wait()
	assert.Equal(t, sv.held(), 0)
}

// An event that exceeds the withheld size is passed on in parts. An end inside it is a
// break, and nothing can continue behind the part.
func TestStreamThatEndsInsideALargeEventIsCut(t *testing.T) {
	for _, end := range []error{nil, io.ErrUnexpectedEOF} {
		synctest.Test(t, func(t *testing.T) {
			rl, sv := newRig(t)
			sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
				if nth > 1 {
					return newResponse(http.StatusOK, eventThree, nil), nil
				}
				rsp := newResponse(http.StatusOK, eventOne+"id: 2\ndata: "+strings.Repeat("b", 1<<20), end)
				rsp.ContentLength = -1
				rsp.Header.Set("Content-Type", "text/event-stream")
				return rsp, nil
			}
			_, err := serve(t.Context(), rl, "resumable")
			assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
			assert.Equal(t, len(sv.sentTo()), 1)
		})
	}
}

// A body that holds no events, or ends with a comment, is complete as it came.
func TestBodyWithoutAnIncompleteEventIsComplete(t *testing.T) {
	for _, tc := range []struct{ name, contentType, text string }{
		{"nothing", "text/event-stream", ""},
		{"whole events", "text/event-stream; charset=utf-8", eventOne + eventTwo},
		{"a comment at the end", "text/event-stream", eventOne + ": done"},
		{"a comment line at the end", "text/event-stream", eventOne + ": done\n"},
		{"only a comment", "text/event-stream", ": nothing to say\n"},
		{"a blank line at the end", "text/event-stream", eventOne + "\n"},
		{"text", "text/plain", "data: a"},
		{"a document", "application/json", `{"text":"a"}`},
		{"a document without a type", "", `{"text":"a"}`},
	} {
		for _, fr := range framings {
			t.Run(tc.name+", "+fr.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rl, sv := newRig(t)
					sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
						return newFramedResponse(tc.contentType, tc.text, fr.length, fr.coding), nil
					}
					rec, err := serve(t.Context(), rl, "draft")
					assert.NilError(t, err)
					assert.Equal(t, rec.Body.String(), tc.text)
				})
			})
		}
	}
}

// If an answer is delimited by its connection and its server crashes right then, the
// end of the connection does not mean that the answer is complete.
func TestEndOfAConnectionWhoseServerCrashed(t *testing.T) {
	for _, tc := range []struct {
		name, route string
		leaving     bool
		length      int64
		want        string // "cut", "refused", or the answer
		runs        int
	}{
		{"a stream that may be resumed", "resumable", false, -1, eventOne + eventTwo, 2},
		{"a stream that may not", "draft", false, -1, "cut", 1},
		{"with a length", "draft", false, 0, eventOne, 1},
		{"of a server that leaves", "draft", true, -1, eventOne, 1},
		{"an idempotent request", "again", false, -1, eventTwo, 2},
		{"a request that runs once", "once", false, -1, "refused", 1},
		{"one with a length", "once", false, 0, eventOne, 1},
		{"a stream of a plain service", "plain-stream", false, -1, "cut", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.ended = map[string]bool{}
				sv.onSend = func(_ context.Context, nth int, se sent) (*http.Response, error) {
					if nth > 1 {
						return newResponse(http.StatusOK, eventTwo, nil), nil
					}
					sv.ended[se.server] = true
					if tc.leaving {
						list := append(allServers[:0:0], allServers...)
						for ix := range list {
							list[ix].Leaving = list[ix].ID == se.server
						}
						go rl.SetBackends(rl.Clock.Now(), list)
						synctestPause()
					}
					rsp := newResponse(http.StatusOK, eventOne, nil)
					rsp.ContentLength = tc.length
					return rsp, nil
				}
				rec, err := serve(t.Context(), rl, tc.route)
				assert.Equal(t, len(sv.sentTo()), tc.runs)
				switch tc.want {
				case "cut":
					assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
				case "refused":
					assert.Equal(t, refusalOf(t, err).Ran, refusal.MayHaveRun)
					assert.Equal(t, rec.Body.Len(), 0)
				default:
					assert.NilError(t, err)
					assert.Equal(t, rec.Body.String(), tc.want)
				}
			})
		})
	}
}
