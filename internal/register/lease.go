package register

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/pkg/clock"
)

// DefaultMargin covers the relative drift of two VMs' clocks within a lease.
const DefaultMargin = clock.Second

type (
	// Holder decides for one VM and one resource when to acquire, renew and
	// release the lease, and whether an order may be sent.
	//
	// No clocks are compared. The lease holder counts the duration from before
	// the append; every other VM counts the duration plus a margin from when
	// it read the record. The lease therefore ends at its holder before
	// another VM appends. A renewal and a takeover that race name the same
	// base, so only one is accepted. The fencing token is the revision. For a
	// backend server that does not check it, call MayOrder immediately before
	// sending the order.
	//
	// Set the exported fields before the first Step. It has a single owner.
	Holder struct {
		Resource string
		Self     string // this VM and its incarnation
		Rand     *rand.Rand
		Duration clock.Millis // of the lease; default 10 s
		Margin   clock.Millis // default DefaultMargin; must be less than half of Duration
		// Lapses lets a lease that is no longer wanted expire instead of
		// releasing it, so that the last order of one VM and the first of
		// another are a duration apart.
		Lapses bool
		// Lossy means that the register may have lost the record of a
		// held lease. If there is none at first, the Holder waits out a lease.
		Lossy bool

		wanted      bool
		lastEntry   Entry        // last record observed
		known       bool         // the register is decided
		freeAt      clock.Millis // when another VM's lease has certainly ended
		usableUntil clock.Millis // when this VM stops using its own lease
		token       uint64       // zero if the lease is not held
		attempt     *attempt
		number      int
		notBefore   clock.Millis // earliest time of the next append
		started     bool
	}

	// attempt is an append whose result is unknown yet.
	attempt struct {
		id      string
		since   clock.Millis // before the append; the lease duration counts from here
		release bool
		base    uint64
	}

	// HolderEvent is an input of a Holder: LeaseObserved, LeaseWanted,
	// LeaseAppended or LeaseTick.
	HolderEvent interface{ holderEvent() }

	// HolderIntent is an action that a Holder requests: LeaseAppend, LeaseHeld,
	// LeaseLost, LogEvent or Wake.
	HolderIntent interface{ holderIntent() }

	// LeaseObserved carries the resource's register after each step of the
	// Follower, see [Follower.Entry].
	LeaseObserved struct {
		Entry Entry
		Known bool
	}

	// LeaseWanted sets whether this VM is to hold the lease. The VM must have
	// stopped its orders before it releases the lease.
	LeaseWanted struct{ Hold bool }

	// LeaseAppended answers a LeaseAppend.
	LeaseAppended struct {
		ID  string
		Err error
	}

	// LeaseTick reports that time has passed.
	LeaseTick struct{}

	// LeaseAppend requests an append to the stream of leases.
	LeaseAppend struct {
		ID   string
		Data []byte
	}

	// LeaseHeld reports that the lease is held, with its fencing token.
	LeaseHeld struct {
		Token uint64
		Until clock.Millis // on this VM's clock
	}

	// LeaseLost reports that the lease is no longer held.
	LeaseLost struct{ Token uint64 }
)

func (LeaseObserved) holderEvent() {}
func (LeaseWanted) holderEvent()   {}
func (LeaseAppended) holderEvent() {}
func (LeaseTick) holderEvent()     {}

func (LeaseAppend) holderIntent() {}
func (LeaseHeld) holderIntent()   {}
func (LeaseLost) holderIntent()   {}
func (LogEvent) holderIntent()    {}
func (Wake) holderIntent()        {}

// MayOrder reports whether an order may be sent at the given time, and its fencing
// token. Read the clock only after the order is completely prepared.
func (ho *Holder) MayOrder(now clock.Millis) (token uint64, may bool) {
	if ho.token == 0 || now >= ho.usableUntil {
		return 0, false
	}
	return ho.token, true
}

// Step handles one event and returns the resulting intents, in order.
func (ho *Holder) Step(now clock.Millis, ev HolderEvent) []HolderIntent {
	if !ho.started {
		ho.started = true
		if ho.Duration == 0 {
			ho.Duration = 10 * clock.Second
		}
		if ho.Margin == 0 {
			ho.Margin = DefaultMargin
		}
	}
	var out []HolderIntent
	switch ev := ev.(type) {
	case LeaseObserved:
		out = ho.handleObserved(now, ev)
	case LeaseWanted:
		ho.wanted = ev.Hold
	case LeaseAppended:
		ho.handleAppended(now, ev)
	case LeaseTick:
	}
	out = append(out, ho.checkExpiry(now)...)
	return append(out, ho.plan(now)...)
}

// handleObserved handles the resource's register as this VM last read it.
func (ho *Holder) handleObserved(now clock.Millis, ev LeaseObserved) []HolderIntent {
	if ho.Lossy && ev.Known && !ho.known {
		ho.freeAt = max(ho.freeAt, now+ho.Duration+ho.Margin+ho.jitter(ho.Margin))
	}
	ho.known = ev.Known
	if !ev.Known || ev.Entry.Revision == ho.lastEntry.Revision {
		return nil
	}
	ho.lastEntry = ev.Entry
	var le Lease
	if !ev.Entry.Withdrawn() && json.Unmarshal(ev.Entry.Value, &le) != nil {
		le.Duration = maxLease // not reached: the register accepts no value that does not decode
	}
	ho.freeAt = now + le.Duration + ho.Margin + ho.jitter(ho.Margin)
	at := ho.attempt
	mine := at != nil && at.id == ev.Entry.ID
	if at != nil && (mine || ev.Entry.Revision > at.base) {
		ho.attempt = nil // accepted, or refused permanently
	}
	if !mine || at.release {
		return ho.dropLease()
	}
	ho.token, ho.usableUntil = ev.Entry.Revision, at.since+ho.Duration-ho.Margin
	return []HolderIntent{
		LeaseHeld{Token: ho.token, Until: ho.usableUntil},
		LogEvent{Event: event.LeaseTaken, Fields: ho.fields(ho.token)},
	}
}

