package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/internal/operator"
	"alderdyke/internal/settings"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

const token = "operators-token-of-tests"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type (
	// fakeVM decides publications like a VM that applies the log in order: a
	// publication is accepted only if its base is the revision in force.
	fakeVM struct {
		mu        sync.Mutex
		inForce   board.Templates
		verdicts  map[string]operator.Verdict
		fail      error
		drained   int
		ordered   []operator.Order
		explained [2]string
	}

	// lineBuffer collects log lines for a test.
	lineBuffer struct {
		mu  sync.Mutex
		buf bytes.Buffer
	}
)

func (ln *lineBuffer) Write(text []byte) (int, error) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.buf.Write(text)
}

func (ln *lineBuffer) String() string {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.buf.String()
}

func (vm *fakeVM) Publish(_ context.Context, pub operator.Publication) (operator.Verdict, error) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.fail != nil {
		return operator.Verdict{}, vm.fail
	}
	if ver, ok := vm.verdicts[pub.ID]; ok {
		return ver, nil
	}
	current := vm.inForce.ByCustomer[pub.Customer].Revision
	ver := operator.Verdict{Current: current, Reason: "BaseNotCurrent"}
	if pub.Base == current {
		ver = operator.Verdict{Accepted: true, Revision: current + 1, Current: current + 1}
		vm.inForce.ByCustomer[pub.Customer] = board.ActiveTemplate{Template: pub.Template, Revision: current + 1}
	}
	vm.verdicts[pub.ID] = ver
	return ver, nil
}

func (vm *fakeVM) Templates() *board.Templates { return &vm.inForce }

func (*fakeVM) Status(context.Context) operator.Status {
	return operator.Status{VM: "aarhus-a-1", Incarnation: 7, Quorate: true, Fleet: []operator.VMStatus{{ID: "vejle-1-1", Health: "Suspect"}}}
}

func (vm *fakeVM) Explain(_ context.Context, customer, key string) ([]operator.ExplainLine, error) {
	vm.explained = [2]string{customer, key}
	return []operator.ExplainLine{{VM: "aarhus-a-1", Since: 5, Event: event.RequestAccepted.Number, Text: "accepted"}}, vm.fail
}

func (vm *fakeVM) Order(_ context.Context, od operator.Order) (operator.OrderReply, error) {
	vm.ordered = append(vm.ordered, od)
	return operator.OrderReply{Order: od, VM: "aarhus-a-1"}, vm.fail
}

func (vm *fakeVM) Drain(context.Context) error {
	vm.drained++
	return vm.fail
}

// startServer runs a server until the end of the test.
func startServer(t *testing.T) (*fakeVM, operator.Client, tally.TestScope, *lineBuffer) {
	vm := &fakeVM{inForce: board.Templates{ByCustomer: map[string]board.ActiveTemplate{}, Ready: true, Applied: 9}, verdicts: map[string]operator.Verdict{}}
	scope, out := tally.NewTestScope("", nil), &lineBuffer{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &operator.Server{
		Listener: ln, Token: settings.NewSecret(token), Backend: vm, Scope: scope,
		Metrics: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write([]byte("Some 1\n")) }),
		Log:     event.Logger{Out: &log.Logger{Writer: log.IOWriter{Writer: out}}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- srv.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
		operator.CloseIdleConnections()
	})
	return vm, operator.Client{Address: ln.Addr().String(), Token: srv.Token}, scope, out
}

func sampleTemplate(t *testing.T) (template.Template, string) {
	text, err := os.ReadFile("../../examples/kedelsyn.toml")
	assert.NilError(t, err)
	tpl, err := template.Parse("kedelsyn.toml", text)
	assert.NilError(t, err)
	return tpl, string(text)
}

func reasonOf(err error) operator.Reason {
	var fa operator.Fault
	errors.As(err, &fa)
	return fa.Reason
}

