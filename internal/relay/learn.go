package relay

// recordAnswerLength notes how long a whole answer came out. One of which the caller had a
// part already tells nothing of that.
func (rl *Relay) recordAnswerLength(rn *run) {
	pr := rn.ex.req.Prompt
	if pr == nil || rn.ex.req.LastEventID != "" || !succeeded(rn.status) {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.ObserveAnswer(rn.ex.rt.Name, pr.Hint, rn.tokens)
}

// recordFirstEventTime notes how long a decode took to its first event.
func (rl *Relay) recordFirstEventTime(rn *run) {
	if rn.ex.svc.Engines == nil || rn.ex.req.Prompt == nil || !succeeded(rn.rsp.StatusCode) {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	po, took := rl.poolOf(rn.ex.svc.Name), rl.now()-rn.orderedAt
	switch {
	case !rn.computesPrompt:
		po.ObserveFirstEvent(took)
	case rn.tokensAhead == 0:
		po.ObserveDecoderPrefill(rn.ex.req.Prompt.Tokens, took)
	}
}
