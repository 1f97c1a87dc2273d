package cli_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/cli"
	"alderdyke/internal/event"
	"alderdyke/internal/operator"
	"alderdyke/internal/settings"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

const (
	token        = "operators-token-of-tests"
	kedelsynFile = "../../examples/kedelsyn.toml"
	hoaluaFile   = "../../examples/hoalua.toml"
)

// vmStub replies to operators with the values set by the test.
type vmStub struct {
	verdict   operator.Verdict
	fail      error
	published operator.Publication
	inForce   board.Templates
	lines     []operator.ExplainLine
	drained   bool
}

func (vm *vmStub) Publish(_ context.Context, pub operator.Publication) (operator.Verdict, error) {
	vm.published = pub
	return vm.verdict, vm.fail
}

func (vm *vmStub) Templates() *board.Templates { return &vm.inForce }

func (*vmStub) Status(context.Context) operator.Status {
	return operator.Status{
		VM: "aarhus-a-1", Quorate: true, InProgress: 12,
		Fleet:    []operator.VMStatus{{ID: "vejle-1-1", Health: "Suspect"}},
		Cells:    []operator.CellStatus{{Name: "rapportmodel/0", Waiting: 3}},
		Backends: []operator.ServerStatus{{ID: "w-1", Service: "rapportmodel", Reported: true, ReportAge: 250}},
	}
}

func (vm *vmStub) Explain(context.Context, string, string) ([]operator.ExplainLine, error) {
	return vm.lines, vm.fail
}

func (vm *vmStub) Order(_ context.Context, od operator.Order) (operator.OrderReply, error) {
	return operator.OrderReply{Order: od, VM: "aarhus-a-1"}, vm.fail
}

func (vm *vmStub) Drain(context.Context) error {
	vm.drained = true
	return vm.fail
}

// terminal runs command lines against a vmStub.
type terminal struct {
	vm       *vmStub
	program  cli.Program
	out, err string
}

func newTerminal(t *testing.T) *terminal {
	tm := &terminal{vm: &vmStub{}}
	handler, err := (&operator.Server{Token: settings.NewSecret(token), Backend: tm.vm}).Handler()
	assert.NilError(t, err)
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	env := map[string]string{cli.AddressVariable: srv.Listener.Addr().String(), cli.TokenVariable: token}
	tm.program = cli.Program{
		Version: "of tests",
		Getenv:  func(key string) string { return env[key] },
		Run:     func(_ context.Context, set settings.Settings) error { return errors.New("ran " + set.ID) },
		Demo: func(_ context.Context, _ string, out io.Writer) error {
			_, err := io.WriteString(out, "goodput\n")
			return err
		},
	}
	return tm
}

func (tm *terminal) run(t *testing.T, args ...string) int {
	var out, errs bytes.Buffer
	code := tm.program.Main(t.Context(), args, &out, &errs)
	tm.out, tm.err = out.String(), errs.String()
	assert.Assert(t, !strings.Contains(tm.out+tm.err, token), "the output contains the token")
	return code
}

