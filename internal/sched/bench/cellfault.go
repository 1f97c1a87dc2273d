package bench

import (
	"slices"

	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// lost begins another attempt after an engine failed.
func (cp *cellPolicy) lost(rq *request) {
	rn := cp.runs[rq]
	cp.sm.cancel(rq)
	cp.send(rq.vm, sched.Progress{Request: rq.id, Attempt: rn.attempt, Stage: sched.Lost})
	rn.stage, rn.since, rn.decode, rn.alone = "", cp.sm.now, "", false
	rn.attempt++
	if cp.noticed {
		cp.alone(rq)
		return
	}
	cp.submit(rq)
}

func (cp *cellPolicy) view(vm int) sched.EngineView {
	own := make(map[string]int)
	for _, rq := range cp.sorted() {
		if rn := cp.runs[rq]; rq.vm == vm && rn.alone {
			own[rn.prefill]++
			own[rn.likely]++
		}
	}
	return sched.EngineView{Servers: cp.list, Reports: cp.reports[vm], OwnRequests: own}
}

// sorted lists the running requests in an order that replays agree on.
func (cp *cellPolicy) sorted() []*request {
	out := make([]*request, 0, len(cp.runs))
	for rq := range cp.runs {
		out = append(out, rq)
	}
	slices.SortFunc(out, func(ra, rb *request) int {
		switch {
		case ra.arrive < rb.arrive:
			return -1
		case ra.arrive > rb.arrive:
			return 1
		default:
			return 0
		}
	})
	return out
}

// alone places a request without the accounting VM, refuses it, or lets it
// wait for that VM's successor.
func (cp *cellPolicy) alone(rq *request) {
	rn := cp.runs[rq]
	gr, ok := cp.fallback.Decide(cp.ask(rq), cp.view(rq.vm))
	if ok {
		rn.alone, rn.stage, rn.since = true, sched.Prefilling, cp.sm.now
		rn.prefill, rn.likely, rn.decode = gr.Prefill, gr.Decode, ""
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
	rn.alone = true
	cp.sm.refuse(rq, refusal.Refusal{Ran: ran, Reason: refusal.SchedulerAway, RetryAfter: 2 * clock.Second})
	cp.drop(rq)
}

// fail stops the accounting VM, for a while or for good.
func (cp *cellPolicy) fail() {
	sm := cp.sm
	cp.away = true
	sm.after(detectIn, func() { cp.noticed = cp.away })
	if sm.Fault == PausedOwner {
		cp.paused = sm.now + pauseFor
		sm.after(pauseFor, func() {
			cp.away, cp.noticed = false, false
			cp.step(sched.Tick{})
			cp.resubmit()
		})
		return
	}
	sm.after(takeoverIn, func() {
		cp.term++
		cp.owner = (cp.owner + 1) % sm.Deployment.VMs
		cp.away, cp.noticed, cp.wakeAt = false, false, 0
		cp.newCell()
		for _, rq := range cp.sorted() {
			if cp.runs[rq].stage != "" {
				cp.announce(rq)
				cp.runs[rq].alone = false
			}
		}
		cp.resubmit()
	})
}

// resubmit asks again for all that waited meanwhile.
func (cp *cellPolicy) resubmit() {
	for _, rq := range cp.sorted() {
		if cp.runs[rq].stage == "" {
			cp.submit(rq)
		}
	}
}
