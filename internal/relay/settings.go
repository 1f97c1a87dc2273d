package relay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/retry"
	"alderdyke/pkg/clock"
)

// Defaults of the fields of [Settings].
const (
	// DefaultWaitFraction is the fraction of its route's objective that a new request
	// waits for a place: a refusal is most useful to its caller within a quarter of
	// the objective, and the rest is for the network.
	DefaultWaitFraction = 0.2
	// DefaultPlaceWait is how long a new request waits for a place if its route has no
	// objective.
	DefaultPlaceWait = 180 * clock.Millis(1)
	// DefaultStartTime is the part of the callers' patience that remains for a
	// request that was refused before and gets a place at the last moment: a prefill
	// takes up to half a second.
	DefaultStartTime = 800 * clock.Millis(1)
	// DefaultAttemptFraction is the multiple of its route's objective that one
	// attempt of an idempotent request may take while another attempt may follow: a
	// server that hangs must not use up the request's time, and the slowest attempts
	// at healthy servers take three quarters of it.
	DefaultAttemptFraction = 2.5
	// DefaultRetryAfter is when a refused caller may retry: bursts last 4 to 5 s.
	DefaultRetryAfter = 3 * clock.Second
	// DefaultPollInterval is how often a waiting request asks for a place although
	// none is known to have become free: other VMs' runs end unobserved.
	DefaultPollInterval = 80 * clock.Millis(1)
	// DefaultStartRetryAfter is when a caller may retry at a VM that is still loading
	// its configuration: the VM polls the store every second, and callers retry once.
	DefaultStartRetryAfter = 2 * clock.Second
	// DefaultPlainRetryAfter is when a caller may retry after a plain service had no
	// room.
	DefaultPlainRetryAfter = 50 * clock.Millis(1)
	// DefaultStopGenerate is how long after the start of a planned stop generations
	// are still accepted: they run for 4 s on average and up to 8 s, and the process
	// has 8 s.
	DefaultStopGenerate = 1500 * clock.Millis(1)
	// DefaultStopAccept is how long after the start of a planned stop all other
	// requests are still accepted if they can end in time: callers keep an address for
	// 4.5 s at most.
	DefaultStopAccept = 4600 * clock.Millis(1)
	// DefaultStopRetryAfter is when a caller that a leaving VM refused may retry:
	// immediately, because it then picks another VM.
	DefaultStopRetryAfter = 10 * clock.Millis(1)
	// DefaultHintFactor sizes a reservation if the other VMs' runs are not known:
	// twice the hint covers nine in ten generations if the hint's spread is one half.
	DefaultHintFactor = 2.0
	// DefaultReserveTokens is what a reservation holds beyond the prompt: the tokens
	// of the run's first 200 ms, within which the other VMs' choices become known.
	DefaultReserveTokens = 300
	// DefaultMemoryFill is the fraction of an engine's memory that its runs may come
	// to need. The ledger has a margin for their growth; the rest is for what is
	// counted late: at most two prompts that VMs placed at the same moment.
	DefaultMemoryFill = 0.97
	// DefaultMoveAfter is how long after its notice a run stays at a leaving engine:
	// the engine exits after two seconds at the earliest, and most runs end before
	// that.
	DefaultMoveAfter = 500 * clock.Millis(1)
	// DefaultFailures is the number of consecutive failures that eject a backend
	// server of a plain service.
	DefaultFailures = 3
	// DefaultEject is the duration of the first ejection.
	DefaultEject = 2 * clock.Second
	// DefaultRetryWindow is the period for which the fleet's retry allowance is
	// defined.
	DefaultRetryWindow = 10 * clock.Second
	// DefaultSlowStart is short because plain services use a tenth of their capacity.
	DefaultSlowStart = 2 * clock.Second
)

// latencies are the histogram buckets of request durations.
var latencies = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// Settings of a Relay. A zero field stands for its default.
type Settings struct {
	WaitFraction    float64      // of the objective, for which a new request waits for a place
	PlaceWait       clock.Millis // the same if the route has no objective
	StartTime       clock.Millis // left of the callers' patience when a returning request stops waiting
	AttemptFraction float64      // of the objective that one attempt of an idempotent request may take
	RetryAfter      clock.Millis // sent to a refused caller; randomized by a quarter
	PollInterval    clock.Millis // between two place requests of a waiting request
	StartRetryAfter clock.Millis // sent while no configuration is known
	StopGenerate    clock.Millis // from the start of a planned stop until generations are refused
	StopAccept      clock.Millis // the same for all requests
	StopTime        clock.Millis // from the start of a planned stop until the process exits; zero: until no request is open
	StopRetryAfter  clock.Millis // sent to callers that are refused during a planned stop
	PlainRetryAfter clock.Millis // sent if a plain service has no room
	HintFactor      float64      // multiple of the hint that is reserved while other VMs' runs are not known
	ReserveTokens   int          // reserved beyond the prompt while they are known
	MemoryFill      float64      // fraction of an engine's memory that its runs may come to need
	MoveAfter       clock.Millis // from an engine's notice to the move of its runs
	Failures        int          // consecutive failures that eject a backend server
	Eject           clock.Millis // duration of the first ejection
	SlowStart       clock.Millis // of a backend server that was readmitted
	Rebalance       Rebalancing  // whether runs move from engines that fill up
	Budget          retry.Settings
	RetrySlack      float64      // retries of the whole fleet in a RetryWindow beyond the budget's ratio; zero: the budget's own burst
	RetryWindow     clock.Millis // period in which the RetrySlack may be spent
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
