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
	// sweepInterval is how often the VM that reads for all looks for entries of VMs
	// that are gone,
	// and each VM whether its own entry went.
	sweepInterval = 10 * clock.Second
	// entryRetention is how long a VM must be dead, or have left, before its entry
	// goes: restarts, power cuts and partitions are over within a minute, and
	// a VM that comes back later writes its entry anew.
	entryRetention = 2 * clock.Minute
)

// maintainEntry keeps this VM's entry in the topic once it takes requests. That the
// store is away is told by the topic's follower.
func (mb *Member) maintainEntry(ctx context.Context, self board.VM) {
	value, err := json.Marshal(vmEntry{Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
		Region: self.Region, Callers: self.Caller, Peers: self.Peer})
	if err != nil {
		mb.Log.Log(event.EntryUnreadable, event.F("Key", vmKeyPrefix+self.ID), event.F("Error", err.Error()))
		return
	}
	for written, again := false, false; ; {
		if written && mb.takeEntryRemoved() {
			written, again = false, true // others took this VM for gone, or the store lost it
		}
		pause := sweepInterval
		if !written {
			pause = writeRetryPause
			if mb.Ready() {
				_, err := mb.Store.Append(ctx, mb.TopicName, vmKeyPrefix+self.ID, value, nil)
				written = err == nil
			}
			if written && again {
				mb.reportRewrite("Entry")
			}
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// takeEntryRemoved tells whether this VM's entry was removed since it was asked
// for last.
func (mb *Member) takeEntryRemoved() bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	dropped := mb.entryRemoved
	mb.entryRemoved = false
	return dropped
}

// sweepEntries removes the entries of VMs that are gone for good: a VM that starts
// would probe each of them, and name it to callers until it is suspect.
func (mb *Member) sweepEntries(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		gone := mb.expiredEntries(clock.OrBoottime(mb.Clock).Now())
		if _, whole := mb.Others(); !whole || mb.Rank() != 0 {
			continue // this VM may be the one that is cut off, or others see to it
		}
		for _, name := range gone {
			_, err := mb.Store.Append(ctx, mb.TopicName, vmKeyPrefix+name, nil, nil)
			fields := []event.Field{event.F("Other", name)}
			if err != nil {
				fields = append(fields, event.F("Error", err.Error())) // tried again at the next look
			}
			mb.Log.Log(event.VMEntryRemoved, fields...)
		}
	}
}

// expiredEntries lists the VMs with an entry that have been dead, or away as planned,
// for so long that the entry is to go.
func (mb *Member) expiredEntries(now clock.Millis) []string {
	view := mb.View()
	mb.mu.Lock()
	defer mb.mu.Unlock()
	since := make(map[string]clock.Millis)
	var out []string
	for name := range mb.listed {
		vm, ok := view.VM(name)
		if !ok || vm.Health != board.Dead && vm.Health != board.Left {
			continue
		}
		since[name] = now
		if before, ok := mb.deadSince[name]; ok {
			since[name] = before
		}
		if now-since[name] >= entryRetention {
			out = append(out, name)
		}
	}
	mb.deadSince = since
	slices.Sort(out)
	return out
}
