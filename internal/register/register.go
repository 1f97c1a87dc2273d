// Package register folds a stream of the platform's log into registers that
// change by compare-and-swap, and decides what one VM reads, requests from
// peers and appends to follow the stream.
//
// The configuration of customers is one such stream, the leases on orders to
// backend servers another. A register has a key, a value and a revision. A
// publication names the revision that it is based on, and is accepted if that
// revision is current when its record is reached, so every VM comes to the
// same ruling from the log alone. The revision of an accepted publication is
// the offset of its record plus one: it only increases, and zero means that
// nothing was ever published.
//
// The log drops old records, so the current state is written again: a
// [Restate] holds the complete content of one bucket of keys as of an offset.
// A reader that starts in the middle of the stream holds back the publications
// of a bucket until it reads a Restate as of its start or later, or receives a
// peer's snapshot. Then it decides them in order. A Restate supplies what such a
// reader missed and has no effect on the others, so it never overrides a
// change.
//
// If the log drops records that no VM has read, no VM can restate. VMs then
// append a [RestateRequest], and if it is not answered, a [Recover] makes the
// last known content current with a new revision.
//
// # Usage
//
//	fo := &register.Follower{Self: self, Rand: rng, Settings: register.Settings{
//		Content: register.Templates, Retention: 24 * clock.Hour}}
//	for _, in := range fo.Step(now, register.Tick{}) {
//		switch in := in.(type) {
//		case register.ReadLog: ...         // answer with Read
//		case register.Append: ...          // answer with Appended
//		case register.RequestRecords: ...  // answer with PeerRecords
//		case register.RequestSnapshot: ... // answer with PeerSnapshot
//		case register.TemplatesChanged: ...
//		case register.Verdict: ...
//		case register.LogEvent: ...
//		case register.Wake: ...            // answer with Tick
//		}
//	}
//
// A [Holder] beside it decides when to acquire and renew a lease and whether an
// order may still be sent.
package register

import (
	"encoding/json"
	"fmt"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// Kinds of content of a stream.
const (
	Templates Content = "Templates" // template.Template, keyed by customer
	Leases    Content = "Leases"    // Lease, keyed by resource
)

// Limits of one stream.
const (
	// DefaultBuckets is the number of buckets over which keys are spread. It
	// is part of the stream's format: VMs with different numbers can't use
	// each other's Restates.
	DefaultBuckets = 128

	MaxKey    = 128       // bytes of a key
	MaxID     = 64        // bytes of a publication's ID
	MaxValue  = 32 << 10  // bytes of a value
	MaxBucket = 640 << 10 // bytes of a bucket, so that its Restate fits one record

	// maxEarlier is the number of accepted publications that a register
	// remembers to recognise a repeated one.
	maxEarlier = 8

	maxLease = 10 * clock.Minute

	recoverPrefix = "recover/" // of the IDs of recovered entries
)

// Rulings on a publication. All VMs come to the same one.
const (
	Accepted        Ruling = "Accepted" // current, with its own revision
	AlreadyAccepted Ruling = "Already"  // repeats an accepted publication; changed nothing
	Refused         Ruling = "Refused"  // changed nothing
	// Undetermined means that this VM did not read the publication's
	// decision and can no longer reconstruct it.
	Undetermined Ruling = "Passed"
)

// Reasons for a refused publication.
const (
	BaseMismatch   Reason = "BaseMismatch"   // another revision is current
	BadValue       Reason = "BadValue"       // the value does not fit the stream's content
	NothingThere   Reason = "NothingThere"   // a withdrawal of what was never published
	BucketFull     Reason = "BucketFull"     // the bucket would exceed MaxBucket
	KeyHashTaken   Reason = "KeyHashTaken"   // an API key belongs to another customer
	NotReady       Reason = "NotReady"       // the configuration was not read yet
	TooMany        Reason = "TooMany"        // too many publications are pending at this VM
	LogUnreachable Reason = "LogUnreachable" // the log service accepted no record in time
	InDoubt        Reason = "InDoubt"        // the log service may or may not have accepted the record
	BadRecord      Reason = "BadRecord"      // an ID, key or value exceeds its limit
)

type (
	// Content is the kind of values in a stream.
	Content string

	// Ruling is the decision on a publication.
	Ruling string

	// Reason says why a publication was refused.
	Reason string

	// Lease is the value of a register in a stream of Leases. Its fencing
	// token is the register's revision.
	Lease struct {
		Holder   string
		Duration clock.Millis
	}

	// Outcome is the decision on the record of one publication.
	Outcome struct {
		Offset   uint64
		ID       string
		Key      string
		Ruling   Ruling
		Revision uint64 // assigned to the accepted publication
		Current  uint64 // current revision after it
		Reason   Reason // of a refusal
	}

	// ValueError reports that a value does not fit its stream.
	ValueError struct {
		Content Content
		Key     string
		Detail  string
	}
)

// Error returns a message with the key and the detail.
func (ve *ValueError) Error() string {
	return fmt.Sprintf("value of %q in a stream of %s: %s", ve.Key, ve.Content, ve.Detail)
}

// check returns an error if a value does not fit the stream. The result depends on
// nothing but the arguments, since every VM must come to the same one.
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
			return bad("has no holder or a duration out of range")
		}
	default:
		return bad("unknown content")
	}
	return nil
}
