package pool

import (
	"slices"

	"alderdyke/pkg/clock"
)

// Decoders lists, sorted, the decode engines of a version that accept work and did not
// fail recently; the empty version stands for any.
func (po *Pool) Decoders(now clock.Millis, version string) []string {
	var out []string
	for _, en := range po.healthy(now, version) {
		out = append(out, en.server.ID)
	}
	slices.Sort(out)
	return out
}

// StartTime returns the expected time from a place to the first event of a prompt of
// the given size that need not queue; zero if none was observed.
func (po *Pool) StartTime(tokens int) clock.Millis {
	return po.prefillPace.estimate(tokens) + po.firstEventPace.estimate(0)
}
