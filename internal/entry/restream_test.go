package entry

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
)

// setDecodeFull reports the decode engine as full or as empty.
func (cr *testCell) setDecodeFull(full bool) {
	running := 0
	if full {
		running = 20
	}
	cr.hc.ac.Send(cr.t.Context(), sched.Report{Load: board.LoadReport{Server: "d0", Slots: 20, Running: running}})
}

// settle reads a stream until the request is granted or refused, or until the stream is
// closed. It reports false if none of these happens within a minute.
func (rr *testRunner) settle() (granted, ok bool) {
	for {
		got := make(chan *peerpb.Frame, 1)
		go func() {
			fr, err := rr.cn.Recv()
			if err != nil {
				close(got)
				return
			}
			got <- fr
		}()
		select {
		case fr, open := <-got:
			if !open || fr.GetRefusal() != nil {
				return false, true
			}
			if fr.GetGrant() != nil {
				return true, true
			}
		case <-time.After(time.Minute):
			return false, false
		}
	}
}

// A runner that gets no acknowledgment in time closes its stream and announces its request
// on another one. If the accounting VM serves the first stream only then, it must not
// withdraw what was announced on the second.
func TestStreamThatIsServedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr := newTestCell(t)
		cr.setDecodeFull(true)
		near, late := newPipe()
		assert.NilError(t, near.Close())
		rr := cr.reserve("r1")
		cr.hc.serve(board.VMRef{ID: "vm-2", Incarnation: 1}, testAsk("r1"), late)
		synctest.Wait()
		cr.setDecodeFull(false)
		granted, ok := rr.settle()
		assert.Assert(t, ok, "the request waits on an open stream that the cell does not know")
		if !granted {
			granted, _ = cr.reserve("r1").settle()
		}
		assert.Assert(t, granted)
	})
}

// The end of a stream and the announcement on the next one come at the same time. The
// request is granted, or its stream is closed so that its runner announces it again.
func TestStreamEndsWhileTheNextBegins(t *testing.T) {
	for round := range 20 {
		synctest.Test(t, func(t *testing.T) {
			cr := newTestCell(t)
			cr.setDecodeFull(true)
			var wg sync.WaitGroup
			for ix := range 100 {
				request := fmt.Sprintf("r%d-%d", round, ix)
				first := cr.reserve(request)
				wg.Go(func() { assert.Check(t, first.cn.Close()) })
				wg.Go(func() {
					next := cr.reserve(request)
					_, ok := next.settle()
					assert.Check(t, ok, "%s waits on an open stream that the cell does not know", request)
					assert.Check(t, next.cn.Close())
				})
			}
			synctest.Wait()
			cr.setDecodeFull(false)
			wg.Wait()
		})
	}
}
