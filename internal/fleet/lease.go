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

// Errors for which the lease can't be read or swapped.
var (
	errNotJoined    = errors.New("this VM has not joined the fleet yet")
	errUnknownVM    = errors.New("the VM is not in this VM's view of the fleet")
	errLeaseChanged = errors.New("the lease has changed since it was read")
)

// leaseEntry is the lease as stored in the topic.
type leaseEntry struct {
	ID    string
	Era   uint64 // era of the store that the writer knew
	Value json.RawMessage
}

// leaseView is the lease on orders to engines as one VM has read it.
type leaseView struct {
	entry    register.Entry
	end      uint64       // position at which the topic ended at the last read
	restored bool         // the store was restored from an older copy, and the topic was not listed since
	duration clock.Millis // how long a lease lasts
}

// WithRestore returns the view after the store was restored from an older copy.
func (lv leaseView) WithRestore() leaseView {
	lv.restored = true
	return lv
}

// WithSnapshot returns the view after a listing of the whole topic.
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

// withUnknownHolder assumes that another VM holds the lease, if the older copy has no lease,
// so that this VM waits for the duration of a lease. The record by which the lease is held
// may be lost, even one that this VM never read, and its holder has stopped giving orders by
// the time that a further lease would have ended. If the copy has a lease, that one has a
// later position than the known one, and this VM waits until that one has ended.
func (lv leaseView) withUnknownHolder(recs []topic.Record) leaseView {
	if containsKey(recs, LeaseKey) {
		return lv
	}
	lv.entry = lv.unknownHolderEntry(topic.Position(topic.EraOf(lv.end)+1, 0))
	return lv
}

// unknownHolderEntry is a lease that any VM may hold and that no VM recognizes as its own.
func (lv leaseView) unknownHolderEntry(revision uint64) register.Entry {
	// Two fields of plain types always marshal.
	value, _ := json.Marshal(register.Lease{Holder: "unknown", Duration: lv.duration})
	return register.Entry{Key: LeaseKey, Revision: revision, Value: value}
}

// WithEnd returns the view after everything before the position end was read. A listing
// leaves out keys that were removed, so the topic may end beyond its last record.
func (lv leaseView) WithEnd(end uint64) leaseView {
	lv.end = max(lv.end, end)
	return lv
}

// WithRecord returns the view after a further record of the topic. An unreadable lease
// record changes only the end. If a lease record's writer knew an earlier era than the one
// that the record is in, it replaced a lease that the store no longer has, or it belongs to
// the older copy itself: its writer does not rely on it, and all VMs wait until it has ended.
func (lv leaseView) WithRecord(rec topic.Record) (leaseView, error) {
	lv = lv.WithEnd(rec.Offset + 1)
	if rec.Key != LeaseKey {
		return lv, nil
	}
	var en leaseEntry
	if err := json.Unmarshal(rec.Value, &en); err != nil {
		return lv, fmt.Errorf("decode the lease record at position %d: %w", rec.Offset, err)
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

// Swap returns the record that replaces the lease if its revision is still base, and the
// position at which the topic must end for it.
func (lv leaseView) Swap(base uint64, id string, value []byte) (data []byte, at uint64, err error) {
	if lv.entry.Revision != base {
		return nil, 0, errLeaseChanged
	}
	data, err = json.Marshal(leaseEntry{ID: id, Era: topic.EraOf(lv.end), Value: value})
	if err != nil {
		return nil, 0, fmt.Errorf("encode the lease: %w", err)
	}
	return data, lv.end, nil
}

// Read returns the lease on orders. It may be outdated, which Swap detects.
func (mb *Member) Read(context.Context) (register.Entry, error) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.fleet == nil {
		return register.Entry{}, errNotJoined
	}
	return mb.lease.entry, nil
}

// Swap replaces the lease on orders if its revision is still base. The topic holds
// more than the lease, so a swap sometimes fails although the lease has not changed;
// the holder then retries.
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
		mb.Topic.Refresh() // what was read may be outdated
		return err
	}
	mb.applyRecord(topic.Record{Key: LeaseKey, Value: data, Offset: offset})
	return nil
}
