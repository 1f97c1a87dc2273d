package poison_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/poison"
	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testGuard is a Guard whose probes return the finding that a test sets.
type testGuard struct {
	*poison.Guard
	finding atomic.Int32
	probes  atomic.Int32
	mu      sync.Mutex
	sent    []suspect.Crash
}

func newRig(t *testing.T) *testGuard {
	t.Helper()
	servers := []board.BackendServer{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "leaves", Leaving: true}}
	list := (&board.Backends{}).WithServers(servers)
	rg := &testGuard{}
	rg.Guard = &poison.Guard{
		Clock: clock.Monotonic{},
		Probe: func(context.Context, poison.Call) poison.Finding {
			rg.probes.Add(1)
			return poison.Finding(rg.finding.Load())
		},
		Backends: func() *board.Backends { return list },
		Broadcast: func(en suspect.Crash) {
			rg.mu.Lock()
			defer rg.mu.Unlock()
			rg.sent = append(rg.sent, en)
		},
	}
	rg.setFinding(poison.Crashed)
	return rg
}

// broadcasts returns the crashes that were broadcast so far.
func (rg *testGuard) broadcasts() []suspect.Crash {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return slices.Clone(rg.sent)
}

func (rg *testGuard) setFinding(finding poison.Finding) { rg.finding.Store(int32(finding)) }

// breakCalls breaks a call of the request at each of the servers.
func (rg *testGuard) breakCalls(t *testing.T, mk suspect.Mark, servers ...string) {
	t.Helper()
	for _, id := range servers {
		rg.RecordBrokenCall(t.Context(), poison.Call{Mark: mk, Server: board.BackendServer{ID: id}, Instance: id, Concurrent: poison.UnknownConcurrent})
		time.Sleep(100 * time.Millisecond) // time to reach the next server
	}
}

func TestCheck(t *testing.T) {
	for name, tt := range map[string]struct {
		finding poison.Finding
		servers []string
		refused bool
	}{
		"two crashes":                     {poison.Crashed, []string{"a", "b"}, false},
		"three crashes":                   {poison.Crashed, []string{"a", "b", "c"}, true},
		"one crash, reported three times": {poison.Crashed, []string{"a", "a", "a"}, false},
		"broken connections":              {poison.Alive, []string{"a", "b", "c", "d", "e"}, false},
		"no answers":                      {poison.Unanswered, []string{"a", "b", "c"}, true},
		"servers that leave":              {poison.Crashed, []string{"a", "b", "leaves"}, false},
		"servers not listed":              {poison.Crashed, []string{"a", "b", "gone"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t)
				mk := rg.Mark([]byte("prompt"))
				rg.setFinding(tt.finding)
				rg.breakCalls(t, mk, tt.servers...)
				assert.Equal(t, rg.Check(mk) > 0, tt.refused)
				assert.Equal(t, rg.Check(rg.Mark([]byte("other prompt"))), clock.Millis(0))
			})
		})
	}
}

// The crashes that one VM observed are enough for another VM to refuse the request.
func TestRecordRemote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen, hears := newRig(t), newRig(t)
		key := func() []byte { return []byte("of the fleet") }
		seen.Key, hears.Key = key, key
		mk := seen.Mark([]byte("prompt"))
		seen.breakCalls(t, mk, "a", "b", "c")
		time.Sleep(time.Second)
		assert.Equal(t, len(seen.broadcasts()), 6, "each crash is broadcast twice")
		for _, en := range seen.broadcasts() {
			hears.RecordRemote(en)
		}
		assert.Assert(t, hears.Check(hears.Mark([]byte("prompt"))) > 0)
	})
}

