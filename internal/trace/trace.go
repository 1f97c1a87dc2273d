// Package trace determines from log files how one request ended, and why.
//
// The files hold what VMs wrote to their standard output, one JSON object per
// line. Lines of other processes between them and truncated lines are skipped
// and counted. The cause of a failed request is the first line that determined
// its outcome.
//
// # Usage
//
//	var tr trace.Trace
//	tr.Request = "9c41d07be2a35f68"
//	err := tr.Read(file)
//	for _, ln := range tr.Lines() { ... }
//	fmt.Println(tr.Summary())
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"alderdyke/internal/event"
)

// maxLineBytes bounds one line. The longest line that a VM writes is about 1 KB.
const maxLineBytes = 1 << 20

// ErrRequestNotFound means that no line names the request.
var ErrRequestNotFound = errors.New("no line of these files names the request; check the ID, and whether the files of all VMs are included")

// errNotLogLine means that a text is not a log line of a VM.
var errNotLogLine = errors.New("not a log line of a VM")

type (
	// Line is one log line about the request.
	Line struct {
		Time   string
		VM     string
		Number int
		Name   string
		Fields map[string]any // the remaining fields of the line
	}

	// Trace collects the lines about one request. Set Request before Read.
	Trace struct {
		Request string
		// SkippedLines counts the lines that are not log lines of a VM.
		SkippedLines int

		lines []Line
	}

	// commonFields are the fields that every log line has; Request may be empty.
	commonFields struct {
		Time    string `json:"time"`
		VM      string
		Event   int
		Name    string
		Request string
	}
)

// Read reads the lines of one file.
func (tr *Trace) Read(rd io.Reader) error { return eachLine(rd, tr.addLine) }

// eachLine calls take with each line of a file.
func eachLine(rd io.Reader, take func(text string)) error {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		take(sc.Text())
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read a log file: %w", err)
	}
	return nil
}

func (tr *Trace) addLine(text string) {
	request, ln, err := parseLine(text)
	switch {
	case err != nil:
		tr.SkippedLines++
	case request == tr.Request && request != "":
		tr.lines = append(tr.lines, ln)
	}
}

// parseLine parses one line of a log and returns it with the request that it names, if any.
func parseLine(text string) (request string, ln Line, err error) {
	at := strings.IndexByte(text, '{') // a prefix added by a log collector is dropped
	if at < 0 {
		return "", Line{}, errNotLogLine
	}
	var fx commonFields
	if err := json.Unmarshal([]byte(text[at:]), &fx); err != nil {
		return "", Line{}, fmt.Errorf("parse a log line: %w", err)
	}
	if fx.Name == "" {
		return "", Line{}, errNotLogLine
	}
	var all map[string]any
	if err := json.Unmarshal([]byte(text[at:]), &all); err != nil {
		return "", Line{}, fmt.Errorf("parse the fields of a log line: %w", err)
	}
	for _, name := range []string{"time", "level", "message", "VM", "Event", "Name", "Request"} {
		delete(all, name)
	}
	return fx.Request, Line{Time: fx.Time, VM: fx.VM, Number: fx.Event, Name: fx.Name, Fields: all}, nil
}

// Lines returns the lines sorted by their times. The clocks of different VMs may
// differ slightly.
func (tr *Trace) Lines() []Line {
	slices.SortStableFunc(tr.lines, func(la, lb Line) int { return strings.Compare(la.Time, lb.Time) })
	return tr.lines
}

// String formats the line for people.
func (ln Line) String() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s %s %d %s", ln.Time, ln.VM, ln.Number, ln.Name)
	names := make([]string, 0, len(ln.Fields))
	for name := range ln.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if value := fmt.Sprint(ln.Fields[name]); value != "" {
			fmt.Fprintf(&sb, " %s=%s", name, value)
		}
	}
	return sb.String()
}

// Summary returns one sentence on how the request ended and why. The error is
// ErrRequestNotFound if no line names the request.
func (tr *Trace) Summary() (string, error) {
	lines := tr.Lines()
	if len(lines) == 0 {
		return "", ErrRequestNotFound
	}
	end, ended := lastEvent(lines, event.RelayAnswered, event.RelayRefused, event.RelayCut)
	if ln, ok := lastEvent(lines, event.RelayForwarded); !ended && ok && fieldText(ln, "Status") != "0" {
		return "it was forwarded to the VM at " + fieldText(ln, "To") + ", whose log has its end", nil
	}
	if !ended {
		return "its end is not in these files: VM " + lines[0].VM + " stopped first, or its file is incomplete", nil
	}
	if end.Number == event.RelayAnswered.Number {
		return "it completed with its full answer after " + fieldText(end, "Took"), nil
	}
	verb := "it was refused"
	if end.Number == event.RelayCut.Number {
		verb = "its answer was interrupted"
	}
	return fmt.Sprintf("%s after %s: %s", verb, fieldText(end, "Took"), cause(lines, end)), nil
}

// cause returns what first determined the outcome of the request.
func cause(lines []Line, end Line) string {
	switch fieldText(end, "Reason") {
	case "QueueFull":
		if ln, ok := lastEvent(lines, event.RelayNoPlace); ok {
			return noPlaceCause(ln)
		}
	case "Starting":
		return "the VM had not loaded the configuration yet; look for an earlier StoreLost event of that VM"
	case "UnknownService":
		return "no route of configuration " + fieldText(end, "Configuration") + " matched"
	case "CallerGone":
		return "its caller disconnected"
	case "EndsServers":
		return "servers crashed when they ran it; look for an earlier RelayEndsServers or RelayPartRefused event of any VM"
	}
	if ln, ok := lastEvent(lines, event.RelayCallerGone); ok {
		return fmt.Sprintf("its caller disconnected, or its deadline passed, %s after the last data from backend server %s", fieldText(ln, "Silent"), fieldText(ln, "Server"))
	}
	if ln, ok := lastEvent(lines, event.RelayRunLost); ok {
		return "backend server " + fieldText(ln, "Server") + " ended the run early: " + fieldText(ln, "Error")
	}
	for _, ln := range lines {
		if why := fieldText(ln, "Error"); why != "" && ln.Number != end.Number {
			return strings.TrimSpace(ln.Name+" "+fieldText(ln, "Server")+fieldText(ln, "From")) + ": " + why
		}
	}
	return strings.TrimSpace(fieldText(end, "Reason") + " " + fieldText(end, "Detail") + " " + fieldText(end, "Error"))
}

// noPlaceCause describes what kept a request from getting a place. Logs of older
// versions do not count the requests at other VMs.
func noPlaceCause(ln Line) string {
	before := ""
	if count := fieldText(ln, "Before"); count != "" {
		before = count + " at other VMs went first, "
	}
	return fmt.Sprintf("no decode engine had capacity (%s requests waited on this VM, %s%s placement requests were declined)", fieldText(ln, "Waiting"), before, fieldText(ln, "Asked"))
}

// lastEvent returns the last line that has the number of one of the events.
func lastEvent(lines []Line, events ...event.Event) (Line, bool) {
	for _, ln := range slices.Backward(lines) {
		if slices.ContainsFunc(events, func(ev event.Event) bool { return ev.Number == ln.Number }) {
			return ln, true
		}
	}
	return Line{}, false
}

func fieldText(ln Line, field string) string {
	if value, ok := ln.Fields[field]; ok && value != nil {
		return fmt.Sprint(value)
	}
	return ""
}
