package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
)

// transferRig is an attempt whose prompt is computed, the scheduler's end of its reservation,
// and the decode engine e1.
type transferRig struct {
	ma *modelAttempt
	rr *testRunner // the scheduler's end, which receives the runner's frames
}

func newTransferRig(t *testing.T, imports http.HandlerFunc) *transferRig {
	t.Helper()
	rn, _ := newEngineRun(t, http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if req.URL.Path == engine.ImportPath { // not a ping
			imports(wr, req)
		}
	}), nil)
	near, far := newPipe()
	ma := &modelAttempt{
		rn:          rn,
		name:        "cu/k/1.0",
		number:      1,
		kv:          engine.PrefillResult{KV: "kv", KeptFor: 800},
		prefill:     board.BackendServer{ID: "p1", Role: board.Prefill, Address: "p1.example:1"},
		usedEngines: make(map[string]struct{}),
		rs: &reservation{vm: rn.vm, cn: near, granted: true, attempt: 1, stage: sched.Prefilled,
			decisions: make(chan decision, outboxDepth)},
	}
	return &transferRig{ma: ma, rr: &testRunner{t: t, cn: far}}
}

// addEngine lists another decode engine at the address of e1.
func (tr *transferRig) addEngine(id string) {
	vm := tr.ma.rn.vm
	first, _ := vm.server("e1")
	second := first
	second.ID = id
	vm.Board.SetBackends(&board.Backends{Servers: []board.BackendServer{first, second}})
}

// decide passes a decision of the scheduler to the attempt.
func (tr *transferRig) decide(fr *peerpb.Frame) { tr.ma.rs.decisions <- decision{frame: fr} }

func transferFrame(server string) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Transfer{Transfer: &peerpb.Transfer{DecodeServer: server, Attempt: 1}}}
}

func preemptFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Preempt{Preempt: &peerpb.Preempt{Attempt: 1}}}
}

// If the prefill engine dropped the KV cache, the failed import says nothing about the decode
// engine. If the runner reported it as rejected by that engine, the scheduler would treat the
// engine as full until its next report.
func TestLostKVCacheDoesNotMarkDecodeEngineFull(t *testing.T) {
	tr := newTransferRig(t, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set(backend.DeclinedHeader, string(backend.NoKV))
		wr.WriteHeader(http.StatusConflict)
	})
	tr.decide(transferFrame("e1"))
	ended := make(chan error, 1)
	go func() { ended <- tr.ma.transferKV(t.Context()) }()
	assert.Equal(t, tr.rr.receive().GetProgress().GetStage(), string(sched.Transferring))
	assert.Equal(t, tr.rr.receive().GetProgress().GetStage(), string(sched.Lapsed))
	tr.decide(preemptFrame())
	assert.ErrorIs(t, <-ended, errPreempted)
}

// The scheduler counts the time for which a KV cache is kept from when it is informed of it.
// Its word may come later than that time after the prefill, and still does not use up one of
// the request's attempts.
func TestLateRevocationUsesNoAttempt(t *testing.T) {
	for _, tc := range []struct {
		name     string
		imported bool // the import is declined after the KV cache's time; otherwise none is ordered
	}{{"Lapsed", true}, {"NoSlot", false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := newTransferRig(t, func(wr http.ResponseWriter, _ *http.Request) {
				time.Sleep(1200 * time.Millisecond)
				wr.Header().Set(backend.DeclinedHeader, string(backend.NoKV))
				wr.WriteHeader(http.StatusConflict)
			})
			if tc.imported {
				tr.decide(transferFrame("e1"))
			}
			time.AfterFunc(1400*time.Millisecond, func() { tr.decide(preemptFrame()) })
			assert.ErrorIs(t, tr.ma.transferKV(t.Context()), errPreempted)
		})
	}
}

// The scheduler may revoke a grant during the import, for example when its decision and a
// second import order cross. The runner must then stop the import, which no slot accounts for
// any more.
func TestImportEndsWithItsGrant(t *testing.T) {
	began := make(chan struct{})
	tr := newTransferRig(t, func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // otherwise the server does not detect that the caller left
		close(began)
		<-req.Context().Done()
	})
	tr.decide(transferFrame("e1"))
	ended := make(chan error, 1)
	go func() { ended <- tr.ma.transferKV(t.Context()) }()
	<-began
	tr.decide(preemptFrame())
	assert.ErrorIs(t, <-ended, errPreempted)
	assert.Equal(t, tr.rr.receive().GetProgress().GetStage(), string(sched.Transferring))
}

// A transfer that stalled at e1 and was declined by e2 returns to e1. Its order must have a new
// attempt number: e1 got a cancel of the first attempt and declines an order with its number.
func TestEachImportHasItsOwnAttemptNumber(t *testing.T) {
	began, attempts := make(chan struct{}, 3), make(chan int, 3)
	tr := newTransferRig(t, func(wr http.ResponseWriter, req *http.Request) {
		var od engine.ImportOrder
		assert.Check(t, json.NewDecoder(req.Body).Decode(&od))
		_, _ = io.Copy(io.Discard, req.Body)
		attempts <- od.Attempt
		began <- struct{}{}
		switch od.Attempt {
		case 1:
			<-req.Context().Done()
		case 2:
			wr.Header().Set(backend.DeclinedHeader, string(backend.Full))
			wr.WriteHeader(http.StatusConflict)
		default:
			_, _ = io.WriteString(wr, "{}")
		}
	})
	tr.addEngine("e2")
	tr.decide(transferFrame("e1"))
	ended := make(chan error, 1)
	go func() { ended <- tr.ma.transferKV(t.Context()) }()
	<-began
	tr.decide(transferFrame("e2"))
	<-began
	tr.decide(transferFrame("e1"))
	<-began
	assert.NilError(t, <-ended)
	assert.DeepEqual(t, []int{<-attempts, <-attempts, <-attempts}, []int{1, 2, 3})
}

// A decision can replace an engine before the import order has been sent to it. The order must
// then keep its own attempt number: the next one belongs to the order to the other engine.
func TestReplacedImportKeepsItsAttemptNumber(t *testing.T) {
	for range 50 {
		var mu sync.Mutex
		seen := map[int]bool{}
		// The handler of a replaced import may still run when the transfer has ended.
		tr := newTransferRig(t, func(wr http.ResponseWriter, req *http.Request) {
			var od engine.ImportOrder
			if json.NewDecoder(req.Body).Decode(&od) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			assert.Check(t, !seen[od.Attempt], "two orders of attempt %d", od.Attempt)
			seen[od.Attempt] = true
			_, _ = io.WriteString(wr, "{}")
		})
		tr.addEngine("e2")
		tr.decide(transferFrame("e1"))
		tr.decide(transferFrame("e2"))
		assert.NilError(t, tr.ma.transferKV(t.Context()))
	}
}
