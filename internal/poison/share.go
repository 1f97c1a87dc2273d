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
	// shareEvery is how often the fleet is told again of what is known, and shareMost
	// how many ends at once: four requests that end their servers.
	shareEvery = 500 * clock.Millis(1)
	shareMost  = 12
	// knownMost bounds the ends that a VM is told when it starts.
	knownMost = 64
	// tellRate a second, and tellBurst at once, are what one VM tells of ends, so that
	// the loss of a failure domain does not fill the links between VMs with evidence
	// of little weight.
	tellRate  = 20
	tellBurst = 64
)

// tell tells the other VMs of an end, as often as this VM may, and that one is withdrawn.
func (gd *Guard) tell(en suspect.End) {
	if gd.Tell == nil || en.Server == "" || !en.Forgiven && !gd.tells.Allow() {
		return
	}
	gd.Tell(en)
	time.AfterFunc(repeatDelay.Std(), func() {
		en.Age += repeatDelay
		gd.Tell(en)
	})
}

// Known lists ends for a VM that has just started.
func (gd *Guard) Known() []suspect.End {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.suspects.Known(gd.now(), knownMost)
}

// Share tells the other VMs now and then, until the context ends, what is known of
// requests at which servers ended: VMs that were cut off do not know it. One VM of the fleet does so in each span, by chance.
func (gd *Guard) Share(ctx context.Context) {
	gd.init()
	for clock.Sleep(ctx, shareEvery) {
		gd.forget()
		for _, en := range gd.retell() {
			gd.Tell(en)
		}
		gd.reprobe(ctx)
	}
}

// forget drops the ends that count no more.
func (gd *Guard) forget() {
	gd.mu.Lock()
	released := gd.suspects.Forget(gd.now())
	gd.mu.Unlock()
	for _, mk := range released {
		gd.Log.Log(event.RelayReleased, event.F("Mark", mk.String()), event.F("After", suspect.DefaultKeep.String()))
	}
}

func (gd *Guard) retell() []suspect.End {
	vms := 1
	if gd.VMs != nil {
		vms = gd.VMs()
	}
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.Tell == nil || !gd.suspects.Any() || rand.IntN(max(1, vms)) > 0 {
		return nil
	}
	return gd.suspects.Retell(gd.now(), shareMost)
}
