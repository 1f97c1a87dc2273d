package relay_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/relay"
	"alderdyke/internal/retry"
)

// extraArrivals counts the arrivals of one request after its first: all calls that
// carried it to a server, except the first prefill if that was accepted.
func (sv *servers) extraArrivals(serve func()) int {
	sent, prefills, _ := sv.counts()
	serve()
	sentNow, prefillsNow, accepted := sv.counts()
	arrivals := sentNow - sent + prefillsNow - prefills
	if prefillsNow > prefills && accepted[prefills] {
		arrivals--
	}
	return max(0, arrivals-1)
}

func (sv *servers) counts() (sent, prefills int, accepted []bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.sent), len(sv.prefills), sv.accepted
}

// withMoreEngines returns the rig's servers with more engines of each role, so that a
// failed engine is not missed.
func withMoreEngines(more int) []board.BackendServer {
	out := slices.Clone(allServers)
	for ix := range more {
		out = append(out, board.BackendServer{ID: fmt.Sprintf("d%d", ix+3), Service: "model", Role: board.Decode},
			board.BackendServer{ID: fmt.Sprintf("f%d", ix+3), Service: "model", Role: board.Prefill})
	}
	slices.SortFunc(out, func(ba, bb board.BackendServer) int { return cmp.Compare(ba.ID, bb.ID) })
	return out
}

// Guards against calls that bypass the retry budget. If only attempts after a failed
// attempt are charged, at a fixed cost, servers get 126 extra arrivals for 120
// requests, where 78 are allowed. The first resumption of a stream, and a decode engine
// that computes a prompt whose prefill was abandoned elsewhere, must be charged too.
func TestRepeatedArrivalsAreBudgeted(t *testing.T) {
	const requests = 20
	broken := func(_ context.Context, _ int, se sent) (*http.Response, error) {
		if se.op.LastEventID == "" {
			return newResponse(http.StatusOK, eventOne, io.ErrUnexpectedEOF), nil
		}
		return newResponse(http.StatusOK, eventTwo, nil), nil
	}
	lostPrefill := func(int, board.BackendServer) error { return errReset }
	for _, tc := range []struct {
		name, route string
		prepare     func(sv *servers)
	}{
		{"broken streams", "resumable", func(sv *servers) { sv.onSend = broken }},
		{"abandoned prefills", "draft", func(sv *servers) { sv.onPrefill = lostPrefill }},
		{"declined prefills", "draft", func(sv *servers) {
			sv.onPrefill = func(int, board.BackendServer) error { return errFull }
		}},
		{"expired prompts", "draft", func(sv *servers) {
			sv.onSend = func(_ context.Context, _ int, se sent) (*http.Response, error) {
				if se.op.Source.ID != "" {
					return nil, errFull
				}
				return newResponse(http.StatusOK, eventOne, nil), nil
			}
		}},
		{"broken streams and abandoned prefills", "thrice", func(sv *servers) {
			sv.onSend, sv.onPrefill = broken, lostPrefill
		}},
		{"failing servers", "again", func(sv *servers) {
			sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
				return newResponse(http.StatusInternalServerError, "", nil), nil
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				rl.SetBackends(rl.Clock.Now(), withMoreEngines(requests))
				tc.prepare(sv)
				beyond := 0
				for range requests {
					beyond += sv.extraArrivals(func() { _, _ = serve(t.Context(), rl, tc.route) })
					time.Sleep(100 * time.Millisecond)
				}
				assert.Assert(t, float64(beyond) <= rigBurst+rigRatio*requests, "%d arrivals beyond the first of %d requests", beyond, requests)
			})
		})
	}
}

