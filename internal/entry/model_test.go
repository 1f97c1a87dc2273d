package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/engine"
	"alderdyke/pkg/clock"
)

// fakeDecode is an engine that holds one decode.
type fakeDecode struct {
	tokens    []string
	firstKept int // tokens that an attempt before made; it has none of them
	attempt   int // 1 if zero
	complete  bool
	breaks    bool // each stream breaks off after its first token, and the next one is of a later attempt
	stalls    bool // after its tokens nothing comes
}

func (td *fakeDecode) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	from, err := strconv.Atoi(req.URL.Query().Get("From"))
	if err != nil || from < td.firstKept {
		wr.Header().Set(backend.DeclinedHeader, string(backend.Unknown))
		wr.WriteHeader(http.StatusConflict)
		return
	}
	wr.Header().Set(engine.AttemptHeader, strconv.Itoa(max(1, td.attempt)))
	enc := json.NewEncoder(wr)
	for ix := from; ix < len(td.tokens); ix++ {
		_ = enc.Encode(engine.Token{Index: ix, Text: td.tokens[ix], Last: td.complete && ix == len(td.tokens)-1})
		if td.breaks {
			td.attempt = max(1, td.attempt) + 1
			return
		}
	}
	if td.stalls {
		_ = http.NewResponseController(wr).Flush()
		<-req.Context().Done()
		return
	}
	if !td.complete {
		_ = enc.Encode(engine.Token{Ended: string(backend.Cancelled)})
	}
}

// newDecodeRun is a run of a VM, with a part of an answer, and the decode that it is
// to go on with.
func newDecodeRun(t *testing.T, td *fakeDecode, has []string) (*run, claim.Decided) {
	t.Helper()
	return newEngineRun(t, td, has)
}

// newEngineRun is the same for an engine of any kind.
func newEngineRun(t *testing.T, en http.Handler, has []string) (*run, claim.Decided) {
	t.Helper()
	hs := httptest.NewServer(en)
	t.Cleanup(hs.Close)
	vm := newFollowVM(t, "vm-near")
	vm.loopCtx = t.Context()
	vm.Engines = &engine.Client{HTTP: backend.NewHTTP(backend.Limits{})}
	runner := board.VMRef{ID: "vm-far", Incarnation: 1}
	vm.Board.SetFleet(&board.Fleet{Self: vm.Self, VMs: []board.VM{{VMRef: runner, Health: board.Suspect}}})
	vm.Board.SetBackends(&board.Backends{Servers: []board.BackendServer{
		{ID: "e1", Role: board.Decode, Address: strings.TrimPrefix(hs.URL, "http://")},
	}})
	vm.janitor = janitor{
		find:   func(string) (board.BackendServer, bool) { return board.BackendServer{}, false },
		cancel: func(context.Context, board.BackendServer, string, int) error { return nil },
	}
	rn := newRunWithTokens(t, vm, has)
	rn.claimed = vm.newUnclaimed()
	return rn, claim.Decided{Runner: runner, DecodeServer: "e1", EngineRequest: "cu/k/2.0"}
}

// A VM had a part of an answer when its runner was lost, and went on with a
// decode that it knew by the name on record. That decode could be of a later run
// of the key: the engine was asked for the tokens behind the part, and whatever
// it sent was joined to it. A part that lacked nothing but the end could not be
// ended at all, since no token follows it, and the model made more tokens
// behind the last one.
func TestAnswerContinuesOnlyFromItsOwnDecode(t *testing.T) {
	for _, tc := range []struct {
		name string
		has  []string
		told fakeDecode
		kept bool // the answer is whole, of the decode's tokens
	}{
		{"its own", []string{"a", "b"}, fakeDecode{tokens: []string{"a", "b", "c"}, complete: true}, true},
		{"its own, nothing is left but the end", []string{"a", "b"}, fakeDecode{tokens: []string{"a", "b"}, complete: true}, true},
		{"no part yet", nil, fakeDecode{tokens: []string{"x", "y"}, complete: true}, true},
		{"another", []string{"a", "b"}, fakeDecode{tokens: []string{"x", "y", "z"}, complete: true}, false},
		{"another that differs late", []string{"a", "b"}, fakeDecode{tokens: []string{"a", "y", "z"}, complete: true}, false},
		{"another that is shorter", []string{"a", "b"}, fakeDecode{tokens: []string{"a"}, complete: true}, false},
		{"one that can't be told from another", []string{"a", "b"}, fakeDecode{tokens: []string{"", "", "c"}, firstKept: 2, complete: true}, false},
		{"cancelled", []string{"a"}, fakeDecode{tokens: []string{"a", "b"}}, false},
		{"another attempt after a break", nil, fakeDecode{tokens: []string{"a", "b"}, complete: true, breaks: true}, false},
	} {
		for _, way := range []struct {
			name string
			on   func(rn *run, dec claim.Decided) bool
		}{
			{"taken over", func(rn *run, dec claim.Decided) bool { return rn.resumeDecode(t.Context(), dec) }},
			{"read on", func(rn *run, dec claim.Decided) bool { return rn.followDecode(t.Context(), dec) }},
		} {
			t.Run(tc.name+", "+way.name, func(t *testing.T) {
				told := tc.told
				rn, dec := newDecodeRun(t, &told, tc.has)
				assert.Equal(t, way.on(rn, dec), tc.kept)
				last, final := rn.st.Last()
				assert.Equal(t, final, tc.kept)
				if tc.kept {
					assert.Equal(t, last.Kind, answer.End)
					assert.DeepEqual(t, rn.st.Tokens(), told.tokens)
				}
			})
		}
	}
}