// settingsFile writes the example settings, modified by change, and the files of their
// secrets. It returns the path of the settings.
func settingsFile(t *testing.T, change func(text string) string) string {
	dir := t.TempDir()
	text, err := os.ReadFile("../../examples/entry.toml")
	assert.NilError(t, err)
	for name, text := range map[string]string{
		"entry.toml": change(string(text)), "peer.secret": "a-secret-of-some-length", "operator.token": token,
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	return filepath.Join(dir, "entry.toml")
}

func unchanged(text string) string { return text }

func TestUsage(t *testing.T) {
	tm := newTerminal(t)
	for name, tc := range map[string]struct {
		args []string
		code int
		want string // in either stream
	}{
		"nothing":            {nil, cli.ExitOK, "publish"},
		"help":               {[]string{"--help"}, cli.ExitOK, "explain"},
		"help of a command":  {[]string{"publish", "-h"}, cli.ExitOK, "--base"},
		"version":            {[]string{"--version"}, cli.ExitOK, "of tests"},
		"unknown command":    {[]string{"publsh"}, cli.ExitUsage, `"publsh"`},
		"unknown flag":       {[]string{"status", "--jsn"}, cli.ExitUsage, `"--jsn"`},
		"flag of another":    {[]string{"status", "--base", "5"}, cli.ExitUsage, `"--base"`},
		"flag, no value":     {[]string{"publish", "x", "--base"}, cli.ExitUsage, "needs a value"},
		"flag, bad value":    {[]string{"publish", "x", "--base", "x"}, cli.ExitUsage, "invalid syntax"},
		"negative base":      {[]string{"publish", "x", "--base=-1"}, cli.ExitUsage, "invalid syntax"},
		"missing argument":   {[]string{"explain", "kedelsyn"}, cli.ExitUsage, "needs KEY"},
		"surplus argument":   {[]string{"templates", "kedelsyn", "hoalua"}, cli.ExitUsage, `"hoalua"`},
		"host name":          {[]string{"status", "-a", "vm-1:9090"}, cli.ExitUsage, "IP number"},
		"missing token file": {[]string{"status", "-t", "/nonexistent"}, cli.ExitFailed, "token"},
		"demo":               {[]string{"demo"}, cli.ExitOK, "goodput"},
		"run without file":   {[]string{"run"}, cli.ExitUsage, "needs SETTINGS"},
		"run a missing file": {[]string{"run", "/nonexistent"}, cli.ExitRefused, "/nonexistent"},
		"unreachable":        {[]string{"status", "-a", "127.0.0.1:1"}, cli.ExitFailed, "Unreachable"},
	} {
		t.Run(name, func(t *testing.T) {
			code := tm.run(t, tc.args...)
			assert.Equal(t, code, tc.code, tm.err)
			assert.Assert(t, strings.Contains(tm.out+tm.err, tc.want), "%s%s", tm.out, tm.err)
			assert.Equal(t, tm.err == "", tc.code == cli.ExitOK, tm.err)
		})
	}
}

func TestRun(t *testing.T) {
	tm := newTerminal(t)
	assert.Equal(t, tm.run(t, "run", settingsFile(t, unchanged)), cli.ExitFailed)
	assert.Assert(t, strings.Contains(tm.err, "ran aarhus-a-1"), tm.err)

	broken := settingsFile(t, func(text string) string { return strings.Replace(text, "10.1.9.1:8600", "log:8600", 1) })
	assert.Equal(t, tm.run(t, "run", broken), cli.ExitRefused)
	assert.Assert(t, strings.Contains(tm.err, "entry.toml:29: Log.Address") && !strings.Contains(tm.err, "ran"), tm.err)
}

func TestCheck(t *testing.T) {
	tm := newTerminal(t)
	sound := settingsFile(t, unchanged)
	assert.Equal(t, tm.run(t, "check", sound), cli.ExitOK, tm.err)
	assert.Equal(t, tm.run(t, "check", sound, kedelsynFile, hoaluaFile), cli.ExitOK, tm.err)
	assert.Equal(t, strings.Count(tm.out, ": valid"), 3)

	assert.Equal(t, tm.run(t, "check", sound, kedelsynFile, hoaluaFile, kedelsynFile), cli.ExitRefused)
	assert.Assert(t, strings.Contains(tm.err, "Customer = kedelsyn") && strings.Contains(tm.err, "KeyHashes[0]"), tm.err)

	// The problems of all files are reported together.
	broken := settingsFile(t, func(text string) string { return strings.Replace(text, "Count = 3", "Count = 0", 1) })
	assert.Equal(t, tm.run(t, "check", broken, broken, "/nonexistent"), cli.ExitRefused)
	for _, want := range []string{"Addresses.Count", "Classes", "/nonexistent"} {
		assert.Assert(t, strings.Contains(tm.err, want), "%s not in %s", want, tm.err)
	}
}

func TestPublish(t *testing.T) {
	tm := newTerminal(t)
	tm.vm.verdict = operator.Verdict{Accepted: true, Revision: 4, Current: 4}
	assert.Equal(t, tm.run(t, "publish", kedelsynFile, "--base", "3", "--id", "mine"), cli.ExitOK, tm.err)
	assert.Equal(t, tm.out, "accepted: revision 4 of customer kedelsyn\n")
	assert.Equal(t, tm.vm.published.Base, uint64(3))
	assert.Equal(t, tm.vm.published.ID, "mine")
	assert.Equal(t, tm.vm.published.Template.Customer, "kedelsyn")

	tm.vm.verdict = operator.Verdict{Current: 5, Reason: "BaseNotCurrent"}
	assert.Equal(t, tm.run(t, "publish", kedelsynFile), cli.ExitRefused)
	assert.Assert(t, strings.Contains(tm.err, "BaseNotCurrent; revision 5 is in force"), tm.err)

	tm.vm.fail = errors.New("reply lost")
	assert.Equal(t, tm.run(t, "publish", kedelsynFile, "-b", "5"), cli.ExitInDoubt)
	assert.Assert(t, strings.Contains(tm.err, "--base 5 --id "+tm.vm.published.ID), tm.err)

	tm.vm.fail = refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.Starting}
	assert.Equal(t, tm.run(t, "publish", kedelsynFile), cli.ExitFailed)
	assert.Equal(t, tm.run(t, "publish", "../../examples/entry.toml"), cli.ExitRefused)
	assert.Assert(t, strings.Contains(tm.err, "entry.toml:"), tm.err)
}

