package relay

import (
	"maps"

	"alderdyke/internal/board"
	"alderdyke/internal/pool"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// missingReportFactor is the age of a VM's report, in periods, after which one is
	// missing. The excess is for its delivery. The engine ends the runs of a lost VM at
	// once, and a stream that broke waits 1.2 s for a place: three periods of a small fleet.
	missingReportFactor = 1.25
	// beyondSlotsTTL is how long a scheduler remembers that it sent a request to an engine
	// beyond its counted slots. A request asks again within 200 ms.
	beyondSlotsTTL = 500 * clock.Millis(1)
)

type (
	// aliveVMs is the list of living VMs at one time, without suspected ones.
	aliveVMs struct {
		until clock.Millis // when it is renewed
		vms   map[string]struct{}
	}

	// beyondSlots states that a request was sent to engines beyond their counted slots.
	beyondSlots struct {
		at      clock.Millis
		engines []string
	}
)

// certainRunsAt returns a function for the number of runs at an engine, without those of
// VMs that membership suspects or of which a report is missing. The lock is held.
func (rl *Relay) certainRunsAt(now clock.Millis) func(id string) int {
	return func(id string) int {
		alive := rl.aliveVMs(now)
		missingAfter := clock.Millis(missingReportFactor * float64(reportPeriodOf(len(alive))))
		return rl.ledger.CertainRunCount(now, id, func(vm string, age clock.Millis) bool {
			_, isAlive := alive[vm]
			return !isAlive && rl.OtherVMs != nil || age > missingAfter
		})
	}
}

// aliveVMs returns the VMs that membership lists as alive, as of at most syncCacheTime
// ago: listing them takes longer than choosing an engine. The lock is held.
func (rl *Relay) aliveVMs(now clock.Millis) map[string]struct{} {
	if rl.OtherVMs == nil || now < rl.alive.until {
		return rl.alive.vms
	}
	ids, _ := rl.OtherVMs()
	rl.alive = aliveVMs{until: now + syncCacheTime, vms: make(map[string]struct{}, len(ids))}
	for _, id := range ids {
		rl.alive.vms[id] = struct{}{}
	}
	return rl.alive.vms
}

// noteBeyondSlots records to which engines a request is sent beyond their counted slots.
// The lock is held.
func (rl *Relay) noteBeyondSlots(now clock.Millis, pn *plan, turn usage.Turn, list []board.BackendServer) {
	var engines []string
	for _, bs := range list {
		if bs.Slots > 0 && rl.ledger.RunCount(now, bs.ID) >= bs.Slots {
			engines = append(engines, bs.ID)
		}
	}
	if engines == nil {
		return
	}
	maps.DeleteFunc(pn.beyond, func(_ usage.Turn, sent beyondSlots) bool { return now-sent.at >= beyondSlotsTTL })
	pn.beyond[turn] = beyondSlots{at: now, engines: engines}
}

// observeSlots records that a request asks for a place. If it was sent to engines beyond
// their counted slots, these declined it, and have no slots but those.
func (pn *plan) observeSlots(now clock.Millis, po *pool.Pool, turn usage.Turn) {
	sent, ok := pn.beyond[turn]
	if !ok {
		return
	}
	delete(pn.beyond, turn)
	if now-sent.at >= beyondSlotsTTL {
		return
	}
	for _, id := range sent.engines {
		po.MarkSlotsTaken(now, id)
	}
}
