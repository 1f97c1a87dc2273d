package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

// testCell is a cell of one prefill and one decode engine, scheduled by a VM in
// memory.
type testCell struct {
	t  *testing.T
	hc *heldCell
}

// testRunner is the runner's end of a reservation.
type testRunner struct {
	t  *testing.T
	cn frameStream
}

// sinceStart is a clock that starts at zero and uses the time of the synctest bubble.
type sinceStart struct{ start time.Time }

func (ss sinceStart) Now() clock.Millis { return clock.Of(time.Since(ss.start)) }

func newTestCell(t *testing.T) *testCell {
	t.Helper()
	hc := &heldCell{vm: &VM{Clock: sinceStart{time.Now()}}, ctx: t.Context(), held: make(map[string]*heldRequest)}
	hc.ac = hc.newDecisionLoop("m/0")
	go hc.ac.Run(t.Context())
	hc.ac.Send(t.Context(), sched.Servers{Servers: []board.BackendServer{
		{ID: "p0", Role: board.Prefill},
		{ID: "d0", Role: board.Decode},
	}})
	hc.ac.Send(t.Context(), sched.Report{Load: board.LoadReport{Server: "p0"}})
	hc.ac.Send(t.Context(), sched.Report{Load: board.LoadReport{Server: "d0", Slots: 20}})
	return &testCell{t: t, hc: hc}
}

// reserve opens a reservation for a patient request.
func (cr *testCell) reserve(request string) *testRunner {
	cr.t.Helper()
	near, far := newPipe()
	go cr.hc.serve(board.VMRef{ID: "vm-2", Incarnation: 1}, testAsk(request), far)
	rr := &testRunner{t: cr.t, cn: near}
	assert.Assert(cr.t, rr.receive().GetDone() != nil)
	return rr
}

func testAsk(request string) *peerpb.ReserveAsk {
	return &peerpb.ReserveAsk{
		Cell: "m/0", Request: request, Customer: "cu", Class: "findings",
		PromptTokens: 100, MaxTokens: 100, Share: 1,
		TTFT: int64(clock.Minute), TPOT: 45, Deadline: int64(5 * clock.Minute),
	}
}

// receive returns the scheduler's next frame, or nil if none arrives within a minute.
func (rr *testRunner) receive() *peerpb.Frame {
	rr.t.Helper()
	got := make(chan *peerpb.Frame, 1)
	go func() {
		fr, _ := rr.cn.Recv()
		got <- fr
	}()
	select {
	case fr := <-got:
		return fr
	case <-time.After(time.Minute):
		rr.cn.Close()
		return nil
	}
}

func (rr *testRunner) sendProgress(attempt uint32, stage sched.Stage, server string) {
	rr.t.Helper()
	assert.NilError(rr.t, rr.cn.Send(progressFrame(attempt, stage, server, 0, 0)))
}

// A runner whose KV cache expired abandons its request, and sends its final frame
// after the prefill engine has confirmed the cancel. If that takes a while, the
// scheduler revokes the expired grant meanwhile and sends another one, so the final
// frame names an old grant. If the scheduler drops that frame, nobody releases the new
// grant, and it looks like a prefill that never ends. Two of them close a prefill
// engine for patient work, and the second attempts of all callers wait forever.
func TestFinalFrameEndsLaterGrant(t *testing.T) {
	for _, last := range []sched.Stage{sched.Cancelled, sched.Ended, sched.Lost} {
		t.Run(string(last), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cr := newTestCell(t)
				for _, request := range []string{"r1", "r2", "r3"} {
					rr := cr.reserve(request)
					fr := rr.receive()
					gr := fr.GetGrant()
					assert.Assert(t, gr != nil, "%s is granted: %v", request, fr)
					cr.hc.ac.Send(t.Context(), sched.Report{Load: board.LoadReport{Server: "d0", Slots: 20, Running: 20}})
					rr.sendProgress(gr.GetAttempt(), sched.Prefilled, "p0")
					assert.Assert(t, rr.receive().GetPreempt() != nil, "%s is revoked", request)
					cr.hc.ac.Send(t.Context(), sched.Report{Load: board.LoadReport{Server: "d0", Slots: 20}})
					assert.Assert(t, rr.receive().GetGrant() != nil, "%s is granted again", request)
					rr.sendProgress(gr.GetAttempt(), last, "")
					assert.NilError(t, rr.cn.Close())
					synctest.Wait()
				}
			})
		})
	}
}

// A VM that was paused loses its requests to other VMs, which continue to read what the
// engines produce. Its final frames must not report that the engines lost the requests:
// two such frames in a row close a working engine for a second, and a VM's whole load
// closes it for eight.
func TestTakenOverRequestsCloseNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr := newTestCell(t)
		lost, lose := context.WithCancelCause(t.Context())
		lose(errKeyLost)
		for _, request := range []string{"r1", "r2"} {
			rr := cr.reserve(request)
			gr := rr.receive().GetGrant()
			rr.sendProgress(gr.GetAttempt(), sched.Prefilled, "p0")
			assert.Assert(t, rr.receive().GetTransfer() != nil)
			rr.sendProgress(gr.GetAttempt(), sched.Decoding, "d0")
			ma := &modelAttempt{
				rn: &run{vm: cr.hc.vm},
				rs: &reservation{vm: cr.hc.vm, cn: rr.cn, granted: true, attempt: gr.GetAttempt(), stop: func() {}},
			}
			ma.release(lost, errKeyLost)
			synctest.Wait()
		}
		assert.Equal(t, len(cr.hc.orphans()), 2, "their slots are in use until the engines have released them")
		began := time.Now()
		rr := cr.reserve("r3")
		assert.Assert(t, rr.receive().GetGrant() != nil)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}
