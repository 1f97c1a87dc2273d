package duration

// Routes returns the number of routes that are held.
func (tr *Tracker) Routes() int { return len(tr.routes) }
