package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
)

// transferRig is an attempt whose prompt is computed, its accountant's end of
// the reservation, and the decode engine e1.
type transferRig struct {
	ma *modelAttempt
	rr *testRunner // the accountant's end: it receives what the runner tells
}

func newTransferRig(t *testing.T, imports http.HandlerFunc) *transferRig {
	t.Helper()
	rn, _ := newEngineRun(t, http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if req.URL.Path == engine.ImportPath { // and no question whether the engine is there
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
			decisions: make(chan *peerpb.Frame, outboxDepth)},
	}
	return &transferRig{ma: ma, rr: &testRunner{t: t, cn: far}}
}

// decide is a decision of the accountant.
func (tr *transferRig) decide(fr *peerpb.Frame) { tr.ma.rs.decisions <- fr }

func transferFrame(server string) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Transfer{Transfer: &peerpb.Transfer{DecodeServer: server, Attempt: 1}}}
}

func preemptFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Preempt{Preempt: &peerpb.Preempt{Attempt: 1}}}
}

// A KV cache that its prefill engine dropped is no word of the decode engine.
// The accountant heard that the engine had rejected the import, and took it to
// be full until its next report.
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

// The accountant takes a grant back while the import goes on, as where its
// answer and a second order crossed. The runner went on with an import that
// nobody accounted for.
func TestImportEndsWithItsGrant(t *testing.T) {
	began := make(chan struct{})
	tr := newTransferRig(t, func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // or the server does not see that the caller left
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

// A transfer that stalled at e1 and was declined by e2 is sent back to e1. The
// order named the attempt that e1 had been told to cancel, and was declined:
//
//	vm-3  208ms TransferChosen: rapportmodel-decode-2
//	vm-3  726ms TransferChosen: rapportmodel-decode-1
//	vm-3  780ms TransferChosen: rapportmodel-decode-2
//	vm-3 1.162s AttemptFailed: import: Import was declined by rapportmodel-decode-2: Cancelled
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
	vm := tr.ma.rn.vm
	first, _ := vm.server("e1")
	second := first
	second.ID = "e2"
	vm.Board.SetBackends(&board.Backends{Servers: []board.BackendServer{first, second}})
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
