// Package answer holds the answer of one request while it is made and for as
// long as its caller may come back for it.
//
// A [Stream] is a list of events that only grows and ends with exactly one
// final event: the end of a whole answer or one refusal. Any number of
// readers follow it from any point, so a caller who lost the connection goes
// on where the stream broke, and the same key asked twice gets one answer.
//
// # Usage
//
//	st := answer.NewStream()
//	st.Token([]byte("text"))
//	st.End([]byte(`{"Tokens":1}`))
//
//	rd := st.Attach(0)
//	defer rd.Detach()
//	for {
//		ev, err := rd.Next(ctx)
//		...
//	}
package answer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"alderdyke/pkg/refusal"
)

// tokenEndBytes is the size of a token's end in memory.
const tokenEndBytes = 8

// Kinds of events.
const (
	Token   Kind = "Token"   // a piece of a model's answer
	Whole   Kind = "Whole"   // final: a plain service's answer, whole
	End     Kind = "End"     // final: a model's answer is complete
	Refused Kind = "Refused" // final: there is no answer
)

// ErrPastEnd tells that the answer has its end before the event that a reader
// waits for.
var ErrPastEnd = errors.New("the answer has its end already")

type (
	// Kind of an event.
	Kind string

	// Event is one step of an answer. IDs count from 0 without gaps.
	Event struct {
		ID      int
		Kind    Kind
		Data    []byte
		Refusal refusal.Refusal // of a Refused event
	}

	// Stream is the answer of one request. Make it with NewStream.
	//
	// Tokens lie one behind the other in text, and are not kept as events:
	// an event takes some hundred bytes beside the few that it carries.
	Stream struct {
		mu         sync.Mutex
		text       []byte // grows only; what was written is never changed
		ends       []int  // of each token in text
		last       Event  // the final event
		final      bool
		watchers   int
		changed    chan struct{} // closed and replaced at every change
		onWatchers func(watchers int)
	}

	// Reader follows a stream.
	Reader struct {
		st   *Stream
		next int
		once sync.Once
	}

	// FinishedError tells that a second final event, or an event after the
	// final one, was dropped.
	FinishedError struct {
		Kind Kind
	}

	// OtherAnswerError tells that an event is of another answer than the stream's.
	OtherAnswerError struct {
		ID int // of the event
	}
)

// Error says where the answers differ.
func (oe OtherAnswerError) Error() string {
	return fmt.Sprintf("event %d is of another answer", oe.ID)
}

// Error says what was dropped.
func (fe FinishedError) Error() string {
	return fmt.Sprintf("answer already has its end; %s event dropped", fe.Kind)
}

// Final tells whether no event follows one of this kind.
func (kd Kind) Final() bool { return kd == Whole || kd == End || kd == Refused }

// NewStream makes an empty stream.
func NewStream() *Stream { return &Stream{changed: make(chan struct{})} }

// OnWatchers sets a function that is called, without locks held, whenever
// the number of attached readers changed. Set it before the stream is shared.
func (st *Stream) OnWatchers(fn func(watchers int)) { st.onWatchers = fn }

// Token adds a piece of the answer.
func (st *Stream) Token(data []byte) error { return st.add(Event{Kind: Token, Data: data}) }

// End adds the final event of a whole model answer.
func (st *Stream) End(data []byte) error { return st.add(Event{Kind: End, Data: data}) }

// Whole adds a plain service's whole answer.
func (st *Stream) Whole(data []byte) error { return st.add(Event{Kind: Whole, Data: data}) }

// Refuse adds the final event of a request without an answer.
func (st *Stream) Refuse(rf refusal.Refusal) error {
	return st.add(Event{Kind: Refused, Refusal: rf})
}

