package bench

import (
	"fmt"
	"math/rand/v2"

	"alderdyke/internal/board"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

const (
	fallbackDelay       = 150.0            // milliseconds that a quick request waits for an unreachable accounting VM
	fallbackImportRetry = 20.0             // milliseconds between imports that engines refuse
	resumeTTFT          = 5 * clock.Second // minimum TTFT target of an answer that was interrupted and resumes
)

type (
	// cellPolicy applies the decisions of package sched. It simulates the messages
	// between the VMs that run requests and the accounting VM.
	cellPolicy struct {
		sm              *sim
		cell            *sched.Cell
		accountingVM    int
		term            int     // incremented whenever the accounting VM changes
		pausedUntil     float64 // time at which the accounting VM resumes
		unreachable     bool    // the accounting VM does not answer
		failureDetected bool    // the other VMs have detected that
		wakeAt          clock.Millis
		runs            map[*request]*runnerState
		byID            map[string]*request
		fallback        sched.Fallback
		reports         []map[string]board.LoadReport // last report of each engine, by VM
		list            []board.BackendServer
		steps           int
		decisions       int
	}

	// runnerState is a request's state at the VM that runs it.
	runnerState struct {
		stage          sched.Stage // empty while the request is queued
		attempt        int
		prefill        string
		decode         string
		expectedDecode string
		stageSince     float64
		byFallback     bool // placed without the accounting VM
	}
)

func (cp *cellPolicy) begin() {
	cp.runs = make(map[*request]*runnerState)
	cp.byID = make(map[string]*request)
	cp.fallback = sched.Fallback{Rand: rand.New(rand.NewPCG(cp.sm.Seed, 9))}
	for range cp.sm.Deployment.VMs {
		cp.reports = append(cp.reports, make(map[string]board.LoadReport))
	}
	cp.list = cp.sm.backendServers()
	cp.newCell()
}

// newCell replaces the cell. The new one starts from the list of backend servers and
// from the accounting VM's own load reports.
func (cp *cellPolicy) newCell() {
	cp.cell = &sched.Cell{Name: cp.sm.Deployment.Service}
	cp.step(sched.Servers{Servers: cp.list})
	for _, srv := range cp.list {
		if ld, ok := cp.reports[cp.accountingVM][srv.ID]; ok {
			cp.step(sched.Report{Load: ld})
		}
	}
}

// backendServers returns the engines as the list of backend servers contains them.
func (sm *sim) backendServers() []board.BackendServer {
	var out []board.BackendServer
	for _, en := range sm.prefills {
		if !en.dead {
			out = append(out, board.BackendServer{ID: en.id, Role: board.Prefill})
		}
	}
	for _, de := range sm.decodes {
		if !de.dead {
			out = append(out, board.BackendServer{ID: de.id, Role: board.Decode})
		}
	}
	return out
}

func (cp *cellPolicy) serversChanged() {
	cp.list = cp.sm.backendServers()
	cp.sendEvent(cp.accountingVM, sched.Servers{Servers: cp.list})
}

func (cp *cellPolicy) report(vm int, ld board.LoadReport) {
	cp.reports[vm][ld.Server] = ld
	if vm == cp.accountingVM && !cp.unreachable {
		cp.step(sched.Report{Load: ld})
	}
}

// sendEvent delivers an event from a VM to the accounting VM.
func (cp *cellPolicy) sendEvent(vm int, ev sched.Event) {
	term, sm := cp.term, cp.sm
	if vm != cp.accountingVM {
		sm.messages++
	}
	span := sm.delay(sm.vmDomain(vm), sm.vmDomain(cp.accountingVM))
	sm.after(span, func() {
		if term != cp.term {
			return
		}
		if sm.now < cp.pausedUntil {
			sm.after(cp.pausedUntil-sm.now, func() {
				if term == cp.term {
					cp.step(ev)
				}
			})
			return
		}
		if !cp.unreachable {
			cp.step(ev)
		}
	})
}

func (cp *cellPolicy) step(ev sched.Event) {
	now := clock.Millis(cp.sm.now)
	before := cp.cell.Steps()
	intents := cp.cell.Step(now, ev)
	cp.steps += cp.cell.Steps() - before
	cp.decisions++
	for _, in := range intents {
		cp.execute(in)
	}
}

func (cp *cellPolicy) execute(in sched.Intent) {
	switch in := in.(type) {
	case sched.Grant:
		cp.sendToRunner(in.Request, func(rq *request) { cp.granted(rq, in) })
	case sched.Transfer:
		cp.sendToRunner(in.Request, func(rq *request) { cp.startTransfer(rq, in) })
	case sched.Preempt:
		cp.sendToRunner(in.Request, func(rq *request) { cp.preempted(rq, in) })
	case sched.Refuse:
		cp.sendToRunner(in.Request, func(rq *request) {
			if cp.runs[rq].stage == "" {
				cp.sm.refuse(rq, in.Refusal)
				cp.forget(rq)
			}
		})
	case sched.Wake:
		cp.wake(in.At)
	}
}

func (cp *cellPolicy) wake(at clock.Millis) {
	now := clock.Millis(cp.sm.now)
	if cp.wakeAt > now && cp.wakeAt <= at {
		return
	}
	cp.wakeAt = at
	term := cp.term
	cp.sm.after(float64(at)-cp.sm.now, func() {
		if term == cp.term && cp.wakeAt == at && !cp.unreachable {
			cp.step(sched.Tick{})
		}
	})
}

// sendToRunner delivers an intent of the accounting VM to the VM that runs the request.
func (cp *cellPolicy) sendToRunner(id string, fn func(rq *request)) {
	rq, sm := cp.byID[id], cp.sm
	if rq == nil {
		return
	}
	if rq.vm != cp.accountingVM {
		sm.messages++
	}
	sm.after(sm.delay(sm.vmDomain(cp.accountingVM), sm.vmDomain(rq.vm)), func() {
		if rq.endCount == 0 && cp.runs[rq] != nil {
			fn(rq)
		}
	})
}

func (cp *cellPolicy) arrive(rq *request) {
	cp.byID[rq.id] = rq
	cp.runs[rq] = &runnerState{stageSince: cp.sm.now}
	if cp.failureDetected {
		cp.placeByFallback(rq)
		return
	}
	cp.submit(rq)
	if rq.cls.Work == QuickWork {
		cp.sm.after(fallbackDelay, func() {
			if rn := cp.runs[rq]; rn != nil && rn.stage == "" && cp.failureDetected && rq.endCount == 0 {
				cp.placeByFallback(rq)
			}
		})
	}
}

func (cp *cellPolicy) requestSpec(rq *request) sched.RequestSpec {
	cls, sm := rq.cls, cp.sm
	ttft := cls.TTFT - clock.Millis(sm.now-rq.arrivedAt)
	if rq.hasFirstToken {
		ttft = max(ttft, resumeTTFT)
	}
	return sched.RequestSpec{
		Request: rq.id, Customer: cls.Customer, Class: cls.Name, Quick: cls.Work == QuickWork,
		VM:           board.VMRef{ID: fmt.Sprintf("vm-%d", rq.vm), Incarnation: 1},
		PromptTokens: rq.prompt, PrefixHash: rq.prefix, PrefixTokens: prefixTokens, MaxTokens: cls.MaxTokens,
		TTFT: ttft, TPOT: cls.TPOT,
		Deadline: clock.Millis(rq.arrivedAt) + cls.Deadline,
		Share:    cls.Share, PrefillWeight: cls.PrefillWeight, Attempt: cp.runs[rq].attempt,
	}
}

func (cp *cellPolicy) submit(rq *request) {
	cp.sendEvent(rq.vm, sched.Submit{Spec: cp.requestSpec(rq)})
}

func (cp *cellPolicy) granted(rq *request, gr sched.Grant) {
	rn := cp.runs[rq]
	if rn.byFallback {
		cp.sendEvent(rq.vm, sched.Withdraw{Request: rq.id})
		return
	}
	rn.stage, rn.stageSince, rn.attempt = sched.Prefilling, cp.sm.now, gr.Attempt
	rn.prefill, rn.decode, rn.expectedDecode = gr.Prefill, "", gr.Decode
	cp.sm.sendPrefill(rq, cp.sm.byID[gr.Prefill].(*prefillEngine))
}

func (cp *cellPolicy) startTransfer(rq *request, tr sched.Transfer) {
	rn := cp.runs[rq]
	if rn.attempt != tr.Attempt || rn.stage == sched.Decoding || (rn.byFallback && rn.decode != "") {
		return
	}
	rn.stage, rn.stageSince, rn.decode = sched.Transferring, cp.sm.now, tr.Decode
	cp.sm.sendImport(rq, cp.sm.byID[tr.Decode].(*decodeEngine))
}

func (cp *cellPolicy) preempted(rq *request, pr sched.Preempt) {
	rn := cp.runs[rq]
	if rn.attempt != pr.Attempt || rn.byFallback {
		return
	}
	cp.sm.cancel(rq)
	rn.stage, rn.stageSince, rn.attempt = "", cp.sm.now, pr.Attempt+1
}

func (cp *cellPolicy) sendProgress(rq *request, stage sched.Stage) {
	rn := cp.runs[rq]
	took := clock.Millis(cp.sm.now - rn.stageSince)
	rn.stage, rn.stageSince = stage, cp.sm.now
	if !rn.byFallback {
		cp.sendEvent(rq.vm, sched.Progress{Request: rq.id, Attempt: rn.attempt, Stage: stage, Took: took})
	}
}

func (cp *cellPolicy) prefilled(rq *request) {
	rn := cp.runs[rq]
	cp.sendProgress(rq, sched.Prefilled)
	if rn.byFallback {
		cp.importByFallback(rq, rn.expectedDecode)
		return
	}
	att := rq.attempt
	// If the accounting VM failed before it ordered the import, the VM orders it itself,
	// or else the KV cache would expire.
	cp.sm.after(kvCacheTTL/4, func() {
		if cp.failureDetected && rq.attempt == att && rq.endCount == 0 && rn.stage == sched.Prefilled && rn.expectedDecode != "" {
			rn.byFallback = true
			cp.importByFallback(rq, rn.expectedDecode)
		}
	})
}

// importByFallback starts an import that the accounting VM did not order.
func (cp *cellPolicy) importByFallback(rq *request, dec string) {
	rn := cp.runs[rq]
	rn.stage, rn.stageSince, rn.decode = sched.Transferring, cp.sm.now, dec
	cp.sm.sendImport(rq, cp.sm.byID[dec].(*decodeEngine))
}

func (cp *cellPolicy) importRejected(rq *request) {
	rn := cp.runs[rq]
	if !rn.byFallback {
		cp.sendProgress(rq, sched.Rejected)
		rn.stage, rn.decode = sched.Prefilled, ""
		return
	}
	dec, ok := cp.fallback.Redirect(cp.requestSpec(rq), cp.engineView(rq.vm))
	if !ok {
		dec = rn.decode
	}
	att := rq.attempt
	cp.sm.after(fallbackImportRetry, func() {
		if rq.attempt == att && rq.endCount == 0 && rn.byFallback {
			cp.importByFallback(rq, dec)
		}
	})
}

func (cp *cellPolicy) decodeStarted(rq *request) {
	rn := cp.runs[rq]
	cp.sendProgress(rq, sched.Decoding)
	if rn.byFallback {
		cp.sendAdopt(rq)
	}
}

// sendAdopt reports to the accounting VM a request that is already running.
func (cp *cellPolicy) sendAdopt(rq *request) {
	rn := cp.runs[rq]
	cp.sendEvent(rq.vm, sched.Adopt{Spec: cp.requestSpec(rq), Stage: rn.stage, Prefill: rn.prefill, Decode: rn.decode,
		Since: clock.Millis(cp.sm.now - rn.stageSince)})
}

func (cp *cellPolicy) ended(rq *request) {
	cp.runs[rq].byFallback = false
	cp.sendProgress(rq, sched.Ended)
	cp.forget(rq)
}

func (cp *cellPolicy) forget(rq *request) {
	if rn := cp.runs[rq]; rn != nil && rn.byFallback {
		cp.sendEvent(rq.vm, sched.Withdraw{Request: rq.id})
	}
	delete(cp.runs, rq)
	delete(cp.byID, rq.id)
}
