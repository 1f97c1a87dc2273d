package relay_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/relay"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// withOneOther lets a relay hear one other VM.
func withOneOther(rl *relay.Relay) {
	rl.OtherVMs = func() ([]string, bool) { return []string{"vm-2"}, true }
}

// In a burst some VM always says that places are wanting. A request that came
// back takes its place all the same where there is room for more than itself,
// and leaves what is last to new ones.
func TestReturningRequestInABurst(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tokens int // that others have at each engine of 10,000
		places bool
	}{
		{"room for more", 0, true},
		{"the last room", 3000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				withOneOther(rl)
				tell := func() {
					rp := usage.Report{Shortage: true}
					for _, engine := range []string{"d1", "d2"} {
						rp.Runs = append(rp.Runs, usage.Run{Engine: engine, Tokens: tc.tokens})
					}
					rl.ReceiveUsage("vm-2", rp)
				}
				tell()
				_, err := sendGeneration(t, rl, 14*clock.Second, 2000)
				assert.NilError(t, err, "a new one")
				ticker := time.NewTicker(200 * time.Millisecond)
				defer ticker.Stop()
				ended := make(chan struct{})
				go func() {
					for {
						select {
						case <-ticker.C:
							tell()
						case <-ended:
							return
						}
					}
				}()
				before := len(sv.sentTo())
				_, err = sendGeneration(t, rl, 11*clock.Second, 4000)
				close(ended)
				assert.Equal(t, err == nil, tc.places, "%v", err)
				assert.Equal(t, len(sv.sentTo()) > before, tc.places)
			})
		})
	}
}

// sendGeneration carries a generation with a prompt of a size.
func sendGeneration(t *testing.T, rl *relay.Relay, left clock.Millis, tokens int) (int, error) {
	t.Helper()
	rec, req := newGeneration(rl, left, tokens)
	return rec.Code, rl.Serve(t.Context(), rec, req)
}

// An engine died and looks empty. One VM found out; the next asks it last, and
// so does not lose the time that its request may wait for a place.
func TestEngineThatFailedAnotherVMIsAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		withOneOther(rl)
		busy := []usage.Run{{Engine: "d2", Tokens: 2000}}
		rl.ReceiveUsage("vm-2", usage.Report{Runs: busy, Failing: []string{"d1"}})
		var asked []string
		sv.onReserve = func(bs board.BackendServer, _ int) error {
			asked = append(asked, bs.ID)
			if bs.ID == "d1" {
				return backend.InDoubtError{Server: "d1", Call: "Reserve", Err: http.ErrHandlerTimeout}
			}
			return nil
		}
		_, err := sendGeneration(t, rl, 14*clock.Second, 2000)
		assert.NilError(t, err)
		assert.DeepEqual(t, asked, []string{"d2"})

		// The word is of a VM that may be cut off itself: without another
		// engine the one that it names is asked.
		asked = nil
		rl.ReceiveUsage("vm-2", usage.Report{Runs: []usage.Run{{Engine: "d2", Tokens: 9500}}, Failing: []string{"d1"}})
		_, err = sendGeneration(t, rl, 14*clock.Second, 2000)
		refusalOf(t, err)
		assert.DeepEqual(t, asked, []string{"d1"})
	})
}

// A VM tells the others which engine failed it, and that it works again.
func TestFailedEngineIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		var told atomic.Pointer[usage.Report]
		go rl.ShareUsage(t.Context(), func(rp usage.Report) { told.Store(&rp) })
		sv.onPrefill = func(nth int, bs board.BackendServer) error {
			if nth == 1 {
				return backend.NotSentError{Server: bs.ID, Call: "Prefill", Err: http.ErrHandlerTimeout}
			}
			return nil
		}
		_, err := sendGeneration(t, rl, 14*clock.Second, 2000)
		assert.NilError(t, err)
		assert.Equal(t, len(sv.prefills), 2, "the next prefill engine was asked")
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, told.Load().Failing, sv.prefills[:1])
		time.Sleep(3 * time.Second) // its time, and the next regular word
		synctest.Wait()
		assert.Equal(t, len(told.Load().Failing), 0)
	})
}

// An engine that failed another VM and looks empty may be gone: it is asked to
// compute the prompt itself, so that none is computed elsewhere in vain. One that
// has runs is sound.
func TestDoubtfulEngineComputesThePrompt(t *testing.T) {
	for _, tc := range []struct {
		name     string
		runs     int // that the other VM has there
		prefills int
	}{{"empty", 0, 0}, {"busy", 3, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				withOneOther(rl)
				rl.SetBackends(rl.Clock.Now(), []board.BackendServer{allServers[0], allServers[2]})
				rp := usage.Report{Failing: []string{"d1"}}
				for range tc.runs {
					rp.Runs = append(rp.Runs, usage.Run{Engine: "d1", Tokens: 100})
				}
				rl.ReceiveUsage("vm-2", rp)
				_, err := sendGeneration(t, rl, 14*clock.Second, 2000)
				assert.NilError(t, err)
				assert.Equal(t, len(sv.prefills), tc.prefills)
			})
		})
	}
}