// Add appends an event that another VM made; its ID must be the next one.
func (st *Stream) Add(ev Event) error {
	st.mu.Lock()
	want := st.count()
	st.mu.Unlock()
	if ev.ID != want {
		return fmt.Errorf("answer event %d came where %d was due", ev.ID, want)
	}
	if ev.Kind != Token && !ev.Kind.Final() {
		return fmt.Errorf("answer event %d is of the unknown kind %q", ev.ID, ev.Kind)
	}
	return st.add(ev)
}

// AddOrVerify takes an event from one who tells the answer from its start. An event
// that the stream has already must be the same, else the error is an
// OtherAnswerError; the next one is added.
func (st *Stream) AddOrVerify(ev Event) error {
	if ev.ID < 0 {
		return st.Add(ev)
	}
	had, ok, _ := st.eventAt(ev.ID)
	if !ok {
		return st.Add(ev)
	}
	if had.Kind != ev.Kind || !bytes.Equal(had.Data, ev.Data) {
		return OtherAnswerError{ID: ev.ID}
	}
	return nil
}

func (st *Stream) add(ev Event) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.final {
		return FinishedError{Kind: ev.Kind}
	}
	if ev.Kind.Final() {
		ev.ID = len(st.ends)
		st.last, st.final = ev, true
		st.text, st.ends = slices.Clip(st.text), slices.Clip(st.ends)
	} else {
		st.text = append(st.text, ev.Data...)
		st.ends = append(st.ends, len(st.text))
	}
	st.notify()
	return nil
}

// count is the number of events.
func (st *Stream) count() int {
	if st.final {
		return len(st.ends) + 1
	}
	return len(st.ends)
}

// token returns one token's bytes.
func (st *Stream) token(ix int) []byte {
	begin := 0
	if ix > 0 {
		begin = st.ends[ix-1]
	}
	return st.text[begin:st.ends[ix]:st.ends[ix]]
}

func (st *Stream) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Len tells how many events the stream holds, and whether the last is final.
func (st *Stream) Len() (events int, final bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.count(), st.final
}

// Last returns the final event, if the stream has ended.
func (st *Stream) Last() (Event, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.final {
		return Event{}, false
	}
	return st.last, true
}

// Tokens returns the pieces of a model's answer so far.
func (st *Stream) Tokens() []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []string
	for ix := range st.ends {
		out = append(out, string(st.token(ix)))
	}
	return out
}

// Size returns about how many bytes of memory the events take.
func (st *Stream) Size() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return cap(st.text) + cap(st.ends)*tokenEndBytes + len(st.last.Data)
}

// Attach starts to follow the stream at the event with the given ID. Every
// reader must be detached.
func (st *Stream) Attach(from int) *Reader {
	st.addWatchers(1)
	return &Reader{st: st, next: from}
}

func (st *Stream) addWatchers(by int) {
	st.mu.Lock()
	st.watchers += by
	now := st.watchers
	st.mu.Unlock()
	if st.onWatchers != nil {
		st.onWatchers(now)
	}
}

// Detach ends the reader. More than one call does no harm.
func (rd *Reader) Detach() { rd.once.Do(func() { rd.st.addWatchers(-1) }) }

// Next waits for the next event. It returns the context's error if that ends
// first, and ErrPastEnd if the answer has ended without such an event.
func (rd *Reader) Next(ctx context.Context) (Event, error) {
	for {
		ev, ok, changed := rd.st.eventAt(rd.next)
		if ok {
			rd.next++
			return ev, nil
		}
		if events, final := rd.st.Len(); final && rd.next >= events {
			return Event{}, fmt.Errorf("wait for answer event %d: %w", rd.next, ErrPastEnd)
		}
		select {
		case <-ctx.Done():
			return Event{}, fmt.Errorf("wait for answer event %d: %w", rd.next, ctx.Err())
		case <-changed:
		}
	}
}

func (st *Stream) eventAt(ix int) (Event, bool, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case ix < len(st.ends):
		return Event{ID: ix, Kind: Token, Data: st.token(ix)}, true, nil
	case st.final && ix == len(st.ends):
		return st.last, true, nil
	}
	return Event{}, false, st.changed
}
