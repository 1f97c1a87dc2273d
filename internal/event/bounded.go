package event

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"alderdyke/pkg/clock"
)

const (
	// DefaultBacklog is how many lines may wait to be written. The busiest second
	// of a VM writes about a hundred.
	DefaultBacklog = 4096
	// closeTimeout bounds the wait for lines to be written at the end: who reads
	// them may have stopped to, and a process that waits for that is killed.
	closeTimeout = 200 * clock.Millis(1)
	// dropReportInterval is how often dropped lines are told.
	dropReportInterval = 5 * clock.Second
)

// ErrFlushTimeout tells that lines were left when a [BoundedWriter] was closed.
var ErrFlushTimeout = errors.New("lines of the log were not taken in time")

// BoundedWriter writes lines without ever making who logs wait: lines wait in a
// queue, and those that find it full are dropped and counted. Make it with
// [NewBoundedWriter].
type BoundedWriter struct {
	lines   chan []byte
	done    chan struct{} // closed when all lines were written
	lastErr error         // the last failure to write, once done is closed
	dropped atomic.Int64
}

// NewBoundedWriter makes a writer whose queue holds so many lines; zero means
// DefaultBacklog.
func NewBoundedWriter(to io.Writer, backlog int) *BoundedWriter {
	if backlog <= 0 {
		backlog = DefaultBacklog
	}
	bo := &BoundedWriter{lines: make(chan []byte, backlog), done: make(chan struct{})}
	go bo.write(to)
	return bo
}

// WriteEntry implements [log.Writer].
func (bo *BoundedWriter) WriteEntry(en *log.Entry) (int, error) {
	line := append([]byte(nil), en.Value()...) // the entry is used again
	select {
	case bo.lines <- line:
	default:
		bo.dropped.Add(1)
	}
	return len(line), nil
}

// write writes the lines that come. One that can't be written is lost, and
// counts as dropped.
func (bo *BoundedWriter) write(to io.Writer) {
	defer close(bo.done)
	for line := range bo.lines {
		if line == nil {
			return
		}
		if _, err := to.Write(line); err != nil {
			bo.dropped.Add(1)
			bo.lastErr = fmt.Errorf("write a line of the log: %w", err)
		}
	}
}

// TakeDropped returns how many lines were dropped since it was asked last.
func (bo *BoundedWriter) TakeDropped() int64 { return bo.dropped.Swap(0) }

// ReportDropped says now and then how many lines were dropped, until the context
// ends.
func (bo *BoundedWriter) ReportDropped(ctx context.Context, lg Logger) {
	for clock.Sleep(ctx, dropReportInterval) {
		if count := bo.TakeDropped(); count > 0 {
			lg.Log(LinesDropped, F("Count", count))
		}
	}
}

// Close writes the lines that wait, as far as they are taken in time. Lines that
// come later are lost.
func (bo *BoundedWriter) Close() error {
	late := time.After(closeTimeout.Std())
	select {
	case bo.lines <- nil:
	case <-late:
		return ErrFlushTimeout
	}
	select {
	case <-bo.done:
		return bo.lastErr
	case <-late:
		return ErrFlushTimeout
	}
}
