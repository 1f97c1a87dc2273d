// Package register folds a stream of the platform's log into registers that
// change by compare-and-swap, and decides what one VM reads, asks and
// appends to follow it.
//
// The configuration of customers is one such stream, the leases on orders to
// backend servers another. A register has a key, a value and a revision. A
// publication names the revision that it is based on and is accepted if that
// is the one in force when its record is reached, so every VM comes to the
// same verdict from the log alone. The revision of an accepted publication
// is the offset of its record plus one: it only grows, and zero is left to
// mean that nothing was ever published.
//
// The log drops old records, so what is in force is written again: a
// [Restate] holds the whole content of one bucket of keys as of an offset. A
// reader that starts in the middle of the stream holds the publications of a
// bucket back until it meets a Restate as of its start or later, or a peer's
// snapshot. Then it decides them in order. A Restate tells such a reader what
// it missed and means nothing to the others, so it never beats a change.
//
// If the log drops records that nobody has read, nobody can restate. VMs then
// ask by a [RestateRequest], and if it stays without answer, a [Recover] puts
// the last known content in force with a new revision.
//
// # Usage
//
//	fo := &register.Follower{Self: self, Rand: rng, Settings: register.Settings{
//		Content: register.Templates, Retention: 24 * clock.Hour}}
//	for _, in := range fo.Step(now, register.Tick{}) {
//		switch in := in.(type) {
//		case register.ReadLog: ...   // answer with Read
//		case register.Append: ...    // answer with Appended
//		case register.RequestRecords: ...   // answer with PeerRecords
//		case register.RequestSnapshot: ... // answer with PeerSnapshot
//		case register.TemplatesChanged: ...
//		case register.Verdict: ...
//		case register.LogEvent: ...
//		case register.Wake: ...      // answer with Tick
//		}
//	}
//
// A [Holder] beside it decides when to take and renew a lease and whether an
// order may still be sent.
package register

import (
	"encoding/json"
	"fmt"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// What the values of a stream are.
const (
	Templates Content = "Templates" // template.Template, keyed by customer
	Leases    Content = "Leases"    // Lease, keyed by resource
)

// Bounds of one stream.
const (
	// DefaultBuckets is into how many buckets keys are spread. It is part of
	// the stream's format: VMs that disagree on it can't use each other's
	// Restates.
	DefaultBuckets = 128

	MaxKey    = 128       // bytes of a key
	MaxID     = 64        // bytes of a publication's ID
	MaxValue  = 32 << 10  // bytes of a value
	MaxBucket = 640 << 10 // bytes of a bucket, so that its Restate fits one record

	// maxEarlier bounds the accepted publications that a register remembers
	// to recognise a repeated one.
	maxEarlier = 8

	maxLease = 10 * clock.Minute

	recoverPrefix = "recover/" // of the IDs of recovered entries
)

// Rulings on a publication, the same at every VM.
const (
	Accepted        Ruling = "Accepted" // in force with its own revision
	AlreadyAccepted Ruling = "Already"  // a repeat of an accepted publication; changed nothing
	Refused         Ruling = "Refused"  // changed nothing
	// Undetermined is said of a publication that this VM did not see decided, and
	// that it can't tell the ruling of any more.
	Undetermined Ruling = "Passed"
)

// Why a publication was refused.
const (
	BaseMismatch   Reason = "BaseMismatch"   // another revision is in force
	BadValue       Reason = "BadValue"       // not a value of the stream's content
	NothingThere   Reason = "NothingThere"   // withdraws what was never published
	BucketFull     Reason = "BucketFull"     // beyond MaxBucket
	KeyHashTaken   Reason = "KeyHashTaken"   // an API key of another customer
	NotReady       Reason = "NotReady"       // the configuration was not learned yet
	TooMany        Reason = "TooMany"        // too many publications wait at this VM
	LogUnreachable Reason = "LogUnreachable" // the log service took no record in time
	InDoubt        Reason = "InDoubt"        // the log service may or may not have taken the record
	BadRecord      Reason = "BadRecord"      // an ID, key or value beyond its bounds
)

type (
	// Content of a stream.
	Content string

	// Ruling on a publication.
	Ruling string

	// Reason of a refusal.
	Reason string

	// Lease is the value of a register of Leases. Its fencing token is the
	// register's revision.
	Lease struct {
		Holder   string
		Duration clock.Millis
	}

	// Outcome is what the fold decided about one publication's record.
	Outcome struct {
		Offset   uint64
		ID       string
		Key      string
		Ruling   Ruling
		Revision uint64 // that the publication was accepted with
		Current  uint64 // in force after it
		Reason   Reason // of a refusal
	}

	// ValueError tells why a value doesn't fit its stream.
	ValueError struct {
		Content Content
		Key     string
		Detail  string
	}
)

// Error names the key.
func (ve *ValueError) Error() string {
	return fmt.Sprintf("value of %q in a stream of %s: %s", ve.Key, ve.Content, ve.Detail)
}

// check tells whether a value fits the stream. Every VM must come to the
// same result, so it depends on nothing else.
func (co Content) check(key string, value json.RawMessage) error {
	bad := func(detail string) error { return &ValueError{Content: co, Key: key, Detail: detail} }
	switch co {
	case Templates:
		var tpl template.Template
		if err := json.Unmarshal(value, &tpl); err != nil {
			return bad("not a template")
		}
		if tpl.Customer != key {
			return bad("names another customer")
		}
	case Leases:
		var le Lease
		if err := json.Unmarshal(value, &le); err != nil {
			return bad("not a lease")
		}
		if le.Holder == "" || le.Duration <= 0 || le.Duration > maxLease {
			return bad("has no holder or no proper duration")
		}
	default:
		return bad("unknown content")
	}
	return nil
}
