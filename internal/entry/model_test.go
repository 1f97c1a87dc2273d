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
	firstKept int // index of the first token that the engine has
	attempt   int // 1 if zero
	complete  bool
	breaks    bool // each stream breaks off after its first token, and the next one is of a later attempt
	stalls    bool // the stream stalls after its tokens
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

// newDecodeRun returns a run with a part of an answer, and the claim decision with the
// decode that the run is to continue.
func newDecodeRun(t *testing.T, td *fakeDecode, has []string) (*run, claim.Decided) {
	t.Helper()
	return newEngineRun(t, td, has)
}

// newEngineRun is like newDecodeRun for any engine handler.
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

// A VM that has a part of an answer when its runner is lost continues with the decode that
// the claim record names. That decode may belong to a later run of the key, so tokens after
// the part must not be joined to it unchecked. A part that lacks only the end must be ended,
// although no further token follows, and the model must not produce more tokens after the
// last one.
func TestAnswerContinuesOnlyFromItsOwnDecode(t *testing.T) {
	for _, tc := range []struct {
		name   string
		has    []string
		decode fakeDecode
		kept   bool // the answer is complete and has the decode's tokens
	}{
		{"its own", []string{"a", "b"}, fakeDecode{tokens: []string{"a", "b", "c"}, complete: true}, true},
		{"its own, only the end is missing", []string{"a", "b"}, fakeDecode{tokens: []string{"a", "b"}, complete: true}, true},
		{"no tokens yet", nil, fakeDecode{tokens: []string{"x", "y"}, complete: true}, true},
		{"another", []string{"a", "b"}, fakeDecode{tokens: []string{"x", "y", "z"}, complete: true}, false},
		{"another that differs late", []string{"a", "b"}, fakeDecode{tokens: []string{"a", "y", "z"}, complete: true}, false},
		{"another that is shorter", []string{"a", "b"}, fakeDecode{tokens: []string{"a"}, complete: true}, false},
		{"one without the first tokens", []string{"a", "b"}, fakeDecode{tokens: []string{"", "", "c"}, firstKept: 2, complete: true}, false},
		{"cancelled", []string{"a"}, fakeDecode{tokens: []string{"a", "b"}}, false},
		{"another attempt after a break", nil, fakeDecode{tokens: []string{"a", "b"}, complete: true, breaks: true}, false},
	} {
		for _, way := range []struct {
			name string
			on   func(rn *run, dec claim.Decided) bool
		}{
			{"taken over", func(rn *run, dec claim.Decided) bool { return rn.resumeDecode(t.Context(), dec) }},
			{"followed", func(rn *run, dec claim.Decided) bool { return rn.followDecode(t.Context(), dec) }},
		} {
			t.Run(tc.name+", "+way.name, func(t *testing.T) {
				decode := tc.decode
				rn, dec := newDecodeRun(t, &decode, tc.has)
				assert.Equal(t, way.on(rn, dec), tc.kept)
				last, final := rn.st.Last()
				assert.Equal(t, final, tc.kept)
				if tc.kept {
					assert.Equal(t, last.Kind, answer.End)
					assert.DeepEqual(t, rn.st.Tokens(), decode.tokens)
				}
			})
		}
	}
}

// A VM that continues the decode of a lost one may lose the key in turn, for example after a
// pause, and a third VM then continues the same decode. The VM before it must not cancel that
// decode. It may cancel a decode only if the decode fails while the VM still holds the key.
func TestDecodeOfATakenOverKeyIsNotCancelled(t *testing.T) {
	for _, tc := range []struct {
		name      string
		cause     error // of the end of the run; nil if only the stream broke
		cancelled bool
	}{
		{"the key went to another VM", errKeyLost, false},
		{"the stream failed", nil, true},
		{"the run ended otherwise", context.Canceled, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rn, dec := newDecodeRun(t, &fakeDecode{tokens: []string{"a", "b"}, stalls: tc.cause != nil}, nil)
			cancelled := make(chan string, 1)
			rn.vm.janitor.find = func(id string) (board.BackendServer, bool) { return board.BackendServer{ID: id}, true }
			rn.vm.janitor.cancel = func(_ context.Context, srv board.BackendServer, _ string, _ int) error {
				cancelled <- srv.ID
				return nil
			}
			mine, lose := context.WithCancelCause(t.Context())
			defer lose(nil)
			if tc.cause != nil {
				go loseAfterFirstToken(rn, func() { lose(tc.cause) })
			}
			assert.Assert(t, !rn.resumeDecode(mine, dec))
			rn.vm.janitor.wg.Wait()
			assert.Equal(t, len(cancelled) == 1, tc.cancelled)
		})
	}
}

// loseAfterFirstToken calls lose once the answer has its first token.
func loseAfterFirstToken(rn *run, lose func()) {
	rd := rn.st.Attach(0)
	defer rd.Detach()
	_, _ = rd.Next(rn.ctx)
	lose()
}

// Two VMs may run an idempotent key, each with one grant or without any, so that both run it
// under the same claim number. If their decodes had the same name, a VM could read, continue
// or cancel the other VM's decode.
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

// Only an engine that accepts no calls at all requests a pause. An engine that declined a
// single request, or is full for a moment, also sends a retry delay. If that delay is taken
// for a pause, it closes the last prefill engine of a cell, which then refuses all requests
// with NoBackend.
func TestOnlyRefusedCallsRequestAPause(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want clock.Millis
	}{
		{"accepts no calls", backend.DeclinedError{Server: "e1", Reason: backend.Refused, RetryAfter: 3000}, 3000},
		{"accepts no calls for a moment", backend.DeclinedError{Server: "e1", Reason: backend.Refused, RetryAfter: 20}, 0},
		{"is full", backend.DeclinedError{Server: "e1", Reason: backend.Full, RetryAfter: 800}, 0},
		{"cancelled request", backend.DeclinedError{Server: "e1", Reason: backend.Cancelled, RetryAfter: 800}, 0},
		{"duplicate request", backend.InDoubtError{Server: "e1", Reason: backend.Duplicate}, 0},
		{"no response", backend.InDoubtError{Server: "e1"}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server, rest := requestedPause(tc.err)
			assert.Equal(t, rest, tc.want)
			assert.Equal(t, server != "", tc.want > 0)
		})
	}
}
