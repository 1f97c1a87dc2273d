package poison

import "alderdyke/internal/suspect"

// Preview is what Check would decide on a request, and why.
type Preview struct {
	suspect.Preview
	// Unresolved reports whether calls of the request, or of requests that share a part with
	// it, broke and it is not known whether their servers crashed.
	Unresolved bool
}

// Preview returns what Check would decide now. It changes nothing and sends nothing.
func (gd *Guard) Preview(ms suspect.Marks) Preview {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	now := gd.now()
	return Preview{Preview: gd.suspects.Preview(now, ms), Unresolved: gd.hasUnresolved(now, ms)}
}
