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

// fleetOf joins relays of one configuration: each hears after two milliseconds
// what the others tell, and an engine answers after three.
func fleetOf(ctx context.Context, t *testing.T, count int) []*relay.Relay {
	t.Helper()
	var rls []*relay.Relay
	var names []string
	for ix := range count {
		rl, sv := newRigOf(t, uint64(ix)) // each VM draws turns of its own
		sv.onSend = func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
			<-ctx.Done() // the run holds its memory to the end
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
	time.Sleep(10 * time.Millisecond) // until all have heard of all
	return rls
}

// placed counts the reservations of each engine's room that are taken.
func placed(rls []*relay.Relay) map[string]int {
	out := make(map[string]int)
	for _, rl := range rls {
		for engine, count := range rl.PlacesForTest() {
			out[engine] += count
		}
	}
	return out
}

// Many VMs wait for a place. When one becomes free, and all hear of it at the
// same moment, one request takes it.
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
		tell := func(rp usage.Report) {
			for _, rl := range rls {
				rl.ReceiveUsage("vm-far", rp)
			}
		}
		tell(full("d1", "d2"))
		for ix, rl := range rls {
			time.Sleep(time.Millisecond) // they wait for different times
			go func() { _, _ = serveLeft(ctx, rl, "draft", 14*clock.Second+clock.Millis(ix)) }()
		}
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, len(placed(rls)), 0)
		tell(full("d1")) // d2 has room for one
		time.Sleep(20 * time.Millisecond)
		got := placed(rls)
		assert.Equal(t, got["d2"], 1)
		assert.Equal(t, got["d1"], 0)
	})
}

// A request that comes while another VM's reservation is under way knows of
// it.
func TestPlaceIsReportedBeforeItIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		var told atomic.Int64 // runs in the last word
		go rl.ShareUsage(t.Context(), func(rp usage.Report) { told.Store(int64(len(rp.Runs))) })
		synctest.Wait()
		sv.onReserve = func(board.BackendServer, int) error {
			sv.mu.Unlock()
			defer sv.mu.Lock()
			time.Sleep(50 * time.Millisecond)
			assert.Check(t, told.Load() == 1, "the run is told while the engine is asked")
			return nil
		}
		_, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
	})
}

// Callers bring different times at first. Only who brings less by what a
// refused caller is told to wait counts as one that came back.
func TestWhoCountsAsReturning(t *testing.T) {
	for _, tc := range []struct {
		left clock.Millis
		back bool
	}{
		{14 * clock.Second, false},
		{12 * clock.Second, false},
		{11 * clock.Second, true},
	} {
		t.Run(tc.left.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				_, err := serveLeft(t.Context(), rl, "draft", 14*clock.Second)
				assert.NilError(t, err)
				sv.onReserve = func(board.BackendServer, int) error { return errFull }
				began := time.Now()
				_, err = serveLeft(t.Context(), rl, "draft", tc.left)
				refusalOf(t, err)
				assert.Equal(t, time.Since(began) > relay.DefaultPlaceWait.Std(), tc.back)
			})
		})
	}
}
