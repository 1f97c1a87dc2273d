package bench

import (
	"alderdyke/pkg/refusal"
)

// notifyVM sends a notification about the current attempt to the request's VM. It
// arrives after the network delay and an extra delay in milliseconds. It is dropped if
// the attempt has been replaced or the request has ended by then.
func (sm *sim) notifyVM(rq *request, domain int, news func(), extra float64) {
	att := rq.attempt
	sm.after(sm.delay(domain, sm.vmDomain(rq.vm))+extra, func() {
		if rq.attempt == att && rq.endCount == 0 {
			news()
		}
	})
}

// sendPrefill starts a new attempt on a prefill engine.
func (sm *sim) sendPrefill(rq *request, en *prefillEngine) {
	rq.attempt++
	rq.attemptTokens = 0
	rq.prefill, rq.decode = en, nil
	att := rq.attempt
	sm.after(sm.delay(sm.vmDomain(rq.vm), en.domain), func() {
		if rq.attempt == att && rq.endCount == 0 {
			sm.prefillJobs[rq] = en.start(rq, att, func(ok bool) { sm.prefillDone(rq, att, ok) },
				func() { sm.kvCacheExpired(rq, att) })
		}
	})
}

// prefillDone notifies the VM that a prefill is complete or lost.
func (sm *sim) prefillDone(rq *request, att int, ok bool) {
	if rq.attempt != att {
		return
	}
	if ok {
		sm.notifyVM(rq, rq.prefill.domain, func() { sm.policy.prefilled(rq) }, 0)
		return
	}
	sm.notifyVM(rq, rq.prefill.domain, func() { sm.policy.attemptLost(rq) }, lossDetectionTime)
}

// kvCacheExpired cancels the import of a KV cache that was not sent within its TTL.
func (sm *sim) kvCacheExpired(rq *request, att int) {
	if rq.attempt == att {
		sm.cancelImport(rq)
		sm.notifyVM(rq, rq.prefill.domain, func() { sm.policy.attemptLost(rq) }, 0)
	}
}

// cancel cancels the current attempt: its prefill, its KV cache and its import.
func (sm *sim) cancel(rq *request) {
	att, fl := rq.attempt, sm.prefillJobs[rq]
	if fl != nil && fl.att == att {
		fl.released = true
	}
	sm.cancelImport(rq)
	rq.attempt++
}

// cancelImport cancels the current import and releases the slot that it holds.
func (sm *sim) cancelImport(rq *request) {
	if rq.decode != nil {
		rq.decode.release(rq, rq.attempt)
	}
	if rq.prefill != nil {
		rq.prefill.link.abort(rq.transfer)
	}
	rq.decode, rq.transfer = nil, nil
	rq.importCount++
}

// sendImport orders a decode engine to import the KV cache. It replaces any previous
// import.
func (sm *sim) sendImport(rq *request, de *decodeEngine) {
	sm.cancelImport(rq)
	att, imports, fl, en := rq.attempt, rq.importCount, sm.prefillJobs[rq], rq.prefill
	sm.after(sm.delay(sm.vmDomain(rq.vm), de.domain), func() {
		switch {
		case rq.attempt != att || rq.importCount != imports || rq.endCount > 0:
			return
		case fl == nil || fl.released || en.dead:
			sm.notifyVM(rq, de.domain, func() { sm.policy.attemptLost(rq) }, 0)
			return
		case !de.reserve(rq, att):
			sm.notifyVM(rq, de.domain, func() { sm.policy.importRejected(rq) }, 0)
			return
		}
		rq.decode = de
		rq.transfer = en.link.send(float64(rq.prompt), func() { sm.importDone(rq, att, fl, de) })
	})
}

func (sm *sim) importDone(rq *request, att int, fl *prefillJob, de *decodeEngine) {
	rq.transfer = nil
	if fl.released || de.dead || rq.attempt != att {
		de.release(rq, att)
		return
	}
	fl.released = true
	rq.tpot = de.tpot()
	sm.notifyVM(rq, de.domain, func() { sm.policy.decodeStarted(rq) }, 0)
	sm.after(rq.tpot, func() {
		if de.holds(rq, att) {
			sm.notifyVM(rq, de.domain, func() {
				if !rq.hasFirstToken {
					rq.firstTokenAt, rq.hasFirstToken = sm.now+callerDelay, true
				}
			}, 0)
		}
	})
	sm.after(rq.tpot*float64(rq.output), func() {
		if !de.holds(rq, att) {
			return
		}
		de.release(rq, att)
		rq.usefulTokens = rq.attemptTokens
		sm.notifyVM(rq, de.domain, func() { sm.finish(rq) }, 0)
	})
}

func (sm *sim) finish(rq *request) {
	sm.policy.ended(rq)
	rq.endCount++
	sm.ended++
	rq.endedAt = sm.now
	delete(sm.prefillJobs, rq)
}

// refuse ends a request with a refusal.
func (sm *sim) refuse(rq *request, rf refusal.Refusal) {
	if rq.endCount > 0 {
		panic("bench: refusal of a request that already ended: " + rq.id)
	}
	sm.cancel(rq)
	rq.endCount++
	sm.ended++
	rq.endedAt = sm.now
	rq.refused = &rf
	delete(sm.prefillJobs, rq)
}

// refuseUnreachable refuses a request whose target cannot be met even on idle engines.
// It reports whether it did.
func (sm *sim) refuseUnreachable(rq *request) bool {
	if !rq.targetUnreachable(sm.now) {
		return false
	}
	sm.refuse(rq, rq.unreachableRefusal())
	return true
}
