package bench

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	maxReportedQueue = 4    // estimated queue of a prefill engine at which patient work waits
	dispatchInterval = 50.0 // milliseconds between dispatches of a VM's queue without an event
	importBackoff    = 50.0 // milliseconds before a rejected import is retried
	maxAttempts      = 3
	quickReserve     = 6 // reported free slots that Optimistic leaves to quick work
)

type (
	// localPolicy decides independently at each VM, from lagging reports. It implements
	// the baselines and Optimistic, which waits until a slot is reported free.
	localPolicy struct {
		sm        *sim
		vms       []*localVM
		decodeFor map[*request]string // decode engine chosen before the prefill
	}

	localVM struct {
		ix              int
		queue           []*request
		reports         map[string]board.LoadReport
		sentSinceReport map[string]int // requests sent to each engine since its last report
		prefillTurn     int
		decodeTurn      int
	}
)

func (lp *localPolicy) begin() {
	lp.decodeFor = make(map[*request]string)
	for ix := range lp.sm.Deployment.VMs {
		vm := &localVM{ix: ix, reports: make(map[string]board.LoadReport), sentSinceReport: make(map[string]int)}
		lp.vms = append(lp.vms, vm)
		var tick func()
		tick = func() {
			lp.dispatch(vm)
			if lp.sm.now < lp.sm.span+drainTime/2 {
				lp.sm.after(dispatchInterval, tick)
			}
		}
		lp.sm.after(float64(ix)*3, tick)
	}
}

func (lp *localPolicy) serversChanged() {}

func (lp *localPolicy) report(vm int, ld board.LoadReport) {
	lv := lp.vms[vm]
	lv.reports[ld.Server] = ld
	lv.sentSinceReport[ld.Server] = 0
	lp.dispatch(lv)
}

func (lp *localPolicy) arrive(rq *request) {
	lv := lp.vms[rq.vm]
	lv.queue = append(lv.queue, rq)
	sortByUrgency(lv.queue)
	lp.dispatch(lv)
}

func sortByUrgency(queue []*request) {
	slices.SortStableFunc(queue, func(ra, rb *request) int {
		return cmp.Or(cmp.Compare(urgency(ra), urgency(rb)), cmp.Compare(ra.firstTokenDue(), rb.firstTokenDue()))
	})
}

func urgency(rq *request) int {
	if rq.cls.Work == QuickWork {
		return 0
	}
	return 1
}

// firstTokenDue is the latest time of a first token that meets the TTFT target.
func (rq *request) firstTokenDue() float64 { return rq.arrivedAt + float64(rq.cls.TTFT) }

// targetUnreachable reports whether the target cannot be met even on idle engines.
func (rq *request) targetUnreachable(now float64) bool {
	if rq.hasFirstToken {
		return now > rq.arrivedAt+float64(rq.cls.Deadline)
	}
	return now+float64(rq.prompt)/prefillRate+float64(rq.prompt)/linkRate+fullTPOT > rq.firstTokenDue()
}

// dispatch starts queued requests until one has to wait. It refuses those whose target
// cannot be met.
func (lp *localPolicy) dispatch(lv *localVM) {
	for len(lv.queue) > 0 {
		rq := lv.queue[0]
		if lp.sm.refuseUnreachable(rq) {
			lv.queue = lv.queue[1:]
			continue
		}
		pre, dec := lp.chooseEngine(lv, board.Prefill), lp.chooseEngine(lv, board.Decode)
		if pre == "" || dec == "" || !lp.mayStart(lv, rq, pre, dec) {
			return
		}
		lv.queue = lv.queue[1:]
		lv.sentSinceReport[pre]++
		lv.sentSinceReport[dec]++
		lp.decodeFor[rq] = dec
		lp.sm.sendPrefill(rq, lp.sm.byID[pre].(*prefillEngine))
	}
}

// unreachableRefusal returns the refusal of a request whose target cannot be met.
func (rq *request) unreachableRefusal() refusal.Refusal {
	rf := refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.TargetUnreachable, RetryAfter: clock.Second}
	if rq.attempt > 0 {
		rf.Ran = refusal.MayHaveRun
	}
	return rf
}

