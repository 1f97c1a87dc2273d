package peer

// PingPending reports whether a ping has no reply yet.
func (tr *Transport) PingPending() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for ss := range tr.sessions {
		if ss.pinging.Load() {
			return true
		}
	}
	return false
}

// Streams counts the open streams of all sessions.
func (tr *Transport) Streams() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var sum int
	for ss := range tr.sessions {
		sum += ss.mux.NumStreams()
	}
	return sum
}

// Sweep checks all sessions once, as the transport does periodically.
func (tr *Transport) Sweep() { tr.sweep() }
