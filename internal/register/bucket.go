package register

import (
	"cmp"
	"fmt"
	"slices"
)

func (st *State) restate(offset uint64, rst Restate) ([]Outcome, error) {
	if err := st.fits(offset, rst.Bucket, rst.Buckets, rst.Entries); err != nil {
		return nil, err
	}
	sl := &st.slots[rst.Bucket]
	sl.restated = max(sl.restated, rst.AsOf)
	covered := sl.covered
	sl.covered = offset + 1
	if sl.known && !st.broken.restateWins {
		if rst.AsOf < covered {
			return nil, nil // overtaken on its way, perhaps by a Recover
		}
		return nil, sl.agrees(offset, rst)
	}
	if rst.AsOf < max(st.start, sl.lowest) && !st.broken.oldRestate {
		return nil, nil
	}
	return st.settle(sl, rst.AsOf, rst.Entries), nil
}

func (st *State) fits(offset uint64, bucket, buckets int, ens []Entry) error {
	if buckets != st.Buckets {
		return &RecordError{Offset: offset, Detail: "is for another number of buckets"}
	}
	for _, en := range ens {
		if st.bucket(en.Key) != bucket {
			return &RecordError{Offset: offset, Detail: "holds a key of another bucket"}
		}
	}
	return nil
}

// recover takes a Recover. Whether it counts follows from the records since
// the newest request. A reader that may have missed that request, and does
// not know the bucket, starts the bucket anew after it.
func (st *State) recover(offset uint64, rc Recover) ([]Outcome, error) {
	if err := st.fits(offset, rc.Bucket, rc.Buckets, rc.Entries); err != nil {
		return nil, err
	}
	sl := &st.slots[rc.Bucket]
	if st.requested == 0 && st.start > 0 && !sl.known && !st.broken.blindRecover {
		sl.lowest = offset + 1
		return sl.passAll(), nil
	}
	counts := rc.Request+1 == st.requested && sl.covered < st.requested
	if !counts && !st.broken.anyRecover {
		return nil, nil
	}
	outs := sl.passAll()
	sl.covered, sl.known = offset+1, true
	sl.entries, sl.bytes = map[string]Entry{}, 0
	for _, en := range rc.Entries {
		st.put(sl, Entry{
			Key: en.Key, Revision: offset + 1, ID: fmt.Sprintf("%s%d", recoverPrefix, offset),
			Value: en.Value, Earlier: en.earlier(),
		})
	}
	st.edits++
	return outs, nil
}

// passAll drops the held publications, whose rulings mean nothing any more.
func (sl *slot) passAll() []Outcome {
	var outs []Outcome
	for _, he := range sl.held {
		outs = append(outs, Outcome{Offset: he.offset, ID: he.pub.ID, Key: he.pub.Key, Ruling: Passed})
	}
	sl.held = nil
	return outs
}

// missedFrom is the highest offset up to which a bucket was known that is not
// known now.
func (st *State) missedFrom() uint64 {
	var from uint64
	for ix := range st.slots {
		if !st.slots[ix].known {
			from = max(from, st.slots[ix].knownTo)
		}
	}
	return from
}

// lastKnown returns the Recover of a bucket that is not known; false if there
// is no request that stayed without answer. That of a bucket which never was
// known is empty.
func (st *State) lastKnown(bucket int) (Recover, bool) {
	sl := &st.slots[bucket]
	if sl.known || st.requested == 0 || sl.covered >= st.requested {
		return Recover{}, false
	}
	return Recover{
		Request: st.requested - 1, AsOf: sl.knownTo, Bucket: bucket, Buckets: st.Buckets, Entries: sl.sorted(),
	}, true
}

// agrees tells whether a Restate says nothing that this VM should have known
// and doesn't.
func (sl *slot) agrees(offset uint64, rst Restate) error {
	for _, en := range rst.Entries {
		if sl.entries[en.Key].Revision < en.Revision {
			return &RecordError{Offset: offset, Detail: "restatement contradicts the log before it"}
		}
	}
	return nil
}

// settle decides a bucket whose content as of an offset, at or after the
// start, has become known. It replaces the last known content, which is older.
func (st *State) settle(sl *slot, asOf uint64, ens []Entry) []Outcome {
	sl.entries, sl.bytes = map[string]Entry{}, 0
	for _, en := range ens {
		st.put(sl, en)
	}
	st.edits++
	sl.known = true
	held := sl.held
	sl.held = nil
	var outs []Outcome
	for _, he := range held {
		if he.offset >= asOf {
			outs = append(outs, st.decide(sl, he.offset, he.pub))
		} else {
			outs = append(outs, sl.recall(he))
		}
	}
	return outs
}

// recall tells the ruling on a publication that was decided unseen.
func (sl *slot) recall(he heldPublish) Outcome {
	cur := sl.entries[he.pub.Key]
	out := Outcome{Offset: he.offset, ID: he.pub.ID, Key: he.pub.Key, Ruling: Passed, Current: cur.Revision}
	if rev, ok := cur.acceptedAs(he.pub.ID); ok {
		out.Ruling, out.Revision = Already, rev
		if rev == he.offset+1 {
			out.Ruling = Accepted
		}
	} else if cur.remembers(he.offset + 1) {
		out.Ruling, out.Reason = Refused, BaseMismatch
	}
	return out
}

// Restatement returns the Restate of a bucket as of Next; false while the
// bucket is not known.
func (st *State) Restatement(bucket int) (Restate, bool) {
	if !st.begun || !st.slots[bucket].known {
		return Restate{}, false
	}
	return Restate{AsOf: st.next, Bucket: bucket, Buckets: st.Buckets, Entries: st.slots[bucket].sorted()}, true
}

func (sl *slot) sorted() []Entry {
	var out []Entry
	for _, en := range sl.entries {
		out = append(out, en)
	}
	slices.SortFunc(out, func(ea, eb Entry) int { return cmp.Compare(ea.Key, eb.Key) })
	return out
}
