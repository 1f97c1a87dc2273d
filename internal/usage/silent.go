package usage

import (
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// lateAfter is the age of a report at which its VM counts as late: VMs report at
	// least once in a second, so one report is missing.
	lateAfter = ReportTTL / 2
	// estimateTTL is the age of its last report up to which the runs of a living VM are
	// estimated. Membership knows the deaths of half of the VMs of a fleet after 3.5 s,
	// and the last report is up to a second older. A VM that is alive for longer without
	// reports, for example because its messages get lost, has other runs by then.
	estimateTTL = 2 * ReportTTL
	// minHeardDivisor requires that a third of the living VMs, including this one, are not
	// late, so that the runs of a half can be estimated although some reports get lost.
	minHeardDivisor = 3
	// declinedTTL is how long an engine counts as full that declined although by an estimate
	// it has room. With 0.3 s, the VMs on both sides of a partition, and those whose reports do
	// not arrive, were declined 1.1 to 1.5 times as often.
	declinedTTL = clock.Second
	// declinedDivisor makes declines count only while more than one in twenty VMs are late. Asks
	// also exclude engines that one VM can't reach; while a few are late, such a VM must not
	// keep all others from them.
	declinedDivisor = 20
	// startAllowance is how long runs may take to begin to grow if their VM has prompts
	// being computed: in a burst prompts are queued for up to a second.
	startAllowance = clock.Second
	// endedDeviations is how many standard deviations after its expected end a run of a
	// late VM counts as ended: 1 in 20 still run then. The usage of a twentieth is within the
	// margin that relays leave at the engines (relay.silentDivisor).
	endedDeviations = 1.6449
)

type (
	// estimates states how the runs of late VMs count. With the zero value they count until
	// the reports expire.
	estimates struct {
		on       bool                    // runs that must have ended do not count
		late     bool                    // many VMs are late
		silent   map[string]struct{}     // VMs whose runs count although their reports have expired
		declined map[string]clock.Millis // by engine, until when it counts as full
	}

	// lateVMs describes the living VMs whose reports are late.
	lateVMs struct {
		late        bool     // more than one in twenty are
		enoughHeard bool     // enough VMs are not late for estimates
		estimated   []string // VMs without an unexpired report whose runs can be estimated
		unknown     int      // number of VMs with neither an unexpired report nor an estimate
	}
)

// EstimateRuns makes the runs of late VMs count until they must have ended. Those of the
// given VMs, which membership lists as alive, then also count if their reports have expired.
// If two thirds of them are late, it is more likely that this VM was frozen or is cut off, and
// nothing is estimated. The result is how many of them have neither an unexpired report nor an
// estimate.
func (le *Ledger) EstimateRuns(now clock.Millis, alive []string) (unknown int) {
	lv := le.lateVMs(now, alive)
	if !lv.enoughHeard {
		le.StopEstimates()
		return lv.unknown
	}
	le.peaks.clear()
	le.estimates.on, le.estimates.late = true, lv.late
	clear(le.estimates.silent)
	for _, vm := range lv.estimated {
		if le.estimates.silent == nil {
			le.estimates.silent = make(map[string]struct{})
		}
		le.estimates.silent[vm] = struct{}{}
	}
	return lv.unknown
}

// CountUnknown returns what EstimateRuns does, and changes nothing.
func (le *Ledger) CountUnknown(now clock.Millis, alive []string) int {
	return le.lateVMs(now, alive).unknown
}

// CountEstimated returns of how many of the given VMs EstimateRuns would estimate the runs
// although their reports have expired, and changes nothing.
func (le *Ledger) CountEstimated(now clock.Millis, alive []string) int {
	return len(le.lateVMs(now, alive).estimated)
}

// EstimatedVMs returns the number of VMs whose runs count although their reports have expired.
func (le *Ledger) EstimatedVMs() int { return len(le.estimates.silent) }