func TestPublish(t *testing.T) {
	vm, cl, _, out := startServer(t)
	ctx := t.Context()
	tpl, _ := sampleTemplate(t)

	first := operator.Publication{ID: "one", Customer: "kedelsyn", Template: tpl}
	rep, err := cl.Publish(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, rep, operator.PublishReply{PublicationID: "one", Verdict: operator.Verdict{Accepted: true, Revision: 1, Current: 1}})

	// The same publication again gets the same verdict; another one from the
	// same base is rejected with the revision in force.
	rep, err = cl.Publish(ctx, first)
	assert.NilError(t, err)
	assert.Assert(t, rep.Accepted && rep.Revision == 1)
	first.ID = "two"
	rep, err = cl.Publish(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, rep, operator.PublishReply{PublicationID: "two", Verdict: operator.Verdict{Current: 1, Reason: "BaseNotCurrent"}})

	list, err := cl.Templates(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, list, operator.TemplateList{Ready: true, Applied: 9, Revisions: []operator.Revision{{Customer: "kedelsyn", Revision: 1}}})
	got, err := cl.Template(ctx, "kedelsyn")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, operator.TemplateReply{Revision: 1, Template: tpl})
	_, err = cl.Template(ctx, "hoalua")
	assert.Equal(t, reasonOf(err), operator.UnknownCustomer)

	vm.fail = refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.Starting}
	first.ID = "three"
	_, err = cl.Publish(ctx, first)
	assert.Equal(t, reasonOf(err), operator.Unavailable)
	vm.fail = refusal.Refusal{Ran: refusal.MayHaveRun}
	_, err = cl.Publish(ctx, first)
	assert.Equal(t, reasonOf(err), operator.InDoubt)
	vm.fail = errors.New("reply lost")
	_, err = cl.Publish(ctx, first)
	assert.Equal(t, reasonOf(err), operator.InDoubt)

	for _, ev := range []event.Event{event.PublicationAccepted, event.PublicationRefused, event.PublicationInDoubt} {
		assert.Assert(t, strings.Contains(out.String(), `"`+ev.Name+`"`), "%s not in %s", ev.Name, out)
	}
	assert.Assert(t, !strings.Contains(out.String(), token))
}

func TestStatusExplainDrain(t *testing.T) {
	vm, cl, _, _ := startServer(t)
	ctx := t.Context()
	st, err := cl.Status(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, st, vm.Status(ctx))

	for _, key := range []string{"simple", "a/b c%2F?x=1", "ključ", "a//b", "a+b"} {
		rep, err := cl.Explain(ctx, "kedelsyn", key)
		assert.NilError(t, err, key)
		assert.Equal(t, vm.explained, [2]string{"kedelsyn", key})
		assert.Equal(t, rep.Key, key)
		assert.Equal(t, rep.Lines[0].Event, event.RequestAccepted.Number)
	}
	assert.NilError(t, cl.Drain(ctx))
	assert.Equal(t, vm.drained, 1)
	vm.fail = errors.New("away")
	_, err = cl.Explain(ctx, "kedelsyn", "x")
	assert.Equal(t, reasonOf(err), operator.Unavailable)
	assert.Equal(t, reasonOf(cl.Drain(ctx)), operator.Unavailable)
}

func TestRefusals(t *testing.T) {
	_, cl, scope, out := startServer(t)
	_, text := sampleTemplate(t)
	bearer := "Bearer " + token
	for name, tc := range map[string]struct {
		method, path, auth, media, body string
		status                          int
		reason                          operator.Reason
	}{
		"TOML":               {"POST", "/templates/kedelsyn?Base=0", bearer, "application/toml", text, 200, ""},
		"TOML by curl":       {"POST", "/templates/kedelsyn?Base=7", bearer, "application/x-www-form-urlencoded", text, 409, ""},
		"metrics":            {"GET", "/metrics", bearer, "", "", 200, ""},
		"no token":           {"GET", "/status", "", "", "", 401, operator.MissingToken},
		"wrong token":        {"GET", "/status", bearer + "x", "", "", 401, operator.WrongToken},
		"token, no Bearer":   {"GET", "/status", token, "", "", 401, operator.WrongToken},
		"empty token":        {"GET", "/status", "Bearer ", "", "", 401, operator.WrongToken},
		"unknown, no token":  {"GET", "/nothing", "", "", "", 401, operator.MissingToken},
		"metrics, no token":  {"GET", "/metrics", "", "", "", 401, operator.MissingToken},
		"unknown path":       {"GET", "/nothing", bearer, "", "", 404, operator.UnknownPath},
		"wrong method":       {"DELETE", "/status", bearer, "", "", 405, operator.WrongMethod},
		"bad base":           {"POST", "/templates/kedelsyn?Base=-1", bearer, "", text, 400, operator.BadRequest},
		"base in lower case": {"POST", "/templates/kedelsyn?base=5", bearer, "", text, 400, operator.BadRequest},
		"base twice":         {"POST", "/templates/kedelsyn?Base=5&Base=6", bearer, "", text, 400, operator.BadRequest},
		"bad ID":             {"POST", "/templates/kedelsyn?PublicationID=a%20b", bearer, "", text, 400, operator.BadRequest},
		"other customer":     {"POST", "/templates/hoalua", bearer, "", text, 400, operator.BadRequest},
		"not valid":          {"POST", "/templates/kedelsyn", bearer, "", strings.Replace(text, "Patient", "Late", 1), 422, operator.InvalidTemplate},
		"unknown media":      {"POST", "/templates/kedelsyn", bearer, "image/png", text, 415, operator.UnknownMedia},
		"broken media":       {"POST", "/templates/kedelsyn", bearer, "application/", text, 415, operator.UnknownMedia},
		"broken JSON":        {"POST", "/templates/kedelsyn", bearer, "application/json", `{"Customer":`, 422, operator.InvalidTemplate},
		"too large":          {"POST", "/templates/kedelsyn", bearer, "", strings.Repeat("#", template.MaxTextBytes+1), 413, operator.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), tc.method, "http://"+cl.Address+tc.path, strings.NewReader(tc.body))
			assert.NilError(t, err)
			if tc.auth != "" {
				req.Header.Set("Authorization", tc.auth)
			}
			req.Header.Set("Content-Type", tc.media)
			before := refusalCount(scope, string(tc.reason))
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer http.DefaultClient.CloseIdleConnections()
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status, "%s", body)
			if tc.reason == "" {
				return
			}
			var fa operator.Fault
			assert.NilError(t, json.Unmarshal(body, &fa), "%s", body)
			assert.Equal(t, fa.Reason, tc.reason)
			assert.Equal(t, len(fa.Problems) > 0, tc.reason == operator.InvalidTemplate)
			assert.Equal(t, refusalCount(scope, string(tc.reason)), before+1)
		})
	}
	assert.Assert(t, strings.Contains(out.String(), `"OperatorRejected"`))
	assert.Assert(t, !strings.Contains(out.String(), token), "a token was logged")
}

