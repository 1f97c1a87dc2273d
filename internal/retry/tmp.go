package retry

import (
	"alderdyke/pkg/clock"
	"math/rand/v2"
)

type Policy struct{ Rand *rand.Rand }
type Attempt struct {
	Customer, Service      string
	Number                 int
	Idempotent, MayHaveRun bool
	Deadline               clock.Millis
}
type Verdict struct {
	Retry bool
	After clock.Millis
}

func (po *Policy) Decide(now clock.Millis, at Attempt) Verdict {
	if at.MayHaveRun && !at.Idempotent || at.Number > 4 {
		return Verdict{}
	}
	return Verdict{Retry: true, After: clock.Millis(po.Rand.Int64N(100 << at.Number))}
}
