package event_test

import (
	"io"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"alderdyke/internal/event"
)

// stuckWriter blocks each write until it is released.
type stuckWriter struct {
	release chan struct{}
	lines   int
}

func (st *stuckWriter) Write(line []byte) (int, error) {
	<-st.release
	st.lines++
	return len(line), nil
}

// Logging never blocks on a stuck writer, and dropped lines are counted.
func TestBoundedWriterDropsWhenFull(t *testing.T) {
	const lines, backlog = 100, 10
	to := &stuckWriter{release: make(chan struct{})}
	bo := event.NewBoundedWriter(to, backlog)
	lg := event.Logger{Out: &log.Logger{Writer: bo}}
	for range lines {
		lg.Log(event.Started)
	}
	dropped := bo.TakeDropped()
	assert.Assert(t, dropped >= lines-backlog-1 && dropped <= lines-backlog, "%d", dropped)
	assert.Equal(t, bo.TakeDropped(), int64(0))
	close(to.release)
	assert.NilError(t, bo.Close())
	assert.Equal(t, to.lines, lines-int(dropped))
}

// A log that is no longer read does not delay the exit of the process.
func TestBoundedWriterCloseTimesOut(t *testing.T) {
	for _, lines := range []int{1, 100} {
		to := &stuckWriter{release: make(chan struct{})}
		bo := event.NewBoundedWriter(to, 10)
		lg := event.Logger{Out: &log.Logger{Writer: bo}}
		for range lines {
			lg.Log(event.Started)
		}
		assert.ErrorIs(t, bo.Close(), event.ErrFlushTimeout)
		close(to.release)
	}
}

// brokenWriter is a writer whose reader has closed the pipe.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Lines that can't be written are counted, and Close returns the cause.
func TestBoundedWriterCountsFailedWrites(t *testing.T) {
	bo := event.NewBoundedWriter(brokenWriter{}, 0)
	lg := event.Logger{Out: &log.Logger{Writer: bo}}
	for range 3 {
		lg.Log(event.Started)
	}
	assert.ErrorIs(t, bo.Close(), io.ErrClosedPipe)
	assert.Equal(t, bo.TakeDropped(), int64(3))
}