// Guards against moves that bypass the retry budget: a run that moves from a leaving
// engine arrives at another engine, so 20 moved runs are 20 further arrivals.
func TestMovedRunsAreBudgeted(t *testing.T) {
	const runs = 20
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		all := withDecoders(rl, "d3", "d4", "d5", "d6")
		ended := make(chan struct{})
		sv.onSend = func(_ context.Context, _ int, se sent) (*http.Response, error) {
			if se.op.LastEventID != "" {
				return newResponse(http.StatusOK, eventTwo, nil), nil
			}
			return streamUntil(eventOne, ended, "", io.ErrUnexpectedEOF), nil
		}
		var open sync.WaitGroup
		for range runs {
			open.Go(func() { _, _ = serve(t.Context(), rl, "draft") })
		}
		time.Sleep(200 * time.Millisecond)
		all = slices.Clone(all)
		for ix := range all {
			all[ix].Leaving = all[ix].Role == board.Decode
		}
		rl.SetBackends(rl.Clock.Now(), append(all, board.BackendServer{ID: "z1", Service: "model", Role: board.Decode}))
		time.Sleep(800 * time.Millisecond)
		close(ended)
		open.Wait()
		beyond := len(sv.sentTo()) - runs
		assert.Assert(t, sv.moves > 0)
		assert.Assert(t, float64(beyond) <= rigBurst+rigRatio*runs, "%d arrivals beyond the first of %d requests", beyond, runs)
	})
}

// extraArrivalsOfFailing counts the arrivals after the first of requests at one VM
// that all servers fail.
func extraArrivalsOfFailing(t *testing.T, rl *relay.Relay, sv *servers, requests int) int {
	sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
		return newResponse(http.StatusInternalServerError, "", nil), nil
	}
	beyond := 0
	for range requests {
		beyond += sv.extraArrivals(func() { _, _ = serve(t.Context(), rl, "again") })
	}
	return beyond
}

// newFleetRig creates a VM of a fleet that may make the given number of retries in
// ten seconds, in addition to a small fraction of its requests.
func newFleetRig(t *testing.T, slack float64) (*relay.Relay, *servers) {
	return newRigWith(t, 2, relay.Settings{RetrySlack: slack, Budget: retry.Settings{Ratio: rigRatio, Refill: 0.001, BaseBackoff: 1}})
}

// Guards against a VM that starts with a full budget: VMs that restart several times
// within a retry window would spend the fleet's allowance again at each start. Seven
// VMs that start four times within ten seconds would make 140 retries, where 82 are
// allowed.
func TestRetryBudgetOfRestartedVMs(t *testing.T) {
	const slack, vms, starts, requests = 54, 7, 4, 10
	synctest.Test(t, func(t *testing.T) {
		beyond := 0
		for range starts * vms {
			rl, sv := newFleetRig(t, slack)
			rl.SetFleetSize(vms)
			beyond += extraArrivalsOfFailing(t, rl, sv, requests)
		}
		assert.Assert(t, float64(beyond) <= slack+rigRatio*starts*vms*requests, "%d arrivals beyond the first", beyond)
	})
}

// Guards against partitioned VMs that each take the share of the smallest fleet: 82
// of them together would make 1,640 retries where 532 are allowed. VMs that can't be
// seen may be alive and spend their own share.
func TestRetryBudgetOfPartitionedVMs(t *testing.T) {
	const slack, vms, requests = 204, 82, 40
	synctest.Test(t, func(t *testing.T) {
		beyond := 0
		for range vms {
			rl, sv := newFleetRig(t, slack)
			rl.SetFleetSize(vms)
			time.Sleep(10 * time.Second)
			rl.SetFleetSize(1)
			beyond += extraArrivalsOfFailing(t, rl, sv, requests)
		}
		assert.Assert(t, float64(beyond) <= slack+rigRatio*vms*requests, "%d arrivals beyond the first", beyond)
	})
}

// A fleet that has shrunk permanently divides the allowance by its new size once the
// largest size seen has expired.
func TestRetryBudgetOfAShrunkFleet(t *testing.T) {
	const slack, vms, left = 204, 82, 10
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newFleetRig(t, slack)
		rl.SetFleetSize(vms)
		time.Sleep(20 * time.Second)
		rl.SetFleetSize(left)
		assert.Assert(t, extraArrivalsOfFailing(t, rl, sv, 10) <= 2)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, extraArrivalsOfFailing(t, rl, sv, 10) <= 2, "the first of them applies the new share")
		time.Sleep(10 * time.Second)
		assert.Assert(t, extraArrivalsOfFailing(t, rl, sv, 40) >= slack/left/2)
	})
}
