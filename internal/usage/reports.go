package usage

import (
	"maps"
	"slices"

	"alderdyke/pkg/clock"
)

type (
	// reports are the newest words of the other VMs, indexed by engine: of a large
	// fleet hundreds of VMs have something, and a dozen of them at one engine.
	// The zero value has none.
	reports struct {
		told    map[string]received
		runs    byEngine[[]Run]
		reads   byEngine[int] // tokens of prompts
		avoids  byEngine[struct{}]
		failed  byEngine[struct{}]
		waiting map[string]struct{} // VMs with requests that wait
		shorts  map[string]struct{} // VMs that lately refused for want of a place
		pruned  clock.Millis        // when words of VMs that are gone were dropped last
	}

	// received is what another VM told.
	received struct {
		at     clock.Millis
		report Report
	}

	// byEngine holds what VMs have at an engine, by engine and VM.
	byEngine[T any] map[string]map[string]T
)

// take replaces a VM's word.
func (rs *reports) take(now clock.Millis, vm string, rp Report) {
	if rs.told == nil {
		*rs = reports{told: make(map[string]received), runs: make(byEngine[[]Run]), reads: make(byEngine[int]),
			avoids: make(byEngine[struct{}]), failed: make(byEngine[struct{}]),
			waiting: make(map[string]struct{}), shorts: make(map[string]struct{})}
	}
	rs.prune(now)
	rs.drop(vm)
	rs.told[vm] = received{at: now, report: rp}
	for _, run := range rp.Runs {
		rs.runs.put(run.Engine, vm, append(rs.runs[run.Engine][vm], run))
	}
	for engine, tokens := range rp.Prompts {
		rs.reads.put(engine, vm, tokens)
	}
	for _, engine := range rp.Avoided {
		rs.avoids.put(engine, vm, struct{}{})
	}
	for _, engine := range rp.Failing {
		rs.failed.put(engine, vm, struct{}{})
	}
	if len(rp.Waiting) > 0 {
		rs.waiting[vm] = struct{}{}
	}
	if rp.Short {
		rs.shorts[vm] = struct{}{}
	}
}

// drop takes a VM's word out.
func (rs *reports) drop(vm string) {
	rp := rs.told[vm].report
	for _, run := range rp.Runs {
		rs.runs.drop(run.Engine, vm)
	}
	for engine := range rp.Prompts {
		rs.reads.drop(engine, vm)
	}
	for _, engine := range rp.Avoided {
		rs.avoids.drop(engine, vm)
	}
	for _, engine := range rp.Failing {
		rs.failed.drop(engine, vm)
	}
	delete(rs.waiting, vm)
	delete(rs.shorts, vm)
	delete(rs.told, vm)
}

// prune drops the words of VMs that are gone.
func (rs *reports) prune(now clock.Millis) {
	if now-rs.pruned < 4*Stale {
		return
	}
	rs.pruned = now
	for vm := range rs.told {
		if !rs.hears(now, vm) {
			rs.drop(vm)
		}
	}
}

// since is how old a VM's word is, and whether it still counts.
func (rs *reports) since(now clock.Millis, vm string) (age clock.Millis, fresh bool) {
	rc, ok := rs.told[vm]
	age = now - rc.at
	return age, ok && age < Stale
}

func (rs *reports) hears(now clock.Millis, vm string) bool {
	_, fresh := rs.since(now, vm)
	return fresh
}

// anyFresh tells whether the word of one of the VMs counts.
func (rs *reports) anyFresh(now clock.Millis, vms map[string]struct{}) bool {
	for vm := range vms {
		if rs.hears(now, vm) {
			return true
		}
	}
	return false
}

func (rs *reports) prompts(now clock.Millis, engine string) int {
	sum := 0
	for vm, tokens := range rs.reads[engine] {
		if rs.hears(now, vm) {
			sum += tokens
		}
	}
	return sum
}

func (rs *reports) avoided(now clock.Millis, engine string) bool {
	return rs.anyFresh(now, rs.avoids[engine])
}

func (rs *reports) failing(now clock.Millis, engine string) bool {
	return rs.anyFresh(now, rs.failed[engine])
}

func (rs *reports) short(now clock.Millis) bool {
	for vm := range rs.shorts {
		if age, _ := rs.since(now, vm); age < shortFor {
			return true
		}
	}
	return false
}

// asks lists the requests that wait at other VMs, with their ages by now.
func (rs *reports) asks(now clock.Millis) []Ask {
	var out []Ask
	for _, vm := range slices.Sorted(maps.Keys(rs.waiting)) {
		since, fresh := rs.since(now, vm)
		if !fresh {
			continue
		}
		for _, ask := range rs.told[vm].report.Waiting {
			ask.Age += since
			out = append(out, ask)
		}
	}
	return out
}

func (be byEngine[T]) put(engine, vm string, val T) {
	if be[engine] == nil {
		be[engine] = make(map[string]T)
	}
	be[engine][vm] = val
}

func (be byEngine[T]) drop(engine, vm string) {
	if delete(be[engine], vm); len(be[engine]) == 0 {
		delete(be, engine)
	}
}
