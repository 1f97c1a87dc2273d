// Package topic follows a keyed topic of the platform's store: it first lists
// the newest record of each key and then applies the changes.
//
// In a fleet one VM reads and broadcasts what it read as an [Update], so that
// the load on the store does not grow with the fleet. The next few VMs by rank
// are standby readers. They read if they received no update for a little longer
// than a read takes, from [Follower.StandbyAfter] on and one shortly after the
// other, so that a first reader that is partitioned, slow or refused by the
// store does not make all others read. A VM that receives no update for longer,
// or that missed records, reads for itself: no VM depends on another for longer
// than [Follower.SelfReadAfter].
//
// A VM does not treat its own failed calls as an [Outage] of the store, since
// updates report for how long the store has answered other VMs.
//
// # Usage
//
//	fo := &topic.Follower{Source: store, Name: "servers", Pause: 700, OnSnapshot: snapshot, OnChange: change}
//	fo.Rank = func() int { ... } // returns this VM's rank among the readers
//	fo.Broadcast = func(nw topic.Update) { ... }
//	go fo.Run(ctx)
//	fo.Receive(update) // from another VM
package topic

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

var (
	// ErrRecordsDropped reports that the store no longer keeps the records after an offset.
	ErrRecordsDropped = errors.New("the records were dropped")
	// ErrStoreRestored is an ErrRecordsDropped after which the store was restored from an
	// older copy: records that were read may be missing, and so may entries of live servers.
	ErrStoreRestored = fmt.Errorf("the store was restored from an older copy: %w", ErrRecordsDropped)
	// errReadCancelled reports that a read was cancelled in favour of a new one.
	errReadCancelled = errors.New("the read was cancelled")
)

type (
	// Record is one record of a keyed topic. A record without a value removes
	// its key.
	Record struct {
		Key    string
		Value  []byte
		Offset uint64 // a Position, like all offsets in this package
		// Until is set on the removal of a key in an update: values up to this revision
		// were written before the removal, also those that take effect after it.
		Until Revision
		// After is set on a record that this VM read: it was written after this time. Zero
		// if that is not known.
		After clock.Millis
	}

	// Source reads topics from the store.
	Source interface {
		// Newest returns the newest record of each key, and the offset from
		// which to read changes.
		Newest(ctx context.Context, topic string) (recs []Record, next uint64, err error)
		// Read returns the records from an offset on, and the offset after
		// them. It waits up to the given span for the first record. The error
		// wraps ErrRecordsDropped if some records are no longer kept, and
		// ErrStoreRestored if the offset is of an earlier era than the store's.
		Read(ctx context.Context, topic string, from uint64, wait clock.Millis) (recs []Record, next uint64, err error)
	}

	// Update is what one VM read and broadcasts: every record from From up to
	// Next that changes something. A VM whose next offset is below From must
	// read for itself.
	Update struct {
		Topic   string
		From    uint64
		Next    uint64
		Records []Record
		// OutageEndedAgo is the time since the last outage that the sender knows of
		// ended; zero if there was none recently.
		OutageEndedAgo clock.Millis
		// AvailableFor is for how long the store has been available without an
		// outage, to the sender's knowledge; zero if unknown.
		AvailableFor clock.Millis
		// ReadAgo is the time since the start of the read that ended at Next; zero if
		// unknown.
		ReadAgo clock.Millis
		Sender  string // VM that sent the update to this VM
	}

	// Follower follows one topic. Set the exported fields before calling Run.
	Follower struct {
		Source      Source
		Name        string
		Wait        clock.Millis // how long a read waits for a change; zero: it returns at once
		Pause       clock.Millis // between two reads
		GracePeriod clock.Millis // after an outage, for entries to be renewed; this VM reads at its end
		SkipPause   func() bool  // reports whether to skip the pause for now; may be nil
		Clock       clock.Source
		Log         event.Logger

		OnSnapshot func(recs []Record) // receives a listing
		// OnMissed is called before OnSnapshot with the time since the last update or
		// read: entries that were written and removed in that time are not known. May be
		// nil.
		OnMissed    func(span clock.Millis)
		OnChange    func(rec Record) // receives one change
		OnCaughtUp  func()           // called after the changes, once everything up to now is applied; may be nil
		OnFailure   func()           // called when the store did not answer a call of this VM; may be nil
		OnOutage    func(ou Outage)  // receives the latest outage, which replaces the one before; zero: that one was refuted; may be nil
		OnReconnect func()           // called when the store answers this VM again; may be nil
		// OnStoreRestored is called when the store was restored from an older copy,
		// before OnSnapshot receives its content; may be nil.
		OnStoreRestored func()

		// Rank returns this VM's rank among the readers. Rank 0 reads all the
		// time, rank 1 if it received no update for StandbyAfter, each further
		// one a little later, and those from MaxReaders on if they received none
		// for SelfReadAfter. If Rank is nil, each VM reads for itself.
		Rank      func() int
		Broadcast func(nw Update) // sends what a reader read to the other VMs
		// IsNew reports, before OnChange, whether a record says more than is
		// known. Others, such as heartbeats, are not broadcast. If IsNew is nil,
		// every record is.
		IsNew func(rec Record) bool
		// Complete returns a record as it is broadcast. It is called before OnChange. May
		// be nil.
		Complete func(rec Record) Record
		// OnReread receives a record from before the position that this VM has reached, of
		// which it may not know all that others do: a listing lacks removals, and updates
		// leave out what IsNew rejects. A VM that reads the removal of a key rereads up to
		// Reread records before it. Both may be nil.
		OnReread      func(rec Record)
		Reread        func() uint64
		StandbyAfter  clock.Millis
		SelfReadAfter clock.Millis

		mu             sync.Mutex
		everListed     bool // a listing has succeeded
		listed         bool // next follows a listing; false again after records were dropped
		next           uint64
		readFrom       uint64 // positions between which this VM has read all records by itself
		readUntil      uint64
		ends           topicEnds          // latest known ends of the topic
		relisted       bool               // no read has followed the last listing
		updatedAt      clock.Millis       // when the last update or read left no gap
		gap            bool               // an update skipped records that are not known here
		leading        bool               // this VM reads in place of the first, from which it received no update
		cancelRead     context.CancelFunc // cancels the read in progress
		wake           chan struct{}      // holds a value when a read may be due
		storeLost      bool               // the last call was not answered
		avail          availability
		reportedOutage Outage // last one passed to OnOutage
	}
)

