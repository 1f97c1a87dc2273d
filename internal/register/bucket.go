package register

import (
	"cmp"
	"fmt"
	"slices"
)

// applyRestate applies a Restate. It decides a bucket that is unknown. If the bucket is known,
// the Restate is only compared with it.
func (st *State) applyRestate(offset uint64, rst Restate) ([]Outcome, error) {
	if err := st.checkBucketKeys(offset, rst.Bucket, rst.Buckets, rst.Entries); err != nil {
		return nil, err
	}
	sl := &st.slots[rst.Bucket]
	sl.restatedAsOf = max(sl.restatedAsOf, rst.AsOf)
	covered := sl.covered
	sl.covered = offset + 1
	if sl.known && !st.broken.restateWins {
		if rst.AsOf < covered {
			return nil, nil // outdated on arrival, possibly by a Recover
		}
		return nil, sl.checkAgreement(offset, rst)
	}
	if rst.AsOf < max(st.start, sl.minAsOf) && !st.broken.oldRestate {
		return nil, nil
	}
	return st.adoptContent(sl, rst.AsOf, rst.Entries), nil
}

// checkBucketKeys checks that a Restate or Recover was written for the same number of buckets
// and contains only keys of its bucket.
func (st *State) checkBucketKeys(offset uint64, bucket, buckets int, ens []Entry) error {
	if buckets != st.Buckets {
		return &RecordError{Offset: offset, Detail: "written for another number of buckets"}
	}
	for _, en := range ens {
		if st.bucket(en.Key) != bucket {
			return &RecordError{Offset: offset, Detail: "contains a key of another bucket"}
		}
	}
	return nil
}

// applyRecover applies a Recover. Whether it counts depends on the records since the
// newest request. A reader that may have missed that request, and does not know the
// bucket, restarts the bucket after the Recover.
func (st *State) applyRecover(offset uint64, rc Recover) ([]Outcome, error) {
	if err := st.checkBucketKeys(offset, rc.Bucket, rc.Buckets, rc.Entries); err != nil {
		return nil, err
	}
	sl := &st.slots[rc.Bucket]
	if st.requested == 0 && st.start > 0 && !sl.known && !st.broken.blindRecover {
		sl.minAsOf = offset + 1
		return sl.dropHeld(), nil
	}
	counts := rc.Request+1 == st.requested && sl.covered < st.requested
	if !counts && !st.broken.anyRecover {
		return nil, nil
	}
	outs := sl.dropHeld()
	sl.covered, sl.known = offset+1, true
	sl.entries, sl.bytes = map[string]Entry{}, 0
	for _, en := range rc.Entries {
		st.setEntry(sl, Entry{
			Key: en.Key, Revision: offset + 1, ID: fmt.Sprintf("%s%d", recoverPrefix, offset),
			Value: en.Value, Earlier: en.earlier(),
		})
	}
	st.edits++
	return outs, nil
}

// dropHeld drops the held publications, whose rulings no longer have any effect.
func (sl *slot) dropHeld() []Outcome {
	var outs []Outcome
	for _, he := range sl.held {
		outs = append(outs, Outcome{Offset: he.offset, ID: he.pub.ID, Key: he.pub.Key, Ruling: Undetermined})
	}
	sl.held = nil
	return outs
}

// missedKnownTo returns the highest offset up to which a currently unknown bucket was
// known.
func (st *State) missedKnownTo() uint64 {
	var from uint64
	for ix := range st.slots {
		if !st.slots[ix].known {
			from = max(from, st.slots[ix].knownTo)
		}
	}
	return from
}

// recoverRecord returns the Recover of an unknown bucket; false if there is no
// unanswered request. The Recover of a bucket that was never known is empty.
func (st *State) recoverRecord(bucket int) (Recover, bool) {
	sl := &st.slots[bucket]
	if sl.known || st.requested == 0 || sl.covered >= st.requested {
		return Recover{}, false
	}
	return Recover{
		Request: st.requested - 1, AsOf: sl.knownTo, Bucket: bucket, Buckets: st.Buckets, Entries: sl.sortedEntries(),
	}, true
}

// checkAgreement returns an error if a Restate contains a revision that this VM should
// already have but does not.
func (sl *slot) checkAgreement(offset uint64, rst Restate) error {
	for _, en := range rst.Entries {
		if sl.entries[en.Key].Revision < en.Revision {
			return &RecordError{Offset: offset, Detail: "restatement contradicts the log before it"}
		}
	}
	return nil
}

// adoptContent decides a bucket from its content as of an offset at or after the start.
// The content replaces the last known one, which is older.
func (st *State) adoptContent(sl *slot, asOf uint64, ens []Entry) []Outcome {
	sl.entries, sl.bytes = map[string]Entry{}, 0
	for _, en := range ens {
		st.setEntry(sl, en)
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
			outs = append(outs, sl.inferRuling(he))
		}
	}
	return outs
}

// inferRuling reconstructs the ruling on a publication whose decision this VM did not read.
func (sl *slot) inferRuling(he heldPublish) Outcome {
	cur := sl.entries[he.pub.Key]
	out := Outcome{Offset: he.offset, ID: he.pub.ID, Key: he.pub.Key, Ruling: Undetermined, Current: cur.Revision}
	if rev, ok := cur.acceptedAs(he.pub.ID); ok {
		out.Ruling, out.Revision = AlreadyAccepted, rev
		if rev == he.offset+1 {
			out.Ruling = Accepted
		}
	} else if cur.remembersSince(he.offset + 1) {
		out.Ruling, out.Reason = Refused, BaseMismatch
	}
	return out
}

// Restatement returns the Restate of a bucket as of Next; false while the bucket is
// not known.
func (st *State) Restatement(bucket int) (Restate, bool) {
	if !st.begun || !st.slots[bucket].known {
		return Restate{}, false
	}
	return Restate{AsOf: st.next, Bucket: bucket, Buckets: st.Buckets, Entries: st.slots[bucket].sortedEntries()}, true
}

func (sl *slot) sortedEntries() []Entry {
	var out []Entry
	for _, en := range sl.entries {
		out = append(out, en)
	}
	slices.SortFunc(out, func(ea, eb Entry) int { return cmp.Compare(ea.Key, eb.Key) })
	return out
}
