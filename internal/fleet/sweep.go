package fleet

import (
	"context"
	"encoding/json"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

const (
	// sweepEvery is how often the VM that reads for all looks for entries of VMs
	// that are gone,
	// and each VM whether its own entry went.
	sweepEvery = 10 * clock.Second
	// goneAfter is how long a VM must be dead, or have left, before its entry
	// goes: restarts, power cuts and partitions are over within a minute, and
	// a VM that comes back later writes its entry anew.
	goneAfter = 2 * clock.Minute
)

// enlist keeps this VM's entry in the topic once it takes requests. That the
// store is away is told by the topic's follower.
func (ne *Neighbours) enlist(ctx context.Context, self board.VM) {
	value, err := json.Marshal(vmEntry{Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
		Region: self.Region, Callers: self.Caller, Peers: self.Peer})
	if err != nil {
		ne.Log.Log(event.EntryUnreadable, event.F("Key", prefixVM+self.ID), event.F("Error", err.Error()))
		return
	}
	for written, again := false, false; ; {
		if written && ne.takeDropped() {
			written, again = false, true // others took this VM for gone, or the store lost it
		}
		pause := sweepEvery
		if !written {
			pause = joinRetry
			if ne.Ready() {
				_, err := ne.Store.Append(ctx, ne.Name, prefixVM+self.ID, value, nil)
				written = err == nil
			}
			if written && again {
				ne.noteAgain("Entry")
			}
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// takeDropped tells whether this VM's entry was removed since it was asked
// for last.
func (ne *Neighbours) takeDropped() bool {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	dropped := ne.dropped
	ne.dropped = false
	return dropped
}

// sweep removes the entries of VMs that are gone for good: a VM that starts
// would probe each of them, and name it to callers until it is suspect.
func (ne *Neighbours) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) {
		gone := ne.goneVMs(clock.OrBoottime(ne.Clock).Now())
		if _, whole := ne.Others(); !whole || ne.Rank() != 0 {
			continue // this VM may be the one that is cut off, or others see to it
		}
		for _, name := range gone {
			_, err := ne.Store.Append(ctx, ne.Name, prefixVM+name, nil, nil)
			fields := []event.Field{event.F("Other", name)}
			if err != nil {
				fields = append(fields, event.F("Error", err.Error())) // tried again at the next look
			}
			ne.Log.Log(event.VMEntryRemoved, fields...)
		}
	}
}

// goneVMs lists the VMs with an entry that have been dead, or away as planned,
// for so long that the entry is to go.
func (ne *Neighbours) goneVMs(now clock.Millis) []string {
	view := ne.View()
	ne.mu.Lock()
	defer ne.mu.Unlock()
	since := make(map[string]clock.Millis)
	var out []string
	for name := range ne.listed {
		vm, ok := view.VM(name)
		if !ok || vm.Health != board.Dead && vm.Health != board.Left {
			continue
		}
		since[name] = now
		if before, ok := ne.gone[name]; ok {
			since[name] = before
		}
		if now-since[name] >= goneAfter {
			out = append(out, name)
		}
	}
	ne.gone = since
	slices.Sort(out)
	return out
}
