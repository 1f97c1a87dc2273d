// Package topic follows a keyed topic of the platform's store: first a
// listing of the newest record of each key, then the changes.
//
// In a fleet one VM reads and passes on what it read ([News]), so that what the
// store is asked does not grow with the fleet. The next few in line read when they
// heard nothing for a little longer than a read takes, from [Follower.Standby] on
// one shortly after the other, so that a first one that is cut off, slow or turned
// away by the store does not make all others ask. A VM that hears nothing for
// longer, or that missed something, reads for itself: no VM depends on another for
// longer than [Follower.Patience].
//
// Nor does a VM take its own failed calls for an [Outage] of the store: the news
// tell for how long it has answered others.
//
// # Usage
//
//	fo := &topic.Follower{Source: store, Name: "servers", Pause: 700, OnSnapshot: whole, OnChange: change}
//	fo.Rank = func() int { ... } // tells this VM's place among those that read for others
//	fo.Tell = func(nw topic.News) { ... }
//	go fo.Run(ctx)
//	fo.Hear(news) // what another VM passed on
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
	// ErrDropped tells that the records after an offset are not kept any more.
	ErrDropped = errors.New("the records were dropped")
	// ErrOlderCopy is an ErrDropped after which the store has come back from an
	// older copy: what was read may be gone, and entries too of those that live.
	ErrOlderCopy = fmt.Errorf("the store came back from an older copy: %w", ErrDropped)
	// errAbandoned tells that a read was given up for another one.
	errAbandoned = errors.New("the read was abandoned")
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
		// to ErrDropped if some are not kept any more, and to ErrOlderCopy if
		// the offset is of an earlier era than the store's.
		Read(ctx context.Context, topic string, from uint64, wait clock.Millis) (recs []Record, next uint64, err error)
	}

	// News is what one VM read and passes on: every record from From up to
	// Next that says something new. A VM that knows less than From has to read
	// for itself.
	News struct {
		Topic   string
		From    uint64
		Next    uint64
		Records []Record
		// OutageEnded is how long ago the last outage ended that the reader knows of;
		// zero: none lately.
		OutageEnded clock.Millis
		// Answered is for how long the store has answered without an outage, as far
		// as the reader knows; zero: not told.
		Answered clock.Millis
		Teller   string // VM from which the news came here
	}

	// Follower follows one topic. Set the exported fields before Run.
	Follower struct {
		Source Source
		Name   string
		Wait   clock.Millis // that a read waits for a change; zero: does not wait
		Pause  clock.Millis // between two reads
		Grace  clock.Millis // after an outage, in which entries may be renewed; at its end there is a read
		Hurry  func() bool  // tells that the pause is left out for now; may be nil
		Clock  clock.Source
		Log    event.Logger

		OnSnapshot  func(recs []Record) // takes a listing
		OnChange    func(rec Record)    // takes one change
		OnCaughtUp  func()              // hears that all is known up to now, after the changes; may be nil
		OnFailure   func()              // hears that a call of this VM was not answered; may be nil
		OnOutage    func(ou Outage)     // hears of the newest outage, which replaces the one before; zero: that was none; may be nil
		OnReconnect func()              // hears that the store answers this VM again; may be nil
		// OnOlderCopy hears that the store has come back from an older copy, before the
		// snapshot of what it has now; may be nil.
		OnOlderCopy func()

		// Rank tells this VM's place among those that read for others: the
		// first, 0, reads all the time, the next, 1, when it heard nothing for
		// Standby, each further one a little later, and those far behind when
		// they heard nothing for Patience. Nil means that each VM reads for
		// itself.
		Rank func() int
		Tell func(nw News) // passes on what a reader read
		// IsNews tells, before OnChange, whether a record that was read says more
		// than is known; one that does not, such as a heartbeat, is not passed
		// on. Nil: each does.
		IsNews   func(rec Record) bool
		Standby  clock.Millis
		Patience clock.Millis

		mu       sync.Mutex
		begun    bool // there was a listing
		listed   bool
		next     uint64
		relisted bool               // there was no read after the last listing
		heard    clock.Millis       // of the last news that left nothing out
		gap      bool               // news named records that are not known here
		leads    bool               // this VM reads in place of the first, of which it heard nothing
		kick     context.CancelFunc // ends the read in progress
		wake     chan struct{}      // holds a word when a read may be due
		lost     bool               // the last call was not answered
		avail    availability
		told     Outage // that OnOutage heard of last
	}
)

