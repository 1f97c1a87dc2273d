package memory

import (
	"time"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/event"
)

// Values of the tag Reason of refusals for lack of memory.
const (
	ReasonBody    = "Body"    // its body was being read
	ReasonWaiting = "Waiting" // its body was complete, and it was not sent to a server yet
)

// logInterval limits the log lines on the lack of memory.
const logInterval = 10 * time.Second

// Recorder reports what a budget holds and which requests were refused for lack of memory. A
// nil Recorder reports nothing.
type Recorder struct {
	budget  *Budget
	scope   tally.Scope
	log     event.Logger
	refused *event.Throttle
}

// NewRecorder returns a recorder of a budget, which may be nil.
func NewRecorder(bg *Budget, lg event.Logger, scope tally.Scope) *Recorder {
	return &Recorder{budget: bg, scope: scope, log: lg, refused: event.NewThrottle(logInterval)}
}

// Report updates the gauge of the bytes that are held.
func (rc *Recorder) Report() {
	if rc == nil || rc.budget == nil {
		return
	}
	now, _ := rc.budget.Held()
	rc.scope.Gauge("Held").Update(float64(now))
}

// Count counts a refusal without a log line.
func (rc *Recorder) Count(reason string) {
	if rc != nil {
		rc.scope.Tagged(map[string]string{"Reason": reason}).Counter("Refused").Inc(1)
	}
}

// Refused counts a refusal for lack of memory, and logs the first and then one line in each
// interval.
func (rc *Recorder) Refused(reason string) {
	if rc == nil {
		return
	}
	rc.Count(reason)
	if refused, due := rc.refused.Count(); due {
		now, _ := rc.budget.Held()
		rc.log.Log(event.MemoryShort, event.F("Held", now), event.F("Limit", rc.budget.Limit()), event.F("Refused", refused))
	}
}