func TestQueries(t *testing.T) {
	tm := newTerminal(t)
	text, err := os.ReadFile(kedelsynFile)
	assert.NilError(t, err)
	tpl, err := template.Parse(kedelsynFile, text)
	assert.NilError(t, err)
	tm.vm.inForce = board.Templates{Ready: true, ByCustomer: map[string]board.ActiveTemplate{"kedelsyn": {Template: tpl, Revision: 4}}}

	assert.Equal(t, tm.run(t, "templates"), cli.ExitOK, tm.err)
	assert.Equal(t, tm.out, "CUSTOMER  REVISION\nkedelsyn  4\n")
	assert.Equal(t, tm.run(t, "templates", "kedelsyn"), cli.ExitOK, tm.err)
	back, err := template.Parse("printed", []byte(tm.out))
	assert.NilError(t, err)
	assert.DeepEqual(t, back, tpl)
	assert.Equal(t, tm.run(t, "templates", "hoalua"), cli.ExitFailed)
	assert.Assert(t, strings.Contains(tm.err, "UnknownCustomer"), tm.err)

	assert.Equal(t, tm.run(t, "status"), cli.ExitOK, tm.err)
	for _, want := range []string{"aarhus-a-1", "Suspect", "rapportmodel/0", "250ms", "12"} {
		assert.Assert(t, strings.Contains(tm.out, want), "%s not in %s", want, tm.out)
	}
	assert.Equal(t, tm.run(t, "status", "--json"), cli.ExitOK, tm.err)
	assert.Assert(t, strings.Contains(tm.out, `"InProgress": 12`), tm.out)

	assert.Equal(t, tm.run(t, "explain", "kedelsyn", "a/b c"), cli.ExitOK, tm.err)
	assert.Assert(t, strings.Contains(tm.out, `No reachable VM has a record of request "a/b c"`), tm.out)
	tm.vm.lines = []operator.ExplainLine{{VM: "aarhus-a-1", Since: 1500, Event: event.RequestRefused.Number, Text: "queue full"}}
	assert.Equal(t, tm.run(t, "explain", "kedelsyn", "a/b c"), cli.ExitOK, tm.err)
	assert.Assert(t, strings.Contains(tm.out, "1.5s") && strings.Contains(tm.out, "RequestRefused"), tm.out)

	assert.Equal(t, tm.run(t, "drain"), cli.ExitOK, tm.err)
	assert.Assert(t, tm.vm.drained)
}

func TestTokenFile(t *testing.T) {
	tm := newTerminal(t)
	file := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(file, []byte("another-token-than-that\n"), 0o600))
	assert.Equal(t, tm.run(t, "status", "--token-file", file), cli.ExitFailed)
	assert.Assert(t, strings.Contains(tm.err, "WrongToken"), tm.err)
	assert.NilError(t, os.WriteFile(file, []byte(token+"\n"), 0o600))
	assert.Equal(t, tm.run(t, "status", "--token-file="+file), cli.ExitOK, tm.err)
	assert.NilError(t, os.WriteFile(file, []byte("two words of some length\n"), 0o600))
	assert.Equal(t, tm.run(t, "status", "--token-file", file), cli.ExitUsage)
	assert.Assert(t, !strings.Contains(tm.err, "two words"), tm.err)
}

func TestOrder(t *testing.T) {
	tm := newTerminal(t)
	assert.Equal(t, tm.run(t, "order", "e-1", "load-model", "m-2"), cli.ExitOK, tm.err)
	assert.Equal(t, tm.out, "executed: LoadModel m-2 at e-1, sent by VM aarhus-a-1\n")
	for _, args := range [][]string{{"order", "e-1"}, {"order", "e-1", "load-model"}, {"order", "e-1", "change-role", "Decode"}, {"order", "e-1", "load-model", "a", "b"}} {
		assert.Equal(t, tm.run(t, args...), cli.ExitUsage, "%q", args)
	}
	tm.vm.fail = operator.Fault{Reason: operator.InDoubt, Detail: "give it again"}
	assert.Equal(t, tm.run(t, "order", "e-1", "load-model", "m-2"), cli.ExitInDoubt)
}
