package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/apikey"
	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/charge"
	"alderdyke/internal/origin"
	"alderdyke/internal/quota"
	"alderdyke/internal/relay"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

type (
	// otherVMs is an in-memory implementation of relay.Peers.
	otherVMs struct {
		mu    sync.Mutex
		asked []string
		left  []clock.Millis
		bound []origin.Record
		on    func(nth int) (*http.Response, error) // nil: an answer
	}

	// countingCharger counts what requests took of their quotas.
	countingCharger struct{ charged, held int }
)

func (ov *otherVMs) Addresses() []string { return []string{"vm-2", "vm-3"} }

func (ov *otherVMs) Forward(_ context.Context, address string, req *relay.Request, left clock.Millis) (*http.Response, error) {
	ov.mu.Lock()
	defer ov.mu.Unlock()
	ov.asked, ov.left = append(ov.asked, address), append(ov.left, left)
	ov.bound = append(ov.bound, req.Bound)
	if ov.on == nil {
		return newResponse(http.StatusOK, eventOne, nil), nil
	}
	return ov.on(len(ov.asked))
}

func (cc *countingCharger) Charge(context.Context, charge.Order) error {
	cc.charged++
	cc.held++
	return nil
}

func (cc *countingCharger) GiveBack(charge.Order) { cc.held-- }

var (
	errNotReached = backend.NotSentError{Server: "x", Call: "Send", Err: context.DeadlineExceeded}
	errVMDeclined = backend.DeclinedError{Server: "vm", Call: "Forward", Reason: backend.Refused}
)

// newPartitionedRig creates a relay that reaches no server, and the other VMs.
func newPartitionedRig(t *testing.T) (*relay.Relay, *servers, *otherVMs) {
	t.Helper()
	rl, sv := newRig(t)
	ov := &otherVMs{}
	rl.Peers = ov
	partitionServers(sv)
	return rl, sv, ov
}

func partitionServers(sv *servers) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.ended = make(map[string]bool)
	for _, bs := range allServers {
		sv.ended[bs.ID] = true
	}
	sv.onSend = func(context.Context, int, sent) (*http.Response, error) { return nil, errNotReached }
	sv.onReserve = func(board.BackendServer, int) error { return errNotReached }
}

func restorePaths(sv *servers) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.ended, sv.onSend, sv.onReserve = nil, nil, nil
}

// A partitioned VM forwards requests from the first one, and soon without
// trying its own paths.
func TestPartitionedVMForwardsRequests(t *testing.T) {
	for _, name := range []string{"once", "again", "draft", "resumable", "plain-stream"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv, ov := newPartitionedRig(t)
				for range 8 {
					rec, err := serve(t.Context(), rl, name)
					assert.NilError(t, err)
					assert.Equal(t, rec.Body.String(), eventOne)
				}
				assert.Equal(t, len(ov.asked), 8)
				tries := len(sv.sentTo())
				_, err := serve(t.Context(), rl, name)
				assert.NilError(t, err)
				assert.Equal(t, len(sv.sentTo()), tries, "the partition is known")
				synctest.Wait()
				assert.Equal(t, sv.held(), 0)
				assert.Equal(t, len(rl.PlacesForTest()), 0)
			})
		})
	}
}

// A request that may have run, or that a server declined, is not forwarded.
func TestRequestThatReachedAServerIsNotForwarded(t *testing.T) {
	for _, tc := range []struct {
		name, route string
		err         error
	}{
		{"may have run", "once", errReset},
		{"may have run at the last try", "again", errReset},
		{"declined", "once", errFull},
		{"a decode that may have run", "draft", errReset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv, ov := newPartitionedRig(t)
				sv.onReserve = nil
				sv.onSend = func(context.Context, int, sent) (*http.Response, error) { return nil, tc.err }
				_, err := serve(t.Context(), rl, tc.route)
				refusalOf(t, err)
				assert.Equal(t, len(ov.asked), 0)
			})
		})
	}
}

