// Package answer holds the answer of one request while it is produced and for as long
// as its caller may come back to read it.
//
// A [Stream] is an append-only list of events that ends with exactly one final event:
// the end of a complete answer, or one refusal. Any number of readers can follow it
// from any event, so a caller that lost its connection resumes where the stream
// broke, and repeating a key returns the same answer.
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

// tokenEndBytes is the memory that the end offset of one token takes.
const tokenEndBytes = 8

// Kinds of events.
const (
	Token   Kind = "Token"   // a piece of a model's answer
	Whole   Kind = "Whole"   // final: the complete answer of a plain service
	End     Kind = "End"     // final: a model's answer is complete
	Refused Kind = "Refused" // final: the request has no answer
)

// ErrPastEnd reports that the answer ended before the event that a reader waits for.
var ErrPastEnd = errors.New("the answer has already ended")

type (
	// Kind of an event.
	Kind string

	// Event is one event of an answer. IDs count up from 0 without gaps.
	Event struct {
		ID      int
		Kind    Kind
		Data    []byte
		Refusal refusal.Refusal // of a Refused event
	}

	// Stream is the answer of one request. Create it with NewStream.
	//
	// Tokens are stored back to back in text rather than as events, because an
	// event takes some hundred bytes in addition to the few bytes of its token.
	Stream struct {
		mu         sync.Mutex
		text       []byte        // append-only; bytes that were written are never changed
		ends       []int         // end offset in text of each token
		last       Event         // the final event
		final      bool          // last is set, and nothing follows
		watchers   int           // readers that are attached
		changed    chan struct{} // closed and replaced at every change
		onWatchers func(watchers int)
	}

	// Reader follows a stream.
	Reader struct {
		st   *Stream
		next int
		once sync.Once
	}

	// FinishedError reports that an event after the final one was dropped. That
	// includes a second final event.
	FinishedError struct {
		Kind Kind
	}

	// OtherAnswerError reports that an event belongs to another answer than the
	// stream's.
	OtherAnswerError struct {
		ID int // of the event
	}
)

// Error names the first event that differs.
func (oe OtherAnswerError) Error() string {
	return fmt.Sprintf("event %d belongs to another answer", oe.ID)
}

// Error names the kind of the dropped event.
func (fe FinishedError) Error() string {
	return fmt.Sprintf("the answer has already ended: %s event dropped", fe.Kind)
}

// Final reports whether an event of this kind ends an answer.
func (kd Kind) Final() bool { return kd == Whole || kd == End || kd == Refused }

// NewStream makes an empty stream.
func NewStream() *Stream { return &Stream{changed: make(chan struct{})} }

// OnWatchers sets a function that is called, with no lock held, whenever the number
// of attached readers changes. It must be set before the stream is shared.
func (st *Stream) OnWatchers(fn func(watchers int)) { st.onWatchers = fn }

// Token appends a token of a model's answer.
func (st *Stream) Token(data []byte) error { return st.add(Event{Kind: Token, Data: data}) }

// End appends the final event of a complete model answer.
func (st *Stream) End(data []byte) error { return st.add(Event{Kind: End, Data: data}) }

// Whole appends the complete answer of a plain service, which is final.
func (st *Stream) Whole(data []byte) error { return st.add(Event{Kind: Whole, Data: data}) }

// Refuse appends the final event of a request that has no answer.
func (st *Stream) Refuse(rf refusal.Refusal) error {
	return st.add(Event{Kind: Refused, Refusal: rf})
}

// Add appends an event that another VM produced. Its ID must be the next one.
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

// AddOrVerify takes an event from a source that replays the answer from its start. An
// event that the stream already has must be identical, otherwise the error is an
// OtherAnswerError. The next event is appended.
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

// count returns the number of events. The lock is held.
func (st *Stream) count() int {
	if st.final {
		return len(st.ends) + 1
	}
	return len(st.ends)
}

// token returns the bytes of one token. The lock is held.
func (st *Stream) token(ix int) []byte {
	begin := 0
	if ix > 0 {
		begin = st.ends[ix-1]
	}
	return st.text[begin:st.ends[ix]:st.ends[ix]]
}

// notify wakes all readers that wait for an event. The lock is held.
func (st *Stream) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Len returns the number of events and whether the last one is final.
func (st *Stream) Len() (events int, final bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.count(), st.final
}

// Watchers returns the number of attached readers.
func (st *Stream) Watchers() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.watchers
}

// Last returns the final event, and whether the stream has ended.
func (st *Stream) Last() (Event, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.final {
		return Event{}, false
	}
	return st.last, true
}

// Tokens returns the tokens that the stream holds so far.
func (st *Stream) Tokens() []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []string
	for ix := range st.ends {
		out = append(out, string(st.token(ix)))
	}
	return out
}

// TextBytes returns the bytes of the tokens.
func (st *Stream) TextBytes() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.text)
}

// Size returns the approximate memory that the events take, in bytes.
func (st *Stream) Size() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return cap(st.text) + cap(st.ends)*tokenEndBytes + len(st.last.Data)
}

// Attach returns a reader that starts at the event with the given ID. Every reader
// must be detached.
func (st *Stream) Attach(from int) *Reader {
	st.addWatchers(1)
	return &Reader{st: st, next: from}
}

// addWatchers changes the number of attached readers and reports it to OnWatchers.
func (st *Stream) addWatchers(by int) {
	st.mu.Lock()
	st.watchers += by
	now := st.watchers
	st.mu.Unlock()
	if st.onWatchers != nil {
		st.onWatchers(now)
	}
}

// Detach ends the reader. Further calls have no effect.
func (rd *Reader) Detach() { rd.once.Do(func() { rd.st.addWatchers(-1) }) }

// Next waits for the next event. It returns the context's error if the context ends
// first, and ErrPastEnd if the answer has ended before that event.
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

// eventAt returns the event with an ID and whether the stream has it. If not, the
// channel is closed at the next change.
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
