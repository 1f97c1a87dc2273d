package register

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"alderdyke/internal/logsvc"
)

type (
	// State holds the registers of one stream as far as it was read. It has a
	// single owner and must not be used from several goroutines. Set Content,
	// and Buckets if it is not the default, before the first record. The zero
	// State has read nothing.
	State struct {
		Content Content
		Buckets int // zero means DefaultBuckets

		begun bool   // start and next are set
		start uint64 // every record from here to next was read
		next  uint64 // offset of the next record
		slots []slot
		edits uint64 // number of changes of entries

		// requested is the offset of the newest RestateRequest, plus one;
		// zero if there is none or this VM may have missed it.
		requested      uint64
		requestKnownTo uint64 // KnownTo of that request; affects only the order in which VMs recover

		broken brokenGuards
	}

	// slot is the state of one bucket.
	slot struct {
		// known is false while records of the bucket may have been missed;
		// the entries are then the last known ones.
		known        bool
		entries      map[string]Entry
		bytes        int           // total size of the entries, limited by MaxBucket
		held         []heldPublish // publications held back while not known, in log order
		restatedAsOf uint64        // highest AsOf of the Restates read
		covered      uint64        // offset of the newest valid Restate or Recover, plus one
		minAsOf      uint64        // a Restate as of an earlier offset is incomplete
		everKnown    bool          // the bucket was known before it became unknown
		knownTo      uint64        // offset up to which it was known then
	}

	heldPublish struct {
		offset uint64
		pub    Publish
	}

	// brokenGuards lets tests switch guards off to show that each is needed.
	brokenGuards struct {
		anyBase      bool // accept a publication with any base
		noRepeat     bool // do not recognise a repeated publication
		restateWins  bool // let a Restate replace known content
		oldRestate   bool // trust a Restate as of before the start
		noHold       bool // decide without what was missed
		gapIgnored   bool // continue after missed records
		snapshotWins bool // let any snapshot replace known content
		anyRecover   bool // trust a Recover even if the bucket was restated
		blindRecover bool // skip a Recover that can't be verified
	}

	// GapError reports that records are missing between the state and a batch.
	GapError struct {
		Next  uint64 // offset that the state needs next
		First uint64 // lowest offset of the batch
	}
)

// Next returns the offset of the next record.
func (st *State) Next() uint64 { return st.next }

// Known reports whether every register is decided up to Next.
func (st *State) Known() bool {
	return st.begun && !slices.ContainsFunc(st.slots, func(sl slot) bool { return !sl.known })
}

// Entry returns a register, the zero Entry if there is none, and whether it is
// decided up to Next. An undecided entry is the last known one.
func (st *State) Entry(key string) (en Entry, known bool) {
	if !st.begun {
		return Entry{}, false
	}
	sl := &st.slots[st.bucket(key)]
	return sl.entries[key], sl.known
}

// Entries returns all registers, sorted by key.
func (st *State) Entries() []Entry {
	var out []Entry
	for ix := range st.slots {
		out = append(out, st.slots[ix].sortedEntries()...)
	}
	slices.SortFunc(out, func(ea, eb Entry) int { return cmp.Compare(ea.Key, eb.Key) })
	return out
}

// Advance applies a batch that was read from the log. If the log has dropped
// records that the state needs, the registers become undecided and keep their last
// known entries until Restates or a snapshot supply what was missed.
func (st *State) Advance(ba logsvc.Batch) ([]Outcome, []error) {
	st.init()
	if !st.begun || ba.First > st.next {
		st.restartAt(ba.First)
	}
	return st.apply(ba)
}

// Follow applies a batch that a peer forwarded. If records are missing before it,
// Follow changes nothing and returns a *GapError, since the log may still hold what
// the peer has dropped.
func (st *State) Follow(ba logsvc.Batch) ([]Outcome, []error, error) {
	st.init()
	if !st.begun || ba.First > st.next {
		return nil, nil, &GapError{Next: st.next, First: ba.First}
	}
	outs, bad := st.apply(ba)
	return outs, bad, nil
}

func (st *State) init() {
	if st.slots != nil {
		return
	}
	if st.Buckets == 0 {
		st.Buckets = DefaultBuckets
	}
	st.slots = make([]slot, st.Buckets)
	for ix := range st.slots {
		st.slots[ix].entries = map[string]Entry{}
	}
}

