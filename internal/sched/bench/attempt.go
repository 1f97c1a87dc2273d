package bench

import (
	"alderdyke/pkg/refusal"
)

// tell brings news of an attempt to its VM; news of an older attempt and of
// an ended request is dropped.
func (sm *sim) tell(rq *request, domain int, news func(), extra float64) {
	att := rq.att
	sm.after(sm.delay(domain, sm.vmDomain(rq.vm))+extra, func() {
		if rq.att == att && rq.ends == 0 {
			news()
		}
	})
}

// sendPrefill begins a new attempt at a prefill engine.
func (sm *sim) sendPrefill(rq *request, en *prefillEngine) {
	rq.att++
	rq.last = 0
	rq.prefill, rq.decode = en, nil
	att := rq.att
	sm.after(sm.delay(sm.vmDomain(rq.vm), en.domain), func() {
		if rq.att == att && rq.ends == 0 {
			sm.fills[rq] = en.start(rq, att, func(ok bool) { sm.filled(rq, att, ok) },
				func() { sm.lapsed(rq, att) })
		}
	})
}

// filled tells the VM that a prefill is complete or lost.
func (sm *sim) filled(rq *request, att int, ok bool) {
	if rq.att != att {
		return
	}
	if ok {
		sm.tell(rq, rq.prefill.domain, func() { sm.policy.prefilled(rq) }, 0)
		return
	}
	sm.tell(rq, rq.prefill.domain, func() { sm.policy.lost(rq) }, lossNoticed)
}

// lapsed drops a KV cache that was not sent in time, and what was sent of it.
func (sm *sim) lapsed(rq *request, att int) {
	if rq.att == att {
		sm.dropImport(rq)
		sm.tell(rq, rq.prefill.domain, func() { sm.policy.lost(rq) }, 0)
	}
}

// cancel gives up the present attempt: its prefill and its KV cache.
func (sm *sim) cancel(rq *request) {
	att, fl := rq.att, sm.fills[rq]
	if fl != nil && fl.att == att {
		fl.gone = true
	}
	sm.dropImport(rq)
	rq.att++
}

// dropImport gives up the present import and the place that it holds.
func (sm *sim) dropImport(rq *request) {
	if rq.decode != nil {
		rq.decode.release(rq, rq.att)
	}
	if rq.prefill != nil {
		rq.prefill.link.abort(rq.moving)
	}
	rq.decode, rq.moving = nil, nil
	rq.imports++
}

// sendImport lets a decode engine import the KV cache, in place of any
// import before.
func (sm *sim) sendImport(rq *request, de *decodeEngine) {
	sm.dropImport(rq)
	att, imports, fl, en := rq.att, rq.imports, sm.fills[rq], rq.prefill
	sm.after(sm.delay(sm.vmDomain(rq.vm), de.domain), func() {
		switch {
		case rq.att != att || rq.imports != imports || rq.ends > 0:
			return
		case fl == nil || fl.gone || en.dead:
			sm.tell(rq, de.domain, func() { sm.policy.lost(rq) }, 0)
			return
		case !de.take(rq, att):
			sm.tell(rq, de.domain, func() { sm.policy.rejected(rq) }, 0)
			return
		}
		rq.decode = de
		rq.moving = en.link.send(float64(rq.prompt), func() { sm.imported(rq, att, fl, de) })
	})
}

func (sm *sim) imported(rq *request, att int, fl *fill, de *decodeEngine) {
	rq.moving = nil
	if fl.gone || de.dead || rq.att != att {
		de.release(rq, att)
		return
	}
	fl.gone = true
	rq.tpot = de.tpot()
	sm.tell(rq, de.domain, func() { sm.policy.decoding(rq) }, 0)
	sm.after(rq.tpot, func() {
		if de.holds(rq, att) {
			sm.tell(rq, de.domain, func() {
				if !rq.firstSet {
					rq.first, rq.firstSet = sm.now+callerDelay, true
				}
			}, 0)
		}
	})
	sm.after(rq.tpot*float64(rq.output), func() {
		if !de.holds(rq, att) {
			return
		}
		de.release(rq, att)
		rq.useful = rq.last
		sm.tell(rq, de.domain, func() { sm.finish(rq) }, 0)
	})
}

func (sm *sim) finish(rq *request) {
	sm.policy.ended(rq)
	rq.ends++
	sm.ended++
	rq.end = sm.now
	delete(sm.fills, rq)
}

// refuse ends a request without an answer.
func (sm *sim) refuse(rq *request, rf refusal.Refusal) {
	if rq.ends > 0 {
		panic("bench: a second end for " + rq.id)
	}
	sm.cancel(rq)
	rq.ends++
	sm.ended++
	rq.end = sm.now
	rq.refused = &rf
	delete(sm.fills, rq)
}

// refuseLate refuses a request whose target is out of reach on idle engines
// and tells whether it did.
func (sm *sim) refuseLate(rq *request) bool {
	if !rq.hopeless(sm.now) {
		return false
	}
	sm.refuse(rq, rq.tooLate())
	return true
}
