package topic

import (
	"context"
	"slices"

	"alderdyke/pkg/clock"
)

// rereadTimeout bounds the call for records that other VMs have read, during which newer ones
// are not applied. The store has just answered.
const rereadTimeout = 200 * clock.Millis(1)

// reread passes records before an offset to OnReread if the records from that offset on remove a
// key, and this VM has not read the earlier ones by itself. Without an answer it does nothing.
func (fo *Follower) reread(ctx context.Context, from uint64, recs []Record) {
	if !slices.ContainsFunc(recs, func(rec Record) bool { return len(rec.Value) == 0 }) {
		return
	}
	begin := fo.rereadFrom(from)
	if begin >= from {
		return
	}
	ctx, stop := context.WithTimeout(ctx, rereadTimeout.Std())
	defer stop()
	earlier, _, err := fo.Source.Read(ctx, fo.Name, begin, 0)
	if err != nil {
		return // a record that is no longer kept is too old to matter
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, rec := range earlier {
		if rec.Offset < from {
			rec.After = fo.ends.before(rec.Offset)
			fo.OnReread(rec)
		}
	}
}

// rereadFrom returns the position from which to reread before an offset, or the offset if there
// is nothing to reread.
func (fo *Follower) rereadFrom(from uint64) uint64 {
	if fo.OnReread == nil || fo.Reread == nil {
		return from
	}
	begin := from - min(fo.Reread(), OffsetOf(from))
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.readUntil == from && fo.readFrom <= begin {
		return from
	}
	return begin
}

// recordRange records which positions this VM has read by itself. A listing contains the newest
// record of each key, so that nothing before it is missing. The caller holds the lock.
func (fo *Follower) recordRange(listed bool, from, next uint64) {
	switch {
	case !listed:
		fo.readFrom = 0
	case fo.readUntil != from:
		fo.readFrom = from
	}
	fo.readUntil = next
}