// A request whose place was reserved before the path was lost is forwarded too.
func TestRequestThatLosesItsPathIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv, ov := newPartitionedRig(t)
		reserved := false
		sv.onReserve = func(board.BackendServer, int) error {
			if reserved {
				return errNotReached
			}
			reserved = true
			return nil
		}
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne)
		assert.Equal(t, len(ov.asked), 1)
	})
}

// A request is forwarded once: a VM that is partitioned too refuses it at once.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, _, ov := newPartitionedRig(t)
		for range 8 {
			rec, req := newGeneration(rl, 14*clock.Second, 5000)
			req.Forwarded = true
			rf := refusalOf(t, rl.Serve(t.Context(), rec, req))
			assert.Equal(t, rf.Reason, refusal.ServersUnreachable)
			assert.Equal(t, rf.Ran, refusal.NotRun)
			assert.Assert(t, rf.RetryAfter > 0)
		}
		assert.Equal(t, len(ov.asked), 0)
	})
}

// What became of a request at another VM decides whether a third one is asked.
func TestForwardOutcomes(t *testing.T) {
	answer := func(status int, body string, end error) func(int) (*http.Response, error) {
		return func(int) (*http.Response, error) { return newResponse(status, body, end), nil }
	}
	for _, tc := range []struct {
		name  string
		on    func(nth int) (*http.Response, error)
		asked int
		check func(t *testing.T, status int, body string, err error)
	}{
		{"the first declines", func(nth int) (*http.Response, error) {
			if nth == 1 {
				return nil, errVMDeclined
			}
			return newResponse(http.StatusOK, eventOne, nil), nil
		}, 2, func(t *testing.T, status int, body string, err error) {
			assert.NilError(t, err)
			assert.Equal(t, body, eventOne)
			assert.Equal(t, status, http.StatusOK)
		}},
		{"all decline", func(int) (*http.Response, error) { return nil, errVMDeclined }, 2, func(t *testing.T, _ int, body string, err error) {
			rf := refusalOf(t, err)
			assert.Equal(t, rf.Reason, refusal.ServersUnreachable)
			assert.Equal(t, rf.Ran, refusal.NotRun)
			assert.Equal(t, body, "")
		}},
		{"none is reached", func(int) (*http.Response, error) { return nil, errNotReached }, 2, func(t *testing.T, _ int, _ string, err error) {
			assert.Equal(t, refusalOf(t, err).Ran, refusal.NotRun)
		}},
		{"the first dies", func(int) (*http.Response, error) { return nil, errReset }, 1, func(t *testing.T, _ int, _ string, err error) {
			assert.Equal(t, refusalOf(t, err).Ran, refusal.MayHaveRun)
		}},
		{"it refuses", answer(http.StatusTooManyRequests, "later", nil), 1, func(t *testing.T, status int, body string, err error) {
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusTooManyRequests)
			assert.Equal(t, body, "later")
		}},
		{"its answer breaks off", answer(http.StatusOK, eventOne+"id: 2", io.ErrUnexpectedEOF), 1, func(t *testing.T, _ int, _ string, err error) {
			assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv, ov := newPartitionedRig(t)
				ov.on = tc.on
				rec, err := serve(t.Context(), rl, "draft")
				assert.Equal(t, len(ov.asked), tc.asked)
				tc.check(t, rec.Code, rec.Body.String(), err)
				synctest.Wait()
				assert.Equal(t, sv.held(), 0)
			})
		})
	}
}

// VMs that could take no request are not asked again at once, so that a fleet without
// servers refuses quickly.
func TestVMsThatDeclineAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, _, ov := newPartitionedRig(t)
		ov.on = func(int) (*http.Response, error) { return nil, errVMDeclined }
		for range 5 {
			_, err := serve(t.Context(), rl, "draft")
			assert.Equal(t, refusalOf(t, err).Ran, refusal.NotRun)
		}
		assert.Equal(t, len(ov.asked), 2)
		time.Sleep(2 * time.Second)
		_, err := serve(t.Context(), rl, "draft")
		assert.Equal(t, refusalOf(t, err).Ran, refusal.NotRun)
		assert.Equal(t, len(ov.asked), 4)
	})
}

