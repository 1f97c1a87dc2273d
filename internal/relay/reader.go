package relay

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/pool"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// reserveAllowance is the time from a scheduler's answer until the VM sends the prompt:
// the answer and the reservation are two network hops between failure domains each.
const reserveAllowance = 10 * clock.Millis(1)

// A scheduler decides for the VM that asks it which engine computes the prompt, because
// only it knows which decode engines compute another one. It names the decode engine
// itself as the prefill engine. A VM of an earlier build can't use a decode engine for
// that, and then chooses by itself.

// schedulerChoseDecoder reports whether the scheduler that chose a place decided that its
// engine computes the prompt.
func (rl *Relay) schedulerChoseDecoder(pl place) bool {
	return pl.prefill != nil && pl.prefill.Server.ID == pl.server.ID
}

// shouldReadAtDecoder reports whether the engine of a place is to compute the prompt. A VM
// that asked a scheduler does not know which engines compute prompts for other VMs. The
// lock is held.
func (rl *Relay) shouldReadAtDecoder(ex *exchange, po *pool.Pool, pl place, pf pool.Prefill, st pool.StartBudget) bool {
	if pl.chosenBy != "" {
		return false
	}
	// A VM that chooses by itself estimates pauses from few prompts of its own. With that
	// estimate as a limit, days of a fleet of nine VMs lost 0.02 to 0.06 of their worth.
	de := pool.Decoder{QueuedTokens: rl.ledger.PromptTokens(rl.now(), pl.server.ID)}
	return po.ShouldPrefillAtDecoder(pf, ex.req.Prompt.Tokens, de, st)
}

// chooseReader chooses the engine that computes the prompt of a request of another VM.
// Among the engines at which the request may be placed it prefers one that can compute
// the prompt itself, if the prompt would be late at the prefill engines; it moves that
// engine to the front of the list. The result is the zero value if no engine is chosen.
// The lock is held.
func (rl *Relay) chooseReader(now clock.Millis, po *pool.Pool, svc route.Service, ask usage.PlacementRequest, list []board.BackendServer,
	promptTime func(le *usage.Ledger, now clock.Millis, engine string, tokens int) clock.Millis,
) pool.Prefill {
	tokens := ask.Run.Tokens
	pf, ok := po.ChoosePrefill(now, pool.Prompt{Tokens: tokens, Domain: list[0].FailureDomain, Version: list[0].Version, QueuedTokens: rl.promptsAt(now),
		LastResort: func(id string) bool { return rl.ledger.Failing(now, id) },
		TimeAt:     func(id string) clock.Millis { return promptTime(&rl.ledger, now, id, tokens) },
		Left:       max(0, ask.Waiting.Objective-rl.ledger.StepTime(list[0].ID, svc.Engines.TokensPerEvent)-reserveAllowance)})
	if !ok {
		return pool.Prefill{}
	}
	st := pool.StartBudget{Spent: reserveAllowance, Objective: ask.Waiting.Objective}
	gap := rl.maxEventGap(svc.Name)
	for ix, bs := range list {
		if rl.ledger.Doubtful(now, bs.ID) {
			break
		}
		de := pool.Decoder{QueuedTokens: rl.ledger.PromptTokens(now, bs.ID), MaxGap: gap, Runs: rl.ledger.RunCount(now, bs.ID),
			EventTime:  rl.ledger.StepTime(bs.ID, svc.Engines.TokensPerEvent),
			PromptTime: rl.ledger.DecoderPromptTime(bs.ID, tokens, svc.Engines.TokensPerEvent)}
		if po.ShouldPrefillAtDecoder(pf, tokens, de, st) {
			copy(list, slices.Concat(list[ix:ix+1], list[:ix]))
			return pool.Prefill{Server: bs}
		}
	}
	return pf
}

// maxEventGap returns the longest pause that the runs of a service's engines may have;
// zero: they may have any.
func (rl *Relay) maxEventGap(service string) clock.Millis {
	if tb := rl.table.Load(); tb != nil {
		return tb.ShortestEventGap(service)
	}
	return 0
}
