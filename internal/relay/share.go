package relay

import "alderdyke/pkg/clock"

const (
	// leastVMs divides the fleet's slack of retries where a VM knows of fewer: one
	// that has just started, or was always cut off, knows of none.
	leastVMs = 6
	// leastBurst lets each VM repeat one request.
	leastBurst = 1
	// burstPart of the fleet's slack of retries may be spent at once, and ratePart is
	// earned anew in each window. Together they are what a window may see.
	burstPart = 0.5
	ratePart  = 1 - burstPart
	// fleetKept is how long the slack is divided by the most VMs that were seen: those
	// that are out of sight may live, and spend their own parts.
	fleetKept = clock.Minute
)

// SetFleet tells how many VMs share what the fleet may retry.
func (rl *Relay) SetFleet(vms int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.prepare()
	rl.fleet = rl.fleet.seen(rl.now(), vms)
	rl.divide()
}

// divide takes this VM's part of the fleet's slack of retries. Nothing is known of what
// an earlier life of this VM has spent, so it begins with nothing. The lock is held.
func (rl *Relay) divide() {
	set := &rl.budget.Settings
	if rl.Settings.Slack <= 0 {
		return
	}
	part := rl.Settings.Slack / float64(max(leastVMs, rl.fleet.size(rl.now())))
	set.Burst = max(leastBurst, burstPart*part)
	set.Refill = ratePart * part * float64(clock.Second) / float64(rl.Settings.Window)
	set.StartEmpty = true
}

// fleetSize is how many VMs are seen, and the most that were lately.
type fleetSize struct {
	last, most int
	until      clock.Millis // when the last is believed
}

// seen takes a number of VMs that are seen now.
func (fs fleetSize) seen(now clock.Millis, vms int) fleetSize {
	if vms < fs.size(now) {
		return fleetSize{vms, fs.size(now), now + fleetKept}
	}
	return fleetSize{last: vms}
}

// size is how many VMs share what the fleet may do.
func (fs fleetSize) size(now clock.Millis) int {
	if now < fs.until {
		return max(fs.last, fs.most)
	}
	return fs.last
}