// ApplyEach returns a function that applies each record of a listing as a change.
func ApplyEach(change func(rec Record)) func(recs []Record) {
	return func(recs []Record) {
		for _, rec := range recs {
			change(rec)
		}
	}
}

// Refresh makes the follower read again at once, since what it knows may be outdated.
func (fo *Follower) Refresh() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.gap = true
	fo.wakeLoop()
	fo.cancelReadLocked()
}

// CancelRead cancels the read in progress, if there is one. Otherwise it would hang for as
// long as its connection, even after the network path to the store has recovered.
func (fo *Follower) CancelRead() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.cancelReadLocked()
}

// RetryNow retries a failed read without a further pause.
func (fo *Follower) RetryNow() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.wakeLoop()
	fo.cancelReadLocked()
}

// cancelReadLocked cancels the read in progress. The caller holds the lock.
func (fo *Follower) cancelReadLocked() {
	if fo.cancelRead != nil {
		fo.cancelRead()
	}
}

// wakeLoop wakes the loop of Run. The caller holds the lock.
func (fo *Follower) wakeLoop() {
	if fo.wake == nil {
		fo.wake = make(chan struct{}, 1)
	}
	select {
	case fo.wake <- struct{}{}:
	default:
	}
}

// Receive applies an update from another VM.
func (fo *Follower) Receive(nw Update) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if !fo.listed {
		return
	}
	before := fo.reportedOutage
	apply := fo.mergeAvailability(nw)
	if apply && fo.updatedAt < before.Until {
		// The records that this VM has not read since may contain renewals.
		apply, fo.gap = false, true
		fo.wakeLoop()
	}
	if nw.From > fo.next {
		fo.gap = true
		fo.wakeLoop()
		return
	}
	for _, rec := range nw.Records {
		switch {
		case rec.Offset >= fo.next:
			fo.OnChange(rec)
		case fo.OnReread != nil:
			fo.OnReread(rec)
		}
	}
	fo.next = max(fo.next, nw.Next)
	if nw.ReadAgo > 0 {
		fo.ends = fo.ends.with(nw.Next, fo.now()-nw.ReadAgo-maxUpdateDelay)
	}
	if nw.Next >= fo.next {
		fo.updatedAt = fo.now()
		fo.leading = false
		apply = true
	}
	if apply {
		fo.reportCaughtUp()
	}
}

