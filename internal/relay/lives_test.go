package relay_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/relay"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// silentBody is a body that returns its text and then blocks until its call ends,
// like a connection to a server that lost power.
type silentBody struct {
	io.Reader
	ctx context.Context
}

func (si *silentBody) Read(data []byte) (int, error) {
	if size, err := si.Reader.Read(data); err == nil {
		return size, nil
	}
	<-si.ctx.Done()
	return 0, si.ctx.Err()
}

func (si *silentBody) Close() error { return nil }

// restarted returns the list in which the named servers have restarted under their
// names.
func restarted(names ...string) []board.BackendServer {
	out := slices.Clone(allServers)
	for ix, bs := range out {
		out[ix].Name = bs.ID
		if slices.Contains(names, bs.ID) {
			out[ix].ID, out[ix].Incarnation = bs.ID+".2", 2
		}
	}
	return out
}

// A restarted server has dropped its earlier work, and its old connections may stay
// silent indefinitely: calls to its earlier incarnation end at once.
func TestCallsToARestartedServer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		route string
		wants func(t *testing.T, body string, err error)
	}{
		{"a resumable stream continues elsewhere", "resumable", func(t *testing.T, body string, err error) {
			assert.NilError(t, err)
			assert.Equal(t, body, eventOne+eventTwo)
		}},
		{"another stream is cut", "draft", func(t *testing.T, body string, err error) {
			assert.ErrorIs(t, err, relay.ErrCut)
			assert.Equal(t, body, eventOne)
		}},
		{"a non-idempotent request may have run", "once", func(t *testing.T, _ string, err error) {
			assert.Equal(t, refusalOf(t, err).Ran, refusal.MayHaveRun)
		}},
		{"an idempotent request is repeated", "again", func(t *testing.T, _ string, err error) { assert.NilError(t, err) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				rl.SetBackends(rl.Clock.Now(), restarted())
				sv.onSend = func(ctx context.Context, nth int, _ sent) (*http.Response, error) {
					switch {
					case nth > 1:
						return newResponse(http.StatusOK, eventTwo, nil), nil
					case tc.route == "draft" || tc.route == "resumable":
						return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &silentBody{strings.NewReader(eventOne), ctx}}, nil
					default:
						<-ctx.Done()
						return nil, errReset
					}
				}
				time.AfterFunc(50*time.Millisecond, func() {
					rl.SetBackends(rl.Clock.Now(), restarted(sv.sentTo()[0]))
				})
				began := time.Now()
				rec, err := serve(t.Context(), rl, tc.route)
				tc.wants(t, rec.Body.String(), err)
				assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
			})
		})
	}
}

// A prompt that an earlier incarnation computed must not be decoded from: the new one
// may give the same handle to another prompt, and so must not be told to free it
// either.
func TestHandlesOfAnEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		rl.SetBackends(rl.Clock.Now(), restarted())
		sv.onPrefill = func(int, board.BackendServer) error {
			go rl.SetBackends(rl.Clock.Now(), restarted("f1", "f2"))
			return nil
		}
		slow := &slowPrefill{servers: sv}
		rl.Servers = slow
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, sv.sent[0].op.Source.ID, "")
		synctest.Wait()
		assert.Equal(t, sv.held(), 1, "the handle of the earlier incarnation must not be freed")
	})
}

// slowPrefill delays the response of a prefill.
type slowPrefill struct{ *servers }

func (sp *slowPrefill) Prefill(ctx context.Context, bs board.BackendServer, req *relay.Request, left clock.Millis) (relay.Handle, error) {
	hd, err := sp.servers.Prefill(ctx, bs, req, left)
	time.Sleep(10 * time.Millisecond)
	return hd, err
}

// What this and other VMs reported about an earlier incarnation does not count for the
// new one, which is empty and has not failed.
func TestRestartedServerHasNoHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		rl.SetBackends(rl.Clock.Now(), restarted())
		failed := ""
		sv.onReserve = func(bs board.BackendServer, _ int) error {
			if strings.HasSuffix(bs.ID, ".2") {
				return nil
			}
			failed = bs.ID
			return errReset
		}
		_, err := serve(t.Context(), rl, "draft")
		refusalOf(t, err)
		assert.Assert(t, failed != "")
		rl.SetBackends(rl.Clock.Now(), restarted("d1", "d2"))
		_, err = serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
	})
}

// An engine that replaced a crashed one at its address accepts reservations for the
// earlier engine. The VM that finds out informs the others, so that they don't pay
// for a prefill each.
func TestEngineReplacedAtItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		rls := fleetOf(ctx, t, 4)
		prefills := 0
		for _, rl := range rls {
			sv := rl.Servers.(*servers)
			sv.onSend = func(_ context.Context, _ int, se sent) (*http.Response, error) {
				if se.server == "d1" {
					return nil, backend.DeclinedError{Server: "d1", Call: "Send", Reason: backend.Unknown}
				}
				return newResponse(http.StatusOK, eventOne, nil), nil
			}
			sv.onPrefill = func(int, board.BackendServer) error {
				prefills++
				return nil
			}
		}
		for round := range 12 {
			_, err := serve(ctx, rls[round%len(rls)], "draft")
			assert.Check(t, err == nil || refusalOf(t, err).Ran == refusal.NotRun)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, prefills <= 13, "%d prefills for 12 requests", prefills)
	})
}
