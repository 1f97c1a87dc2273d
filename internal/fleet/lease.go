package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"alderdyke/internal/logsvc"
	"alderdyke/internal/register"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

// Causes for which the lease can't be read or swapped.
var (
	errNotJoined    = errors.New("this VM has not joined the others yet")
	errUnknownVM    = errors.New("this VM does not see such a VM")
	errLeaseChanged = errors.New("the lease has moved on")
)

// leaseEntry is the lease as it stands in the topic.
type leaseEntry struct {
	ID    string
	Era   uint64 // of the store, as far as who wrote it knew
	Value json.RawMessage
}

// leaseView is what a VM knows of the lease on orders.
type leaseView struct {
	entry    register.Entry
	end      uint64       // where the topic ended when it was read last
	restored bool         // the store came back from an older copy, and was not listed since
	duration clock.Millis // that a lease lasts
}

// WithRestore is the view after the store came back from an older copy.
func (lv leaseView) WithRestore() leaseView {
	lv.restored = true
	return lv
}

// WithSnapshot is the view after a listing of the topic.
func (lv leaseView) WithSnapshot(recs []topic.Record) (leaseView, error) {
	if lv.restored {
		lv.restored = false
		lv = lv.withUnknownHolder(recs)
	}
	var all error
	for _, rec := range recs {
		next, err := lv.WithRecord(rec)
		lv, all = next, errors.Join(all, err)
	}
	return lv, all
}

// withUnknownHolder has the lease count as another VM's, which is waited out, where the older
// copy has none: the record by which it is held may be gone, also one that this VM never
// saw, and whoever holds it by that has stopped when one more would have ended. Where the
// copy has one, that one is later than what is known, and is waited out too.
func (lv leaseView) withUnknownHolder(recs []topic.Record) leaseView {
	if containsKey(recs, LeaseKey) {
		return lv
	}
	lv.entry = lv.unknownHolderEntry(topic.Position(topic.EraOf(lv.end)+1, 0))
	return lv
}

// unknownHolderEntry is a lease that any VM may hold, and none knows as its own.
func (lv leaseView) unknownHolderEntry(revision uint64) register.Entry {
	// Two fields of plain types always marshal.
	value, _ := json.Marshal(register.Lease{Holder: "unknown", Duration: lv.duration})
	return register.Entry{Key: LeaseKey, Revision: revision, Value: value}
}

// WithEnd is the view after all up to a position was read. A listing leaves out keys that
// were removed, so the topic may end beyond its last record.
func (lv leaseView) WithEnd(end uint64) leaseView {
	lv.end = max(lv.end, end)
	return lv
}

// WithRecord is the view after a further record of the topic. A record of the lease
// that can't be read changes nothing but the end. One whose writer knew an earlier era
// than it stands in was swapped for a lease that the store does not have any more, or is
// of the older copy itself: whoever wrote it does not go by it, and all wait it out.
func (lv leaseView) WithRecord(rec topic.Record) (leaseView, error) {
	lv = lv.WithEnd(rec.Offset + 1)
	if rec.Key != LeaseKey {
		return lv, nil
	}
	var en leaseEntry
	if err := json.Unmarshal(rec.Value, &en); err != nil {
		return lv, fmt.Errorf("read the lease at %d: %w", rec.Offset, err)
	}
	revision := rec.Offset + 1
	switch {
	case revision <= lv.entry.Revision:
	case en.Era != topic.EraOf(rec.Offset):
		lv.entry = lv.unknownHolderEntry(revision)
	default:
		lv.entry = register.Entry{Key: LeaseKey, Revision: revision, ID: en.ID, Value: en.Value}
	}
	return lv, nil
}

// Swap is the record that replaces the lease if its revision is still base, and where
// the topic has to end for it.
func (lv leaseView) Swap(base uint64, id string, value []byte) (data []byte, at uint64, err error) {
	if lv.entry.Revision != base {
		return nil, 0, errLeaseChanged
	}
	data, err = json.Marshal(leaseEntry{ID: id, Era: topic.EraOf(lv.end), Value: value})
	if err != nil {
		return nil, 0, fmt.Errorf("write the lease: %w", err)
	}
	return data, lv.end, nil
}

// Read returns the lease on orders. It may be late, which Swap notices.
func (mb *Member) Read(context.Context) (register.Entry, error) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.fleet == nil {
		return register.Entry{}, errNotJoined
	}
	return mb.lease.entry, nil
}

// Swap replaces the lease on orders if its revision is still base. The topic
// holds more than the lease, so a swap fails now and then although the lease
// has not moved; the holder then tries again.
func (mb *Member) Swap(ctx context.Context, base uint64, id string, value []byte) error {
	read := mb.Topic.Next()
	mb.mu.Lock()
	mb.lease = mb.lease.WithEnd(read)
	data, end, err := mb.lease.Swap(base, id, value)
	mb.mu.Unlock()
	if err != nil {
		return &logsvc.AppendError{Stream: mb.TopicName, Effect: logsvc.NotAppended, Err: err}
	}
	offset, err := mb.Store.Append(ctx, mb.TopicName, LeaseKey, data, &end)
	if err != nil {
		mb.Topic.Refresh() // perhaps what was read is late
		return err
	}
	mb.applyRecord(topic.Record{Key: LeaseKey, Value: data, Offset: offset})
	return nil
}
