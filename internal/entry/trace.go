package entry

import (
	"sync"

	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// Limits of the traces that a VM keeps for "explain".
const (
	maxTraces     = 2048
	maxTraceLines = 48
)

type (
	// requestID identifies a request across the fleet.
	requestID struct {
		Customer string
		Key      string
	}

	// traceLine is one step of a request at this VM.
	traceLine struct {
		Since clock.Millis
		Event event.Event
		Text  string
	}

	// trace records what one VM did for one request.
	trace struct {
		mu    sync.Mutex
		start clock.Millis
		clk   clock.Source
		lines []traceLine
	}

	// traces holds the newest traces and evicts the oldest first.
	traces struct {
		clk clock.Source

		mu    sync.Mutex
		byID  map[requestID]*trace
		order []requestID
	}
)

// getOrAdd returns the trace of the request and adds one if there is none.
func (ts *traces) getOrAdd(id requestID) *trace {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if tr, ok := ts.byID[id]; ok {
		return tr
	}
	if ts.byID == nil {
		ts.byID = make(map[requestID]*trace)
	}
	if len(ts.order) >= maxTraces {
		delete(ts.byID, ts.order[0])
		ts.order = ts.order[1:]
	}
	tr := &trace{start: ts.clk.Now(), clk: ts.clk}
	ts.byID[id] = tr
	ts.order = append(ts.order, id)
	return tr
}

// find returns the lines of a request, or none.
func (ts *traces) find(id requestID) []traceLine {
	ts.mu.Lock()
	tr := ts.byID[id]
	ts.mu.Unlock()
	if tr == nil {
		return nil
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]traceLine(nil), tr.lines...)
}

// add records a step. Above the limit, steps are dropped from the middle, so that the
// beginning and the end are kept.
func (tr *trace) add(ev event.Event, text string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.lines) >= maxTraceLines {
		tr.lines = append(tr.lines[:maxTraceLines/2], tr.lines[maxTraceLines/2+1:]...)
	}
	tr.lines = append(tr.lines, traceLine{Since: tr.clk.Now() - tr.start, Event: ev, Text: text})
}