// Each takes a listing as if each of its records were a change.
func Each(change func(rec Record)) func(recs []Record) {
	return func(recs []Record) {
		for _, rec := range recs {
			change(rec)
		}
	}
}

// Kick has the topic asked anew: what is known may be late.
func (fo *Follower) Kick() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.gap = true
	fo.nudge()
	fo.abandon()
}

// Abandon ends the read that waits, if one does. It hangs for as long as its
// connection, also after the path to the store is back.
func (fo *Follower) Abandon() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.abandon()
}

// Retry has a read that failed tried again without a further pause.
func (fo *Follower) Retry() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.nudge()
	fo.abandon()
}

// abandon ends the read in progress. The lock is held.
func (fo *Follower) abandon() {
	if fo.kick != nil {
		fo.kick()
	}
}

// nudge wakes the loop. The lock is held.
func (fo *Follower) nudge() {
	if fo.wake == nil {
		fo.wake = make(chan struct{}, 1)
	}
	select {
	case fo.wake <- struct{}{}:
	default:
	}
}

// Hear takes what another VM passed on.
func (fo *Follower) Hear(nw News) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if !fo.listed {
		return
	}
	before := fo.told
	apply := fo.hearAvailability(nw)
	if apply && fo.heard < before.Until {
		// Renewals may be among what this VM has not read since.
		apply, fo.gap = false, true
		fo.nudge()
	}
	if nw.From > fo.next {
		fo.gap = true
		fo.nudge()
		return
	}
	for _, rec := range nw.Records {
		if rec.Offset >= fo.next {
			fo.OnChange(rec)
		}
	}
	fo.next = max(fo.next, nw.Next)
	if nw.Next >= fo.next {
		fo.heard = fo.now()
		fo.leads = false
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
	fo.nudge()
	fo.mu.Unlock()
	failures := 0
	var failed clock.Millis // the last call that failed
	for ctx.Err() == nil {
		if !fo.due() {
			fo.await(ctx)
			continue
		}
		fo.settle()
		began := fo.now()
		err := fo.ask(ctx)
		if errors.Is(err, ErrDropped) || errors.Is(err, errAbandoned) {
			continue
		}
		fo.note(ctx, err)
		if err != nil {
			now := fo.now()
			if now-failed > standbyBackoffMax && fo.heardSince(failed) {
				failures = 0 // it is another outage
			}
			failed = now
			fo.rest(ctx, fo.pauseAfter(failures, now-began))
			failures++
			continue
		}
		failures = 0
		if fo.Hurry == nil || !fo.Hurry() {
			clock.Sleep(ctx, fo.pause())
		}
	}
}

// due tells whether this VM has to read now.
func (fo *Follower) due() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return !fo.listed || fo.gap || fo.now() >= fo.dueAt()
}

// dueAt is when this VM reads if it hears nothing until then. The lock is held.
func (fo *Follower) dueAt() clock.Millis {
	at := fo.heard + fo.silence()
	if end := fo.graceEnd(); fo.heard < end {
		// Entries that expired are kept until the next read. The reader may be lost,
		// and so may its news.
		at = min(at, end+graceMargin+clock.Millis(min(fo.rank(), InLine))*graceStep)
	}
	return at
}

// await waits until a read may be due.
func (fo *Follower) await(ctx context.Context) {
	fo.mu.Lock()
	left := max(1, fo.dueAt()-fo.now())
	fo.mu.Unlock()
	fo.rest(ctx, left)
}

// heardSince tells whether news that left nothing out came after a point in time.
func (fo *Follower) heardSince(at clock.Millis) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.heard > at
}

// settle forgets a word on a read that is about to be made.
func (fo *Follower) settle() {
	select {
	case <-fo.wake:
	default:
	}
}