// Once a server can be reached, requests are served here again.
func TestPartitionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv, ov := newPartitionedRig(t)
		ctx, stop := context.WithCancel(t.Context())
		go rl.ProbePartitions(ctx)
		for range 8 {
			for _, name := range []string{"once", "draft"} {
				_, err := serve(t.Context(), rl, name)
				assert.NilError(t, err)
			}
		}
		restorePaths(sv)
		time.Sleep(time.Second)
		asked := len(ov.asked)
		for _, name := range []string{"once", "draft"} {
			rec, err := serve(t.Context(), rl, name)
			assert.NilError(t, err)
			assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
		}
		assert.Equal(t, len(ov.asked), asked)
		stop()
		synctest.Wait()
	})
}

// A partition from one service leaves the others here.
func TestPartitionFromOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv, ov := newPartitionedRig(t)
		sv.onReserve = nil
		sv.onSend = func(_ context.Context, _ int, se sent) (*http.Response, error) {
			if strings.HasPrefix(se.server, "p") {
				return nil, errNotReached
			}
			return newResponse(http.StatusOK, eventOne+eventTwo, nil), nil
		}
		for range 4 {
			_, err := serve(t.Context(), rl, "once")
			assert.NilError(t, err)
		}
		assert.Equal(t, len(ov.asked), 4)
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, len(ov.asked), 4)
	})
}

// A VM that reaches only engines that compute prompts can't run a generation.
func TestPartitionFromAllDecodeEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv, ov := newPartitionedRig(t)
		sv.mu.Lock()
		delete(sv.ended, "f1")
		sv.mu.Unlock()
		ctx, stop := context.WithCancel(t.Context())
		go rl.ProbePartitions(ctx)
		for range 8 {
			_, err := serve(t.Context(), rl, "draft")
			assert.NilError(t, err)
			time.Sleep(time.Second)
		}
		assert.Equal(t, len(ov.asked), 8)
		began := time.Now()
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0), "the partition is still known")
		stop()
		synctest.Wait()
	})
}

// Refused connections of a partitioned VM do not show that servers crashed.
func TestRefusedConnectionsOfAPartitionedVMAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv, _ := newPartitionedRig(t)
		sv.onReserve = nil
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			rsp := newResponse(http.StatusOK, eventOne, nil)
			rsp.ContentLength = -1
			return rsp, nil
		}
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne)
	})
}

// A forwarded request takes nothing of its customer's quota here: the other VM
// charges it.
func TestForwardedRequestIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, _, ov := newPartitionedRig(t)
		cc := &countingCharger{}
		rl.Charger = cc
		tb, err := route.New(5, []route.Route{{Name: "again", Host: "h", Prefix: "/again/", Kind: route.Idempotent,
			Shares: []route.Share{{Service: "plain", Weight: 1}}, Timeout: clock.Second, MaxAttempts: 2}}, []route.Service{{Name: "plain"}})
		assert.NilError(t, err)
		customer := route.Customer{Name: "c", Priority: -1, KeyHashes: []string{apikey.HashKey("k")}, Limit: quota.Limit{Rate: 1, Burst: 100}}
		assert.Assert(t, rl.Configure(tb.WithCustomers([]route.Customer{customer})))
		for range 4 {
			req := &relay.Request{ID: "r", Method: http.MethodPost, Host: "h", URI: "/again/x", Path: "/again/x", Header: http.Header{},
				Arrived: rl.Clock.Now(), KeyHash: apikey.HashKey("k")}
			assert.NilError(t, rl.Serve(t.Context(), httptest.NewRecorder(), req))
		}
		assert.Equal(t, len(ov.asked), 4)
		assert.Equal(t, cc.held, 0)
		assert.Assert(t, cc.charged > 0)
	})
}
