package usage

import (
	"slices"

	"alderdyke/pkg/clock"
)

type (
	// peaks holds the evaluated need of each engine. Choosing an engine asks for each
	// of them several times: whether any has room, in which order, and with how many
	// further runs. The zero value is empty.
	peaks struct {
		changes int // of the ledger
		needs   map[string]*engineNeed
	}

	// engineNeed is the need of an engine at one time for one state of the ledger.
	engineNeed struct {
		need
		at      clock.Millis
		changes int // when its runs were listed; zero: they were not
	}
)

// clear makes the runs of all engines be listed again, because runs have changed.
func (pk *peaks) clear() { pk.changes++ }

// needAt returns the need of an engine. What was evaluated of it is kept while its runs stay
// the same.
func (le *Ledger) needAt(now clock.Millis, engine string) *need {
	en := le.peaks.needs[engine]
	if en == nil {
		if le.peaks.needs == nil {
			le.peaks.needs = make(map[string]*engineNeed)
		}
		en = &engineNeed{}
		le.peaks.needs[engine] = en
	}
	deviations := le.Deviations()
	if en.changes == le.peaks.changes+1 && en.at == now && en.deviations == deviations {
		return &en.need
	}
	le.scratch = le.appendRuns(le.scratch[:0], now, engine, le.speed)
	// The list is in the order of maps, on which neither the median of an even number of runs
	// nor the rounding of the sums may depend: the same state gives the same need.
	slices.SortFunc(le.scratch, compareRests)
	if relative := growthDeviations * le.lengths.spread(); relative != en.relative || deviations != en.deviations || !slices.Equal(le.scratch, en.list) {
		en.reset(le.scratch, relative, deviations)
	}
	en.at, en.changes = now, le.peaks.changes+1
	return &en.need
}