// A VM that went on with the decode of a lost one lost the key in turn, as
// after a pause, and a third VM went on with the same decode. The VM before it
// then cancelled the decode that the third one read. What it may cancel is a
// decode that fails while the key is still its own.
func TestDecodeOfATakenOverKeyIsNotCancelled(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cause error // that ended the run; nil: only the stream broke
		freed bool
	}{
		{"the key went to another VM", errKeyLost, false},
		{"the stream failed", nil, true},
		{"the run ended otherwise", context.Canceled, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rn, dec := newDecodeRun(t, &fakeDecode{tokens: []string{"a", "b"}, stalls: tc.cause != nil}, nil)
			freed := make(chan string, 1)
			rn.vm.janitor.find = func(id string) (board.BackendServer, bool) { return board.BackendServer{ID: id}, true }
			rn.vm.janitor.cancel = func(_ context.Context, srv board.BackendServer, _ string, _ int) error {
				freed <- srv.ID
				return nil
			}
			mine, lose := context.WithCancelCause(t.Context())
			defer lose(nil)
			if tc.cause != nil {
				go loseAfterFirstToken(rn, func() { lose(tc.cause) })
			}
			assert.Assert(t, !rn.resumeDecode(mine, dec))
			rn.vm.janitor.wg.Wait()
			assert.Equal(t, len(freed) == 1, tc.freed)
		})
	}
}

// loseAfterFirstToken waits for the answer's first token.
func loseAfterFirstToken(rn *run, lose func()) {
	rd := rn.st.Attach(0)
	defer rd.Detach()
	_, _ = rd.Next(rn.ctx)
	lose()
}

// Two VMs ran an idempotent key, each with one grant or without any, so that
// both ran it under the same number. Their decodes had one name, by which a VM
// could read, go on with or cancel the other's.
func TestDecodesOfTwoVMsHaveTwoNames(t *testing.T) {
	names := make(map[string]bool)
	for _, self := range []board.VMRef{
		{ID: "vm-1", Incarnation: 1}, {ID: "vm-1", Incarnation: 2}, {ID: "vm-2", Incarnation: 1}, {ID: "vm-11", Incarnation: 1},
	} {
		for try := range 2 {
			rn := &run{vm: &VM{Self: self}, id: requestID{Customer: "cu", Key: "a/key"}}
			name := rn.engineName(try)
			names[name] = true
			id, ok := requestIDOf(engine.Running{Customer: "cu", Request: name})
			assert.Assert(t, ok && id == rn.id, "%s", name)
		}
	}
	assert.Equal(t, len(names), 8)
}

// Only an engine that takes no calls at all asks its cell for rest. One that declined a
// single request, or is full for a moment, names a span too; taken for a rest it closed
// the last prefill engine of a cell, which then refused all requests:
//
//	refused (MayHaveRun): NoBackend: no engine of the cell takes work
func TestOnlyRefusedCallsRequestAPause(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want clock.Millis
	}{
		{"takes no calls", backend.DeclinedError{Server: "e1", Reason: backend.Refused, RetryAfter: 3000}, 3000},
		{"for a moment", backend.DeclinedError{Server: "e1", Reason: backend.Refused, RetryAfter: 20}, 0},
		{"is full", backend.DeclinedError{Server: "e1", Reason: backend.Full, RetryAfter: 800}, 0},
		{"the request was cancelled", backend.DeclinedError{Server: "e1", Reason: backend.Cancelled, RetryAfter: 800}, 0},
		{"has it already", backend.InDoubtError{Server: "e1", Reason: backend.Duplicate}, 0},
		{"did not answer", backend.InDoubtError{Server: "e1"}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server, rest := requestedPause(tc.err)
			assert.Equal(t, rest, tc.want)
			assert.Equal(t, server != "", tc.want > 0)
		})
	}
}
