package balance

import (
	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"math/rand/v2"
	"slices"
)

type Chooser struct {
	Rand *rand.Rand
	bk   *board.Backends
}
type Ask struct {
	Service, Customer string
	Share             float64
	Exclude           []string
}
type Outcome int

const (
	Succeeded Outcome = iota
	Failed
	Declined
	Unused
)

func (ch *Chooser) Update(_ clock.Millis, bk *board.Backends)                 { ch.bk = bk }
func (ch *Chooser) Done(_ clock.Millis, server, customer string, out Outcome) {}
func (ch *Chooser) Pick(_ clock.Millis, as Ask) (string, error) {
	if ch.bk != nil {
		var fit []string
		for _, s := range ch.bk.OfService(as.Service) {
			if !slices.Contains(as.Exclude, s.ID) {
				fit = append(fit, s.ID)
			}
		}
		if len(fit) > 0 {
			return fit[ch.Rand.IntN(len(fit))], nil
		}
	}
	return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.NoBackend, RetryAfter: 1000}
}
