package register

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/logsvc"
	standin "alderdyke/internal/standin/logsvc"
	"alderdyke/pkg/clock"
)

// logFollower executes a Follower's intents one after another against a log service.
type logFollower struct {
	fo              *Follower
	cl              *logsvc.Client
	now             clock.Millis
	todo            []Intent
	verdicts        []Verdict
	activeTemplates *board.Templates
}

func (wd *logFollower) step(ev Event) {
	wd.now++
	wd.todo = append(wd.todo, wd.fo.Step(wd.now, ev)...)
}

// runIntents executes up to the given number of intents, or until done returns true.
func (wd *logFollower) runIntents(intents int, done func() bool) {
	ctx := context.Background()
	for ; intents > 0 && len(wd.todo) > 0 && !done(); intents-- {
		in := wd.todo[0]
		wd.todo = wd.todo[1:]
		switch in := in.(type) {
		case ReadLog:
			ba, err := wd.cl.Read(ctx, "configuration", in.From, in.Max, 1)
			wd.step(Read{Batch: ba, Err: err})
		case Append:
			offset, err := wd.cl.Append(ctx, "configuration", in.Data)
			wd.step(Appended{ID: in.ID, Offset: offset, Err: err})
		case Verdict:
			wd.verdicts = append(wd.verdicts, in)
		case TemplatesChanged:
			wd.activeTemplates = in.Templates
		}
	}
}

// TestFollowerWithLogService publishes over HTTP while the reply is lost, and checks that
// a second VM reads the result.
func TestFollowerWithLogService(tt *testing.T) {
	srv := &standin.Server{Token: "secret"}
	ts := httptest.NewServer(srv)
	defer ts.Close()
	srv.Set(standin.Faults{LoseReplies: 1})
	join := func(id string) *logFollower {
		wd := &logFollower{
			fo: &Follower{
				Self: board.VMRef{ID: id}, Rand: rand.New(rand.NewPCG(1, 1)), Settings: Settings{Content: Templates},
			},
			cl: &logsvc.Client{URL: ts.URL, Token: srv.Token},
		}
		wd.step(Tick{})
		wd.runIntents(100, wd.fo.Ready)
		return wd
	}
	first := join("vm0")
	first.step(publishRequest("p1", 0))
	first.runIntents(100, func() bool { return len(first.verdicts) > 0 })
	assert.DeepEqual(tt, first.verdicts, []Verdict{{ID: "p1", Result: Published, Revision: 1, Current: 1}})
	assert.Equal(tt, srv.Counts().LostReplies, 1)

	second := join("vm1")
	second.runIntents(10, func() bool { return second.activeTemplates != nil && second.activeTemplates.Ready })
	assert.Assert(tt, second.activeTemplates != nil)
	assert.DeepEqual(tt, second.activeTemplates.ByCustomer["kedelsyn"],
		board.ActiveTemplate{Template: *sample("kedelsyn", "p1"), Revision: 1})
}