// restartAt restarts the state at an offset. Only at offset zero was nothing missed.
func (st *State) restartAt(first uint64) {
	if st.begun && st.broken.gapIgnored {
		st.next = first
		return
	}
	before := st.next
	st.start, st.next, st.requested = first, first, 0
	for ix := range st.slots {
		sl := &st.slots[ix]
		if st.begun && sl.known {
			sl.everKnown, sl.knownTo = true, before
		}
		sl.held, sl.covered, sl.minAsOf = nil, 0, 0
		sl.known = first == 0 || st.broken.noHold
	}
	st.begun = true
}

// apply applies the records of a batch from next on. bad holds the errors of records that
// are invalid or contradict the state.
func (st *State) apply(ba logsvc.Batch) (outs []Outcome, bad []error) {
	for _, raw := range ba.Records {
		if raw.Offset < st.next {
			continue
		}
		st.next = raw.Offset + 1
		rec, err := Parse(raw.Offset, raw.Data)
		if err != nil {
			bad = append(bad, err)
			continue
		}
		switch rec := rec.(type) {
		case Publish:
			outs = append(outs, st.publish(raw.Offset, rec)...)
		case Restate:
			out, err := st.applyRestate(raw.Offset, rec)
			outs = append(outs, out...)
			if err != nil {
				bad = append(bad, err)
			}
		case RestateRequest:
			st.requested, st.requestKnownTo = raw.Offset+1, rec.KnownTo
		case Recover:
			out, err := st.applyRecover(raw.Offset, rec)
			outs = append(outs, out...)
			if err != nil {
				bad = append(bad, err)
			}
		}
	}
	st.next = max(st.next, ba.Next)
	return outs, bad
}

// publish decides a publication, or holds it back while its bucket is unknown.
func (st *State) publish(offset uint64, pub Publish) []Outcome {
	sl := &st.slots[st.bucket(pub.Key)]
	if !sl.known {
		sl.held = append(sl.held, heldPublish{offset: offset, pub: pub})
		return nil
	}
	return []Outcome{st.decide(sl, offset, pub)}
}

// decide decides a publication. The decision depends only on the earlier records of
// the key's bucket.
func (st *State) decide(sl *slot, offset uint64, pub Publish) Outcome {
	cur := sl.entries[pub.Key]
	out := Outcome{Offset: offset, ID: pub.ID, Key: pub.Key, Ruling: Refused, Current: cur.Revision}
	if rev, ok := cur.acceptedAs(pub.ID); ok && !st.broken.noRepeat {
		out.Ruling, out.Revision = AlreadyAccepted, rev
		return out
	}
	if pub.Base != cur.Revision && !st.broken.anyBase {
		out.Reason = BaseMismatch
		return out
	}
	next := Entry{Key: pub.Key, Revision: offset + 1, ID: pub.ID, Value: pub.Value, Earlier: cur.earlier()}
	if out.Reason = st.refusalReason(sl, cur, next); out.Reason != "" {
		return out
	}
	st.setEntry(sl, next)
	out.Ruling, out.Revision, out.Current = Accepted, next.Revision, next.Revision
	return out
}

// refusalReason returns why an entry that would replace cur is refused; empty if it is not.
func (st *State) refusalReason(sl *slot, cur, next Entry) Reason {
	switch {
	case len(next.Value) == 0 && cur.Revision == 0:
		return NothingThere
	case len(next.Value) > 0 && st.Content.check(next.Key, next.Value) != nil:
		return BadValue
	case next.size() > cur.size() && sl.bytes-cur.size()+next.size() > MaxBucket:
		return BucketFull
	}
	return ""
}

// earlier returns the publications that the register's next entry remembers.
func (en Entry) earlier() []Earlier {
	if en.Revision == 0 {
		return nil
	}
	all := append(slices.Clone(en.Earlier), Earlier{ID: en.ID, Revision: en.Revision})
	return all[max(0, len(all)-maxEarlier):]
}

func (st *State) setEntry(sl *slot, en Entry) {
	if old, ok := sl.entries[en.Key]; ok {
		sl.bytes -= old.size()
	}
	sl.bytes += en.size()
	sl.entries[en.Key] = en
	st.edits++
}

func (st *State) bucket(key string) int {
	return int(xxhash.Sum64String(key) % uint64(st.Buckets))
}

// Error describes the gap.
func (ge *GapError) Error() string { return "records are missing before the first one of the batch" }
