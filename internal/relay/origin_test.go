package relay_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/origin"
	"alderdyke/internal/relay"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// origins answers as the VMs of a fleet, and keeps what it is told.
type origins struct {
	answer origin.Answer
	asked  []origin.ID
	kept   map[origin.ID]origin.Record
	life   clock.Millis // of the last record
}

func (or *origins) Keep(id origin.ID, rc origin.Record, life clock.Millis) {
	if or.kept == nil {
		or.kept = make(map[origin.ID]origin.Record)
	}
	or.kept[id], or.life = rc, life
}

func (or *origins) Lookup(_ context.Context, id origin.ID, _ string, _ clock.Millis) origin.Answer {
	or.asked = append(or.asked, id)
	return or.answer
}

func known(version string) origin.Answer {
	return origin.Answer{Reply: origin.Reply{State: origin.Known, Record: origin.Record{Service: "model", Version: version}}}
}

// resumeRequest is a request of a route that continues the stream of attempt a1 after its
// first event.
func resumeRequest(rl *relay.Relay, route string) *relay.Request {
	req := &relay.Request{ID: "a2", Method: http.MethodPost, Host: "h", URI: "/" + route + "/x", Path: "/" + route + "/x",
		Header: http.Header{}, Arrived: rl.Clock.Now(), WaitLimit: 14 * clock.Second, LastEventID: "1", Resumes: "a1"}
	if route != "plain-stream" {
		req.Prompt = &relay.Prompt{Tokens: 5000, MaxOutput: 8000, Hint: 1000}
	}
	return req
}

var errStoreAway = errors.New("the store does not answer")

// Guards against a stream of another VM that goes on at a version that is not known to be
// its own: it goes on at the version that the VMs know, or at the only one that can have
// begun it, and is refused at once otherwise.
func TestResumedStreamGoesOnAtItsVersion(t *testing.T) {
	onlyV1 := []board.BackendServer{mixedServers[0], mixedServers[2], mixedServers[4]}
	unknown := origin.Answer{}
	sole := origin.Answer{Reply: origin.Reply{Sole: "v1"}}
	for _, tc := range []struct {
		name     string
		answer   origin.Answer
		servers  []board.BackendServer
		listed   []string // versions in the store
		storeErr error
		outdated bool // the list of servers
		nameless bool // the caller names no attempt
		want     string
		reason   refusal.Reason
		after    bool // the caller is told when to come back
	}{
		{name: "known, first version", answer: known("v1"), servers: mixedServers, want: "v1"},
		{name: "known, second version", answer: known("v2"), servers: mixedServers, want: "v2"},
		{name: "known, while the store is away", answer: known("v2"), servers: mixedServers, storeErr: errStoreAway, outdated: true, want: "v2"},
		{name: "known, and none is left", answer: known("v2"), servers: onlyV1, reason: refusal.VersionGone, after: true},
		{name: "known, of another service", answer: origin.Answer{Reply: origin.Reply{State: origin.Known, Record: origin.Record{Service: "plain", Version: "v1"}}},
			servers: mixedServers, reason: refusal.VersionGone},
		{name: "unknown", answer: unknown, servers: mixedServers, listed: []string{"v1", "v2"}, reason: refusal.VersionUnknown},
		{name: "unknown, and some VMs are silent", answer: origin.Answer{Silent: 2}, servers: mixedServers, listed: []string{"v1", "v2"}, reason: refusal.VersionUnknown, after: true},
		{name: "ambiguous", answer: origin.Answer{Reply: origin.Reply{State: origin.Ambiguous, Sole: "v1"}}, servers: onlyV1, listed: []string{"v1"}, reason: refusal.VersionUnknown},
		{name: "unknown, only one version served", answer: sole, servers: onlyV1, listed: []string{"v1", "v1"}, want: "v1"},
		{name: "unknown, another version has just come", answer: sole, servers: onlyV1, listed: []string{"v1", "v2"}, reason: refusal.VersionUnknown},
		{name: "unknown, another VM knows of several versions", answer: origin.Answer{Reply: origin.Reply{Several: true}}, servers: onlyV1, listed: []string{"v1"}, reason: refusal.VersionUnknown},
		{name: "unknown, only one version served, the store is away", answer: sole, servers: onlyV1, storeErr: errStoreAway, reason: refusal.VersionUnknown, after: true},
		{name: "unknown, only one version served, an old list", answer: sole, servers: onlyV1, listed: []string{"v1"}, outdated: true, reason: refusal.VersionUnknown, after: true},
		{name: "not named, only one version served", answer: sole, servers: onlyV1, listed: []string{"v1"}, nameless: true, want: "v1"},
		{name: "not named, several versions", answer: unknown, servers: mixedServers, listed: []string{"v1", "v2"}, nameless: true, reason: refusal.VersionUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
				or := &origins{answer: tc.answer}
				rl.Origins = or
				rl.ListVersions = func(context.Context, string) ([]string, error) { return tc.listed, tc.storeErr }
				rl.IsListCurrent = func() bool { return !tc.outdated }
				rl.SetBackends(rl.Clock.Now(), tc.servers)
				sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
					return newResponse(http.StatusOK, eventTwo, nil), nil
				}
				req := resumeRequest(rl, "resumable")
				if tc.nameless {
					req.Resumes = ""
				}
				began := rl.Clock.Now()
				rec := httptest.NewRecorder()
				err := rl.Serve(t.Context(), rec, req)
				assert.Equal(t, rl.Clock.Now(), began, "served or refused at once")
				if tc.reason != "" {
					rf := refusalOf(t, err)
					assert.Equal(t, rf.Reason, tc.reason, "%v", rf)
					assert.Equal(t, rf.Ran, refusal.NotRun)
					assert.Equal(t, rf.RetryAfter > 0, tc.after)
					assert.Equal(t, len(sv.sentTo()), 0)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, rec.Body.String(), eventTwo)
				assert.Equal(t, versionOf(sv.sentTo()[0]), tc.want)
				if !tc.nameless {
					assert.Equal(t, or.asked[0], origin.IDOf("", "a1"))
					assert.Equal(t, or.kept[origin.IDOf("", "a1")], origin.Record{Service: "model", Version: tc.want}, "for a caller that comes back again")
				}
			})
		})
	}
}

