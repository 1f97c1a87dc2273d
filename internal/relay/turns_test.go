package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/relay"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// fleetOf creates relays with the same configuration that report their usage to each
// other: a report arrives after two milliseconds, and an engine answers after three.
func fleetOf(ctx context.Context, t *testing.T, count int) []*relay.Relay {
	t.Helper()
	var rls []*relay.Relay
	var names []string
	for ix := range count {
		rl, sv := newRigOf(t, uint64(ix)) // each VM draws its own turns
		sv.onSend = func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
			<-ctx.Done() // the run holds its memory until the end
			return nil, ctx.Err()
		}
		sv.onReserve = func(board.BackendServer, int) error {
			sv.mu.Unlock()
			defer sv.mu.Lock()
			time.Sleep(3 * time.Millisecond)
			return nil
		}
		rls, names = append(rls, rl), append(names, fmt.Sprintf("vm-%d", ix))
	}
	for ix, rl := range rls {
		rl.OtherVMs = func() ([]string, bool) {
			var others []string
			for jx, name := range names {
				if jx != ix {
					others = append(others, name)
				}
			}
			return others, true
		}
		go rl.ShareUsage(ctx, func(rp usage.Report) {
			for jx, other := range rls {
				if jx != ix {
					time.AfterFunc(2*time.Millisecond, func() { other.ReceiveUsage(names[ix], rp) })
				}
			}
		})
	}
	time.Sleep(10 * time.Millisecond) // until all have reports of all others
	return rls
}

// placeCounts counts the reserved places of each engine.
func placeCounts(rls []*relay.Relay) map[string]int {
	out := make(map[string]int)
	for _, rl := range rls {
		for engine, count := range rl.PlacesForTest() {
			out[engine] += count
		}
	}
	return out
}

// Many VMs wait for a place. When one becomes free and all are informed at the same
// moment, exactly one request takes it.
func TestOneRequestTakesAPlaceThatBecomesFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		rls := fleetOf(ctx, t, 8)
		full := func(engines ...string) usage.Report {
			var rp usage.Report
			for _, engine := range engines {
				rp.Runs = append(rp.Runs, usage.Run{Engine: engine, Tokens: 8000})
			}
			return rp
		}
		reportUsage := func(rp usage.Report) {
			for _, rl := range rls {
				rl.ReceiveUsage("vm-far", rp)
			}
		}
		reportUsage(full("d1", "d2"))
		for ix, rl := range rls {
			time.Sleep(time.Millisecond) // so that they wait for different times
			go func() { _, _ = serveWithLimit(ctx, rl, "draft", 14*clock.Second+clock.Millis(ix)) }()
		}
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, len(placeCounts(rls)), 0)
		reportUsage(full("d1")) // d2 has room for one request
		time.Sleep(20 * time.Millisecond)
		got := placeCounts(rls)
		assert.Equal(t, got["d2"], 1)
		assert.Equal(t, got["d1"], 0)
	})
}

// A request that comes while another VM's reservation is in progress takes it into
// account.
func TestPlaceIsReportedBeforeItIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		var told atomic.Int64 // runs in the latest report
		go rl.ShareUsage(t.Context(), func(rp usage.Report) { told.Store(int64(len(rp.Runs))) })
		synctest.Wait()
		sv.onReserve = func(board.BackendServer, int) error {
			sv.mu.Unlock()
			defer sv.mu.Lock()
			time.Sleep(50 * time.Millisecond)
			assert.Check(t, told.Load() == 1, "the run is reported while the engine is asked")
			return nil
		}
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
	})
}

// Callers initially allow different times. Only a caller that allows less by at least
// what a refused caller is told to wait counts as returning.
func TestReturningCallerIsRecognized(t *testing.T) {
	for _, tc := range []struct {
		left      clock.Millis
		returning bool
	}{
		{14 * clock.Second, false},
		{12 * clock.Second, false},
		{11 * clock.Second, true},
	} {
		t.Run(tc.left.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				_, err := serveWithLimit(t.Context(), rl, "draft", 14*clock.Second)
				assert.NilError(t, err)
				sv.onReserve = func(board.BackendServer, int) error { return errFull }
				began := time.Now()
				_, err = serveWithLimit(t.Context(), rl, "draft", tc.left)
				refusalOf(t, err)
				assert.Equal(t, time.Since(began) > relay.DefaultPlaceWait.Std(), tc.returning)
			})
		})
	}
}
