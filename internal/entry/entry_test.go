package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/actor"
	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

func TestActorWakesAtTheEarliestRequestedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ticks []clock.Millis
		var src clock.Monotonic
		start := src.Now()
		ac := actor.New[string, clock.Millis](src, "tick", 100)
		ac.Step = func(now clock.Millis, ev string) []clock.Millis {
			if ev == "tick" {
				ticks = append(ticks, now-start)
				return nil
			}
			return []clock.Millis{now + 70, now + 30, now + 500}
		}
		ac.WakeTime = func(in clock.Millis) (clock.Millis, bool) { return in, true }
		ctx, stop := context.WithCancel(t.Context())
		go ac.Run(ctx)
		ac.Send(ctx, "ask")
		time.Sleep(140 * time.Millisecond)
		stop()
		synctest.Wait()
		assert.DeepEqual(t, ticks, []clock.Millis{30, 130})
	})
}

func TestJanitorCancelsUntilTheServerConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries := 0
		ja := &janitor{
			find: func(id string) (board.BackendServer, bool) { return board.BackendServer{ID: id}, true },
			cancel: func(context.Context, board.BackendServer, string, int) error {
				if tries++; tries < 4 {
					return errors.New("reply lost")
				}
				return nil
			},
		}
		settled := ja.cancelAll(t.Context(), "e1", "r1")
		assert.Equal(t, ja.cancelAll(t.Context(), "e1", "r1"), settled, "a repeated call shares the pending cancel")
		assert.Equal(t, ja.pendingCount(), 1)
		<-settled
		assert.Equal(t, tries, 4)
		assert.Equal(t, ja.pendingCount(), 0)
	})
}

func TestJanitorDropsCancelsForRemovedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ja := &janitor{find: func(string) (board.BackendServer, bool) { return board.BackendServer{}, false }}
		<-ja.cancelAll(t.Context(), "e1", "r1")
		assert.Equal(t, ja.pendingCount(), 0)
	})
}

func TestPipeDeliversWhatWasSentBeforeTheClose(t *testing.T) {
	near, far := newPipe()
	assert.NilError(t, near.Send(doneFrame()))
	near.Close()
	fr, err := far.Recv()
	assert.NilError(t, err)
	assert.Assert(t, fr.GetDone() != nil)
	_, err = far.Recv()
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, far.Send(doneFrame()), errPipeClosed)
}

func TestTraceKeepsTheBeginningAndTheEnd(t *testing.T) {
	clk := &clock.Manual{}
	ts := &traces{clk: clk}
	id := requestID{Customer: "kedelsyn", Key: "k"}
	for ix := range 3 * maxTraceLines {
		clk.Advance(1)
		ts.getOrAdd(id).add(event.RequestRetried, fmt.Sprint(ix))
	}
	lines := ts.find(id)
	assert.Equal(t, len(lines), maxTraceLines)
	assert.Equal(t, lines[0].Text, "0")
	assert.Equal(t, lines[maxTraceLines-1].Text, fmt.Sprint(3*maxTraceLines-1))
}

func TestTracesForgetTheOldest(t *testing.T) {
	ts := &traces{clk: &clock.Manual{}}
	for ix := range maxTraces + 1 {
		ts.getOrAdd(requestID{Key: fmt.Sprint(ix)}).add(event.RequestAccepted, "")
	}
	assert.Equal(t, len(ts.find(requestID{Key: "0"})), 0)
	assert.Equal(t, len(ts.find(requestID{Key: "1"})), 1)
	assert.Equal(t, len(ts.byID), maxTraces)
}

// Limits of the answers that a test keeps.
const (
	testRetention = 2 * clock.Minute
	testMaxBytes  = 16 << 20
)

// endedRun adds a run and ends its answer.
func endedRun(t *testing.T, rs *runs, key string, end func(st *answer.Stream) error) *run {
	t.Helper()
	rn, added := rs.getOrAdd(requestID{Key: key}, func() *run {
		return &run{id: requestID{Key: key}, st: answer.NewStream()}
	})
	assert.Assert(t, added)
	rn.setRole(running)
	assert.NilError(t, end(rn.st))
	return rn
}

