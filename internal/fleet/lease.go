package fleet

import (
	"context"
	"encoding/json"
	"errors"

	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/register"
	"alderdyke/internal/topic"
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
	Value json.RawMessage
}

// Read returns the lease on orders. It may be late, which Swap notices.
func (ne *Neighbours) Read(context.Context) (register.Entry, error) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.fleet == nil {
		return register.Entry{}, errNotJoined
	}
	return ne.lease, nil
}

// Swap replaces the lease on orders if its revision is still base. The topic
// holds more than the lease, so a swap fails now and then although the lease
// has not moved; the holder then tries again.
func (ne *Neighbours) Swap(ctx context.Context, base uint64, id string, value []byte) error {
	ne.mu.Lock()
	end, revision := ne.next, ne.lease.Revision
	ne.mu.Unlock()
	if revision != base {
		return &logsvc.AppendError{Stream: ne.Name, Effect: logsvc.NotAppended, Err: errMoved}
	}
	data, err := json.Marshal(leaseEntry{ID: id, Value: value})
	if err != nil {
		return &logsvc.AppendError{Stream: ne.Name, Effect: logsvc.NotAppended, Err: err}
	}
	offset, err := ne.Store.Append(ctx, ne.Name, LeaseKey, data, &end)
	if err != nil {
		ne.Topic.Kick() // perhaps what was read is late
		return err
	}
	ne.take(topic.Record{Key: LeaseKey, Value: data, Offset: offset})
	return nil
}

// takeLease takes the lease on orders. The lock is held.
func (ne *Neighbours) takeLease(rec topic.Record) {
	var en leaseEntry
	if err := json.Unmarshal(rec.Value, &en); err != nil {
		ne.Log.Log(event.EntryUnreadable, event.F("Key", rec.Key), event.F("Offset", rec.Offset), event.F("Error", err.Error()))
		return
	}
	if revision := rec.Offset + 1; revision > ne.lease.Revision {
		ne.lease = register.Entry{Key: LeaseKey, Revision: revision, ID: en.ID, Value: en.Value}
	}
}
