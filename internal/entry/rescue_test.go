package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/claim"
	"alderdyke/internal/engine"
	"alderdyke/internal/peer"
	"alderdyke/internal/sched"
	"alderdyke/internal/standin"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// An engine that holds the decode of a caller's answer may be too busy to respond in time
// when two VMs were lost. It must be queried again: if it counts as holding nothing, the
// caller is refused because its answer has expired, and a second run begins.
func TestIncompleteDecodeListIsFetchedAgain(t *testing.T) {
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

	_, found, sure := vm.decodes.find(vm, requestID{Customer: "cu", Key: "key"})
	assert.Assert(t, !found && !sure, "an engine did not respond")
	held, found, _ := vm.decodes.find(vm, requestID{Customer: "cu", Key: "key"})
	assert.Assert(t, found, "the engine is queried again at once")
	assert.Equal(t, held.server, "e2")
	_, found, sure = vm.decodes.find(vm, requestID{Customer: "cu", Key: "other"})
	assert.Assert(t, !found && sure)
	assert.Equal(t, asked.Load(), int64(2), "a complete list serves further requests")
}

// recoveryRig is a VM with one engine in memory, whose decode of two tokens ran for a lost
// VM.
type recoveryRig struct {
	vm          *VM
	lost        board.VMRef
	list        func(asked int) []engine.Running // of the engine; returns nil if it is too busy to respond
	asked       int
	busyResumes int // the engine does not respond to this many resume calls, from the first on
	resumes     int // number of resume calls so far
}

func newRecoveryRig(t *testing.T) *recoveryRig {
	t.Helper()
	nw := &standin.Network{}
	hc := backend.NewHTTP(backend.Limits{Dial: nw.Dial})
	rg := &recoveryRig{
		vm:   &VM{Clock: clock.Monotonic{}, Board: &board.Board{}, runCtx: t.Context(), loopCtx: t.Context()},
		lost: board.VMRef{ID: "vm-2", Incarnation: 7},
	}
	rg.vm.traces.clk = rg.vm.Clock
	rg.vm.Engines = &engine.Client{HTTP: hc, Clock: rg.vm.Clock}
	var bk board.Backends
	rg.vm.Board.SetBackends(bk.WithServers([]board.BackendServer{{ID: "e1", Address: "10.0.0.1:80", Role: board.Decode}}))
	mux := http.NewServeMux()
	mux.HandleFunc(engine.RunningPath, rg.serveRunning)
	mux.HandleFunc(engine.ResumePath, rg.serveResume)
	hs := &http.Server{Handler: mux}
	ln := nw.Listen("10.0.0.1:80")
	go func() { _ = hs.Serve(ln) }()
	t.Cleanup(func() {
		hc.CloseIdleConnections()
		_ = hs.Close()
	})
	return rg
}

func (rg *recoveryRig) serveRunning(wr http.ResponseWriter, _ *http.Request) {
	rg.asked++
	runs := rg.list(rg.asked)
	if runs == nil {
		http.Error(wr, "busy", http.StatusGatewayTimeout)
		return
	}
	standin.WriteJSON(wr, engine.RunningReport{Runs: runs})
}

func (rg *recoveryRig) serveResume(wr http.ResponseWriter, _ *http.Request) {
	if rg.resumes++; rg.resumes <= rg.busyResumes {
		http.Error(wr, "busy", http.StatusGatewayTimeout)
		return
	}
	wr.Header().Set(engine.AttemptHeader, "1")
	standin.WriteJSON(wr, engine.Token{Index: 0, Text: "a"})
	standin.WriteJSON(wr, engine.Token{Index: 1, Text: "b", Last: true})
}

// decodingRuns returns the engine's list during the decode.
func (rg *recoveryRig) decodingRuns() []engine.Running {
	return []engine.Running{{Request: "cu/key/1.0", Customer: "cu", Stage: sched.Decoding, VM: rg.lost}}
}

// newResumedRun returns the run of a caller that has a part of the answer.
func (rg *recoveryRig) newResumedRun() *run {
	rn := rg.vm.newRun(caller.Request{
		Customer: "cu", Key: "key", Resumed: true,
		Class: template.Class{Idempotent: true, StreamWait: clock.Minute},
		Chat:  &caller.Chat{MaxTokens: 2},
	})
	rn.claimed = rg.vm.newUnclaimed()
	return rn
}

