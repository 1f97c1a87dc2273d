package fleet

import (
	"bytes"
	"slices"

	"alderdyke/internal/event"
	"alderdyke/internal/topic"
)

// storeRestored records that the store was restored from an older copy. What the fleet
// wrote since that copy is missing there and is written again: the secret by whichever VM
// is first, and each entry by its own VM. No VM is dropped because its entry is missing.
func (mb *Member) storeRestored() {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.lease = mb.lease.WithRestore()
}

// applySnapshot applies a listing of the whole topic.
func (mb *Member) applySnapshot(recs []topic.Record) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.lease.restored {
		mb.secret = nil // unless the snapshot contains one
		mb.entryRemoved = mb.entryRemoved || !containsKey(recs, vmKeyPrefix+mb.Self.ID)
	}
	var err error
	if mb.lease, err = mb.lease.WithSnapshot(recs); err != nil {
		mb.logUnreadable(LeaseKey, err)
	}
	for _, rec := range recs {
		mb.applyEntry(rec)
	}
}

// reportRewrite logs, and reports to OnRewrite, what this VM wrote again.
func (mb *Member) reportRewrite(kind string) {
	mb.Log.Log(event.WrittenAgain, event.F("Kind", kind), event.F("Era", topic.EraOf(mb.Topic.Next())))
	if mb.OnRewrite != nil {
		mb.OnRewrite(kind)
	}
}

func containsKey(recs []topic.Record, key string) bool {
	return slices.ContainsFunc(recs, func(rec topic.Record) bool { return rec.Key == key })
}

// secretNeedsWrite reports whether a secret must still be written to the topic.
func (mb *Member) secretNeedsWrite(secret []byte) bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.fleet == nil {
		return len(mb.secret) == 0
	}
	return bytes.Equal(mb.fleet.Secret, secret) && !bytes.Equal(mb.secret, secret)
}

// joinedBeforeRestore reports whether this VM joined its fleet before the store was last
// restored. The fleet's secret then stands: a VM that started in the meantime found no
// secret and created a fleet of its own, which it leaves when it sees that another fleet
// existed before.
func (mb *Member) joinedBeforeRestore() bool {
	era := topic.EraOf(mb.Topic.Next())
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.joinedEra < era
}

// leaveFleet stops a fleet so that this VM can join another one.
func (mb *Member) leaveFleet(fl *Fleet) {
	mb.mu.Lock()
	quit := mb.stopFleet
	if mb.fleet == fl {
		mb.fleet = nil
	}
	mb.mu.Unlock()
	quit()
}
