package event_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/event"
)

func TestThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := event.NewThrottle(10 * time.Second)
		for _, want := range []int64{1, 0, 0} {
			count, due := th.Count()
			assert.Equal(t, count, want)
			assert.Equal(t, due, want > 0)
		}
		time.Sleep(10 * time.Second)
		count, due := th.Count()
		assert.Assert(t, due && count == 3)
	})
}