// A VM follows a decode at its engine until it considers the runner dead, and then queries the
// engines for the decode to take it over. A decode that produces its last token in between is
// listed as ended and can be resumed. If the VM looks only for decodes in progress, it refuses
// an answer that is complete at the engine.
func TestDecodeThatEndedIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRecoveryRig(t)
		rg.list = func(int) []engine.Running {
			return []engine.Running{{Request: "cu/key/1.0", Customer: "cu", Stage: sched.Ended, VM: rg.lost, Tokens: 2}}
		}
		rg.vm.Board.SetFleet(&board.Fleet{VMs: []board.VM{{VMRef: rg.lost, Health: board.Dead}}})
		rn := rg.newResumedRun()
		defer rn.cancel(nil)
		defer rn.absence.Stop()
		assert.Assert(t, rn.recoverAnswer(t.Context()))
		last, _ := rn.st.Last()
		assert.Equal(t, last.Kind, answer.End)
		assert.DeepEqual(t, rn.st.Tokens(), []string{"a", "b"})
	})
}

// An engine lists the decode of a runner that can't be followed and is not considered dead
// yet, and is then too busy to respond to the next query. The earlier response does not count
// as a failed attempt: the engine is queried again, and the answer continues.
func TestEarlierListingDoesNotUseUpRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRecoveryRig(t)
		rg.list = func(asked int) []engine.Running {
			if asked == 2 {
				return nil // no response in time
			}
			if asked == 3 {
				rg.vm.Board.SetFleet(&board.Fleet{VMs: []board.VM{{VMRef: rg.lost, Health: board.Dead}}})
			}
			return rg.decodingRuns()
		}
		rg.vm.Board.SetFleet(&board.Fleet{})
		rn := rg.newResumedRun()
		defer rn.cancel(nil)
		defer rn.absence.Stop()
		assert.Assert(t, rn.recoverAnswer(t.Context()))
		assert.DeepEqual(t, rn.st.Tokens(), []string{"a", "b"})
	})
}

// The record of a key may lack the name of its decode, because the runner's report to the
// seats was lost or arrived before the claim. The VM that takes the request over must then
// look for the decode at the engines, as if the whole record were lost. Otherwise the caller
// is refused while its decode is still running.
func TestTakeOverFindsUnrecordedDecode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRecoveryRig(t)
		rg.list = func(int) []engine.Running { return rg.decodingRuns() }
		rg.vm.Board.SetFleet(&board.Fleet{VMs: []board.VM{{VMRef: rg.lost, Health: board.Dead}}})
		rn := rg.newResumedRun()
		defer rn.cancel(nil)
		defer rn.absence.Stop()
		assert.NilError(t, rn.serveClaimed(t.Context(), claim.Decided{Verdict: claim.TakeOver, Runner: rg.lost}))
		assert.DeepEqual(t, rn.st.Tokens(), []string{"a", "b"})
	})
}

// Like the previous test, before the runner is considered dead: a decode that no record names
// is followed at the engine. Otherwise the caller receives nothing until it disconnects.
func TestFollowFindsUnrecordedDecode(t *testing.T) {
	rg := newRecoveryRig(t)
	rg.list = func(int) []engine.Running { return rg.decodingRuns() }
	rg.vm.Peers = &peer.Transport{Self: board.VMRef{ID: "vm-3", Incarnation: 1}, Listen: "127.0.0.1:0", Secret: []byte(testSecret)}
	runTransport(t, rg.vm.Peers)
	rg.vm.Board.SetFleet(&board.Fleet{VMs: []board.VM{{VMRef: rg.lost, Health: board.Suspect, Peer: "127.0.0.1:1"}}})
	rn := rg.newResumedRun()
	defer rn.cancel(nil)
	defer rn.absence.Stop()
	var givenUp board.VMRef
	assert.NilError(t, rn.followOnce(t.Context(), claim.Decided{Verdict: claim.Follow, Runner: rg.lost}, &givenUp))
	assert.DeepEqual(t, rn.st.Tokens(), []string{"a", "b"})
}

// A VM that takes a request over requests its decode from an engine that is too busy to
// respond. The engine may still run the decode, so the VM must try again before it starts
// another one, which would produce the same tokens a second time.
func TestResumeRetriesABusyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRecoveryRig(t)
		rg.busyResumes = maxResumeAttempts - 1
		rn := rg.newResumedRun()
		defer rn.cancel(nil)
		defer rn.absence.Stop()
		dec := claim.Decided{Verdict: claim.TakeOver, Runner: rg.lost, DecodeServer: "e1", EngineRequest: "cu/key/1.0"}
		assert.Assert(t, rn.resumeDecode(t.Context(), dec))
		assert.DeepEqual(t, rn.st.Tokens(), []string{"a", "b"})
		assert.Equal(t, rg.resumes, maxResumeAttempts)
	})
}