func TestRunsKeepWholeAnswersAndFreeKeysThatDidNotRun(t *testing.T) {
	tests := []struct {
		name string
		end  func(st *answer.Stream) error
		kept bool
	}{
		{"whole", func(st *answer.Stream) error { return st.End(nil) }, true},
		{"may have run", func(st *answer.Stream) error {
			return st.Refuse(refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed})
		}, true},
		{"not run", func(st *answer.Stream) error {
			return st.Refuse(refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull})
		}, false},
		{"part of another answer", func(st *answer.Stream) error { return st.Refuse(errAnswerExpired) }, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			rs := runs{retention: testRetention, maxBytes: testMaxBytes}
			rn := endedRun(t, &rs, "k", tc.end)
			rs.keepEnded(rn, 0)
			_, kept := rs.find(rn.id)
			assert.Equal(t, kept, tc.kept)
			assert.Equal(t, rs.inProgress(), 0)
		})
	}
}

func TestRunsDropAnswersByAgeAndBySize(t *testing.T) {
	rs := runs{retention: testRetention, maxBytes: testMaxBytes}
	whole := func(size int) func(st *answer.Stream) error {
		return func(st *answer.Stream) error { return st.Whole(make([]byte, size)) }
	}
	old := endedRun(t, &rs, "old", whole(1))
	rs.keepEnded(old, 0)
	large := endedRun(t, &rs, "large", whole(testMaxBytes-keptOverhead))
	rs.keepEnded(large, testRetention/2)
	_, kept := rs.find(old.id)
	assert.Assert(t, !kept, "the size limit evicts the oldest first")
	_, kept = rs.find(large.id)
	assert.Assert(t, kept)
	small := endedRun(t, &rs, "small", whole(1))
	rs.keepEnded(small, testRetention*2)
	_, kept = rs.find(large.id)
	assert.Assert(t, !kept, "the retention")
}

func TestSameKeyForAnotherRequestIsRefused(t *testing.T) {
	rn := &run{st: answer.NewStream(), req: caller.Request{Fingerprint: []byte("a")}}
	st, err := rn.answerFor(caller.Request{Fingerprint: []byte("a")})
	assert.NilError(t, err)
	assert.Equal(t, st, rn.st)
	_, err = rn.answerFor(caller.Request{Fingerprint: []byte("b")})
	var rf refusal.Refusal
	assert.Assert(t, errors.As(err, &rf))
	assert.Equal(t, rf.Reason, refusal.KeyReused)
}

func TestRefusalNeverPromisesMoreThanIsKnown(t *testing.T) {
	notRun := refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull}
	mayHave := refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed}
	tests := []struct {
		name string
		sent bool
		role role
		err  error
		want refusal.Ran
	}{
		{"never sent", false, running, notRun, refusal.NotRun},
		{"never sent, unknown error", false, running, errors.New("broken"), refusal.NotRun},
		{"sent", true, running, notRun, refusal.MayHaveRun},
		{"follower, refused as not run", false, following, notRun, refusal.NotRun},
		{"follower, refused as may have run", false, following, mayHave, refusal.MayHaveRun},
		{"follower, unknown error", false, following, errors.New("broken"), refusal.MayHaveRun},
		{"claim not decided, unknown error", false, searching, errors.New("broken"), refusal.MayHaveRun},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			rn := &run{}
			rn.mayHaveBeenSent.Store(tc.sent)
			rn.setRole(tc.role)
			assert.Equal(t, rn.refusalOf(t.Context(), tc.err).Ran, tc.want)
		})
	}
}

func TestDecodedRefusalNeverGuaranteesMore(t *testing.T) {
	rf := refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull, RetryAfter: 1500, Detail: "full"}
	assert.DeepEqual(t, refusalFromWire(refusalToWire(rf)), rf)
	assert.Equal(t, refusalFromWire(&peerpb.Refusal{Ran: "Perhaps"}).Ran, refusal.MayHaveRun)
	assert.Equal(t, refusalFromWire(nil).Ran, refusal.MayHaveRun)
}

func TestRunIsCancelledWhenNoCallerReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := &VM{Clock: clock.Monotonic{}, runCtx: t.Context()}
		vm.traces.clk = vm.Clock
		rn := vm.newRun(caller.Request{
			Customer: "kedelsyn", Key: "k",
			Class: template.Class{StreamWait: 2 * clock.Second},
		})
		rd := rn.st.Attach(0)
		time.Sleep(5 * time.Second)
		assert.NilError(t, rn.ctx.Err(), "a reader keeps the run")
		rd.Detach()
		time.Sleep(1900 * time.Millisecond)
		back := rn.st.Attach(0)
		time.Sleep(5 * time.Second)
		assert.NilError(t, rn.ctx.Err(), "a returned caller keeps the run")
		back.Detach()
		time.Sleep(2100 * time.Millisecond)
		var rf refusal.Refusal
		assert.Assert(t, errors.As(context.Cause(rn.ctx), &rf))
		assert.Equal(t, rf.Reason, refusal.CallerGone)
	})
}
