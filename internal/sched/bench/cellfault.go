package bench

import (
	"slices"

	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// attemptLost starts another attempt after an engine failure or an expired KV cache.
func (cp *cellPolicy) attemptLost(rq *request) {
	rn := cp.runs[rq]
	cp.sm.cancel(rq)
	cp.sendEvent(rq.vm, sched.Progress{Request: rq.id, Attempt: rn.attempt, Stage: sched.Lost})
	rn.stage, rn.stageSince, rn.decode, rn.byFallback = "", cp.sm.now, "", false
	rn.attempt++
	if cp.failureDetected {
		cp.placeByFallback(rq)
		return
	}
	cp.submit(rq)
}

// engineView returns the engines as one VM sees them: their last reports and the
// requests that the VM placed on them without the accounting VM.
func (cp *cellPolicy) engineView(vm int) sched.EngineView {
	own := make(map[string]int)
	for _, rq := range cp.sortedRequests() {
		if rn := cp.runs[rq]; rq.vm == vm && rn.byFallback {
			own[rn.prefill]++
			own[rn.expectedDecode]++
		}
	}
	return sched.EngineView{Servers: cp.list, Reports: cp.reports[vm], OwnRequests: own}
}

// sortedRequests returns the running requests in a deterministic order.
func (cp *cellPolicy) sortedRequests() []*request {
	out := make([]*request, 0, len(cp.runs))
	for rq := range cp.runs {
		out = append(out, rq)
	}
	slices.SortFunc(out, func(ra, rb *request) int {
		switch {
		case ra.arrivedAt < rb.arrivedAt:
			return -1
		case ra.arrivedAt > rb.arrivedAt:
			return 1
		default:
			return 0
		}
	})
	return out
}

// placeByFallback places a request without the accounting VM. If it can't, it refuses a
// quick request and leaves a patient one waiting for the next accounting VM.
func (cp *cellPolicy) placeByFallback(rq *request) {
	rn := cp.runs[rq]
	gr, ok := cp.fallback.Decide(cp.requestSpec(rq), cp.engineView(rq.vm))
	if ok {
		rn.byFallback, rn.stage, rn.stageSince = true, sched.Prefilling, cp.sm.now
		rn.prefill, rn.expectedDecode, rn.decode = gr.Prefill, gr.Decode, ""
		cp.sm.sendPrefill(rq, cp.sm.byID[gr.Prefill].(*prefillEngine))
		return
	}
	if rq.cls.Work != QuickWork {
		return
	}
	ran := refusal.NotRun
	if rn.attempt > 0 {
		ran = refusal.MayHaveRun
	}
	rn.byFallback = true
	cp.sm.refuse(rq, refusal.Refusal{Ran: ran, Reason: refusal.SchedulerAway, RetryAfter: 2 * clock.Second})
	cp.forget(rq)
}

// failAccountingVM pauses the accounting VM or replaces it with another one.
func (cp *cellPolicy) failAccountingVM() {
	sm := cp.sm
	cp.unreachable = true
	sm.after(detectionTime, func() { cp.failureDetected = cp.unreachable })
	if sm.Fault == PausedOwner {
		cp.pausedUntil = sm.now + pauseTime
		sm.after(pauseTime, func() {
			cp.unreachable, cp.failureDetected = false, false
			cp.step(sched.Tick{})
			cp.resubmit()
		})
		return
	}
	sm.after(takeoverTime, func() {
		cp.term++
		cp.accountingVM = (cp.accountingVM + 1) % sm.Deployment.VMs
		cp.unreachable, cp.failureDetected, cp.wakeAt = false, false, 0
		cp.newCell()
		for _, rq := range cp.sortedRequests() {
			if cp.runs[rq].stage != "" {
				cp.sendAdopt(rq)
				cp.runs[rq].byFallback = false
			}
		}
		cp.resubmit()
	})
}

// resubmit submits every request that is still queued.
func (cp *cellPolicy) resubmit() {
	for _, rq := range cp.sortedRequests() {
		if cp.runs[rq].stage == "" {
			cp.submit(rq)
		}
	}
}