func (ho *Holder) fields(token uint64) []event.Field {
	return []event.Field{event.F("Resource", ho.Resource), event.F("Token", token)}
}

func (ho *Holder) dropLease() []HolderIntent {
	if ho.token == 0 {
		return nil
	}
	token := ho.token
	ho.token = 0
	return []HolderIntent{LeaseLost{Token: token}, LogEvent{Event: event.LeaseLapsed, Fields: ho.fields(token)}}
}

func (ho *Holder) checkExpiry(now clock.Millis) []HolderIntent {
	if ho.token != 0 && now >= ho.usableUntil {
		return ho.dropLease()
	}
	return nil
}

// handleAppended handles a failed append. Only an append that certainly failed may be
// followed by another at once; otherwise the register, or the attempt's expiry, decides.
func (ho *Holder) handleAppended(now clock.Millis, ev LeaseAppended) {
	if ho.attempt == nil || ho.attempt.id != ev.ID || ev.Err == nil {
		return
	}
	ho.notBefore = now + ho.jitter(ho.Margin)
	if effectOf(ev.Err) == logsvc.NotAppended {
		ho.attempt = nil
	}
}

// plan acquires, renews or releases the lease when that is due.
func (ho *Holder) plan(now clock.Millis) []HolderIntent {
	due, release := ho.nextAppend(now)
	if due == never {
		return nil
	}
	if now < due {
		if ho.token != 0 {
			due = min(due, ho.usableUntil)
		}
		return []HolderIntent{Wake{At: due}}
	}
	if at := ho.attempt; at != nil && now-at.since < ho.Duration/3 {
		// Append the same record again: if the first one was accepted, the
		// second changes nothing, and the lease still counts from the first.
		return ho.send(now, at)
	}
	ho.attempt = nil
	if release {
		// The next holder may append at once, so stop using the lease first.
		// If the append is not answered, the others wait out the duration.
		if ho.token == 0 {
			return nil
		}
		out := []HolderIntent{LeaseLost{Token: ho.token}}
		ho.token = 0
		return append(out, ho.send(now, ho.newAttempt(now, true))...)
	}
	if !ho.wanted {
		return nil
	}
	return ho.send(now, ho.newAttempt(now, false))
}

func (ho *Holder) newAttempt(now clock.Millis, release bool) *attempt {
	ho.number++
	ho.attempt = &attempt{
		id:    fmt.Sprintf("%s/%d/%08x", ho.Self, ho.number, ho.Rand.Uint32()),
		since: now, release: release, base: ho.lastEntry.Revision,
	}
	return ho.attempt
}

// send appends the record of an attempt, and plans the next append in case this one fails.
func (ho *Holder) send(now clock.Millis, at *attempt) []HolderIntent {
	ho.notBefore = now + ho.Margin + ho.jitter(ho.Margin)
	wake := ho.notBefore
	if ho.token != 0 {
		wake = min(wake, ho.usableUntil)
	}
	return []HolderIntent{LeaseAppend{ID: at.id, Data: ho.record(at)}, Wake{At: wake}}
}

func (ho *Holder) record(at *attempt) []byte {
	pub := Publish{ID: at.id, Key: ho.Resource, Base: at.base}
	if !at.release {
		// A struct of plain types always marshals.
		pub.Value, _ = json.Marshal(Lease{Holder: ho.Self, Duration: ho.Duration})
	}
	data, _ := Marshal(pub)
	return data
}

// nextAppend returns when the next append is due, and whether it releases the lease.
func (ho *Holder) nextAppend(now clock.Millis) (at clock.Millis, release bool) {
	mine := ho.token != 0
	switch {
	case !ho.known:
		return ho.expiryOrNever(), false
	case ho.attempt != nil:
		return ho.notBefore, ho.attempt.release
	case mine && !ho.wanted && ho.Lapses:
		return ho.expiryOrNever(), false
	case mine && !ho.wanted:
		return max(now, ho.notBefore), true
	case mine:
		// a third of the duration after the append
		third := ho.usableUntil + ho.Margin - ho.Duration*2/3
		return max(third, ho.notBefore), false
	case !ho.wanted:
		return never, false
	case !ho.Lossy && (ho.lastEntry.Revision == 0 || ho.lastEntry.Withdrawn()):
		return max(now, ho.notBefore), false
	default:
		return max(ho.freeAt, ho.notBefore), false
	}
}

func (ho *Holder) expiryOrNever() clock.Millis {
	if ho.token != 0 {
		return ho.usableUntil
	}
	return never
}

// jitter returns a random span up to the given one.
func (ho *Holder) jitter(span clock.Millis) clock.Millis {
	return clock.Millis(ho.Rand.Int64N(int64(span) + 1))
}

// effectOf returns the effect of a failed append; MayBeAppended if the error does not say.
func effectOf(err error) logsvc.Effect {
	var ae *logsvc.AppendError
	if errors.As(err, &ae) {
		return ae.Effect
	}
	return logsvc.MayBeAppended
}
