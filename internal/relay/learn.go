package relay

import "alderdyke/internal/usage"

// learn notes how long a whole answer came out. One of which the caller had a
// part already tells nothing of that.
func (rl *Relay) learn(rn *run) {
	pr := rn.ex.req.Prompt
	if pr == nil || rn.ex.req.After != "" {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.Learn(rn.ex.rt.Name, pr.Hint, rn.made)
}

// learnBegin notes how long a decode took to its first event.
func (rl *Relay) learnBegin(rn *run) {
	if rn.ex.svc.Engines == nil || rn.ex.req.Prompt == nil {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	po, took := rl.poolOf(rn.ex.svc.Name), rl.now()-rn.ordered
	switch {
	case !rn.itself:
		po.Began(took)
	case rn.ahead == 0:
		po.BeganItself(rn.ex.req.Prompt.Tokens, took)
	}
}

// noteDemand notes how long a generation that found its place is expected to
// keep a decode engine's memory: all that it will come to, from now to its end.
func (rl *Relay) noteDemand(ex *exchange, pl place) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	run, speed := pl.entry.Run(), rl.ledger.Speed()
	if memory := ex.svc.Engines.Memory; memory > 0 && speed > 0 {
		part := float64(run.Tokens+run.Left) / (rl.Settings.Fill * float64(memory))
		rl.poolOf(ex.svc.Name).Asked(ex.req.Prompt.Tokens, part*float64(run.Left)/speed)
	}
}

// Demand is how long a generation of a service keeps its engines busy, in the
// mean of those that came to all VMs; the zero value if it is not known.
func (rl *Relay) Demand(service string) usage.Demand {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.prepare()
	return rl.ledger.Demand(rl.now(), service, rl.poolOf(service).Demand())
}