// Guards against a stream that is refused because the engines of its version are full for a
// moment, as when a VM that is lost keeps runs there. A new one is refused early enough to
// be sent elsewhere.
func TestResumedStreamWaitsForItsVersion(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		rl.Origins = &origins{answer: known("v1")}
		full := true
		sv.onReserve = func(bs board.BackendServer, _ int) error {
			if full && bs.Version == "v1" {
				return errFull
			}
			return nil
		}
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return newResponse(http.StatusOK, eventTwo, nil), nil
		}
		time.AfterFunc(time.Second, func() {
			sv.mu.Lock()
			defer sv.mu.Unlock()
			full = false
		})
		assert.NilError(t, rl.Serve(t.Context(), httptest.NewRecorder(), resumeRequest(rl, "resumable")))
		assert.Equal(t, versionOf(sv.sentTo()[0]), "v1")
		sv.mu.Lock()
		sv.onReserve = func(board.BackendServer, int) error { return errFull }
		sv.mu.Unlock()
		began := rl.Clock.Now()
		_, err := serve(t.Context(), rl, "resumable")
		assert.Equal(t, refusalOf(t, err).Reason, refusal.QueueFull)
		assert.Assert(t, rl.Clock.Now()-began < 300, "%s", rl.Clock.Now()-began)
		began = rl.Clock.Now()
		err = rl.Serve(t.Context(), httptest.NewRecorder(), resumeRequest(rl, "resumable"))
		assert.Equal(t, refusalOf(t, err).Reason, refusal.QueueFull)
		assert.Assert(t, rl.Clock.Now()-began < 2*clock.Second, "%s", rl.Clock.Now()-began)
	})
}

