package poison

import (
	"context"
	"math/rand/v2"
	"time"

	"alderdyke/internal/event"
	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

const (
	// repeatDelay is after which the other VMs are told once more: a datagram may be
	// lost, and the caller comes back half a second later.
	repeatDelay = 100 * clock.Millis(1)
	// shareInterval is how often the fleet is told again of what is known, and maxShared
	// how many ends at once: four requests that end their servers.
	shareInterval = 500 * clock.Millis(1)
	maxShared     = 12
	// maxSnapshot bounds the ends that a VM is told when it starts.
	maxSnapshot = 64
	// broadcastRate a second, and broadcastBurst at once, are what one VM tells of ends, so that
	// the loss of a failure domain does not fill the links between VMs with evidence
	// of little weight.
	broadcastRate  = 20
	broadcastBurst = 64
)

// broadcast tells the other VMs of an end, as often as this VM may, and that one is withdrawn.
func (gd *Guard) broadcast(en suspect.Crash) {
	if gd.Broadcast == nil || en.Server == "" || !en.Retracted && !gd.broadcastLimit.Allow() {
		return
	}
	gd.Broadcast(en)
	time.AfterFunc(repeatDelay.Std(), func() {
		en.Age += repeatDelay
		gd.Broadcast(en)
	})
}

// Snapshot lists ends for a VM that has just started.
func (gd *Guard) Snapshot() []suspect.Crash {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.suspects.Snapshot(gd.now(), maxSnapshot)
}

// Share tells the other VMs now and then, until the context ends, what is known of
// requests at which servers ended: VMs that were cut off do not know it. One VM of the fleet does so in each span, by chance.
func (gd *Guard) Share(ctx context.Context) {
	gd.init()
	for clock.Sleep(ctx, shareInterval) {
		gd.expire()
		for _, en := range gd.crashesToShare() {
			gd.Broadcast(en)
		}
		gd.reprobe(ctx)
	}
}

// expire drops the ends that count no more.
func (gd *Guard) expire() {
	gd.mu.Lock()
	released := gd.suspects.Expire(gd.now())
	gd.mu.Unlock()
	for _, mk := range released {
		gd.Log.Log(event.RelayReleased, event.F("Mark", mk.String()), event.F("After", suspect.DefaultTTL.String()))
	}
}

func (gd *Guard) crashesToShare() []suspect.Crash {
	vms := 1
	if gd.VMs != nil {
		vms = gd.VMs()
	}
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.Broadcast == nil || !gd.suspects.HasSuspects() || rand.IntN(max(1, vms)) > 0 {
		return nil
	}
	return gd.suspects.Strongest(gd.now(), maxShared)
}
