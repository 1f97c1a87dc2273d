package usage

import (
	"slices"

	"alderdyke/pkg/clock"
)

// firstEventTime is how long a run may take to its first event once its VM has reported that
// no prompt is being computed any more. A run can be moved after its first event, which is 60
// to 100 ms after its prompt.
const firstEventTime = 150 * clock.Millis(1)

// VMRun is a run with the VM that serves it.
type VMRun struct {
	VM string // empty: this one
	Run
	// Pinned runs cannot be moved: they may not have sent an event yet, they are assumed
	// placements, or the reports of their VM are missing.
	Pinned bool
}

// AppendVMRuns appends the runs of an engine and their VMs to a list. It lists the same runs
// as [Ledger.AppendRuns], also those of this VM.
func (le *Ledger) AppendVMRuns(list []VMRun, now clock.Millis, engine string) []VMRun {
	for en := range le.own {
		if en.run.Engine == engine {
			list = append(list, VMRun{Run: en.run, Pinned: en.lastGrowth == 0})
		}
	}
	for ix := range le.assumed.list {
		if as := &le.assumed.list[ix]; now < as.runUntil && as.run.Engine == engine {
			list = append(list, VMRun{VM: as.vm, Run: as.run, Pinned: true})
		}
	}
	speed := le.SpeedAt(engine)
	for vm, runs := range le.others.runs[engine] {
		since, fresh := le.others.age(now, vm)
		if le.isEstimated(since, vm) {
			for _, run := range le.appendEstimated(nil, now, engine, vm) {
				list = append(list, VMRun{VM: vm, Run: run, Pinned: true})
			}
			continue
		}
		if !fresh {
			continue
		}
		pinned := le.others.pinnedAt(engine, vm, since)
		for ix, run := range runs {
			list = append(list, VMRun{VM: vm, Run: le.projected(run, int(float64(since)*speed)), Pinned: ix < len(pinned) && pinned[ix]})
		}
	}
	return list
}

// ReportedRuns returns the number of runs at an engine by the newest report of another VM.
func (le *Ledger) ReportedRuns(vm, engine string) int { return len(le.others.runs[engine][vm]) }

// ReportedMoves returns how many runs another VM can move now by its newest report.
func (le *Ledger) ReportedMoves(vm string) int { return le.others.byVM[vm].report.Moves }

// OwnRuns returns the number of runs of this VM at an engine.
func (le *Ledger) OwnRuns(engine string) int {
	count := 0
	for en := range le.own {
		if en.run.Engine == engine {
			count++
		}
	}
	return count
}

// pinnedRuns tells which runs of a VM's new report have not begun to grow as far as its
// previous one shows. A report does not name runs, so they are matched by their sizes: a run of
// the same size is the same one, and otherwise the next smaller one has grown.
func pinnedRuns(old []Run, oldPinned []bool, list []Run) []bool {
	pinned, found := make([]bool, len(list)), make([]bool, len(list))
	taken := make([]bool, len(old))
	for ix, run := range list {
		for io := range old {
			if !taken[io] && old[io].Tokens == run.Tokens {
				taken[io], found[ix], pinned[ix] = true, true, io < len(oldPinned) && oldPinned[io]
				break
			}
		}
	}
	for ix, run := range list {
		if found[ix] {
			continue
		}
		best := -1
		for io := range old {
			if grown := run.Tokens - old[io].Tokens; !taken[io] && grown > 0 && grown <= old[io].Left+old[io].Deviation && (best < 0 || old[io].Tokens > old[best].Tokens) {
				best = io
			}
		}
		if pinned[ix] = best < 0; best >= 0 {
			taken[best] = true
		}
	}
	return pinned
}

// pinnedBy returns, by engine, which runs of a VM's new report are pinned; none if all of an
// engine can be moved.
func (rs *reports) pinnedBy(vm string, rp Report) map[string][]bool {
	var pinned map[string][]bool
	for begin := 0; begin < len(rp.Runs); {
		engine, list := rp.Runs[begin].Engine, runsOf(rp.Runs[begin:], rp.Runs[begin].Engine)
		begin += len(list)
		if at := pinnedRuns(rs.runs[engine][vm], rs.pinned[engine][vm], list); slices.Contains(at, true) {
			if pinned == nil {
				pinned = make(map[string][]bool)
			}
			pinned[engine] = at
		}
	}
	return pinned
}

// pinnedAt returns which runs of a VM at an engine are pinned at an age of its report.
func (rs *reports) pinnedAt(engine, vm string, age clock.Millis) []bool {
	if len(rs.byVM[vm].report.Prompts) == 0 && age >= firstEventTime {
		return nil
	}
	return rs.pinned[engine][vm]
}