// The version is told to the other VMs before the prompt is computed, and for as long as
// the caller may come back.
func TestVersionIsKeptBeforeTheStreamBegins(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		or := &origins{}
		rl.Origins = or
		sv.onPrefill = func(int, board.BackendServer) error {
			assert.Equal(t, len(or.kept), 1)
			return nil
		}
		_, err := serveWithLimit(t.Context(), rl, "resumable", 9*clock.Second)
		assert.NilError(t, err)
		assert.Equal(t, or.kept[origin.IDOf("", "r-resumable")], origin.Record{Service: "model", Version: versionOf(sv.sentTo()[0])})
		assert.Assert(t, or.life > 9*clock.Second, "%s", or.life)
		assert.Equal(t, len(or.asked), 0)
		_, err = serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, len(or.kept), 1, "nobody resumes a stream of this route")
	})
}

// Streams of plain services keep their versions like those of engines: at a second attempt,
// and when a caller comes back.
func TestPlainStreamKeepsItsVersion(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		or := &origins{answer: origin.Answer{Reply: origin.Reply{State: origin.Known, Record: origin.Record{Service: "plain", Version: "v2"}}}}
		rl.Origins = or
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return newResponse(http.StatusOK, eventTwo, nil), nil
		}
		assert.NilError(t, rl.Serve(t.Context(), httptest.NewRecorder(), resumeRequest(rl, "plain-stream")))
		assert.Equal(t, versionOf(sv.sentTo()[0]), "v2")
		rl.SetBackends(rl.Clock.Now(), mixedServers[:7])
		rf := refusalOf(t, rl.Serve(t.Context(), httptest.NewRecorder(), resumeRequest(rl, "plain-stream")))
		assert.Equal(t, rf.Reason, refusal.VersionGone)

		rl.SetBackends(rl.Clock.Now(), mixedServers)
		first := len(sv.sentTo())
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == first+1 {
				return nil, errReset
			}
			return newResponse(http.StatusOK, eventOne, nil), nil
		}
		_, err := serve(t.Context(), rl, "plain-stream")
		assert.NilError(t, err)
		assert.Equal(t, versionOf(sv.sentTo()[first]), versionOf(sv.sentTo()[first+1]))
	})
}

// A request that was bound to a version before this VM lost its path is forwarded with
// the version, and the VM that gets it uses servers of that version only.
func TestForwardedRequestStaysBound(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		for _, version := range []string{"v1", "v2"} {
			req := resumeRequest(rl, "resumable")
			req.LastEventID, req.Resumes = "", ""
			req.Forwarded, req.Bound = true, origin.Record{Service: "model", Version: version}
			assert.NilError(t, rl.Serve(t.Context(), httptest.NewRecorder(), req))
			assert.Equal(t, versionOf(sv.sentTo()[len(sv.sentTo())-1]), version)
		}
	})
}

// Guards against a forwarded request that begins at another version than the one that the
// VMs were told before the path was lost.
func TestBoundRequestIsForwardedWithItsVersion(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		or, ov := &origins{}, &otherVMs{}
		rl.Origins, rl.Peers = or, ov
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			partitionServers(sv) // after the place was confirmed
			return nil, errNotReached
		}
		_, err := serve(t.Context(), rl, "resumable")
		assert.NilError(t, err)
		assert.Equal(t, len(ov.bound), 1)
		assert.Equal(t, ov.bound[0], or.kept[origin.IDOf("", "r-resumable")])
		assert.Assert(t, ov.bound[0].Version != "")
	})
}

// A service whose servers come and go keeps its record of versions for as long as a stream
// can last.
func TestSoleVersionAfterARelease(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, _ *servers) {
		rl.SetBackends(rl.Clock.Now(), slices.DeleteFunc(slices.Clone(mixedServers), func(bs board.BackendServer) bool { return bs.Version == "v1" }))
		time.Sleep(13 * time.Second)
		_, ok := rl.SoleVersion("model", 14*clock.Second)
		assert.Assert(t, !ok)
		time.Sleep(time.Second)
		version, ok := rl.SoleVersion("model", 14*clock.Second)
		assert.Assert(t, ok && version == "v2", "%q", version)
		rl.RecordListGap(rl.Clock.Now())
		_, ok = rl.SoleVersion("model", 14*clock.Second)
		assert.Assert(t, !ok)
	})
}

