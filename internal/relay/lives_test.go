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

// silentBody is a body that brings its text and then nothing until its call ends,
// as a connection does whose server lost its power.
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

// restarted is the list in which the servers started again under their names.
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

// A server that starts again works on nothing of before, and its connections
// may stay silent for good: what was asked of its earlier life ends at once.
func TestCallsToARestartedServer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		route string
		wants func(t *testing.T, body string, err error)
	}{
		{"a stream that may be resumed goes on elsewhere", "resumable", func(t *testing.T, body string, err error) {
			assert.NilError(t, err)
			assert.Equal(t, body, eventOne+eventTwo)
		}},
		{"one that may not is cut", "draft", func(t *testing.T, body string, err error) {
			assert.ErrorIs(t, err, relay.ErrCut)
			assert.Equal(t, body, eventOne)
		}},
		{"a request that runs once may have run", "once", func(t *testing.T, _ string, err error) {
			assert.Equal(t, refusalOf(t, err).Ran, refusal.MayHaveRun)
		}},
		{"one that may be repeated is", "again", func(t *testing.T, _ string, err error) { assert.NilError(t, err) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				rl.SetBackends(rl.Clock.Now(), restarted())
				sv.onSend = func(ctx context.Context, nth int, _ sent) (*http.Response, error) {
					switch {
					case nth > 1:
						return answer(http.StatusOK, eventTwo, nil), nil
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

// A prompt that was computed by an earlier life is not decoded from: the new
// one may give the same handle to another prompt, and must not be told to free
// it either.
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
		assert.Equal(t, sv.held(), 1, "the handle of the earlier life is no longer ours to free")
	})
}

// slowPrefill answers a prefill a moment after it is done.
type slowPrefill struct{ *servers }

func (sp *slowPrefill) Prefill(ctx context.Context, bs board.BackendServer, req *relay.Request, left clock.Millis) (relay.Handle, error) {
	hd, err := sp.servers.Prefill(ctx, bs, req, left)
	time.Sleep(10 * time.Millisecond)
	return hd, err
}

// What other VMs, and this one, told of an earlier life does not count for the
// new one: it is empty and has failed nobody.
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

// In the place of an engine that crashed another one answers, which takes
// reservations for the earlier one. The VM that finds out tells the others, and
// they don't pay for a prefill each.
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
				return answer(http.StatusOK, eventOne, nil), nil
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
