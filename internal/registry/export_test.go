package registry

// RemovalsForTest returns how many removals are remembered.
func (rg *Registry) RemovalsForTest() int { return len(rg.removed) }
