package relay

import "alderdyke/pkg/clock"

const (
	// minVMs divides the fleet's retry allowance if a VM knows of fewer VMs: one that
	// has just started, or was always partitioned, knows of none.
	minVMs = 6
	// minBurst lets each VM make one retry.
	minBurst = 1
	// burstFraction of the fleet's retry allowance may be spent at once, and
	// rateFraction is earned again in each window. Together they are the most that
	// can be spent in one window.
	burstFraction = 0.5
	rateFraction  = 1 - burstFraction
	// fleetSizeTTL is how long the allowance is divided by the largest number of VMs
	// seen: VMs that can't be seen may be alive and spend their own shares.
	fleetSizeTTL = clock.Minute
)

// SetFleetSize sets how many VMs share the fleet's retry allowance.
func (rl *Relay) SetFleetSize(vms int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	rl.fleet = rl.fleet.withSeen(rl.now(), vms)
	rl.applyRetryShare()
}

// applyRetryShare applies this VM's share of the fleet's retry allowance. An earlier
// incarnation of this VM may have spent any part of it, so the budget begins empty.
// The lock is held.
func (rl *Relay) applyRetryShare() {
	set := &rl.budget.Settings
	if rl.Settings.RetrySlack <= 0 {
		return
	}
	part := rl.Settings.RetrySlack / float64(max(minVMs, rl.fleet.size(rl.now())))
	set.Burst = max(minBurst, burstFraction*part)
	set.Refill = rateFraction * part * float64(clock.Second) / float64(rl.Settings.RetryWindow)
	set.StartEmpty = true
}

// fleetSize is the number of VMs that are seen, and the largest number seen recently.
type fleetSize struct {
	last, largest int
	until         clock.Millis // until when the largest number counts
}

// withSeen returns the size after the given number of VMs was seen.
func (fs fleetSize) withSeen(now clock.Millis, vms int) fleetSize {
	if vms < fs.size(now) {
		return fleetSize{vms, fs.size(now), now + fleetSizeTTL}
	}
	return fleetSize{last: vms}
}

// size returns how many VMs share the fleet's allowance.
func (fs fleetSize) size(now clock.Millis) int {
	if now < fs.until {
		return max(fs.last, fs.largest)
	}
	return fs.last
}
