package event_test

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"alderdyke/internal/event"
)

const eventsPage = "../../docs/EVENTS.md"

var (
	namePattern = regexp.MustCompile(`^([A-Z][a-z0-9]*|[A-Z]+)+$`)
	levels      = map[event.Level]string{event.Info: "Info", event.Warn: "Warn", event.Error: "Error"}
)

// renderPage returns the page that documents the catalogue.
func renderPage() string {
	var sb strings.Builder
	sb.WriteString(`# Events

Every line that alderdyke logs is one of these events, as one JSON object on
standard error with the fields Event (the number), Name and VM. Fields never
contain a prompt, an answer or a secret.

This page is generated from the catalogue in internal/event, and a test checks
that it is up to date. After a change there, run:

    go test ./internal/event -update

| Number | Name | Level | What happened | What to do |
| --- | --- | --- | --- | --- |
`)
	for _, ev := range event.Catalogue() {
		fmt.Fprintf(&sb, "| %d | %s | %s | %s | %s |\n", ev.Number, ev.Name, levels[ev.Level], ev.Meaning, ev.Action)
	}
	return sb.String()
}

func TestPageEqualsCatalogue(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(eventsPage, []byte(renderPage()), 0o644))
	}
	text, err := os.ReadFile(eventsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(text), renderPage(), "run: go test ./internal/event -update")
}

func TestCatalogue(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, ev := range event.Catalogue() {
		assert.Assert(t, !numbers[ev.Number], "number %d is used twice", ev.Number)
		assert.Assert(t, !names[ev.Name], "name %s is used twice", ev.Name)
		numbers[ev.Number], names[ev.Name] = true, true
		assert.Assert(t, ev.Number >= 1000 && ev.Number <= 9999, "%d", ev.Number)
		assert.Assert(t, namePattern.MatchString(ev.Name), "%s", ev.Name)
		assert.Assert(t, levels[ev.Level] != "", "%s", ev.Name)
		assert.Assert(t, ev.Meaning != "" && ev.Action != "", "%s", ev.Name)
		assert.Assert(t, !strings.ContainsAny(ev.Meaning+ev.Action, "|\n"), "%s breaks the table", ev.Name)
	}
	assert.Assert(t, len(names) > 0)
}

func TestLog(t *testing.T) {
	var out bytes.Buffer
	lg := event.Logger{Out: &log.Logger{Writer: log.IOWriter{Writer: &out}}, VM: "vm-1"}
	lg.Log(event.RequestRefused, event.F("Reason", "QueueFull"))
	for _, want := range []string{`"level":"warn"`, `"Event":1102`, `"Name":"RequestRefused"`, `"VM":"vm-1"`, `"Reason":"QueueFull"`} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s not in %s", want, out.String())
	}
	event.Logger{}.Log(event.Started) // the zero Logger discards it
}

// Guards against lines of any length: an error may quote a value that another writer left in
// the store.
func TestLongTextIsCut(t *testing.T) {
	var out bytes.Buffer
	lg := event.Logger{Out: &log.Logger{Writer: &log.IOWriter{Writer: &out}}}
	lg.Log(event.ConfigurationUnusable, event.F("Offset", 7), event.F("Error", strings.Repeat("9", 400_000)))
	assert.Assert(t, out.Len() < 2000, "a line of %d bytes", out.Len())
	assert.Assert(t, strings.Contains(out.String(), "999..."), out.String())
}
