package relay

import "alderdyke/pkg/clock"

const (
	// minVMs divides the fleet's slack of retries where a VM knows of fewer: one
	// that has just started, or was always cut off, knows of none.
	minVMs = 6
	// minBurst lets each VM repeat one request.
	minBurst = 1
	// burstFraction of the fleet's slack of retries may be spent at once, and rateFraction is
	// earned anew in each window. Together they are what a window may see.
	burstFraction = 0.5
	rateFraction  = 1 - burstFraction
	// fleetSizeTTL is how long the slack is divided by the most VMs that were seen: those
	// that are out of sight may live, and spend their own parts.
	fleetSizeTTL = clock.Minute
)

// SetFleetSize tells how many VMs share what the fleet may retry.
func (rl *Relay) SetFleetSize(vms int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	rl.fleet = rl.fleet.withSeen(rl.now(), vms)
	rl.applyRetryShare()
}

// applyRetryShare takes this VM's part of the fleet's slack of retries. Nothing is known of what
// an earlier life of this VM has spent, so it begins with nothing. The lock is held.
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

// fleetSize is how many VMs are seen, and the most that were lately.
type fleetSize struct {
	last, largest int
	until         clock.Millis // when the last is believed
}

// withSeen takes a number of VMs that are withSeen now.
func (fs fleetSize) withSeen(now clock.Millis, vms int) fleetSize {
	if vms < fs.size(now) {
		return fleetSize{vms, fs.size(now), now + fleetSizeTTL}
	}
	return fleetSize{last: vms}
}

// size is how many VMs share what the fleet may do.
func (fs fleetSize) size(now clock.Millis) int {
	if now < fs.until {
		return max(fs.last, fs.largest)
	}
	return fs.last
}
