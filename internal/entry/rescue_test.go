package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
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
