// Package topic follows a keyed topic of the platform's store: first a
// listing of the newest record of each key, then the changes.
//
// In a fleet one VM reads and passes on what it read ([Update]), so that what the
// store is asked does not grow with the fleet. The next few in line read when they
// heard nothing for a little longer than a read takes, from [Follower.StandbyAfter] on
// one shortly after the other, so that a first one that is cut off, slow or turned
// away by the store does not make all others ask. A VM that hears nothing for
// longer, or that missed something, reads for itself: no VM depends on another for
// longer than [Follower.SelfReadAfter].
//
// Nor does a VM take its own failed calls for an [Outage] of the store: the news
// tell for how long it has answered others.
//
// # Usage
//
//	fo := &topic.Follower{Source: store, Name: "servers", Pause: 700, OnSnapshot: whole, OnChange: change}
//	fo.Rank = func() int { ... } // tells this VM's place among those that read for others
//	fo.Broadcast = func(nw topic.Update) { ... }
//	go fo.Run(ctx)
//	fo.Receive(update) // what another VM passed on
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
	// ErrRecordsDropped tells that the records after an offset are not kept any more.
	ErrRecordsDropped = errors.New("the records were dropped")
	// ErrStoreRestored is an ErrRecordsDropped after which the store has come back from an
	// older copy: what was read may be gone, and entries too of those that live.
	ErrStoreRestored = fmt.Errorf("the store came back from an older copy: %w", ErrRecordsDropped)
	// errReadCancelled tells that a read was given up for another one.
	errReadCancelled = errors.New("the read was abandoned")
)

type (
	// Record is one record of a keyed topic. Without a value its key was
	// removed.
	Record struct {
		Key    string
		Value  []byte
		Offset uint64 // a Position, as all offsets here are
	}

	// Source is the store.
	Source interface {
		// Newest returns the newest record of each key, and the offset from
		// which changes are to be read.
		Newest(ctx context.Context, topic string) (recs []Record, next uint64, err error)
		// Read returns the records from an offset on, and the offset after
		// them. It waits up to a span for the first one. The error unwraps
		// to ErrRecordsDropped if some are not kept any more, and to ErrStoreRestored if
		// the offset is of an earlier era than the store's.
		Read(ctx context.Context, topic string, from uint64, wait clock.Millis) (recs []Record, next uint64, err error)
	}

	// Update is what one VM read and passes on: every record from From up to
	// Next that says something new. A VM that knows less than From has to read
	// for itself.
	Update struct {
		Topic   string
		From    uint64
		Next    uint64
		Records []Record
		// OutageEndedAgo is how long ago the last outage ended that the reader knows of;
		// zero: none lately.
		OutageEndedAgo clock.Millis
		// AvailableFor is for how long the store has answered without an outage, as far
		// as the reader knows; zero: not told.
		AvailableFor clock.Millis
		Sender       string // VM from which the news came here
	}

	// Follower follows one topic. Set the exported fields before Run.
	Follower struct {
		Source      Source
		Name        string
		Wait        clock.Millis // that a read waits for a change; zero: does not wait
		Pause       clock.Millis // between two reads
		GracePeriod clock.Millis // after an outage, in which entries may be renewed; at its end there is a read
		SkipPause   func() bool  // tells that the pause is left out for now; may be nil
		Clock       clock.Source
		Log         event.Logger

		OnSnapshot  func(recs []Record) // takes a listing
		OnChange    func(rec Record)    // takes one change
		OnCaughtUp  func()              // hears that all is known up to now, after the changes; may be nil
		OnFailure   func()              // hears that a call of this VM was not answered; may be nil
		OnOutage    func(ou Outage)     // hears of the newest outage, which replaces the one before; zero: that was none; may be nil
		OnReconnect func()              // hears that the store answers this VM again; may be nil
		// OnStoreRestored hears that the store has come back from an older copy, before the
		// snapshot of what it has now; may be nil.
		OnStoreRestored func()

		// Rank tells this VM's place among those that read for others: the
		// first, 0, reads all the time, the next, 1, when it heard nothing for
		// StandbyAfter, each further one a little later, and those far behind when
		// they heard nothing for SelfReadAfter. Nil means that each VM reads for
		// itself.
		Rank      func() int
		Broadcast func(nw Update) // passes on what a reader read
		// IsNew tells, before OnChange, whether a record that was read says more
		// than is known; one that does not, such as a heartbeat, is not passed
		// on. Nil: each does.
		IsNew         func(rec Record) bool
		StandbyAfter  clock.Millis
		SelfReadAfter clock.Millis

		mu             sync.Mutex
		everListed     bool // there was a listing
		listed         bool
		next           uint64
		relisted       bool               // there was no read after the last listing
		updatedAt      clock.Millis       // of the last news that left nothing out
		gap            bool               // news named records that are not known here
		leading        bool               // this VM reads in place of the first, of which it heard nothing
		cancelRead     context.CancelFunc // ends the read in progress
		wake           chan struct{}      // holds a word when a read may be due
		storeLost      bool               // the last call was not answered
		avail          availability
		reportedOutage Outage // that OnOutage heard of last
	}
)

