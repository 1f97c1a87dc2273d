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

// extraArrivals counts the arrivals extraArrivals the first of one request: all calls that
// carried it to a server, but for the first prefill, if that was accepted.
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

// withMoreEngines is the rig's servers with so many more engines of each role, so that
// one that failed is not missed.
func withMoreEngines(more int) []board.BackendServer {
	out := slices.Clone(allServers)
	for ix := range more {
		out = append(out, board.BackendServer{ID: fmt.Sprintf("d%d", ix+3), Service: "model", Role: board.Decode},
			board.BackendServer{ID: fmt.Sprintf("f%d", ix+3), Service: "model", Role: board.Prefill})
	}
	slices.SortFunc(out, func(ba, bb board.BackendServer) int { return cmp.Compare(ba.ID, bb.ID) })
	return out
}

// Callers hardly saw it, but the engines did: within ten seconds they got 126
// arrivals beyond the first of their requests, for 120 requests, where 78 were
// agreed, while the VMs' lines told of 30 retries in half a minute. The budget was
// asked where an attempt follows a failed one, and charged a fixed cost. Nothing asked
// it when a stream was first gone on with, or when a decode engine computed a prompt
// that was given up elsewhere: 158 of the 189 arrivals of that day were these, by the
// count that stands in the calls' lines since ("Arrivals":3,"Unpaid":2).
func TestRepeatedArrivalsAreBudgeted(t *testing.T) {
	const requests = 20
	broken := func(_ context.Context, _ int, se sent) (*http.Response, error) {
		if se.op.LastEventID == "" {
			return answer(http.StatusOK, eventOne, io.ErrUnexpectedEOF), nil
		}
		return answer(http.StatusOK, eventTwo, nil), nil
	}
	givenUp := func(int, board.BackendServer) error { return errReset }
	for _, tc := range []struct {
		name, route string
		prepare     func(sv *servers)
	}{
		{"streams that break off", "resumable", func(sv *servers) { sv.onSend = broken }},
		{"prompts that are given up", "draft", func(sv *servers) { sv.onPrefill = givenUp }},
		{"prompts that are declined", "draft", func(sv *servers) {
			sv.onPrefill = func(int, board.BackendServer) error { return errFull }
		}},
		{"prompts that have lapsed", "draft", func(sv *servers) {
			sv.onSend = func(_ context.Context, _ int, se sent) (*http.Response, error) {
				if se.op.Source.ID != "" {
					return nil, errFull
				}
				return answer(http.StatusOK, eventOne, nil), nil
			}
		}},
		{"streams that break off, and prompts that are given up", "thrice", func(sv *servers) {
			sv.onSend, sv.onPrefill = broken, givenUp
		}},
		{"servers that fail", "again", func(sv *servers) {
			sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
				return answer(http.StatusInternalServerError, "", nil), nil
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

// Engines that leave hand their runs to others, at each of which the request
// arrives once more: 20 runs that moved were 20 arrivals that nobody had paid for.
// They had the same cause as the streams that break off: what led a request to one
// more server was no retry to the budget.
func TestMovedRunsAreBudgeted(t *testing.T) {
	const runs = 20
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		all := withDecoders(rl, "d3", "d4", "d5", "d6")
		ended := make(chan struct{})
		sv.onSend = func(_ context.Context, _ int, se sent) (*http.Response, error) {
			if se.op.LastEventID != "" {
				return answer(http.StatusOK, eventTwo, nil), nil
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

// extraArrivalsOfFailing counts the arrivals beyond the first of requests that all servers fail, at
// one VM.
func extraArrivalsOfFailing(t *testing.T, rl *relay.Relay, sv *servers, requests int) int {
	sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
		return answer(http.StatusInternalServerError, "", nil), nil
	}
	beyond := 0
	for range requests {
		beyond += sv.extraArrivals(func() { _, _ = serve(t.Context(), rl, "again") })
	}
	return beyond
}

// newFleetRig is a VM of a fleet that may repeat so many attempts, beside a small part
// of its requests, in ten seconds.
func newFleetRig(t *testing.T, slack float64) (*relay.Relay, *servers) {
	return newRigWith(t, 2, relay.Settings{RetrySlack: slack, Budget: retry.Settings{Ratio: rigRatio, Refill: 0.001, BaseBackoff: 1}})
}

// A VM that started again had its whole part of what the fleet may repeat, as if its
// earlier life had spent nothing: a new budget was a full one. Seven VMs that start
// four times within ten seconds repeated 140 attempts where 82 were agreed. None of
// the days that were looked at showed it, for few of them have VMs start so often
// while servers fail.
func TestRetryBudgetOfRestartedVMs(t *testing.T) {
	const slack, vms, lives, requests = 54, 7, 4, 10
	synctest.Test(t, func(t *testing.T) {
		beyond := 0
		for range lives * vms {
			rl, sv := newFleetRig(t, slack)
			rl.SetFleetSize(vms)
			beyond += extraArrivalsOfFailing(t, rl, sv, requests)
		}
		assert.Assert(t, float64(beyond) <= slack+rigRatio*lives*vms*requests, "%d arrivals beyond the first", beyond)
	})
}

// VMs that lost sight of each other each took the part of the fleet's smallest size,
// and all of them together many times what the fleet may repeat: 82 VMs 1,640 attempts
// where 532 were agreed. Who is out of sight may live, and spends its own part.
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

// A fleet that has shrunk for good divides by what is left of it after a while.
func TestRetryBudgetOfAShrunkFleet(t *testing.T) {
	const slack, vms, left = 204, 82, 10
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newFleetRig(t, slack)
		rl.SetFleetSize(vms)
		time.Sleep(20 * time.Second)
		rl.SetFleetSize(left)
		assert.Assert(t, extraArrivalsOfFailing(t, rl, sv, 10) <= 2)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, extraArrivalsOfFailing(t, rl, sv, 10) <= 2, "the first of them brings the new part into force")
		time.Sleep(10 * time.Second)
		assert.Assert(t, extraArrivalsOfFailing(t, rl, sv, 40) >= slack/left/2)
	})
}
