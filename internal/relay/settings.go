package relay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/retry"
	"alderdyke/pkg/clock"
)

// What the zero value of a field of [Settings] stands for.
const (
	// DefaultWaitFraction of its route's objective is how long a new request waits
	// for a place: a refusal is of most use to its caller within a quarter of
	// it, and the rest is for the way.
	DefaultWaitFraction = 0.2
	// DefaultPlaceWait is how long it waits where the route names no objective.
	DefaultPlaceWait = 180 * clock.Millis(1)
	// DefaultStartTime is left of the callers' patience to a request that was
	// refused before and gets a place at the last moment: a prefill takes up
	// to half a second.
	DefaultStartTime = 800 * clock.Millis(1)
	// DefaultAttemptFraction of its route's objective is how long one attempt of
	// an idempotent request may take while another may follow: a server that
	// hangs must not use up the request's time, and the slowest of sound ones
	// are done in three quarters of it.
	DefaultAttemptFraction = 2.5
	// DefaultRetryAfter is when a refused caller is to come back: bursts last 4 to
	// 5 s.
	DefaultRetryAfter = 3 * clock.Second
	// DefaultPollInterval is how often a waiting request asks for a place although
	// nothing is known to have become free: other VMs' runs end unseen.
	DefaultPollInterval = 80 * clock.Millis(1)
	// DefaultStartRetryAfter is when to come back to a VM that still learns its
	// configuration: it asks the store each second, and callers come back once.
	DefaultStartRetryAfter = 2 * clock.Second
	// DefaultPlainRetryAfter is when to come back after a plain service had no room.
	DefaultPlainRetryAfter = 50 * clock.Millis(1)
	// DefaultStopGenerate is how long after a planned stop began generations
	// are still taken: they run for 4 s in the mean and up to 8 s, and the
	// process has 8 s.
	DefaultStopGenerate = 1500 * clock.Millis(1)
	// DefaultStopAccept is the same for other requests: callers keep an
	// address for 4.5 s at most.
	DefaultStopAccept = 4600 * clock.Millis(1)
	// DefaultStopRetryAfter is when a caller may come back who was turned away by a
	// VM that leaves: at once, for it then picks another.
	DefaultStopRetryAfter = 10 * clock.Millis(1)
	// DefaultHintFactor sizes a reservation where the other VMs' runs are not
	// known: twice the hint covers nine in ten generations where the hint's
	// spread is a half.
	DefaultHintFactor = 2.0
	// DefaultReserveTokens is what a reservation holds beyond the prompt: the
	// tokens of the run's first 200 ms, within which the other VMs' choices
	// are known.
	DefaultReserveTokens = 300
	// DefaultMemoryFill is the part of an engine's memory that its runs may come to
	// need. The ledger has a margin on their growth; the rest is for what is
	// counted late: two prompts at most that VMs placed in the same moment.
	DefaultMemoryFill = 0.97
	// DefaultMoveAfter is how long after the notice a run stays at an engine
	// that leaves: two seconds pass until it may go, and most runs end first.
	DefaultMoveAfter = 500 * clock.Millis(1)
	// DefaultFailures ejects a backend server of a plain service.
	DefaultFailures = 3
	// DefaultEject is the first ejection.
	DefaultEject = 2 * clock.Second
	// DefaultRetryWindow is the span for which the fleet's slack of retries is given.
	DefaultRetryWindow = 10 * clock.Second
	// DefaultSlowStart is short: plain services here run at a tenth of their
	// room.
	DefaultSlowStart = 2 * clock.Second
)

// latencies are the buckets of the time that requests took.
var latencies = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// Settings of a Relay. A zero field stands for its default.
type Settings struct {
	WaitFraction    float64      // of the objective that a new request waits for a place
	PlaceWait       clock.Millis // the same where the route names no objective
	StartTime       clock.Millis // left of the callers' patience when a returning request stops to wait
	AttemptFraction float64      // of the objective that one attempt of an idempotent request may take
	RetryAfter      clock.Millis // told to a refused caller; a quarter more or less by chance
	PollInterval    clock.Millis // between two asks for a place
	StartRetryAfter clock.Millis // told while no configuration is known
	StopGenerate    clock.Millis // from the begin of a planned stop, until generations are turned away
	StopAccept      clock.Millis // the same for all requests
	StopRetryAfter  clock.Millis // told to who is turned away
	PlainRetryAfter clock.Millis // told by a plain service without room
	HintFactor      float64      // of the hint that is reserved while other VMs' runs are not known
	ReserveTokens   int          // tokens reserved beyond the prompt while they are
	MemoryFill      float64      // of an engine's memory that its runs may come to need
	MoveAfter       clock.Millis // from an engine's notice to the move of its runs
	Failures        int          // in a row that eject a backend server
	Eject           clock.Millis // first ejection
	SlowStart       clock.Millis // of a backend server that returned
	Budget          retry.Settings
	RetrySlack      float64      // retries of the whole fleet in a RetryWindow beyond the budget's ratio; zero: the budget's own burst
	RetryWindow     clock.Millis // in which the RetrySlack may be spent
}

func (st Settings) withDefaults() Settings {
	st.WaitFraction = orDefault(st.WaitFraction, DefaultWaitFraction)
	st.PlaceWait = orDefault(st.PlaceWait, DefaultPlaceWait)
	st.StartTime = orDefault(st.StartTime, DefaultStartTime)
	st.AttemptFraction = orDefault(st.AttemptFraction, DefaultAttemptFraction)
	st.RetryAfter = orDefault(st.RetryAfter, DefaultRetryAfter)
	st.PollInterval = orDefault(st.PollInterval, DefaultPollInterval)
	st.StartRetryAfter = orDefault(st.StartRetryAfter, DefaultStartRetryAfter)
	st.StopGenerate = orDefault(st.StopGenerate, DefaultStopGenerate)
	st.StopAccept = orDefault(st.StopAccept, DefaultStopAccept)
	st.StopRetryAfter = orDefault(st.StopRetryAfter, DefaultStopRetryAfter)
	st.PlainRetryAfter = orDefault(st.PlainRetryAfter, DefaultPlainRetryAfter)
	st.HintFactor = orDefault(st.HintFactor, DefaultHintFactor)
	st.ReserveTokens = orDefault(st.ReserveTokens, DefaultReserveTokens)
	st.MemoryFill = orDefault(st.MemoryFill, DefaultMemoryFill)
	st.MoveAfter = orDefault(st.MoveAfter, DefaultMoveAfter)
	st.Failures = orDefault(st.Failures, DefaultFailures)
	st.Eject = orDefault(st.Eject, DefaultEject)
	st.RetryWindow = orDefault(st.RetryWindow, DefaultRetryWindow)
	st.SlowStart = orDefault(st.SlowStart, DefaultSlowStart)
	return st
}

func orDefault[T int | float64 | clock.Millis](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
