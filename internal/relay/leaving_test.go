package relay_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// A server's own announcement that it leaves has the same effect as its entry: it
// gets nothing new, its runs move, and no later list revokes the announcement.
func TestServerThatAnnouncesItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		moveOnce(sv, eventOne, eventTwo)
		time.AfterFunc(200*time.Millisecond, func() { rl.MarkDraining(sv.sentTo()[0]) })
		rec, err := serve(t.Context(), rl, "draft")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), eventOne+eventTwo)
		left := sv.sentTo()[0]
		for range 10 {
			rl.SetBackends(rl.Clock.Now(), allServers)
			_, err := serve(t.Context(), rl, "draft")
			assert.NilError(t, err)
		}
		assert.Equal(t, slices.Index(sv.sentTo()[1:], left), -1)
	})
}

// Only the incarnation that announced it leaves, and the announcement expires: an
// entry that remains for more than ten minutes belongs to a server that stays.
func TestDrainingMarkIsOfOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, _ := newRig(t)
		rl.SetBackends(rl.Clock.Now(), restarted())
		leaves := func(id string) bool {
			bs, ok := rl.Backends().Server(id)
			assert.Assert(t, ok, id)
			return bs.Leaving
		}
		rl.MarkDraining("p1")
		rl.MarkDraining("nobody")
		assert.Assert(t, leaves("p1") && !leaves("p2"))
		rl.SetBackends(rl.Clock.Now(), restarted("p1"))
		assert.Assert(t, !leaves("p1.2"))
		time.Sleep((10 * clock.Minute).Std())
		rl.SetBackends(rl.Clock.Now(), restarted())
		assert.Assert(t, !leaves("p1"))
	})
}
