package orders

import (
	"math"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

type (
	// trend is the recent load of a cell, and how long the load has required a change
	// of role.
	trend struct {
		at       clock.Millis // of the last observation; zero before the first
		busy     float64      // share of the prefill engines that have prompts to compute
		occupied float64      // share of the decode engines' memory slots in use
		quick    float64      // queued requests
		patient  float64

		// Times since which each role could spare an engine; zero if it can't.
		prefillSpare, decodeSpare clock.Millis

		shortRole board.Role   // the role that is short of engines; empty if none is
		since     clock.Millis // when shortRole last changed, or the last change of role ended
	}

	// pools counts the usable engines of a cell by role.
	pools struct {
		prefill, decode int
	}
)

func (po pools) count(role board.Role) int {
	if role == board.Prefill {
		return po.prefill
	}
	return po.decode
}

func otherRole(role board.Role) board.Role {
	if role == board.Prefill {
		return board.Decode
	}
	return board.Prefill
}

// poolsOf counts the usable engines by the role that they report.
func poolsOf(engines []Engine) pools {
	var po pools
	for _, eng := range engines {
		switch {
		case !eng.Usable:
		case eng.Role == board.Prefill:
			po.prefill++
		case eng.Role == board.Decode:
			po.decode++
		}
	}
	return po
}

// observe adds an observation. The averages decay with a time constant of a quarter of
// the window, so that faster swings of the load require no change.
func (tr *trend) observe(now clock.Millis, se Settings, ob Observed) {
	busy, occupied := currentLoad(ob.Engines)
	weight := 1.0
	if tr.at != 0 {
		weight = 1 - math.Exp(-4*float64(now-tr.at)/float64(max(1, se.Window)))
	}
	tr.at = now
	for _, av := range []struct {
		field *float64
		value float64
	}{
		{&tr.busy, busy}, {&tr.occupied, occupied},
		{&tr.quick, float64(ob.Quick)}, {&tr.patient, float64(ob.Patient)},
	} {
		*av.field += weight * (av.value - *av.field)
	}
	po := poolsOf(ob.Engines)
	tr.prefillSpare = spareSince(tr.prefillSpare, now, tr.busy, po.prefill, se)
	tr.decodeSpare = spareSince(tr.decodeSpare, now, tr.occupied, po.decode, se)
	if toward := tr.findShortRole(now, se, po); toward != tr.shortRole {
		tr.shortRole, tr.since = toward, now
	}
}

// currentLoad returns the share of each role that is in use at this moment.
func currentLoad(engines []Engine) (busy, occupied float64) {
	var po pools
	working, running, slots := 0, 0, 0
	for _, eng := range engines {
		switch {
		case !eng.Usable:
		case eng.Role == board.Prefill:
			po.prefill++
			// A KV cache that waits for a decode engine is no work for its prefill
			// engine.
			if eng.PendingPrompts+eng.Running+eng.Queued > 0 {
				working++
			}
		case eng.Role == board.Decode:
			po.decode++
			running += max(eng.Running, eng.Granted)
			slots += eng.Slots
		}
	}
	return float64(working) / float64(max(1, po.prefill)), float64(running) / float64(max(1, slots))
}

// spareSince returns the time since which a role of the given utilization could give up
// one engine without becoming short itself, or zero if it can't.
func spareSince(since, now clock.Millis, utilization float64, engines int, se Settings) clock.Millis {
	switch {
	case engines <= se.MinEngines || utilization*float64(engines)/float64(engines-1) > se.Low:
		return 0
	case since == 0:
		return now
	default:
		return since
	}
}

// findShortRole returns the role that needs an engine of the other role. The other role
// must have been able to spare it for a long time: a load that swings between the roles
// is not followed, because each change would soon be reverted.
func (tr *trend) findShortRole(now clock.Millis, se Settings, po pools) board.Role {
	for _, role := range []board.Role{board.Prefill, board.Decode} {
		if po.count(role) < se.MinEngines && po.count(otherRole(role)) > se.MinEngines {
			return role
		}
	}
	if tr.quick+tr.patient < 0.5 {
		return ""
	}
	spares := func(since clock.Millis) bool { return since != 0 && now-since >= se.SpareFor }
	switch {
	case tr.occupied >= se.High && spares(tr.prefillSpare):
		return board.Decode
	case tr.busy >= se.High && spares(tr.decodeSpare):
		return board.Prefill
	}
	return ""
}

// roleDue returns the role that has been short for long enough: for the window, or for
// twice the window while only patient requests are queued.
func (tr *trend) roleDue(now clock.Millis, se Settings) board.Role {
	need := se.Window
	if tr.quick < 0.5 {
		need *= 2
	}
	if tr.shortRole == "" || now-tr.since < need {
		return ""
	}
	return tr.shortRole
}

// fields returns, for a log entry, the values on which the choice of a role is based.
func (tr *trend) fields(now clock.Millis) []event.Field {
	spanSince := func(since clock.Millis) clock.Millis {
		if since == 0 {
			return 0
		}
		return now - since
	}
	return []event.Field{
		event.F("Short", tr.shortRole), event.F("Busy", tr.busy), event.F("Occupied", tr.occupied), event.F("Waiting", tr.quick+tr.patient),
		event.F("PrefillSpareFor", spanSince(tr.prefillSpare)), event.F("DecodeSpareFor", spanSince(tr.decodeSpare)),
	}
}
