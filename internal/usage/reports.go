package usage

import (
	"slices"

	"alderdyke/pkg/clock"
)

type (
	// reports holds the newest report of each other VM, indexed by engine: in a
	// large fleet hundreds of VMs have runs, but only a dozen of them at one
	// engine. The zero value has none.
	reports struct {
		byVM           map[string]receivedReport
		runs           byEngine[[]Run]
		promptTokensBy byEngine[int] // tokens of prompts being computed
		avoidedBy      byEngine[struct{}]
		failingBy      byEngine[struct{}]
		pinned         byEngine[[]bool]    // in the order of runs; none: all of them can be moved
		waiting        []string            // VMs with waiting requests, sorted
		shortageBy     map[string]struct{} // VMs that recently refused requests for lack of a place
		prunedAt       clock.Millis        // when expired reports were last removed
	}

	// receivedReport is the newest report of another VM.
	receivedReport struct {
		at     clock.Millis
		report Report
	}

	// byEngine holds values by engine and VM.
	byEngine[T any] map[string]map[string]T
)

// apply replaces a VM's report, and returns the VMs whose expired reports it removed.
func (rs *reports) apply(now clock.Millis, vm string, rp Report) (gone []string) {
	if rs.byVM == nil {
		*rs = reports{byVM: make(map[string]receivedReport), runs: make(byEngine[[]Run]), promptTokensBy: make(byEngine[int]),
			avoidedBy: make(byEngine[struct{}]), failingBy: make(byEngine[struct{}]), pinned: make(byEngine[[]bool]),
			shortageBy: make(map[string]struct{})}
	}
	gone = rs.prune(now)
	pinned := rs.pinnedBy(vm, rp)
	rs.remove(vm)
	rs.byVM[vm] = receivedReport{at: now, report: rp}
	for _, run := range rp.Runs {
		rs.runs.put(run.Engine, vm, append(rs.runs[run.Engine][vm], run))
	}
	for engine, at := range pinned {
		rs.pinned.put(engine, vm, at)
	}
	for engine, tokens := range rp.Prompts {
		rs.promptTokensBy.put(engine, vm, tokens)
	}
	for _, engine := range rp.Avoided {
		rs.avoidedBy.put(engine, vm, struct{}{})
	}
	for _, engine := range rp.Failing {
		rs.failingBy.put(engine, vm, struct{}{})
	}
	if len(rp.Waiting) > 0 {
		ix, _ := slices.BinarySearch(rs.waiting, vm)
		rs.waiting = slices.Insert(rs.waiting, ix, vm)
	}
	if rp.Shortage {
		rs.shortageBy[vm] = struct{}{}
	}
	return gone
}

// remove removes a VM's report.
func (rs *reports) remove(vm string) {
	rp := rs.byVM[vm].report
	for _, run := range rp.Runs {
		rs.runs.drop(run.Engine, vm)
		rs.pinned.drop(run.Engine, vm)
	}
	for engine := range rp.Prompts {
		rs.promptTokensBy.drop(engine, vm)
	}
	for _, engine := range rp.Avoided {
		rs.avoidedBy.drop(engine, vm)
	}
	for _, engine := range rp.Failing {
		rs.failingBy.drop(engine, vm)
	}
	if ix, found := slices.BinarySearch(rs.waiting, vm); found {
		rs.waiting = slices.Delete(rs.waiting, ix, ix+1)
	}
	delete(rs.shortageBy, vm)
	delete(rs.byVM, vm)
}

// prune removes reports that are too old for an estimate, and returns their VMs.
func (rs *reports) prune(now clock.Millis) (gone []string) {
	if now-rs.prunedAt < 4*ReportTTL {
		return nil
	}
	rs.prunedAt = now
	for vm, rc := range rs.byVM {
		if now-rc.at >= estimateTTL {
			rs.remove(vm)
			gone = append(gone, vm)
		}
	}
	return gone
}

// age returns the age of a VM's report and whether the report has not expired.
func (rs *reports) age(now clock.Millis, vm string) (age clock.Millis, fresh bool) {
	rc, ok := rs.byVM[vm]
	age = now - rc.at
	return age, ok && age < ReportTTL
}

func (rs *reports) isFresh(now clock.Millis, vm string) bool {
	_, fresh := rs.age(now, vm)
	return fresh
}

// anyFresh reports whether any of the VMs has a report that has not expired.
func (rs *reports) anyFresh(now clock.Millis, vms map[string]struct{}) bool {
	for vm := range vms {
		if rs.isFresh(now, vm) {
			return true
		}
	}
	return false
}

// promptTokens returns the tokens of prompts that an engine is computing for the
// other VMs.
func (rs *reports) promptTokens(now clock.Millis, engine string) int {
	sum := 0
	for vm, tokens := range rs.promptTokensBy[engine] {
		if rs.isFresh(now, vm) {
			sum += tokens
		}
	}
	return sum
}

func (rs *reports) avoided(now clock.Millis, engine string) bool {
	return rs.anyFresh(now, rs.avoidedBy[engine])
}

func (rs *reports) failing(now clock.Millis, engine string) bool {
	return rs.anyFresh(now, rs.failingBy[engine])
}

func (rs *reports) hasShortage(now clock.Millis) bool {
	for vm := range rs.shortageBy {
		if age, _ := rs.age(now, vm); age < shortageTTL {
			return true
		}
	}
	return false
}

// hasMoreUrgentShortage reports whether some VM recently refused a new request of a
// higher priority than the given one.
func (rs *reports) hasMoreUrgentShortage(now clock.Millis, priority int) bool {
	for vm := range rs.shortageBy {
		if age, _ := rs.age(now, vm); age >= shortageTTL {
			continue
		}
		if short := rs.byVM[vm].report.ShortPriority; short > 0 && short-1 < priority {
			return true
		}
	}
	return false
}

// waitingRequests lists the requests that wait at other VMs, with their present
// ages.
func (rs *reports) waitingRequests(now clock.Millis) []WaitingRequest {
	out := make([]WaitingRequest, 0, len(rs.waiting))
	for _, vm := range rs.waiting {
		since, fresh := rs.age(now, vm)
		if !fresh {
			continue
		}
		for _, wr := range rs.byVM[vm].report.Waiting {
			out = append(out, wr.laterBy(since))
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
