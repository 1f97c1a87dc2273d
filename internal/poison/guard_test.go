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

// testGuard is a Guard whose probes return the finding that a test sets. It records the
// crashes that the Guard broadcasts.
type testGuard struct {
	*poison.Guard
	finding atomic.Int32
	probes  atomic.Int32
	mu      sync.Mutex
	sent    []suspect.Crash
}

func newTestGuard(t *testing.T) *testGuard {
	t.Helper()
	servers := []board.BackendServer{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "leaves", Leaving: true}}
	list := (&board.Backends{}).WithServers(servers)
	tg := &testGuard{}
	tg.Guard = &poison.Guard{
		Clock: clock.Monotonic{},
		Probe: func(context.Context, poison.Call) poison.Finding {
			tg.probes.Add(1)
			return poison.Finding(tg.finding.Load())
		},
		Backends: func() *board.Backends { return list },
		Broadcast: func(en suspect.Crash) {
			tg.mu.Lock()
			defer tg.mu.Unlock()
			tg.sent = append(tg.sent, en)
		},
	}
	tg.setFinding(poison.Crashed)
	return tg
}

// broadcasts returns the crashes that were broadcast so far.
func (tg *testGuard) broadcasts() []suspect.Crash {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return slices.Clone(tg.sent)
}

func (tg *testGuard) setFinding(finding poison.Finding) { tg.finding.Store(int32(finding)) }

// breakCalls breaks a call of the request at each of the servers.
func (tg *testGuard) breakCalls(t *testing.T, mk suspect.Mark, servers ...string) {
	t.Helper()
	for _, id := range servers {
		tg.RecordBrokenCall(t.Context(), poison.Call{Mark: mk, Server: board.BackendServer{ID: id}, Instance: id, Concurrent: poison.UnknownConcurrent})
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
				tg := newTestGuard(t)
				mk := tg.Mark([]byte("prompt"))
				tg.setFinding(tt.finding)
				tg.breakCalls(t, mk, tt.servers...)
				assert.Equal(t, tg.Check(mk) > 0, tt.refused)
				assert.Equal(t, tg.Check(tg.Mark([]byte("other prompt"))), clock.Millis(0))
			})
		})
	}
}

// The crashes that one VM observed are enough for another VM to refuse the request.
func TestRecordRemote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observer, receiver := newTestGuard(t), newTestGuard(t)
		key := func() []byte { return []byte("of the fleet") }
		observer.Key, receiver.Key = key, key
		mk := observer.Mark([]byte("prompt"))
		observer.breakCalls(t, mk, "a", "b", "c")
		time.Sleep(time.Second)
		assert.Equal(t, len(observer.broadcasts()), 6, "each crash is broadcast twice")
		for _, en := range observer.broadcasts() {
			receiver.RecordRemote(en)
		}
		assert.Assert(t, receiver.Check(receiver.Mark([]byte("prompt"))) > 0)
	})
}

// A server that cut all connections but is still alive has not crashed: a request that
// was at three such servers is no longer refused, also by other VMs.
func TestUnansweredIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg, receiver := newTestGuard(t), newTestGuard(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go tg.Share(ctx)
		mk := tg.Mark([]byte("prompt"))
		tg.setFinding(poison.Unanswered)
		tg.breakCalls(t, mk, "a", "b", "c")
		time.Sleep(5 * time.Second)
		assert.Assert(t, tg.Check(mk) > 0)
		tg.setFinding(poison.Alive)
		time.Sleep(2 * time.Second)
		assert.Equal(t, tg.Check(mk), clock.Millis(0))
		for _, en := range tg.broadcasts() {
			receiver.RecordRemote(en)
		}
		assert.Equal(t, receiver.Check(mk), clock.Millis(0))
	})
}

// A server that takes a while to cut its connections counts as crashed for all calls
// that broke there meanwhile, including the first.
func TestUnansweredAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGuard(t)
		tg.Probe = func(context.Context, poison.Call) poison.Finding {
			time.Sleep(300 * time.Millisecond)
			return poison.Unanswered
		}
		first, concurrent := tg.Mark([]byte("first")), tg.Mark([]byte("beside"))
		for _, id := range []string{"a", "b", "c", "d", "e"} { // five, because the first request is blamed after three
			call := poison.Call{Mark: first, Server: board.BackendServer{ID: id}, Instance: id, Concurrent: poison.UnknownConcurrent}
			tg.RecordBrokenCall(t.Context(), call)
			time.Sleep(220 * time.Millisecond)
			call.Mark = concurrent
			tg.RecordBrokenCall(t.Context(), call)
			time.Sleep(time.Second)
		}
		assert.Assert(t, tg.Check(concurrent) > 0)
		assert.Assert(t, tg.Check(first) > 0)
	})
}

// A server that crashed and restarted is no longer probed, and its crash counts.
func TestUnansweredHasCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGuard(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go tg.Share(ctx)
		mk := tg.Mark([]byte("prompt"))
		tg.setFinding(poison.Unanswered)
		tg.breakCalls(t, mk, "a", "b", "c")
		tg.setFinding(poison.Crashed)
		time.Sleep(2 * time.Second)
		probes := tg.probes.Load()
		time.Sleep(5 * time.Second)
		assert.Equal(t, tg.probes.Load(), probes)
		assert.Assert(t, tg.Check(mk) > 0)
	})
}

// An instance crashes only once: requests that were sent there later are not to blame.
func TestCallAfterTheCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGuard(t)
		tg.setFinding(poison.Unanswered)
		first, later := tg.Mark([]byte("first")), tg.Mark([]byte("later"))
		tg.breakCalls(t, first, "a", "b", "c")
		sentAt := clock.Monotonic{}.Now() + 1
		time.Sleep(time.Second)
		for _, id := range []string{"a", "b", "c"} {
			tg.RecordBrokenCall(t.Context(), poison.Call{Mark: later, Server: board.BackendServer{ID: id}, Instance: id, SentAt: sentAt})
		}
		assert.Assert(t, tg.Check(first) > 0)
		assert.Equal(t, tg.Check(later), clock.Millis(0))
	})
}

func TestRecordSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGuard(t)
		mk := tg.Mark([]byte("prompt"))
		tg.RecordSuccess("r", mk)
		tg.breakCalls(t, mk, "a", "b")
		tg.RecordSuccess("r", mk)
		tg.breakCalls(t, mk, "c")
		assert.Equal(t, tg.Check(mk), clock.Millis(0), "a complete answer retracts the latest crash")
		tg.breakCalls(t, mk, "d")
		assert.Assert(t, tg.Check(mk) > 0)
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
