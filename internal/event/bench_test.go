package event_test

import (
	"io"
	"testing"

	"github.com/phuslu/log"

	"alderdyke/internal/event"
)

// BenchmarkLine measures the cost of one log line of a request, with a writer
// that never blocks.
func BenchmarkLine(b *testing.B) {
	out := event.NewBoundedWriter(log.IOWriter{Writer: io.Discard}, event.DefaultBacklog)
	defer out.Close()
	lg := event.Logger{Out: &log.Logger{Writer: out}, VM: "vm-1"}
	for b.Loop() {
		lg.Log(event.RelayAttempt, event.F("Request", "9c41d07be2a35f68"), event.F("Server", "i-7f3a91c2"), event.F("Service", "feltapp"),
			event.F("Took", "13ms"), event.F("Status", 200), event.F("Error", ""))
	}
}
