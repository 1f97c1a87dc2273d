package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// An engine is too busy to answer in time when two VMs were lost, and holds the
// decode that a caller has a part of. It must be asked anew: taken for one that
// holds nothing, the caller would be told that its answer is gone, and a second
// run would begin.
func TestEngineThatDoesNotAnswerMayHoldTheDecode(t *testing.T) {
	var asked atomic.Int64
	holds := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) == 1 {
			http.Error(wr, "busy", http.StatusGatewayTimeout)
			return
		}
		runs := []engine.Running{{Request: "cu/key/1", Customer: "cu", Stage: sched.Decoding, VM: board.VMRef{ID: "vm-2", Incarnation: 7}}}
		assert.Check(t, json.NewEncoder(wr).Encode(engine.RunningReport{Runs: runs}))
	}))
	defer holds.Close()
	empty := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(wr).Encode(engine.RunningReport{}))
	}))
	defer empty.Close()
	at := func(id string, srv *httptest.Server) board.BackendServer {
		return board.BackendServer{ID: id, Address: strings.TrimPrefix(srv.URL, "http://"), Role: board.Decode}
	}
	vm := &VM{Clock: clock.Monotonic{}, Board: &board.Board{}, runCtx: t.Context()}
	vm.Engines = &engine.Client{HTTP: backend.NewHTTP(backend.Limits{}), Clock: vm.Clock}
	var bk board.Backends
	vm.Board.SetBackends(bk.WithServers([]board.BackendServer{at("e1", empty), at("e2", holds)}))

	_, found, sure := vm.decodes.of(vm, requestID{Customer: "cu", Key: "key"})
	assert.Assert(t, !found && !sure, "an engine did not answer")
	held, found, _ := vm.decodes.of(vm, requestID{Customer: "cu", Key: "key"})
	assert.Assert(t, found, "it is asked anew at once")
	assert.Equal(t, held.server, "e2")
	_, found, sure = vm.decodes.of(vm, requestID{Customer: "cu", Key: "other"})
	assert.Assert(t, !found && sure)
	assert.Equal(t, asked.Load(), int64(2), "a whole list serves further requests")
}

// A VM reads a decode on at its engine until it holds the runner dead, and then
// asks the engines who goes on with it. A decode that makes its last token in
// between is listed as ended and can be resumed, but the VM looked only for
// those that go on: three tokens short of its end the answer was refused.
//
//	01:21:41.372 VMDead VM=vm-3 Other=vm-4
//	01:21:41.424 engine: Outcome=Complete Tokens=600 Stages=[... Decoding Ended]
//	01:21:41.431 RequestRefused VM=vm-3 Reason=AnswerExpired Ran=MayHaveRun
func TestDecodeThatEndedIsReadToItsEnd(t *testing.T) {
	lost := board.VMRef{ID: "vm-2", Incarnation: 7}
	mux := http.NewServeMux()
	mux.HandleFunc(engine.RunningPath, func(wr http.ResponseWriter, _ *http.Request) {
		runs := []engine.Running{{Request: "cu/key/1.0", Customer: "cu", Stage: sched.Ended, VM: lost, Tokens: 2}}
		assert.Check(t, json.NewEncoder(wr).Encode(engine.RunningReport{Runs: runs}))
	})
	mux.HandleFunc(engine.ResumePath, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set(engine.AttemptHeader, "1")
		enc := json.NewEncoder(wr)
		assert.Check(t, enc.Encode(engine.Token{Index: 0, Text: "a"}))
		assert.Check(t, enc.Encode(engine.Token{Index: 1, Text: "b", Last: true}))
	})
	holds := httptest.NewServer(mux)
	defer holds.Close()
	vm := &VM{Clock: clock.Monotonic{}, Board: &board.Board{}, runCtx: t.Context(), loopCtx: t.Context()}
	vm.traces.clk = vm.Clock
	vm.Engines = &engine.Client{HTTP: backend.NewHTTP(backend.Limits{}), Clock: vm.Clock}
	var bk board.Backends
	vm.Board.SetBackends(bk.WithServers([]board.BackendServer{
		{ID: "e1", Address: strings.TrimPrefix(holds.URL, "http://"), Role: board.Decode},
	}))
	vm.Board.SetFleet(&board.Fleet{VMs: []board.VM{{VMRef: lost, Health: board.Dead}}})
	rn := vm.newRun(caller.Request{
		Customer: "cu", Key: "key", Resumed: true,
		Class: template.Class{Idempotent: true, StreamWait: clock.Second},
		Chat:  &caller.Chat{MaxTokens: 2},
	})
	defer rn.cancel(nil)
	defer rn.away.Stop()
	rn.claimed = vm.noClaim()

	assert.Assert(t, rn.rescue(rn.ctx))
	last, _ := rn.st.Last()
	assert.Equal(t, last.Kind, answer.End)
	assert.DeepEqual(t, rn.st.Tokens(), []string{"a", "b"})
}
