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

// withOneOther makes a relay believe that vm-2 is the only other VM.
func withOneOther(rl *relay.Relay) {
	rl.OtherVMs = func() ([]string, bool) { return []string{"vm-2"}, true }
}

// During a burst some VM always reports a shortage of places. A request that was
// refused before still takes a place where there is room for more than itself, and
// leaves the last room to new requests.
func TestReturningRequestInABurst(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tokens int // used by other VMs at each engine of 10,000
		places bool
	}{
		{"room for more", 0, true},
		{"the last room", 3000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				withOneOther(rl)
				reportUsage := func() {
					rp := usage.Report{Shortage: true}
					for _, engine := range []string{"d1", "d2"} {
						rp.Runs = append(rp.Runs, usage.Run{Engine: engine, Tokens: tc.tokens})
					}
					rl.ReceiveUsage("vm-2", rp)
				}
				reportUsage()
				_, err := sendGeneration(t, rl, 14*clock.Second, 2000)
				assert.NilError(t, err, "a new request")
				ticker := time.NewTicker(200 * time.Millisecond)
				defer ticker.Stop()
				ended := make(chan struct{})
				go func() {
					for {
						select {
						case <-ticker.C:
							reportUsage()
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

// sendGeneration serves a generation with a prompt of the given size.
func sendGeneration(t *testing.T, rl *relay.Relay, left clock.Millis, tokens int) (int, error) {
	t.Helper()
	rec, req := newGeneration(rl, left, tokens)
	return rec.Code, rl.Serve(t.Context(), rec, req)
}

// An engine died and looks empty. After one VM has found out, the next VM asks that
// engine last and so does not lose its request's waiting time for a place.
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

		// The report may come from a VM that is itself partitioned: without another
		// engine, the reported engine is asked.
		asked = nil
		rl.ReceiveUsage("vm-2", usage.Report{Runs: []usage.Run{{Engine: "d2", Tokens: 9500}}, Failing: []string{"d1"}})
		_, err = sendGeneration(t, rl, 14*clock.Second, 2000)
		refusalOf(t, err)
		assert.DeepEqual(t, asked, []string{"d1"})
	})
}

// A VM reports which engine failed it, and that the engine works again.
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
		time.Sleep(3 * time.Second) // until the failure expires and the next regular report
		synctest.Wait()
		assert.Equal(t, len(told.Load().Failing), 0)
	})
}

// An engine that failed another VM and looks empty may be down: it is asked to
// compute the prompt itself, so that no prefill elsewhere is wasted. An engine that
// has runs is up.
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