// ApplyEach takes a listing as if each of its records were a change.
func ApplyEach(change func(rec Record)) func(recs []Record) {
	return func(recs []Record) {
		for _, rec := range recs {
			change(rec)
		}
	}
}

// Refresh has the topic asked anew: what is known may be late.
func (fo *Follower) Refresh() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.gap = true
	fo.wakeLoop()
	fo.cancelReadLocked()
}

// CancelRead ends the read that waits, if one does. It hangs for as long as its
// connection, also after the path to the store is back.
func (fo *Follower) CancelRead() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.cancelReadLocked()
}

// RetryNow has a read that failed tried again without a further pause.
func (fo *Follower) RetryNow() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.wakeLoop()
	fo.cancelReadLocked()
}

// cancelReadLocked ends the read in progress. The lock is held.
func (fo *Follower) cancelReadLocked() {
	if fo.cancelRead != nil {
		fo.cancelRead()
	}
}

// wakeLoop wakes the loop. The lock is held.
func (fo *Follower) wakeLoop() {
	if fo.wake == nil {
		fo.wake = make(chan struct{}, 1)
	}
	select {
	case fo.wake <- struct{}{}:
	default:
	}
}

// Receive takes what another VM passed on.
func (fo *Follower) Receive(nw Update) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if !fo.listed {
		return
	}
	before := fo.reportedOutage
	apply := fo.mergeAvailability(nw)
	if apply && fo.updatedAt < before.Until {
		// Renewals may be among what this VM has not read since.
		apply, fo.gap = false, true
		fo.wakeLoop()
	}
	if nw.From > fo.next {
		fo.gap = true
		fo.wakeLoop()
		return
	}
	for _, rec := range nw.Records {
		if rec.Offset >= fo.next {
			fo.OnChange(rec)
		}
	}
	fo.next = max(fo.next, nw.Next)
	if nw.Next >= fo.next {
		fo.updatedAt = fo.now()
		fo.leading = false
		apply = true
	}
	if apply {
		fo.caughtUp()
	}
}

func (fo *Follower) caughtUp() {
	if fo.OnCaughtUp != nil {
		fo.OnCaughtUp()
	}
}

func (fo *Follower) now() clock.Millis { return clock.Or(fo.Clock).Now() }