// lateVMs tells which of the VMs that membership lists as alive are late.
func (le *Ledger) lateVMs(now clock.Millis, alive []string) (lv lateVMs) {
	heard, expired := 0, 0
	for _, vm := range alive {
		switch age, fresh := le.others.age(now, vm); {
		case !fresh:
			expired++
		case age < lateAfter:
			heard++
		}
	}
	lv.late, lv.enoughHeard = declinedDivisor*(len(alive)-heard) > len(alive), minHeardDivisor*(heard+1) >= len(alive)
	switch {
	case !lv.enoughHeard:
		lv.unknown = expired
		return lv
	case expired == 0:
		return lv
	}
	for _, vm := range alive {
		switch {
		case le.others.isFresh(now, vm):
		case le.canEstimate(now, vm):
			lv.estimated = append(lv.estimated, vm)
		default:
			lv.unknown++
		}
	}
	return lv
}

// StopEstimates makes the runs of all VMs count until their reports expire.
func (le *Ledger) StopEstimates() {
	if le.estimates.on {
		le.peaks.clear()
		le.estimates = estimates{}
	}
}

// ObserveDeclines records engines that declined a run of another VM. While many VMs are late,
// they have runs that are not known.
func (le *Ledger) ObserveDeclines(now clock.Millis, engines []string) {
	if !le.estimates.late {
		return
	}
	if le.estimates.declined == nil {
		le.estimates.declined = make(map[string]clock.Millis)
	}
	for _, engine := range engines {
		if now >= le.estimates.declined[engine] {
			le.estimates.declined[engine] = now + declinedTTL
		}
	}
}

// Declined reports whether an engine declined a run that an estimate had room for, so that
// it has runs of late VMs that are not known.
func (le *Ledger) Declined(now clock.Millis, engine string) bool {
	return now < le.estimates.declined[engine]
}

// isEstimated reports whether the runs of a VM with a report of an age are estimated.
func (le *Ledger) isEstimated(age clock.Millis, vm string) bool {
	if !le.estimates.on || age < lateAfter || age >= estimateTTL {
		return false
	}
	_, silent := le.estimates.silent[vm]
	return age < ReportTTL || silent
}

// canEstimate reports whether a VM has reported and the speed of its runs is known.
func (le *Ledger) canEstimate(now clock.Millis, vm string) bool {
	rc, ok := le.others.byVM[vm]
	if !ok || now-rc.at >= estimateTTL {
		return false
	}
	return !slices.ContainsFunc(rc.report.Runs, func(run Run) bool { return le.SpeedAt(run.Engine) == 0 })
}

// appendEstimated appends the runs of a late VM at an engine that may not have ended to a
// list.
func (le *Ledger) appendEstimated(list []Run, now clock.Millis, engine, vm string) []Run {
	rc, speed := le.others.byVM[vm], le.SpeedAt(engine)
	age := now - rc.at
	begun := age
	if len(rc.report.Prompts) > 0 {
		begun = max(0, age-startAllowance)
	}
	grown, atLeast := int(float64(age)*speed), int(float64(begun)*speed)
	relative := growthDeviations * le.lengths.spread()
	for _, run := range le.others.runs[engine][vm] {
		if longest, known := run.longest(relative); !known || atLeast <= longest {
			list = append(list, run.estimatedAfter(grown))
		}
	}
	return list
}

// longest returns the tokens after which a run must have ended. A run without a deviation
// exceeds its rest by the given part at most. The second result is false if nothing is known
// of its length.
func (ru Run) longest(relative float64) (tokens int, known bool) {
	switch fr := ru.forecast(); {
	case fr.known:
		return int(math.Exp(fr.rest.location + endedDeviations*fr.rest.scale)), true
	case ru.Deviation > 0:
		return int(endedDeviations * float64(ru.Deviation)), true
	default:
		return int(float64(ru.Left) * (1 + relative)), ru.Left > 0
	}
}

// estimatedAfter returns the run after it has generated further tokens. One that has
// outgrown its estimate has residualPart of it left.
func (ru Run) estimatedAfter(tokens int) Run {
	ru.Tokens += tokens
	ru.Left = max(ru.Left-tokens, int(residualPart*float64(ru.Left)))
	return ru
}