// A server that cut all connections but is still alive has not crashed: a request that
// was at three such servers is no longer refused, also by other VMs.
func TestUnansweredIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg, hears := newRig(t), newRig(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go rg.Share(ctx)
		mk := rg.Mark([]byte("prompt"))
		rg.setFinding(poison.Unanswered)
		rg.breakCalls(t, mk, "a", "b", "c")
		time.Sleep(5 * time.Second)
		assert.Assert(t, rg.Check(mk) > 0)
		rg.setFinding(poison.Alive)
		time.Sleep(2 * time.Second)
		assert.Equal(t, rg.Check(mk), clock.Millis(0))
		for _, en := range rg.broadcasts() {
			hears.RecordRemote(en)
		}
		assert.Equal(t, hears.Check(mk), clock.Millis(0))
	})
}

// A server that takes a while to cut its connections counts as crashed for all calls
// that broke there meanwhile, including the first.
func TestUnansweredAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		rg.Probe = func(context.Context, poison.Call) poison.Finding {
			time.Sleep(300 * time.Millisecond)
			return poison.Unanswered
		}
		first, beside := rg.Mark([]byte("first")), rg.Mark([]byte("beside"))
		for _, id := range []string{"a", "b", "c", "d", "e"} { // five, because the first request is blamed after three
			call := poison.Call{Mark: first, Server: board.BackendServer{ID: id}, Instance: id, Concurrent: poison.UnknownConcurrent}
			rg.RecordBrokenCall(t.Context(), call)
			time.Sleep(220 * time.Millisecond)
			call.Mark = beside
			rg.RecordBrokenCall(t.Context(), call)
			time.Sleep(time.Second)
		}
		assert.Assert(t, rg.Check(beside) > 0)
		assert.Assert(t, rg.Check(first) > 0)
	})
}

// A server that crashed and restarted is no longer probed, and its crash counts.
func TestUnansweredHasCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go rg.Share(ctx)
		mk := rg.Mark([]byte("prompt"))
		rg.setFinding(poison.Unanswered)
		rg.breakCalls(t, mk, "a", "b", "c")
		rg.setFinding(poison.Crashed)
		time.Sleep(2 * time.Second)
		asked := rg.probes.Load()
		time.Sleep(5 * time.Second)
		assert.Equal(t, rg.probes.Load(), asked)
		assert.Assert(t, rg.Check(mk) > 0)
	})
}

// An instance crashes only once: requests that were sent there later are not to blame.
func TestCallAfterTheCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		rg.setFinding(poison.Unanswered)
		first, later := rg.Mark([]byte("first")), rg.Mark([]byte("later"))
		rg.breakCalls(t, first, "a", "b", "c")
		began := clock.Monotonic{}.Now() + 1
		time.Sleep(time.Second)
		for _, id := range []string{"a", "b", "c"} {
			rg.RecordBrokenCall(t.Context(), poison.Call{Mark: later, Server: board.BackendServer{ID: id}, Instance: id, SentAt: began})
		}
		assert.Assert(t, rg.Check(first) > 0)
		assert.Equal(t, rg.Check(later), clock.Millis(0))
	})
}

func TestRecordSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t)
		mk := rg.Mark([]byte("prompt"))
		rg.RecordSuccess("r", mk)
		rg.breakCalls(t, mk, "a", "b")
		rg.RecordSuccess("r", mk)
		rg.breakCalls(t, mk, "c")
		assert.Equal(t, rg.Check(mk), clock.Millis(0), "a complete answer retracts the latest crash")
		rg.breakCalls(t, mk, "d")
		assert.Assert(t, rg.Check(mk) > 0)
	})
}

func TestMayHaveCrashed(t *testing.T) {
	ended, stop := context.WithCancel(t.Context())
	stop()
	for name, tt := range map[string]struct {
		ctx  context.Context
		err  error
		want bool
	}{
		"no error":        {t.Context(), nil, false},
		"in doubt":        {t.Context(), backend.InDoubtError{Err: errors.New("reset")}, true},
		"late":            {t.Context(), backend.InDoubtError{Err: context.DeadlineExceeded}, false},
		"not sent":        {t.Context(), backend.NotSentError{}, false},
		"declined":        {t.Context(), backend.DeclinedError{}, false},
		"caller has left": {ended, backend.InDoubtError{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, poison.MayHaveCrashed(tt.ctx, tt.err), tt.want)
		})
	}
}
