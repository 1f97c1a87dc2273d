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
	// DefaultBacklog is the default queue length in lines. A VM writes about a
	// hundred lines in its busiest second.
	DefaultBacklog = 4096
	// closeTimeout bounds how long Close waits for queued lines to be written. The
	// reader of the log may have stopped reading, and a process that waits for it
	// is killed.
	closeTimeout = 200 * clock.Millis(1)
	// dropReportInterval is the interval at which dropped lines are reported.
	dropReportInterval = 5 * clock.Second
)

// ErrFlushTimeout is returned by [BoundedWriter.Close] if queued lines could not
// be written in time.
var ErrFlushTimeout = errors.New("queued log lines were not written in time")

// BoundedWriter writes log lines asynchronously and never blocks the caller. Lines
// wait in a bounded queue; lines that do not fit are dropped and counted. Create it
// with [NewBoundedWriter].
type BoundedWriter struct {
	lines   chan []byte
	done    chan struct{} // closed when all queued lines were written
	lastErr error         // of the last failed write; may be read once done is closed
	dropped atomic.Int64
}

// NewBoundedWriter returns a writer to the given one, with a queue of backlog
// lines. Zero means DefaultBacklog.
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
	line := append([]byte(nil), en.Value()...) // copied because the logger reuses the entry
	select {
	case bo.lines <- line:
	default:
		bo.dropped.Add(1)
	}
	return len(line), nil
}

// write writes the queued lines. A line whose write fails is lost and counted as
// dropped.
func (bo *BoundedWriter) write(to io.Writer) {
	defer close(bo.done)
	for line := range bo.lines {
		if line == nil {
			return
		}
		if _, err := to.Write(line); err != nil {
			bo.dropped.Add(1)
			bo.lastErr = fmt.Errorf("write a log line: %w", err)
		}
	}
}

// TakeDropped returns the number of lines dropped since its last call.
func (bo *BoundedWriter) TakeDropped() int64 { return bo.dropped.Swap(0) }

// ReportDropped periodically logs the number of dropped lines until the context
// ends.
func (bo *BoundedWriter) ReportDropped(ctx context.Context, lg Logger) {
	for clock.Sleep(ctx, dropReportInterval) {
		if count := bo.TakeDropped(); count > 0 {
			lg.Log(LinesDropped, F("Count", count))
		}
	}
}

// Close flushes the queued lines for a limited time. Lines that are logged later
// are lost.
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
