package answer

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/refusal"
)

// collect reads the events from an ID to the final event, as "kind:data".
func collect(t *testing.T, st *Stream, from int) []string {
	t.Helper()
	rd := st.Attach(from)
	defer rd.Detach()
	var out []string
	for {
		ev, err := rd.Next(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, ev.ID, from+len(out))
		out = append(out, fmt.Sprintf("%s:%s", ev.Kind, ev.Data))
		if ev.Kind.Final() {
			return out
		}
	}
}

func TestEventsAreReadAsTheyWereAdded(t *testing.T) {
	st := NewStream()
	for _, text := range []string{"weld", "", " 7"} {
		assert.NilError(t, st.Token([]byte(text)))
	}
	assert.NilError(t, st.End([]byte("done")))
	assert.DeepEqual(t, collect(t, st, 0), []string{"Token:weld", "Token:", "Token: 7", "End:done"})
	assert.DeepEqual(t, collect(t, st, 2), []string{"Token: 7", "End:done"})
	assert.DeepEqual(t, st.Tokens(), []string{"weld", "", " 7"})
	events, final := st.Len()
	assert.Assert(t, events == 4 && final)
	last, ok := st.Last()
	assert.Assert(t, ok && last.ID == 3 && last.Kind == End)
}

func TestNothingFollowsTheEnd(t *testing.T) {
	st := NewStream()
	assert.NilError(t, st.Refuse(refusal.Refusal{Ran: refusal.NotRun}))
	assert.ErrorType(t, st.Token([]byte("late")), FinishedError{})
	assert.ErrorType(t, st.Whole([]byte("late")), FinishedError{})
	last, _ := st.Last()
	assert.Equal(t, last.Refusal.Ran, refusal.NotRun)
}

func TestAddTakesOnlyTheNextEventOfAKnownKind(t *testing.T) {
	st := NewStream()
	assert.ErrorContains(t, st.Add(Event{ID: 1, Kind: Token}), "where 0 was due")
	assert.ErrorContains(t, st.Add(Event{ID: 0, Kind: "Other"}), "unknown kind")
	assert.NilError(t, st.Add(Event{ID: 0, Kind: Token, Data: []byte("a")}))
	assert.NilError(t, st.Add(Event{ID: 1, Kind: End}))
}

// A token that a reader got must not change while later ones are appended.
func TestReadersSeeWholeTokensWhileTheStreamGrows(t *testing.T) {
	const tokens = 2000
	st := NewStream()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for ix, got := range collect(t, st, 0)[:tokens] {
				assert.Check(t, got == fmt.Sprintf("Token:%d;", ix))
			}
		})
	}
	for ix := range tokens {
		assert.NilError(t, st.Token(fmt.Appendf(nil, "%d;", ix)))
	}
	assert.NilError(t, st.End(nil))
	wg.Wait()
}

// An answer of 278 tokens must take a few objects, not some objects for each token.
func TestAnswerIsSmall(t *testing.T) {
	st := NewStream()
	for range 278 {
		assert.NilError(t, st.Token([]byte(" boiler")))
	}
	assert.NilError(t, st.End(nil))
	assert.Assert(t, st.Size() < 5<<10, "%d bytes", st.Size())
}

func TestAddOrVerifyTakesOnlyEventsOfTheAnswer(t *testing.T) {
	st := NewStream()
	assert.NilError(t, st.Token([]byte("a")))
	assert.NilError(t, st.Token([]byte("b")))
	assert.NilError(t, st.AddOrVerify(Event{ID: 0, Kind: Token, Data: []byte("a")}))
	assert.ErrorType(t, st.AddOrVerify(Event{ID: 1, Kind: Token, Data: []byte("x")}), OtherAnswerError{})
	assert.ErrorType(t, st.AddOrVerify(Event{ID: 1, Kind: End}), OtherAnswerError{})
	assert.ErrorContains(t, st.AddOrVerify(Event{ID: 3, Kind: Token}), "where 2 was due")
	assert.ErrorContains(t, st.AddOrVerify(Event{ID: -1, Kind: Token}), "where 2 was due")
	assert.NilError(t, st.AddOrVerify(Event{ID: 2, Kind: Token, Data: []byte("c")}))
	assert.NilError(t, st.AddOrVerify(Event{ID: 3, Kind: End}))
	assert.DeepEqual(t, st.Tokens(), []string{"a", "b", "c"})
}

// Guards against a reader that waits until its context ends because it asked for an
// event past the end of the answer: nothing wakes it after the final event.
func TestReaderPastTheEndGetsAnError(t *testing.T) {
	st := NewStream()
	rd := st.Attach(2)
	defer rd.Detach()
	assert.NilError(t, st.End(nil))
	_, err := rd.Next(t.Context())
	assert.ErrorIs(t, err, ErrPastEnd)
}
