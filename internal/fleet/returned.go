package fleet

import (
	"bytes"
	"slices"

	"alderdyke/internal/event"
	"alderdyke/internal/topic"
)

// storeRestored notes that the store came back from an older copy. What the fleet wrote since
// is gone there, and is written again: its secret by whichever VM comes first, and by
// each VM its own entry. Nobody is forgotten for want of an entry.
func (mb *Member) storeRestored() {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.lease = mb.lease.WithRestore()
}

// applySnapshot takes a listing of the topic.
func (mb *Member) applySnapshot(recs []topic.Record) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.lease.restored {
		mb.secret = nil // unless the listing has one
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

// reportRewrite tells what this VM wrote again.
func (mb *Member) reportRewrite(kind string) {
	mb.Log.Log(event.WrittenAgain, event.F("Kind", kind), event.F("Era", topic.EraOf(mb.Topic.Next())))
	if mb.OnRewrite != nil {
		mb.OnRewrite(kind)
	}
}

func containsKey(recs []topic.Record, key string) bool {
	return slices.ContainsFunc(recs, func(rec topic.Record) bool { return rec.Key == key })
}

// secretNeedsWrite tells whether a secret is still to be written.
func (mb *Member) secretNeedsWrite(secret []byte) bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.fleet == nil {
		return len(mb.secret) == 0
	}
	return bytes.Equal(mb.fleet.Secret, secret) && !bytes.Equal(mb.secret, secret)
}

// joinedBeforeRestore tells whether this VM's fleet is older than the store's newest copy. Its
// secret then stands: a VM that started in between found none, and made a fleet of its
// own, which it leaves when it sees that another was there.
func (mb *Member) joinedBeforeRestore() bool {
	era := topic.EraOf(mb.Topic.Next())
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.joinedEra < era
}

// leaveFleet ends a fleet, to join another one.
func (mb *Member) leaveFleet(fl *Fleet) {
	mb.mu.Lock()
	quit := mb.stopFleet
	if mb.fleet == fl {
		mb.fleet = nil
	}
	mb.mu.Unlock()
	quit()
}
