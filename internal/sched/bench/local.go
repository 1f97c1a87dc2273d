package bench

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	baselineQueue  = 4    // reported prefills at which a baseline sends no more to an engine
	localEach      = 50.0 // milliseconds between looks at a VM's queue
	importBackoff  = 50.0 // milliseconds before an import is tried again
	attemptsMost   = 3
	patientReserve = 6 // reported free places that Optimistic leaves to quick work
)

type (
	// localPolicy decides at each VM for itself from lagging reports: the
	// baselines, and the optimistic choice that waits for a place in sight.
	localPolicy struct {
		sm     *sim
		vms    []*localVM
		picked map[*request]string // decode engine chosen before the prefill
	}

	localVM struct {
		ix      int
		queue   []*request
		reports map[string]board.LoadReport
		sent    map[string]int // since the last report, to each engine
		turnP   int
		turnD   int
	}
)

func (lp *localPolicy) begin() {
	lp.picked = make(map[*request]string)
	for ix := range lp.sm.Deployment.VMs {
		vm := &localVM{ix: ix, reports: make(map[string]board.LoadReport), sent: make(map[string]int)}
		lp.vms = append(lp.vms, vm)
		var tick func()
		tick = func() {
			lp.pump(vm)
			if lp.sm.now < lp.sm.span+drainFor/2 {
				lp.sm.after(localEach, tick)
			}
		}
		lp.sm.after(float64(ix)*3, tick)
	}
}

func (lp *localPolicy) servers() {}

func (lp *localPolicy) report(vm int, ld board.LoadReport) {
	lv := lp.vms[vm]
	lv.reports[ld.Server] = ld
	lv.sent[ld.Server] = 0
	lp.pump(lv)
}

func (lp *localPolicy) arrive(rq *request) {
	lv := lp.vms[rq.vm]
	lv.queue = append(lv.queue, rq)
	sortByUrgency(lv.queue)
	lp.pump(lv)
}

func sortByUrgency(queue []*request) {
	slices.SortStableFunc(queue, func(ra, rb *request) int {
		return cmp.Or(cmp.Compare(urgency(ra), urgency(rb)), cmp.Compare(ra.due(), rb.due()))
	})
}

func urgency(rq *request) int {
	if rq.cls.Work == QuickWork {
		return 0
	}
	return 1
}

// due is the latest first token that meets the target.
func (rq *request) due() float64 { return rq.arrive + float64(rq.cls.TTFT) }

// hopeless tells whether the target is out of reach on idle engines.
func (rq *request) hopeless(now float64) bool {
	if rq.firstSet {
		return now > rq.arrive+float64(rq.cls.Deadline)
	}
	return now+float64(rq.prompt)/prefillRate+float64(rq.prompt)/linkRate+fullTPOT > rq.due()
}

func (lp *localPolicy) pump(lv *localVM) {
	for len(lv.queue) > 0 {
		rq := lv.queue[0]
		if lp.sm.refuseLate(rq) {
			lv.queue = lv.queue[1:]
			continue
		}
		pre, dec := lp.choose(lv, board.Prefill), lp.choose(lv, board.Decode)
		if pre == "" || dec == "" || !lp.mayStart(lv, rq, pre, dec) {
			return
		}
		lv.queue = lv.queue[1:]
		lv.sent[pre]++
		lv.sent[dec]++
		lp.picked[rq] = dec
		lp.sm.sendPrefill(rq, lp.sm.byID[pre].(*prefillEngine))
	}
}

// tooLate is the refusal of a request whose target is out of reach.
func (rq *request) tooLate() refusal.Refusal {
	rf := refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.TargetUnreachable, RetryAfter: clock.Second}
	if rq.att > 0 {
		rf.Ran = refusal.MayHaveRun
	}
	return rf
}

func (lp *localPolicy) mayStart(lv *localVM, rq *request, pre, dec string) bool {
	if rq.cls.Work == PatientWork && lv.load(pre) >= baselineQueue {
		return false
	}
	if lp.sm.Policy != Optimistic {
		return true
	}
	need := 1
	if rq.cls.Work == PatientWork {
		need += patientReserve
	}
	return decodeSlots-lv.load(dec) >= need
}

// load is the reported load of an engine and what this VM sent since.
func (lv *localVM) load(id string) int {
	ld := lv.reports[id]
	if ld.Slots == 1 {
		return ld.Queued + lv.sent[id]
	}
	return ld.Running + lv.sent[id]
}

func (lp *localPolicy) choose(lv *localVM, role board.Role) string {
	ids := lp.sm.alive(role)
	if len(ids) == 0 {
		return ""
	}
	switch lp.sm.Policy {
	case RoundRobin:
		turn := &lv.turnP
		if role == board.Decode {
			turn = &lv.turnD
		}
		*turn++
		return ids[(*turn+lv.ix)%len(ids)]
	case LeastLoad:
		return slices.MinFunc(ids, func(ia, ib string) int {
			return cmp.Compare(lv.reported(ia), lv.reported(ib))
		})
	default:
		ia, ib := ids[lp.sm.rng.IntN(len(ids))], ids[lp.sm.rng.IntN(len(ids))]
		score := lv.reported
		if lp.sm.Policy == Optimistic {
			score = lv.load
		}
		if score(ib) < score(ia) {
			return ib
		}
		return ia
	}
}

func (lv *localVM) reported(id string) int {
	ld := lv.reports[id]
	if ld.Slots == 1 {
		return ld.Queued
	}
	return ld.Running
}

// alive lists the engines of a role that are listed.
func (sm *sim) alive(role board.Role) []string {
	if out, ok := sm.living[role]; ok {
		return out
	}
	var out []string
	for _, srv := range sm.list() {
		if srv.Role == role {
			out = append(out, srv.ID)
		}
	}
	sm.living[role] = out
	return out
}

func (lp *localPolicy) prefilled(rq *request) {
	de := lp.sm.byID[lp.picked[rq]].(*decodeEngine)
	lp.sm.sendImport(rq, de)
}

func (lp *localPolicy) rejected(rq *request) {
	att := rq.att
	lp.sm.after(importBackoff, func() {
		if rq.att != att || rq.ends > 0 {
			return
		}
		if dec := lp.choose(lp.vms[rq.vm], board.Decode); dec != "" {
			lp.picked[rq] = dec
			lp.sm.sendImport(rq, lp.sm.byID[dec].(*decodeEngine))
		}
	})
}

func (lp *localPolicy) decoding(*request) {}

func (lp *localPolicy) ended(rq *request) { delete(lp.picked, rq) }

func (lp *localPolicy) lost(rq *request) {
	lp.sm.cancel(rq)
	if rq.att >= 2*attemptsMost && !rq.firstSet {
		lp.sm.refuse(rq, refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.RetriesExhausted, RetryAfter: clock.Second})
		return
	}
	lv := lp.vms[rq.vm]
	if lp.sm.refuseLate(rq) {
		return
	}
	lv.queue = append(lv.queue, rq)
	sortByUrgency(lv.queue)
	lp.pump(lv)
}
