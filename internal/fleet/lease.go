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
	errNotJoined = errors.New("this VM has not joined the others yet")
	errUnknownVM = errors.New("this VM does not see such a VM")
	errMoved     = errors.New("the lease has moved on")
)

// leaseEntry is the lease as it stands in the topic.
type leaseEntry struct {
	ID    string
	Era   uint64 // of the store, as far as who wrote it knew
	Value json.RawMessage
}

// leaseView is what a VM knows of the lease on orders.
type leaseView struct {
	entry register.Entry
	end   uint64       // where the topic ended when it was read last
	anew  bool         // the store came back from an older copy, and was not listed since
	lasts clock.Millis // that a lease lasts
}

// WithReturn is the view after the store came back from an older copy.
func (lv leaseView) WithReturn() leaseView {
	lv.anew = true
	return lv
}

// WithListing is the view after a listing of the topic.
func (lv leaseView) WithListing(recs []topic.Record) (leaseView, error) {
	if lv.anew {
		lv.anew = false
		lv = lv.withDoubt(recs)
	}
	var all error
	for _, rec := range recs {
		next, err := lv.WithRecord(rec)
		lv, all = next, errors.Join(all, err)
	}
	return lv, all
}

// withDoubt has the lease count as another VM's, which is waited out, where the older
// copy has none: the record by which it is held may be gone, also one that this VM never
// saw, and whoever holds it by that has stopped when one more would have ended. Where the
// copy has one, that one is later than what is known, and is waited out too.
func (lv leaseView) withDoubt(recs []topic.Record) leaseView {
	if lists(recs, LeaseKey) {
		return lv
	}
	lv.entry = lv.anyones(topic.Position(topic.EraOf(lv.end)+1, 0))
	return lv
}

// anyones is a lease that any VM may hold, and none knows as its own.
func (lv leaseView) anyones(revision uint64) register.Entry {
	// Two fields of plain types always marshal.
	value, _ := json.Marshal(register.Lease{Holder: "unknown", Duration: lv.lasts})
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
		lv.entry = lv.anyones(revision)
	default:
		lv.entry = register.Entry{Key: LeaseKey, Revision: revision, ID: en.ID, Value: en.Value}
	}
	return lv, nil
}

// Swap is the record that replaces the lease if its revision is still base, and where
// the topic has to end for it.
func (lv leaseView) Swap(base uint64, id string, value []byte) (data []byte, at uint64, err error) {
	if lv.entry.Revision != base {
		return nil, 0, errMoved
	}
	data, err = json.Marshal(leaseEntry{ID: id, Era: topic.EraOf(lv.end), Value: value})
	if err != nil {
		return nil, 0, fmt.Errorf("write the lease: %w", err)
	}
	return data, lv.end, nil
}

// Read returns the lease on orders. It may be late, which Swap notices.
func (ne *Neighbours) Read(context.Context) (register.Entry, error) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.fleet == nil {
		return register.Entry{}, errNotJoined
	}
	return ne.lease.entry, nil
}

// Swap replaces the lease on orders if its revision is still base. The topic
// holds more than the lease, so a swap fails now and then although the lease
// has not moved; the holder then tries again.
func (ne *Neighbours) Swap(ctx context.Context, base uint64, id string, value []byte) error {
	read := ne.Topic.Next()
	ne.mu.Lock()
	ne.lease = ne.lease.WithEnd(read)
	data, end, err := ne.lease.Swap(base, id, value)
	ne.mu.Unlock()
	if err != nil {
		return &logsvc.AppendError{Stream: ne.Name, Effect: logsvc.NotAppended, Err: err}
	}
	offset, err := ne.Store.Append(ctx, ne.Name, LeaseKey, data, &end)
	if err != nil {
		ne.Topic.Refresh() // perhaps what was read is late
		return err
	}
	ne.take(topic.Record{Key: LeaseKey, Value: data, Offset: offset})
	return nil
}
