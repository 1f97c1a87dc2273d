package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/relay"
)

// versionSeeds is the number of seeds with which a choice of engines is tested.
const versionSeeds = 20

// mixedServers are engines and plain servers of two software versions.
var mixedServers = []board.BackendServer{
	{ID: "d1", Service: "model", Version: "v1", Role: board.Decode}, {ID: "d2", Service: "model", Version: "v2", Role: board.Decode},
	{ID: "d3", Service: "model", Version: "v1", Role: board.Decode}, {ID: "d4", Service: "model", Version: "v2", Role: board.Decode},
	{ID: "f1", Service: "model", Version: "v1", Role: board.Prefill}, {ID: "f2", Service: "model", Version: "v2", Role: board.Prefill},
	{ID: "p1", Service: "plain", Version: "v1", Role: board.Plain}, {ID: "p2", Service: "plain", Version: "v2", Role: board.Plain},
}

// versionOf returns the version of a server of mixedServers.
func versionOf(id string) string {
	for _, bs := range mixedServers {
		if bs.ID == id {
			return bs.Version
		}
	}
	return ""
}

// forEachVersionSeed runs a test with mixed versions and several seeds.
func forEachVersionSeed(t *testing.T, test func(t *testing.T, rl *relay.Relay, sv *servers)) {
	for seed := range uint64(versionSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRigOf(t, seed)
				rl.SetBackends(rl.Clock.Now(), mixedServers)
				test(t, rl, sv)
			})
		})
	}
}

// Guards against an answer that continues at another software version than the one that
// began it: what two versions write does not fit together.
func TestAnswerKeepsItsVersion(t *testing.T) {
	t.Run("resumed", func(t *testing.T) {
		forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
			sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
				if nth == 1 {
					return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
				}
				return newResponse(http.StatusOK, eventTwo, nil), nil
			}
			rec, err := serve(t.Context(), rl, "resumable")
			assert.NilError(t, err)
			assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
			assert.Equal(t, versionOf(sv.sentTo()[1]), versionOf(sv.sentTo()[0]))
		})
	})
	t.Run("moved", func(t *testing.T) {
		forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
			moveAfterFirstEventOf(rl, sv, mixedServers, io.ErrUnexpectedEOF, func() *http.Response { return newResponse(http.StatusOK, eventTwo, nil) })
			rec, err := serve(t.Context(), rl, "draft")
			assert.NilError(t, err)
			assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
			assert.Equal(t, versionOf(sv.sentTo()[1]), versionOf(sv.sentTo()[0]))
		})
	})
}

// Guards against an answer that continues at another version because no engine of its
// own is left.
func TestAnswerWithoutItsVersionIsCut(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		rl.SetBackends(rl.Clock.Now(), []board.BackendServer{mixedServers[0], mixedServers[1], mixedServers[4], mixedServers[5]})
		sv.onSend = func(_ context.Context, nth int, se sent) (*http.Response, error) {
			if nth == 1 {
				var left []board.BackendServer
				for _, bs := range []board.BackendServer{mixedServers[0], mixedServers[1], mixedServers[4], mixedServers[5]} {
					if bs.ID != se.server {
						left = append(left, bs)
					}
				}
				rl.SetBackends(rl.Clock.Now(), left)
				return newResponse(http.StatusOK, eventOne+"id: 2\nda", io.ErrUnexpectedEOF), nil
			}
			return newResponse(http.StatusOK, eventTwo, nil), nil
		}
		began := rl.Clock.Now()
		rec, err := serve(t.Context(), rl, "resumable")
		assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
		assert.Equal(t, rec.Body.String(), eventOne)
		assert.Assert(t, rl.Clock.Now()-began < 50, "waited for %s", rl.Clock.Now()-began)
	})
}

// Guards against a KV cache that is read by an engine of another version than the one that
// computed it. Without a prefill engine of its version, a decode engine computes the prompt.
func TestPromptIsComputedAtItsVersion(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		rl.SetBackends(rl.Clock.Now(), append(slices.Clone(mixedServers[:5]), mixedServers[6:]...)) // no prefill engine of v2
		for range versionSeeds {
			_, err := serve(t.Context(), rl, "draft")
			assert.NilError(t, err)
			last := sv.sent[len(sv.sent)-1]
			assert.Equal(t, last.op.Source.ID != "", versionOf(last.server) == "v1", "%v", last)
			if last.op.Source.ID != "" {
				assert.Equal(t, last.op.Source.Server.Version, versionOf(last.server))
			}
		}
	})
}

// Guards against a second attempt of a stream at another version than the one that other
// VMs may have been told, though the first attempt brought no event.
func TestRetryBeforeTheFirstEventKeepsItsVersion(t *testing.T) {
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == 1 {
				return nil, errReset
			}
			return newResponse(http.StatusOK, eventOne, nil), nil
		}
		_, err := serve(t.Context(), rl, "resumable")
		assert.NilError(t, err)
		assert.Equal(t, versionOf(sv.sentTo()[1]), versionOf(sv.sentTo()[0]))
	})
}

// Guards against a KV cache that was kept after a declined decode and is read by an engine
// of another version.
func TestKeptPromptIsNotReadAtAnotherVersion(t *testing.T) {
	other := 0
	forEachVersionSeed(t, func(t *testing.T, rl *relay.Relay, sv *servers) {
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == 1 {
				return nil, errWrongRole
			}
			return newResponse(http.StatusOK, eventOne, nil), nil
		}
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		last := sv.sent[1]
		if last.op.Source.ID != "" {
			assert.Equal(t, last.op.Source.Server.Version, versionOf(last.server))
		}
		if versionOf(sv.sent[0].server) != versionOf(last.server) {
			other++
		}
		synctest.Wait()
		assert.Equal(t, sv.held(), 0)
	})
	assert.Assert(t, other > 0, "no second decode was at the other version")
}
