package invariant

import (
	"slices"
	"time"
)

// checkLeavingServers finds runs that started at a backend server too long after it began to leave.
func checkLeavingServers(hs History) []Violation {
	var out []Violation
	for _, lv := range hs.LeavingServers {
		until := lv.Since.Add(MaxStartAfterLeaving.Std())
		for name, began := range hs.lastStartsAt(lv.Server) {
			if began.After(until) {
				out = append(out, violation(UsedLeaving, lv.Server, "%s started %v after the server began to leave", name, began.Sub(lv.Since)))
			}
		}
	}
	return out
}

// lastStartsAt returns the start time of each request's last run at a server.
func (hs History) lastStartsAt(server string) map[string]time.Time {
	out := make(map[string]time.Time)
	add := func(name string, at time.Time) {
		if at.After(out[name]) {
			out[name] = at
		}
	}
	for _, en := range hs.Engines {
		if en.Server != server {
			continue
		}
		for _, rec := range en.Runs {
			if len(rec.Stages) > 0 {
				add(rec.Request, en.Started.Add(rec.Stages[0].At.Std()))
			}
		}
	}
	for _, sv := range hs.Services {
		if sv.Server != server {
			continue
		}
		for _, rec := range sv.Runs {
			add(rec.Key, sv.Started.Add(rec.At.Std()))
		}
	}
	return out
}

// checkPlannedStops finds planned stops that failed and calls that they interrupted.
func checkPlannedStops(hs History) []Violation {
	var out []Violation
	for _, st := range hs.PlannedStops {
		if st.Ended.IsZero() || st.ExitCode != 0 {
			out = append(out, violation(CutOff, st.VM, "the planned stop has exit code %d (stop ended: %t)", st.ExitCode, !st.Ended.IsZero()))
		}
		for _, ca := range hs.Calls {
			during := ca.Ended.After(st.Began) && (st.Ended.IsZero() || ca.Began.Before(st.Ended))
			if during && !ca.complete() && !ca.callerLeft() {
				out = append(out, violation(CutOff, ca.RequestName(), "no complete answer during the planned stop of %s: %v", st.VM, ca.Outcomes))
			}
		}
	}
	return out
}

func (ca Call) callerLeft() bool { return slices.Contains(ca.Outcomes, Outcome(CallerLeft{})) }

// checkReverted finds VMs whose active revision decreased.
func checkReverted(hs History) []Violation {
	type place struct{ vm, customer string }
	var out []Violation
	newest := make(map[place]uint64)
	for _, sg := range hs.ObservedRevisions {
		pl := place{sg.VM, sg.Customer}
		if sg.Revision < newest[pl] {
			out = append(out, violation(Reverted, sg.VM, "%s reverted from revision %d to %d", sg.Customer, newest[pl], sg.Revision))
		}
		newest[pl] = max(newest[pl], sg.Revision)
	}
	return out
}

// checkActivation finds VMs that activated an accepted revision late or never.
func checkActivation(hs History) []Violation {
	var out []Violation
	for _, pb := range hs.Publications {
		for _, vm := range pb.VMs {
			at, ok := hs.firstSeen(vm, pb)
			switch {
			case !ok:
				out = append(out, violation(LateInForce, vm, "%s: revision %d never became active", pb.Customer, pb.Revision))
			case at.Sub(pb.Accepted) > MaxActivationDelay.Std():
				out = append(out, violation(LateInForce, vm, "%s: revision %d became active after %v", pb.Customer, pb.Revision, at.Sub(pb.Accepted)))
			}
		}
	}
	return out
}

// firstSeen returns when a VM was first observed with the published or a newer revision.
func (hs History) firstSeen(vm string, pb Publication) (time.Time, bool) {
	for _, sg := range hs.ObservedRevisions {
		if sg.VM == vm && sg.Customer == pb.Customer && sg.Revision >= pb.Revision {
			return sg.At, true
		}
	}
	return time.Time{}, false
}
