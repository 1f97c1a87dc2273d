package usage

import "alderdyke/pkg/clock"

// demandLife is how long what another VM told of the demand counts: about as
// long as the generations that it is known from.
const demandLife = 30 * clock.Second

type (
	// Demand is the time that a generation keeps engines busy, in the mean of
	// those of late. The zero value is not known.
	Demand struct {
		Prefill float64 // milliseconds of a whole prefill engine
		Decode  float64 // milliseconds of a decode engine, by the part of its memory that the run takes
		Seen    float64 // generations that it is known from, older ones counting less
	}

	// demandWord is what another VM told.
	demandWord struct {
		at       clock.Millis
		services map[string]Demand
	}
)

// heardDemand takes what another VM told of the demand, if it told any.
func (le *Ledger) heardDemand(now clock.Millis, vm string, services map[string]Demand) {
	if len(services) == 0 {
		return
	}
	if le.demands == nil {
		le.demands = make(map[string]demandWord)
	}
	le.demands[vm] = demandWord{at: now, services: services}
}

// Demand joins what this VM observed of a service with what the others told.
func (le *Ledger) Demand(now clock.Millis, service string, own Demand) Demand {
	sum := Demand{Prefill: own.Seen * own.Prefill, Decode: own.Seen * own.Decode, Seen: own.Seen}
	for vm, wd := range le.demands {
		if now-wd.at >= demandLife {
			delete(le.demands, vm)
			continue
		}
		dm := wd.services[service]
		sum.Prefill += dm.Seen * dm.Prefill
		sum.Decode += dm.Seen * dm.Decode
		sum.Seen += dm.Seen
	}
	if sum.Seen == 0 {
		return Demand{}
	}
	return Demand{Prefill: sum.Prefill / sum.Seen, Decode: sum.Decode / sum.Seen, Seen: sum.Seen}
}