// Run follows the topic until the context ends.
func (fo *Follower) Run(ctx context.Context) {
	fo.mu.Lock()
	fo.wakeLoop()
	fo.mu.Unlock()
	failures := 0
	var failed clock.Millis // the last call that failed
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
			if now-failed > standbyBackoffMax && fo.updatedSince(failed) {
				failures = 0 // it is another outage
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

// readDue tells whether this VM has to read now.
func (fo *Follower) readDue() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return !fo.listed || fo.gap || fo.now() >= fo.nextReadAt()
}

// nextReadAt is when this VM reads if it hears nothing until then. The lock is held.
func (fo *Follower) nextReadAt() clock.Millis {
	at := fo.updatedAt + fo.silenceLimit()
	if end := fo.graceEnd(); fo.updatedAt < end {
		// Entries that expired are kept until the next read. The reader may be lost,
		// and so may its news.
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

// updatedSince tells whether news that left nothing out came after a point in time.
func (fo *Follower) updatedSince(at clock.Millis) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.updatedAt > at
}

// clearWake forgets a word on a read that is about to be made.
func (fo *Follower) clearWake() {
	select {
	case <-fo.wake:
	default:
	}
}

// sleepOrWake waits for a span, or until a read is due for a new reason.
func (fo *Follower) sleepOrWake(ctx context.Context, span clock.Millis) {
	timer := time.NewTimer(span.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-fo.wake:
	case <-timer.C:
	}
}

// readOnce reads once, for this VM and, if it is one that tells, for the others.
func (fo *Follower) readOnce(ctx context.Context) error {
	within, stop := context.WithCancel(ctx)
	defer stop()
	fo.mu.Lock()
	listed, from, wait, heard, gap := fo.listed, fo.next, fo.Wait, fo.updatedAt, fo.gap
	rank := fo.rank()
	standby := rank > 0 && rank < MaxReaders && fo.now()-heard >= fo.silenceLimit()
	if standby && !fo.leading || fo.storeLost {
		wait = 0 // the others have waited too, and would ask by themselves
	}
	fo.gap, fo.cancelRead = false, stop
	fo.mu.Unlock()
	var recs []Record
	var next uint64
	var err error
	if listed {
		recs, next, err = fo.read(within, from, wait)
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
	fo.leading = standby && fo.updatedAt == heard // no: the first was heard meanwhile
	news := fo.applyRead(listed, recs, next)
	if !fo.broadcasts() {
		return nil
	}
	nw := Update{From: from, Next: next, Records: news}
	if !listed {
		nw.From = next // a listing does not tell what changed
	}
	fo.broadcast(nw)
	return nil
}

// read reads changes from an offset on.
func (fo *Follower) read(ctx context.Context, from uint64, wait clock.Millis) (recs []Record, next uint64, err error) {
	if fo.storeLost {
		within, stop := context.WithTimeout(ctx, retryTimeout.Std())
		defer stop()
		ctx = within
	}
	return fo.Source.Read(ctx, fo.Name, from, wait)
}

// applyRead takes what was read, and returns what of it is to be passed on. The
// lock is held.
func (fo *Follower) applyRead(listed bool, recs []Record, next uint64) (news []Record) {
	if !listed {
		fo.checkEra(next)
		fo.OnSnapshot(recs)
		fo.listed, fo.next = true, next
		recs = nil
	}
	// The pages of a listing are not of one moment, so that this VM may know already
	// what is read after it, and the others may not.
	all := fo.relisted || fo.IsNew == nil
	fo.relisted = !listed
	for _, rec := range recs {
		// Another reader's news may have come while the read was under way.
		// Whether its records were new to the others is not known.
		known := rec.Offset < fo.next
		if all || known || fo.IsNew(rec) {
			news = append(news, rec)
		}
		if !known {
			fo.OnChange(rec)
		}
	}
	fo.next = max(fo.next, next)
	fo.updatedAt = fo.now()
	fo.caughtUp()
	return news
}

// checkEra tells of a listing of a later era than what is known. The lock is held.
func (fo *Follower) checkEra(next uint64) {
	if !fo.everListed || EraOf(next) == EraOf(fo.next) {
		fo.everListed = true
		return
	}
	fo.Log.Log(event.StoreReturned, event.F("Topic", fo.Name), event.F("Era", EraOf(next)))
	fo.avail.noteRestore(fo.now()) // entries of those that live may be missing, as after an outage
	fo.reportOutage()
	if fo.OnStoreRestored != nil {
		fo.OnStoreRestored()
	}
}

// Next is the position from which this VM reads next.
func (fo *Follower) Next() uint64 {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.next
}

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
