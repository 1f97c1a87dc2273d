package entry

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/refusal"
)

// An answer from another VM may have an event that does not follow the previous one. That
// event is dropped and no more are read, so the answer must get an end, or its caller
// waits for as long as its connection lasts.
func TestFoundAnswerEndsAfterInvalidEvent(t *testing.T) {
	for _, tc := range []struct {
		name string
		ev   *peerpb.AnswerEvent
	}{
		{"a missing event", &peerpb.AnswerEvent{ID: 2, Kind: string(answer.Token)}},
		{"a repeated event", &peerpb.AnswerEvent{ID: 0, Kind: string(answer.Token)}},
		{"the end of a longer answer", &peerpb.AnswerEvent{ID: 5, Kind: string(answer.End)}},
		{"an unknown kind", &peerpb.AnswerEvent{ID: 1, Kind: "Other"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := newPipe()
				fd := &finder{cn: near, st: answer.NewStream()}
				go fd.feed()
				rd := fd.st.Attach(0)
				defer rd.Detach()
				first := eventToWire(answer.Event{Kind: answer.Token, Data: []byte("a")})
				for _, ae := range []*peerpb.AnswerEvent{first, tc.ev} {
					assert.NilError(t, far.Send(&peerpb.Frame{Body: &peerpb.Frame_AnswerEvent{AnswerEvent: ae}}))
				}
				_, err := rd.Next(t.Context())
				assert.NilError(t, err)
				synctest.Wait()
				last, final := fd.st.Last()
				assert.Assert(t, final, "the answer has no end")
				assert.Equal(t, last.Refusal.Ran, refusal.MayHaveRun)
			})
		})
	}
}