// rest waits for a span, or until a read is due for a new reason.
func (fo *Follower) rest(ctx context.Context, span clock.Millis) {
	timer := time.NewTimer(span.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-fo.wake:
	case <-timer.C:
	}
}

// ask reads once, for this VM and, if it is one that tells, for the others.
func (fo *Follower) ask(ctx context.Context) error {
	within, stop := context.WithCancel(ctx)
	defer stop()
	fo.mu.Lock()
	listed, from, wait, heard, gap := fo.listed, fo.next, fo.Wait, fo.heard, fo.gap
	rank := fo.rank()
	standby := rank > 0 && rank < InLine && fo.now()-heard >= fo.silence()
	if standby && !fo.leads || fo.lost {
		wait = 0 // the others have waited too, and would ask by themselves
	}
	fo.gap, fo.kick = false, stop
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
	fo.kick = nil
	if err == nil || errors.Is(err, ErrDropped) {
		fo.avail.answer(fo.now())
		fo.announce()
	}
	switch {
	case errors.Is(err, ErrDropped):
		fo.listed = false
		return err
	case err != nil:
		fo.gap = fo.gap || gap
		if within.Err() != nil && ctx.Err() == nil {
			return errAbandoned
		}
		return err
	}
	fo.leads = standby && fo.heard == heard // no: the first was heard meanwhile
	news := fo.take(listed, recs, next)
	if !fo.tells() {
		return nil
	}
	nw := News{From: from, Next: next, Records: news}
	if !listed {
		nw.From = next // a listing does not tell what changed
	}
	fo.tell(nw)
	return nil
}

// read reads changes from an offset on.
func (fo *Follower) read(ctx context.Context, from uint64, wait clock.Millis) (recs []Record, next uint64, err error) {
	if fo.lost {
		within, stop := context.WithTimeout(ctx, retryTimeout.Std())
		defer stop()
		ctx = within
	}
	return fo.Source.Read(ctx, fo.Name, from, wait)
}

// take takes what was read, and returns what of it is to be passed on. The
// lock is held.
func (fo *Follower) take(listed bool, recs []Record, next uint64) (news []Record) {
	if !listed {
		fo.noteEra(next)
		fo.OnSnapshot(recs)
		fo.listed, fo.next = true, next
		recs = nil
	}
	// The pages of a listing are not of one moment, so that this VM may know already
	// what is read after it, and the others may not.
	all := fo.relisted || fo.IsNews == nil
	fo.relisted = !listed
	for _, rec := range recs {
		// Another reader's news may have come while the read was under way.
		// Whether its records were new to the others is not known.
		known := rec.Offset < fo.next
		if all || known || fo.IsNews(rec) {
			news = append(news, rec)
		}
		if !known {
			fo.OnChange(rec)
		}
	}
	fo.next = max(fo.next, next)
	fo.heard = fo.now()
	fo.caughtUp()
	return news
}

// noteEra tells of a listing of a later era than what is known. The lock is held.
func (fo *Follower) noteEra(next uint64) {
	if !fo.begun || EraOf(next) == EraOf(fo.next) {
		fo.begun = true
		return
	}
	fo.Log.Log(event.StoreReturned, event.F("Topic", fo.Name), event.F("Era", EraOf(next)))
	fo.avail.restart(fo.now()) // entries of those that live may be missing, as after an outage
	fo.announce()
	if fo.OnOlderCopy != nil {
		fo.OnOlderCopy()
	}
}

// Next is the position from which this VM reads next.
func (fo *Follower) Next() uint64 {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.next
}

func (fo *Follower) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		fo.noteFailed()
	}
	switch {
	case err != nil && !fo.lost:
		fo.Log.Log(event.StoreLost, event.F("Topic", fo.Name), event.F("Error", err.Error()))
	case err == nil && fo.lost:
		fo.Log.Log(event.StoreBack, event.F("Topic", fo.Name))
		if fo.OnReconnect != nil {
			fo.OnReconnect()
		}
	}
	fo.lost = err != nil
}
