package relay

// PlacesForTest counts the places that this VM uses at each engine.
func (rl *Relay) PlacesForTest() map[string]int {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	out := make(map[string]int)
	for _, run := range rl.ledger.Report(rl.now()).Runs {
		out[run.Engine]++
	}
	return out
}
