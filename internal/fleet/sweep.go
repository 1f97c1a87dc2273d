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
	// sweepInterval is how often the first reader looks for expired entries, and each
	// VM checks whether its own entry was removed.
	sweepInterval = 10 * clock.Second
	// entryRetention is how long a VM must be dead, or have left, before its entry is
	// removed: restarts, power failures and partitions end within a minute, and a VM
	// that returns later writes its entry again.
	entryRetention = 2 * clock.Minute
)

// maintainEntry keeps this VM's entry in the topic once it accepts requests. The topic's
// follower logs that the store is unreachable.
func (mb *Member) maintainEntry(ctx context.Context, self board.VM) {
	value, err := json.Marshal(vmEntry{Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
		Region: self.Region, Callers: self.Caller, Peers: self.Peer})
	if err != nil {
		mb.Log.Log(event.EntryUnreadable, event.F("Key", vmKeyPrefix+self.ID), event.F("Error", err.Error()))
		return
	}
	for written, again := false, false; ; {
		if written && mb.takeEntryRemoved() {
			written, again = false, true // other VMs removed the entry as expired, or the store lost it
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

// takeEntryRemoved reports whether this VM's entry was removed since the last call.
func (mb *Member) takeEntryRemoved() bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	dropped := mb.entryRemoved
	mb.entryRemoved = false
	return dropped
}

// sweepEntries removes the entries of VMs that will not return. Otherwise a VM that starts
// would probe each of them, and list it to callers until it is suspect.
func (mb *Member) sweepEntries(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		gone := mb.expiredEntries(clock.OrBoottime(mb.Clock).Now())
		if _, whole := mb.Others(); !whole || mb.Rank() != 0 {
			continue // this VM may be the one that is partitioned, or another VM removes the entries
		}
		for _, name := range gone {
			_, err := mb.Store.Append(ctx, mb.TopicName, vmKeyPrefix+name, nil, nil)
			fields := []event.Field{event.F("Other", name)}
			if err != nil {
				fields = append(fields, event.F("Error", err.Error())) // tried again in the next round
			}
			mb.Log.Log(event.VMEntryRemoved, fields...)
		}
	}
}

// expiredEntries lists the VMs with an entry that have been dead, or have left, for at
// least entryRetention.
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
