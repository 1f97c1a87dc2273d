package bench

import (
	"fmt"
	"math/rand/v2"

	"alderdyke/internal/board"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

const (
	fallbackAfter = 150.0            // milliseconds that a quick request waits for an accounting VM that is away
	retryAloneIn  = 20.0             // milliseconds between imports that engines refuse
	goOnWithin    = 5 * clock.Second // for an answer that broke off
)

type (
	// cellPolicy is the decisions of package sched, with the messages
	// between the VMs that run requests and the VM that accounts.
	cellPolicy struct {
		sm       *sim
		cell     *sched.Cell
		owner    int
		term     int     // grows with every change of the accounting VM
		paused   float64 // until this point
		away     bool    // the accounting VM does not answer
		noticed  bool    // and the VMs know
		wakeAt   clock.Millis
		runs     map[*request]*run
		byID     map[string]*request
		fallback sched.Fallback
		reports  []map[string]board.LoadReport // of each VM
		list     []board.BackendServer
		steps    int
		decided  int
	}

	// run is what the VM that runs a request knows about it.
	run struct {
		stage   sched.Stage // empty while it waits
		attempt int
		prefill string
		decode  string
		likely  string
		since   float64
		alone   bool // placed without the accounting VM
	}
)

func (cp *cellPolicy) begin() {
	cp.runs = make(map[*request]*run)
	cp.byID = make(map[string]*request)
	cp.fallback = sched.Fallback{Rand: rand.New(rand.NewPCG(cp.sm.Seed, 9))}
	for range cp.sm.Deployment.VMs {
		cp.reports = append(cp.reports, make(map[string]board.LoadReport))
	}
	cp.list = cp.sm.list()
	cp.newCell()
}

func (cp *cellPolicy) newCell() {
	cp.cell = &sched.Cell{Name: cp.sm.Deployment.Service}
	cp.step(sched.Servers{Servers: cp.list})
	for _, srv := range cp.list {
		if ld, ok := cp.reports[cp.owner][srv.ID]; ok {
			cp.step(sched.Report{Load: ld})
		}
	}
}

// list is the engines as the list of backend servers shows them.
func (sm *sim) list() []board.BackendServer {
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

func (cp *cellPolicy) servers() {
	cp.list = cp.sm.list()
	cp.send(cp.owner, sched.Servers{Servers: cp.list})
}

func (cp *cellPolicy) report(vm int, ld board.LoadReport) {
	cp.reports[vm][ld.Server] = ld
	if vm == cp.owner && !cp.away {
		cp.step(sched.Report{Load: ld})
	}
}

// send brings an event from a VM to the accounting VM.
func (cp *cellPolicy) send(vm int, ev sched.Event) {
	term, sm := cp.term, cp.sm
	if vm != cp.owner {
		sm.messages++
	}
	span := sm.delay(sm.vmDomain(vm), sm.vmDomain(cp.owner))
	sm.after(span, func() {
		if term != cp.term {
			return
		}
		if sm.now < cp.paused {
			sm.after(cp.paused-sm.now, func() {
				if term == cp.term {
					cp.step(ev)
				}
			})
			return
		}
		if !cp.away {
			cp.step(ev)
		}
	})
}

func (cp *cellPolicy) step(ev sched.Event) {
	now := clock.Millis(cp.sm.now)
	before := cp.cell.Steps()
	intents := cp.cell.Step(now, ev)
	cp.steps += cp.cell.Steps() - before
	cp.decided++
	for _, in := range intents {
		cp.carryOut(in)
	}
}

func (cp *cellPolicy) carryOut(in sched.Intent) {
	switch in := in.(type) {
	case sched.Grant:
		cp.toRunner(in.Request, func(rq *request) { cp.granted(rq, in) })
	case sched.Transfer:
		cp.toRunner(in.Request, func(rq *request) { cp.transfer(rq, in) })
	case sched.Preempt:
		cp.toRunner(in.Request, func(rq *request) { cp.preempted(rq, in) })
	case sched.Refuse:
		cp.toRunner(in.Request, func(rq *request) {
			if cp.runs[rq].stage == "" {
				cp.sm.refuse(rq, in.Refusal)
				cp.drop(rq)
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
		if term == cp.term && cp.wakeAt == at && !cp.away {
			cp.step(sched.Tick{})
		}
	})
}

// toRunner brings an order from the accounting VM to the VM that runs the
// request.
func (cp *cellPolicy) toRunner(id string, fn func(rq *request)) {
	rq, sm := cp.byID[id], cp.sm
	if rq == nil {
		return
	}
	if rq.vm != cp.owner {
		sm.messages++
	}
	sm.after(sm.delay(sm.vmDomain(cp.owner), sm.vmDomain(rq.vm)), func() {
		if rq.ends == 0 && cp.runs[rq] != nil {
			fn(rq)
		}
	})
}

func (cp *cellPolicy) arrive(rq *request) {
	cp.byID[rq.id] = rq
	cp.runs[rq] = &run{since: cp.sm.now}
	if cp.noticed {
		cp.alone(rq)
		return
	}
	cp.submit(rq)
	if rq.cls.Work == QuickWork {
		cp.sm.after(fallbackAfter, func() {
			if rn := cp.runs[rq]; rn != nil && rn.stage == "" && cp.noticed && rq.ends == 0 {
				cp.alone(rq)
			}
		})
	}
}

func (cp *cellPolicy) ask(rq *request) sched.RequestSpec {
	cls, sm := rq.cls, cp.sm
	ttft := cls.TTFT - clock.Millis(sm.now-rq.arrive)
	if rq.firstSet {
		ttft = max(ttft, goOnWithin)
	}
	return sched.RequestSpec{
		Request: rq.id, Customer: cls.Customer, Class: cls.Name, Quick: cls.Work == QuickWork,
		VM:           board.VMRef{ID: fmt.Sprintf("vm-%d", rq.vm), Incarnation: 1},
		PromptTokens: rq.prompt, PrefixHash: rq.prefix, PrefixTokens: prefixTokens, MaxTokens: cls.Max,
		TTFT: ttft, TPOT: cls.TPOT,
		Deadline: clock.Millis(rq.arrive) + cls.Deadline,
		Share:    cls.Share, PrefillWeight: cls.Weight, Attempt: cp.runs[rq].attempt,
	}
}

func (cp *cellPolicy) submit(rq *request) { cp.send(rq.vm, sched.Submit{Spec: cp.ask(rq)}) }

func (cp *cellPolicy) granted(rq *request, gr sched.Grant) {
	rn := cp.runs[rq]
	if rn.alone {
		cp.send(rq.vm, sched.Withdraw{Request: rq.id})
		return
	}
	rn.stage, rn.since, rn.attempt = sched.Prefilling, cp.sm.now, gr.Attempt
	rn.prefill, rn.decode, rn.likely = gr.Prefill, "", gr.Decode
	cp.sm.sendPrefill(rq, cp.sm.byID[gr.Prefill].(*prefillEngine))
}

func (cp *cellPolicy) transfer(rq *request, tr sched.Transfer) {
	rn := cp.runs[rq]
	if rn.attempt != tr.Attempt || rn.stage == sched.Decoding || (rn.alone && rn.decode != "") {
		return
	}
	rn.stage, rn.since, rn.decode = sched.Transferring, cp.sm.now, tr.Decode
	cp.sm.sendImport(rq, cp.sm.byID[tr.Decode].(*decodeEngine))
}

func (cp *cellPolicy) preempted(rq *request, pr sched.Preempt) {
	rn := cp.runs[rq]
	if rn.attempt != pr.Attempt || rn.alone {
		return
	}
	cp.sm.cancel(rq)
	rn.stage, rn.since, rn.attempt = "", cp.sm.now, pr.Attempt+1
}

func (cp *cellPolicy) progress(rq *request, stage sched.Stage) {
	rn := cp.runs[rq]
	took := clock.Millis(cp.sm.now - rn.since)
	rn.stage, rn.since = stage, cp.sm.now
	if !rn.alone {
		cp.send(rq.vm, sched.Progress{Request: rq.id, Attempt: rn.attempt, Stage: stage, Took: took})
	}
}

func (cp *cellPolicy) prefilled(rq *request) {
	rn := cp.runs[rq]
	cp.progress(rq, sched.Prefilled)
	if rn.alone {
		cp.importAlone(rq, rn.likely)
		return
	}
	att := rq.att
	cp.sm.after(keepKV/4, func() {
		if cp.noticed && rq.att == att && rq.ends == 0 && rn.stage == sched.Prefilled && rn.likely != "" {
			rn.alone = true
			cp.importAlone(rq, rn.likely)
		}
	})
}

// importAlone begins an import that the accounting VM did not order.
func (cp *cellPolicy) importAlone(rq *request, dec string) {
	rn := cp.runs[rq]
	rn.stage, rn.since, rn.decode = sched.Transferring, cp.sm.now, dec
	cp.sm.sendImport(rq, cp.sm.byID[dec].(*decodeEngine))
}

func (cp *cellPolicy) rejected(rq *request) {
	rn := cp.runs[rq]
	if !rn.alone {
		cp.progress(rq, sched.Rejected)
		rn.stage, rn.decode = sched.Prefilled, ""
		return
	}
	dec, ok := cp.fallback.Redirect(cp.ask(rq), cp.view(rq.vm))
	if !ok {
		dec = rn.decode
	}
	att := rq.att
	cp.sm.after(retryAloneIn, func() {
		if rq.att == att && rq.ends == 0 && rn.alone {
			cp.importAlone(rq, dec)
		}
	})
}

func (cp *cellPolicy) decoding(rq *request) {
	rn := cp.runs[rq]
	cp.progress(rq, sched.Decoding)
	if rn.alone {
		cp.announce(rq)
	}
}

// announce tells the accounting VM of a request that was placed without it.
func (cp *cellPolicy) announce(rq *request) {
	rn := cp.runs[rq]
	cp.send(rq.vm, sched.Adopt{Spec: cp.ask(rq), Stage: rn.stage, Prefill: rn.prefill, Decode: rn.decode,
		Since: clock.Millis(cp.sm.now - rn.since)})
}

func (cp *cellPolicy) ended(rq *request) {
	cp.runs[rq].alone = false
	cp.progress(rq, sched.Ended)
	cp.drop(rq)
}

func (cp *cellPolicy) drop(rq *request) {
	if rn := cp.runs[rq]; rn != nil && rn.alone {
		cp.send(rq.vm, sched.Withdraw{Request: rq.id})
	}
	delete(cp.runs, rq)
	delete(cp.byID, rq.id)
}