// refusalCount returns the value of the counter of one reason.
func refusalCount(scope tally.TestScope, reason string) int64 {
	for _, ct := range scope.Snapshot().Counters() {
		if ct.Name() == "Refusals" && ct.Tags()["Reason"] == reason {
			return ct.Value()
		}
	}
	return 0
}

func TestClientFaults(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cl := operator.Client{Address: ln.Addr().String(), Token: settings.NewSecret(token)}
	tpl, _ := sampleTemplate(t)

	// The connection breaks after the request was sent.
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	_, err = cl.Publish(t.Context(), operator.Publication{ID: "one", Customer: "kedelsyn", Template: tpl})
	assert.Equal(t, reasonOf(err), operator.InDoubt, "%v", err)

	// The listener is closed, so the connection is refused.
	assert.NilError(t, ln.Close())
	_, err = cl.Publish(t.Context(), operator.Publication{ID: "one", Customer: "kedelsyn", Template: tpl})
	assert.Equal(t, reasonOf(err), operator.Unreachable, "%v", err)
	_, err = cl.Publish(t.Context(), operator.Publication{Customer: "kedelsyn", Template: tpl})
	assert.Equal(t, reasonOf(err), operator.BadRequest)
}

// The error of Run unwraps to its cause.
func TestRunFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	srv := &operator.Server{Listener: ln, Token: settings.NewSecret(token), Backend: &fakeVM{}}
	assert.ErrorIs(t, srv.Run(t.Context()), net.ErrClosed)
}

func TestHandlerRequiresToken(t *testing.T) {
	_, err := (&operator.Server{}).Handler()
	assert.ErrorContains(t, err, "token")
}

func TestOrders(t *testing.T) {
	vm, cl, _, _ := startServer(t)
	od := operator.Order{Server: "e-1", Kind: engine.LoadAdapter, Name: "boilers"}
	rep, err := cl.Order(t.Context(), od)
	assert.NilError(t, err)
	assert.Equal(t, rep, operator.OrderReply{Order: od, VM: "aarhus-a-1"})
	assert.DeepEqual(t, vm.ordered, []operator.Order{od})

	for _, bad := range []operator.Order{
		{Server: "e-1", Kind: engine.ChangeRole, Name: "x"},
		{Server: "", Kind: engine.LoadModel, Name: "x"},
		{Server: "e-1", Kind: engine.LoadModel},
		{Server: "e-1", Kind: engine.LoadModel, Name: "two words"},
	} {
		_, err := cl.Order(t.Context(), bad)
		assert.Equal(t, reasonOf(err), operator.BadRequest, "%+v", bad)
	}
	assert.Equal(t, len(vm.ordered), 1)

	vm.fail = operator.Fault{Reason: operator.Elsewhere, Detail: "VM x gives orders to e-1"}
	_, err = cl.Order(t.Context(), od)
	assert.Equal(t, reasonOf(err), operator.Elsewhere)
	vm.fail = errors.New("the connection broke")
	_, err = cl.Order(t.Context(), od)
	assert.Equal(t, reasonOf(err), operator.InDoubt)
}
