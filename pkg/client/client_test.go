package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type (
	// step handles one request of the call at a VM.
	step func(wr http.ResponseWriter, req *http.Request)

	// fleet simulates VMs on loopback. Requests to any of them execute the steps
	// in order; the last step repeats forever.
	fleet struct {
		*Client
		mu              sync.Mutex
		steps           []step
		addressRequests int
		vms             []string // VM of each request
		keys            []string
		lastIDs         []string
		waits           []clock.Millis
		addrs           []string
		manual          clock.Manual
	}
)

func newFleet(t *testing.T, vms int, steps ...step) *fleet {
	t.Helper()
	fl := &fleet{steps: steps}
	for range vms {
		srv := httptest.NewServer(http.HandlerFunc(fl.serve))
		t.Cleanup(srv.Close)
		fl.addrs = append(fl.addrs, srv.Listener.Addr().String())
	}
	fl.Client = &Client{Bootstrap: fl.addrs[:1], APIKey: "secret", Clock: &fl.manual, Attempts: 6}
	fl.Wait = func(ctx context.Context, span clock.Millis) error {
		fl.waits = append(fl.waits, span)
		return ctx.Err()
	}
	t.Cleanup(fl.Close)
	return fl
}

func (fl *fleet) serve(wr http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	fl.mu.Lock()
	if req.URL.Path == "/v1/addresses" {
		defer fl.mu.Unlock()
		fl.addressRequests++
		var body addressesBody
		for _, addr := range fl.addrs {
			body.Addresses = append(body.Addresses, struct{ Address string }{addr})
		}
		body.KeepFor = 30 * clock.Second
		_ = json.NewEncoder(wr).Encode(body)
		return
	}
	do := fl.steps[min(len(fl.vms), len(fl.steps)-1)]
	fl.vms = append(fl.vms, req.Host)
	fl.keys = append(fl.keys, req.Header.Get(headerKey))
	fl.lastIDs = append(fl.lastIDs, req.Header.Get(headerLastID))
	fl.mu.Unlock()
	do(wr, req)
}

// stream sends token events starting at an ID; "." is the final event and "!"
// breaks the connection.
func stream(from int, parts ...string) step {
	return func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "text/event-stream")
		for ix, part := range parts {
			choice := fmt.Sprintf(`{"delta":{"content":%q},"finish_reason":null}`, part)
			switch part {
			case "!":
				_ = http.NewResponseController(wr).Flush()
				panic(http.ErrAbortHandler)
			case ".":
				choice = `{"delta":{"content":""},"finish_reason":"stop"}`
			}
			_, _ = fmt.Fprintf(wr, ": comment\n\nid: %d\ndata: {\"choices\":[%s],\"usage\":{\"completion_tokens\":7}}\n\n", from+ix, choice)
		}
	}
}

// refuse responds with a refusal.
func refuse(ran refusal.Ran, reason refusal.Reason, after clock.Millis) step {
	return func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set(headerRefusal, string(reason))
		wr.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(wr).Encode(map[string]any{"error": refusal.Refusal{Ran: ran, Reason: reason, RetryAfter: after}})
	}
}

var (
	brokenStream   = stream(0, "!")
	completeAnswer = stream(0, "ok", ".")
)

func TestResumesAtAnotherVM(t *testing.T) {
	fl := newFleet(t, 3, stream(0, "weld ", "7 ", "!"), stream(2, "has ", "!"), stream(3, "pits", "."))
	var pieces []string
	ans, err := fl.Chat(t.Context(), ChatRequest{Model: "m", OnText: func(text string) { pieces = append(pieces, text) }})
	assert.NilError(t, err)
	assert.Equal(t, ans.Text, "weld 7 has pits")
	assert.Equal(t, strings.Join(pieces, ""), ans.Text)
	assert.Equal(t, ans.Tokens, 7)
	assert.DeepEqual(t, fl.lastIDs, []string{"", "1", "2"})
	assert.DeepEqual(t, fl.keys, []string{ans.Key, ans.Key, ans.Key})
	assert.DeepEqual(t, fl.vms, fl.addrs)
	assert.Equal(t, len(fl.waits), 0)
}