// Guards against a stream without a record that goes on at another service of its route.
func TestUnknownStreamOfASplitRoute(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		tb, err := route.New(5, []route.Route{{Name: "split", Host: "h", Prefix: "/split/", Kind: route.Stream, Timeout: clock.Second, MaxAttempts: 2,
			Resumable: true, Shares: []route.Share{{Service: "plain", Weight: 1}, {Service: "other", Weight: 1}}}}, []route.Service{{Name: "plain"}, {Name: "other"}})
		assert.NilError(t, err)
		assert.Assert(t, rl.Configure(tb))
		rl.SetBackends(rl.Clock.Now(), []board.BackendServer{{ID: "o1", Service: "other", Version: "v1", Role: board.Plain}, mixedServers[6]})
		time.Sleep(time.Minute)
		req := resumeRequest(rl, "plain-stream")
		req.URI, req.Path = "/split/x", "/split/x"
		rf := refusalOf(t, rl.Serve(t.Context(), httptest.NewRecorder(), req))
		assert.Equal(t, rf.Reason, refusal.VersionUnknown)
		rl.Origins = &origins{answer: origin.Answer{Reply: origin.Reply{State: origin.Known, Record: origin.Record{Service: "other", Version: "v1"}}}}
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return newResponse(http.StatusOK, eventTwo, nil), nil
		}
		req = resumeRequest(rl, "plain-stream")
		req.URI, req.Path = "/split/x", "/split/x"
		assert.NilError(t, rl.Serve(t.Context(), httptest.NewRecorder(), req))
		assert.DeepEqual(t, sv.sentTo(), []string{"o1"})
	})
}

// Guards against a stream that is joined from two versions after all VMs were lost: a
// resumed stream may have begun longer ago than its caller's remaining time or one attempt
// of its route tells, at a version that this VM has never seen.
func TestStreamMayHaveBegunBeforeThisVM(t *testing.T) {
	const (
		limit = 14 * clock.Second // of the callers, in all
		left  = 1500 * clock.Millis(1)
	)
	for _, tc := range []struct {
		name   string
		first  bool         // the VM has seen a new stream of the route
		after  clock.Millis // from the start of the VM
		served bool
	}{
		{"no caller's time is known", false, 3 * clock.Second, false},
		{"callers wait for longer", true, 3 * clock.Second, false},
		{"callers wait for longer, almost over", true, limit, false},
		{"over", true, limit + 3*clock.Second, true},
		{"no caller's time is known, for long", false, 63 * clock.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
				sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
					return newResponse(http.StatusOK, eventTwo, nil), nil
				}
				rl.ListVersions = func(context.Context, string) ([]string, error) { return []string{"v2"}, nil }
				rl.SetBackends(rl.Clock.Now(), nil)
				time.Sleep(2 * time.Minute) // in which what the rig listed is forgotten
				rl.RecordListGap(rl.Clock.Now())
				rl.SetBackends(rl.Clock.Now(), []board.BackendServer{mixedServers[7]})
				if tc.first {
					_, err := serveWithLimit(t.Context(), rl, "plain-stream", limit)
					assert.NilError(t, err)
				}
				time.Sleep(tc.after.Std())
				before := len(sv.sentTo())
				req := resumeRequest(rl, "plain-stream")
				req.WaitLimit = left
				err := rl.Serve(t.Context(), httptest.NewRecorder(), req)
				if tc.served {
					assert.NilError(t, err)
					return
				}
				assert.Equal(t, refusalOf(t, err).Reason, refusal.VersionUnknown)
				assert.Equal(t, len(sv.sentTo()), before)
			})
		})
	}
}
