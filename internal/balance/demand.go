package balance

import "alderdyke/pkg/clock"

const (
	// askAbove is the load per slot above which a VM asks for a server, and askBelow the
	// one below which it no longer does. Below, a server chosen by this VM alone almost
	// always has a free slot, and the ask would cost more than the wait that it saves.
	askAbove = 0.5
	askBelow = 0.4
	// demandGain is the weight of a stated load in the load per slot of a service.
	demandGain = 0.3
	// demandTTL is how long a stated load tells whether to ask.
	demandTTL = 5 * clock.Second
	// allocatedTTL is how long the load that an allocator states counts instead of those of
	// single servers, one of which may misreport its own.
	allocatedTTL = clock.Second
	// The first time that a VM doesn't answer it is not asked for minSilence, and then for
	// twice as long each time, up to maxSilence. A dead VM is detected within a second.
	minSilence = 500 * clock.Millis(1)
	maxSilence = 4 * clock.Second
)

type (
	// demand is a VM's estimate of how busy a service's servers are, by the loads that they
	// state.
	demand struct {
		busy        float64 // requests per slot, smoothed
		at          clock.Millis
		allocatedAt clock.Millis // when an allocator last stated it; zero: never
		asks        bool
	}

	// Silence tells for how long a VM that did not answer is not asked. The zero value is
	// a VM that is asked.
	Silence struct {
		until clock.Millis
		span  clock.Millis
	}

	// Allowance bounds how often something is done, so that many VMs together do it at
	// most Rate times in a second each. Set the exported fields before use.
	Allowance struct {
		Rate  float64 // in a second
		Burst float64

		used float64
		at   clock.Millis
	}
)

func (de *demand) observe(now clock.Millis, ld Load) {
	if ld.Slots <= 0 || de.allocatedAt > 0 && now-de.allocatedAt < allocatedTTL {
		return
	}
	busy := float64(ld.Running+ld.Waiting) / float64(ld.Slots)
	if de.at == 0 || now-de.at >= demandTTL {
		de.busy = busy
	}
	de.set(now, de.busy+demandGain*(busy-de.busy))
}

func (de *demand) set(now clock.Millis, busy float64) {
	de.busy, de.at = busy, now
	switch {
	case busy >= askAbove:
		de.asks = true
	case busy < askBelow:
		de.asks = false
	}
}

// ObserveBusy records the load per slot of a service's servers as an allocator states it.
func (ch *Chooser) ObserveBusy(now clock.Millis, service string, busy float64) {
	if svc := ch.services[service]; svc != nil {
		svc.demand.set(now, svc.demand.busy+demandGain*(busy-svc.demand.busy))
		svc.demand.allocatedAt = now
	}
}

// WantsAsk reports whether a server of the service should be chosen by the VM that knows
// the requests of all VMs: the servers state their loads, and they are busy.
func (ch *Chooser) WantsAsk(now clock.Millis, service string) bool {
	svc := ch.services[service]
	return svc != nil && svc.demand.asks && now-svc.demand.at < demandTTL
}

// StatesLoad reports whether servers of the service stated their load recently.
func (ch *Chooser) StatesLoad(now clock.Millis, service string) bool {
	svc := ch.services[service]
	return svc != nil && svc.demand.at > 0 && now-svc.demand.at < demandTTL
}

// Begin records that the VM did not answer, or knew too little to choose.
func (si *Silence) Begin(now clock.Millis) {
	si.span = min(max(minSilence, 2*si.span), maxSilence)
	si.until = now + si.span
}

// End records that the VM answered.
func (si *Silence) End() { *si = Silence{} }

// IsActive reports whether the VM is not asked now.
func (si *Silence) IsActive(now clock.Millis) bool { return now < si.until }

// Take reports whether it may be done once more now.
func (al *Allowance) Take(now clock.Millis) bool {
	al.used = max(0, al.used-al.Rate*float64(now-al.at)/float64(clock.Second))
	al.at = now
	if al.used+1 > al.Burst {
		return false
	}
	al.used++
	return true
}