func TestChatOutcomes(t *testing.T) {
	no, may := refusal.NotRun, refusal.MayHaveRun
	for name, tc := range map[string]struct {
		steps      []step
		callerKey  bool
		idempotent bool
		ran        refusal.Ran // "" is an answer
		tries      int
		sameKeys   bool
		waits      int
	}{
		"answer":                         {steps: []step{completeAnswer}, tries: 1, sameKeys: true},
		"not run, then answer":           {steps: []step{refuse(no, refusal.QueueFull, 100), completeAnswer}, tries: 2, waits: 1},
		"not run, own key":               {steps: []step{refuse(no, refusal.QueueFull, 100), completeAnswer}, callerKey: true, tries: 2, sameKeys: true, waits: 1},
		"not run, no retry":              {steps: []step{refuse(no, refusal.BadRequest, 0)}, ran: no, tries: 1, sameKeys: true},
		"not run, crashes servers":       {steps: []step{refuse(no, refusal.EndsServers, 300000)}, ran: no, tries: 1, sameKeys: true},
		"always not run":                 {steps: []step{refuse(no, refusal.QueueFull, 100)}, ran: no, tries: 6, waits: 5},
		"may have run":                   {steps: []step{refuse(may, refusal.VMLost, 100)}, ran: may, tries: 1, sameKeys: true},
		"may have run, idempotent":       {steps: []step{refuse(may, refusal.VMLost, 100), completeAnswer}, idempotent: true, tries: 2, waits: 1},
		"may have run, idempotent, own":  {steps: []step{refuse(may, refusal.VMLost, 100)}, idempotent: true, callerKey: true, ran: may, tries: 1, sameKeys: true},
		"break, then not run":            {steps: []step{brokenStream, refuse(no, refusal.BadRequest, 0)}, ran: may, tries: 2, sameKeys: true},
		"break, then not run, then done": {steps: []step{brokenStream, refuse(no, refusal.HomeUnreachable, 100), completeAnswer}, tries: 3, sameKeys: true, waits: 1},
		"break, then may have run":       {steps: []step{brokenStream, refuse(may, refusal.KeyInDoubt, 100)}, ran: may, tries: 2, sameKeys: true},
		"always breaks":                  {steps: []step{brokenStream}, ran: may, tries: 6, sameKeys: true, waits: 1},
		"draining VM":                    {steps: []step{refuse(no, refusal.Draining, 100), completeAnswer}, tries: 2},
		"all draining":                   {steps: []step{refuse(no, refusal.Draining, 100)}, ran: no, tries: 6, waits: 1},
		"text, then refusal":             {steps: []step{stream(0, "a", "!"), refuse(may, refusal.VMLost, 100)}, idempotent: true, ran: may, tries: 2, sameKeys: true},
		"gap in the events":              {steps: []step{stream(1, "b", "."), completeAnswer}, tries: 2, sameKeys: true},
		"end without final event":        {steps: []step{stream(0, "ok"), stream(1, ".")}, tries: 2, sameKeys: true},
		"unexpected response":            {steps: []step{func(http.ResponseWriter, *http.Request) {}, completeAnswer}, tries: 2, sameKeys: true},
	} {
		t.Run(name, func(t *testing.T) {
			fl := newFleet(t, 3, tc.steps...)
			req := ChatRequest{Model: "m", Idempotent: tc.idempotent}
			if tc.callerKey {
				req.Key = "own"
			}
			ans, err := fl.Chat(t.Context(), req)
			var rf refusal.Refusal
			assert.Equal(t, errors.As(err, &rf), err != nil, "%v", err)
			assert.Equal(t, rf.Ran, tc.ran, "%v", err)
			assert.Assert(t, err != nil || ans.Text == "ok")
			assert.Equal(t, len(fl.vms), tc.tries)
			distinct := map[string]bool{}
			for _, key := range fl.keys {
				distinct[key] = true
			}
			assert.Equal(t, len(distinct) == 1, tc.sameKeys, "%v", fl.keys)
			assert.Equal(t, len(fl.waits), tc.waits)
			if tc.waits > 0 && rf.Reason == refusal.QueueFull {
				assert.Assert(t, fl.waits[0] >= 100 && fl.waits[0] <= 125)
			}
		})
	}
}

func TestNoVMReachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	cl := &Client{Bootstrap: []string{ln.Addr().String()}, Attempts: 3, Backoff: 1}
	_, err = cl.Chat(t.Context(), ChatRequest{})
	var rf refusal.Refusal
	assert.Assert(t, errors.As(err, &rf))
	assert.Equal(t, rf.Ran, refusal.NotRun)
	assert.Equal(t, rf.Reason, refusal.HomeUnreachable)
	for _, bad := range [][]string{nil, {"localhost:80"}, {"10.0.0.1"}} {
		cl := &Client{Bootstrap: bad}
		_, err = cl.Call(t.Context(), PlainRequest{Method: http.MethodGet, Path: "/"})
		assert.Assert(t, errors.As(err, &rf))
		assert.Equal(t, rf.Reason, refusal.BadRequest)
	}
}

func TestIdleConnectionTimesOut(t *testing.T) {
	silent := func(wr http.ResponseWriter, req *http.Request) {
		stream(0, "ok")(wr, req)
		_ = http.NewResponseController(wr).Flush()
		<-req.Context().Done()
	}
	mute := func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }
	fl := newFleet(t, 2, mute, silent, stream(1, "."))
	fl.IdleTimeout = 50
	ans, err := fl.Chat(t.Context(), ChatRequest{})
	assert.NilError(t, err)
	assert.Equal(t, ans.Text, "ok")
}

func TestCancelledCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	fl := newFleet(t, 2, func(_ http.ResponseWriter, req *http.Request) {
		cancel()
		<-req.Context().Done()
	})
	_, err := fl.Chat(ctx, ChatRequest{})
	var rf refusal.Refusal
	assert.Assert(t, errors.As(err, &rf) && errors.Is(err, context.Canceled))
	assert.Equal(t, rf.Ran, refusal.MayHaveRun)
}

func TestPlainCall(t *testing.T) {
	answered := func(wr http.ResponseWriter, req *http.Request) {
		wr.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(wr, req.Method+" "+req.URL.RequestURI()+" "+req.Header.Get("X-In"))
	}
	fl := newFleet(t, 2, brokenStream, answered)
	req := PlainRequest{Service: "kiosk api", Method: http.MethodPut, Path: "/status?x=1", Header: http.Header{"x-in": {"1"}}}
	ans, err := fl.Call(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, ans.Status, http.StatusConflict)
	assert.Equal(t, string(ans.Body), "PUT /services/kiosk%20api/status?x=1 1")
	assert.DeepEqual(t, fl.keys, []string{ans.Key, ans.Key})

	fl.steps = []step{refuse(refusal.MayHaveRun, refusal.BackendFailed, 100)}
	_, err = fl.Call(t.Context(), req)
	var rf refusal.Refusal
	assert.Assert(t, errors.As(err, &rf))
	assert.Equal(t, len(fl.vms), 3, "never repeated")
}

func TestAddressesAreCached(t *testing.T) {
	fl := newFleet(t, 2, completeAnswer)
	for range 3 {
		_, err := fl.Chat(t.Context(), ChatRequest{})
		assert.NilError(t, err)
	}
	assert.Equal(t, fl.addressRequests, 1)
	fl.manual.Advance(30 * clock.Second)
	_, err := fl.Chat(t.Context(), ChatRequest{})
	assert.NilError(t, err)
	assert.Equal(t, fl.addressRequests, 2)
}