// mayStart reports whether a request may be sent now. Patient work waits for a short
// prefill queue; Optimistic also waits for estimated free slots.
func (lp *localPolicy) mayStart(lv *localVM, rq *request, pre, dec string) bool {
	if rq.cls.Work == PatientWork && lv.estimatedLoad(pre) >= maxReportedQueue {
		return false
	}
	if lp.sm.Policy != Optimistic {
		return true
	}
	need := 1
	if rq.cls.Work == PatientWork {
		need += quickReserve
	}
	return decodeSlots-lv.estimatedLoad(dec) >= need
}

// estimatedLoad is the reported load of an engine plus what this VM sent to it since.
func (lv *localVM) estimatedLoad(id string) int {
	ld := lv.reports[id]
	if ld.Slots == 1 {
		return ld.Queued + lv.sentSinceReport[id]
	}
	return ld.Running + lv.sentSinceReport[id]
}

// chooseEngine returns an engine of the role by the policy's rule, or an empty ID if all
// have failed.
func (lp *localPolicy) chooseEngine(lv *localVM, role board.Role) string {
	ids := lp.sm.aliveEngines(role)
	if len(ids) == 0 {
		return ""
	}
	switch lp.sm.Policy {
	case RoundRobin:
		turn := &lv.prefillTurn
		if role == board.Decode {
			turn = &lv.decodeTurn
		}
		*turn++
		return ids[(*turn+lv.ix)%len(ids)]
	case LeastLoad:
		return slices.MinFunc(ids, func(ia, ib string) int {
			return cmp.Compare(lv.reportedLoad(ia), lv.reportedLoad(ib))
		})
	default:
		ia, ib := ids[lp.sm.rng.IntN(len(ids))], ids[lp.sm.rng.IntN(len(ids))]
		score := lv.reportedLoad
		if lp.sm.Policy == Optimistic {
			score = lv.estimatedLoad
		}
		if score(ib) < score(ia) {
			return ib
		}
		return ia
	}
}

func (lv *localVM) reportedLoad(id string) int {
	ld := lv.reports[id]
	if ld.Slots == 1 {
		return ld.Queued
	}
	return ld.Running
}

// aliveEngines returns the IDs of a role's engines that have not failed.
func (sm *sim) aliveEngines(role board.Role) []string {
	if out, ok := sm.aliveByRole[role]; ok {
		return out
	}
	var out []string
	for _, srv := range sm.backendServers() {
		if srv.Role == role {
			out = append(out, srv.ID)
		}
	}
	sm.aliveByRole[role] = out
	return out
}

func (lp *localPolicy) prefilled(rq *request) {
	de := lp.sm.byID[lp.decodeFor[rq]].(*decodeEngine)
	lp.sm.sendImport(rq, de)
}

func (lp *localPolicy) importRejected(rq *request) {
	att := rq.attempt
	lp.sm.after(importBackoff, func() {
		if rq.attempt != att || rq.endCount > 0 {
			return
		}
		if dec := lp.chooseEngine(lp.vms[rq.vm], board.Decode); dec != "" {
			lp.decodeFor[rq] = dec
			lp.sm.sendImport(rq, lp.sm.byID[dec].(*decodeEngine))
		}
	})
}

func (lp *localPolicy) decodeStarted(*request) {}

func (lp *localPolicy) ended(rq *request) { delete(lp.decodeFor, rq) }

func (lp *localPolicy) attemptLost(rq *request) {
	lp.sm.cancel(rq)
	// A lost attempt counts twice: when it started and when it was cancelled.
	if rq.attempt >= 2*maxAttempts && !rq.hasFirstToken {
		lp.sm.refuse(rq, refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.RetriesExhausted, RetryAfter: clock.Second})
		return
	}
	lv := lp.vms[rq.vm]
	if lp.sm.refuseUnreachable(rq) {
		return
	}
	lv.queue = append(lv.queue, rq)
	sortByUrgency(lv.queue)
	lp.dispatch(lv)
}