// reportCaughtUp calls OnCaughtUp if it is set.
func (fo *Follower) reportCaughtUp() {
	if fo.OnCaughtUp != nil {
		fo.OnCaughtUp()
	}
}

func (fo *Follower) now() clock.Millis { return clock.OrBoottime(fo.Clock).Now() }

// Run follows the topic until the context is cancelled.
func (fo *Follower) Run(ctx context.Context) {
	fo.mu.Lock()
	fo.wakeLoop()
	fo.mu.Unlock()
	failures := 0
	var failed clock.Millis // time of the last failed call
	for ctx.Err() == nil {
		if !fo.readDue() {
			fo.awaitRead(ctx)
			continue
		}
		fo.clearWake()
		began := fo.now()
		err := fo.readOnce(ctx)
		if errors.Is(err, ErrRecordsDropped) || errors.Is(err, errReadCancelled) {
			continue
		}
		fo.recordResult(ctx, err)
		if err != nil {
			now := fo.now()
			if now-failed > nonReaderBackoffMax && fo.updatedSince(failed) {
				failures = 0 // a new outage
			}
			failed = now
			fo.sleepOrWake(ctx, fo.backoff(failures, now-began))
			failures++
			continue
		}
		failures = 0
		if fo.SkipPause == nil || !fo.SkipPause() {
			clock.Sleep(ctx, fo.nextPause())
		}
	}
}

// readDue reports whether this VM has to read now.
func (fo *Follower) readDue() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return !fo.listed || fo.gap || fo.now() >= fo.nextReadAt()
}

// nextReadAt returns when this VM reads if it receives no update until then. The caller
// holds the lock.
func (fo *Follower) nextReadAt() clock.Millis {
	at := fo.updatedAt + fo.silenceLimit()
	if end := fo.graceEnd(); fo.updatedAt < end {
		// Expired entries are kept until the next read after the grace period. The
		// reader may have failed, or its update may have been lost.
		at = min(at, end+graceMargin+clock.Millis(min(fo.rank(), MaxReaders))*graceStep)
	}
	return at
}

// awaitRead waits until a read may be due.
func (fo *Follower) awaitRead(ctx context.Context) {
	fo.mu.Lock()
	left := max(1, fo.nextReadAt()-fo.now())
	fo.mu.Unlock()
	fo.sleepOrWake(ctx, left)
}

// updatedSince reports whether an update or read left no gap after a point in time.
func (fo *Follower) updatedSince(at clock.Millis) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.updatedAt > at
}

// clearWake discards a pending wake-up, since the read it asks for is about to be made.
func (fo *Follower) clearWake() {
	select {
	case <-fo.wake:
	default:
	}
}

// sleepOrWake waits for a span, or until wakeLoop is called or the context is cancelled.
func (fo *Follower) sleepOrWake(ctx context.Context, span clock.Millis) {
	timer := time.NewTimer(span.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-fo.wake:
	case <-timer.C:
	}
}