func ExampleClient_Chat() {
	vm := httptest.NewServer((&fleet{addrs: []string{"127.0.0.1:1"}}).example())
	defer vm.Close()
	cl := &Client{Bootstrap: []string{vm.Listener.Addr().String()}, APIKey: "secret"}
	defer cl.Close()
	ans, err := cl.Chat(context.Background(), ChatRequest{
		Model:    "summary-llm",
		Messages: []Message{{Role: "user", Content: "land title 12"}},
	})
	var rf refusal.Refusal
	if errors.As(err, &rf) {
		fmt.Println("refused:", rf.Reason, rf.Ran)
		return
	}
	fmt.Println(ans.Text)
	// Output: ok
}

// example serves one complete answer at its own address.
func (fl *fleet) example() http.HandlerFunc {
	return func(wr http.ResponseWriter, req *http.Request) {
		fl.addrs[0], fl.steps = req.Host, []step{completeAnswer}
		fl.serve(wr, req)
	}
}

// For any text, the parsed addresses, and the outcome of reading it as a stream, are
// well-formed.
func FuzzStream(f *testing.F) {
	f.Add("id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\n")
	f.Add("event: refusal\ndata: {\"Ran\":\"NotRun\",\"Reason\":\"QueueFull\",\"RetryAfter\":\"1s\"}\n\n")
	f.Add(`{"Addresses":[{"Address":"10.0.0.1:80"}],"KeepFor":"30s"}`)
	f.Fuzz(func(t *testing.T, text string) {
		if body, err := parseAddresses([]byte(text)); err == nil {
			assert.Assert(t, len(body.Addresses) > 0 && body.KeepFor > 0)
		}
		cc := &chatCall{cs: &callState{}, lastID: noEventID}
		resp := &http.Response{
			StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
			Body: io.NopCloser(strings.NewReader(text)),
		}
		switch oc := cc.read(resp).(type) {
		case completed:
			assert.Assert(t, cc.partDelivered())
		case refused:
			assert.Assert(t, oc.rf.Ran == refusal.NotRun || oc.rf.Ran == refusal.MayHaveRun)
			assert.Assert(t, oc.rf.Reason != "" && oc.rf.RetryAfter >= 0)
		case broken:
			assert.Assert(t, oc.err != nil)
		}
	})
}

// The final event of a shorter answer must not end a call that has already received
// more events of another answer.
func TestEndOfShorterAnswerIsRejected(t *testing.T) {
	fl := newFleet(t, 2, stream(0, "weld ", "7 ", "has ", "!"), stream(1, "."), stream(3, "pits", "."))
	ans, err := fl.Chat(t.Context(), ChatRequest{Model: "m"})
	assert.NilError(t, err)
	assert.Equal(t, ans.Text, "weld 7 has pits")
	assert.DeepEqual(t, fl.lastIDs, []string{"", "2", "2"})
}

// A response to another request, as from a proxy that mixes up its connections, must
// not be accepted as the answer or its rest, although it has the same format.
func TestResponseToOtherRequestIsRejected(t *testing.T) {
	other := func(do step) step {
		return func(wr http.ResponseWriter, req *http.Request) {
			wr.Header().Set(headerKey, "other")
			do(wr, req)
		}
	}
	own := func(do step) step {
		return func(wr http.ResponseWriter, req *http.Request) {
			wr.Header().Set(headerKey, req.Header.Get(headerKey))
			do(wr, req)
		}
	}
	for name, steps := range map[string][]step{
		"beginning": {other(stream(0, "not ", "this", ".")), own(completeAnswer)},
		"rest":      {own(stream(0, "o", "!")), other(stream(1, "ther", ".")), own(stream(1, "k", "."))},
		"refusal":   {other(refuse(refusal.NotRun, refusal.BadRequest, 0)), own(completeAnswer)},
	} {
		t.Run(name, func(t *testing.T) {
			fl := newFleet(t, 3, steps...)
			ans, err := fl.Chat(t.Context(), ChatRequest{Model: "m"})
			assert.NilError(t, err)
			assert.Equal(t, ans.Text, "ok")
		})
	}
	fl := newFleet(t, 2, other(func(http.ResponseWriter, *http.Request) {}), own(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wr, "ok")
	}))
	ans, err := fl.Call(t.Context(), PlainRequest{Service: "s", Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	assert.Equal(t, string(ans.Body), "ok")
}