// readOnce reads once and, if this VM is a reader for others, broadcasts the result.
func (fo *Follower) readOnce(ctx context.Context) error {
	within, stop := context.WithCancel(ctx)
	defer stop()
	fo.mu.Lock()
	listed, from, wait, updatedAt, gap := fo.listed, fo.next, fo.Wait, fo.updatedAt, fo.gap
	rank := fo.rank()
	standby := rank > 0 && rank < MaxReaders && fo.now()-updatedAt >= fo.silenceLimit()
	if standby && !fo.leading || fo.storeLost {
		wait = 0 // the others have already waited, and would soon read for themselves
	}
	fo.gap, fo.cancelRead = false, stop
	began := fo.now()
	fo.mu.Unlock()
	var recs []Record
	var next uint64
	var err error
	if listed {
		recs, next, err = fo.read(within, from, wait)
		fo.reread(within, from, recs)
	} else {
		recs, next, err = fo.Source.Newest(within, fo.Name)
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.cancelRead = nil
	if err == nil || errors.Is(err, ErrRecordsDropped) {
		fo.avail.recordAnswer(fo.now())
		fo.reportOutage()
	}
	switch {
	case errors.Is(err, ErrRecordsDropped):
		fo.listed = false
		return err
	case err != nil:
		fo.gap = fo.gap || gap
		if within.Err() != nil && ctx.Err() == nil {
			return errReadCancelled
		}
		return err
	}
	fo.leading = standby && fo.updatedAt == updatedAt // false if another reader's update arrived meanwhile
	news := fo.applyRead(listed, recs, next)
	fo.recordRange(listed, from, next)
	fo.ends = fo.ends.with(next, began)
	if !fo.broadcasts() {
		return nil
	}
	nw := Update{From: from, Next: next, Records: news, ReadAgo: max(1, fo.now()-began)}
	if !listed {
		nw.From = next // a listing does not say what changed
	}
	fo.broadcast(nw)
	return nil
}

// read reads the changes from an offset on.
func (fo *Follower) read(ctx context.Context, from uint64, wait clock.Millis) (recs []Record, next uint64, err error) {
	if fo.storeLost {
		within, stop := context.WithTimeout(ctx, retryTimeout.Std())
		defer stop()
		ctx = within
	}
	return fo.Source.Read(ctx, fo.Name, from, wait)
}

// applyRead applies the result of a read, and returns the records to broadcast. The
// caller holds the lock.
func (fo *Follower) applyRead(listed bool, recs []Record, next uint64) (news []Record) {
	if !listed {
		fo.reportMissed(next)
		fo.checkEra(next)
		fo.OnSnapshot(recs)
		fo.listed, fo.next = true, next
		recs = nil
	}
	// The pages of a listing are not taken at the same time. This VM may already know
	// records that are read after it, while the others may not.
	all := fo.relisted || fo.IsNew == nil
	fo.relisted = !listed
	for _, rec := range recs {
		rec.After = fo.ends.before(rec.Offset)
		// Another reader's update may have arrived during the read. It is unknown
		// whether its records were new to the others.
		known := rec.Offset < fo.next
		if all || known || fo.IsNew(rec) {
			news = append(news, fo.complete(rec))
		}
		if !known {
			fo.OnChange(rec)
		}
	}
	fo.next = max(fo.next, next)
	fo.updatedAt = fo.now()
	fo.reportCaughtUp()
	return news
}

// complete returns a record as it is broadcast. The caller holds the lock.
func (fo *Follower) complete(rec Record) Record {
	if fo.Complete == nil {
		return rec
	}
	return fo.Complete(rec)
}

// reportMissed calls OnMissed for a listing. After a restore of the store, any time may have
// been missed. The caller holds the lock.
func (fo *Follower) reportMissed(next uint64) {
	if fo.OnMissed == nil {
		return
	}
	if span := fo.now() - fo.updatedAt; fo.everListed && EraOf(next) == EraOf(fo.next) {
		fo.OnMissed(span)
		return
	}
	fo.OnMissed(fo.now())
}

// checkEra detects a listing of another era than the last one. The caller holds the lock.
func (fo *Follower) checkEra(next uint64) {
	if !fo.everListed || EraOf(next) == EraOf(fo.next) {
		fo.everListed = true
		return
	}
	fo.Log.Log(event.StoreReturned, event.F("Topic", fo.Name), event.F("Era", EraOf(next)))
	fo.avail.recordRestore(fo.now()) // entries of live servers may be missing, as after an outage
	fo.reportOutage()
	if fo.OnStoreRestored != nil {
		fo.OnStoreRestored()
	}
}

// IsCurrent reports whether an update or read that left no gap is at most a span old.
func (fo *Follower) IsCurrent(span clock.Millis) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.listed && !fo.gap && fo.updatedAt > 0 && fo.now()-fo.updatedAt <= span
}

// Next returns the position from which this VM reads next.
func (fo *Follower) Next() uint64 {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.next
}

// recordResult records whether the store answered the last read. It logs when the store
// stops answering and when it answers again.
func (fo *Follower) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		fo.recordFailure()
	}
	switch {
	case err != nil && !fo.storeLost:
		fo.Log.Log(event.StoreLost, event.F("Topic", fo.Name), event.F("Error", err.Error()))
	case err == nil && fo.storeLost:
		fo.Log.Log(event.StoreBack, event.F("Topic", fo.Name))
		if fo.OnReconnect != nil {
			fo.OnReconnect()
		}
	}
	fo.storeLost = err != nil
}
