package claim

import (
	"maps"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// seated takes in a record of the log. A table that has no effect is counted.
func (bk *Book) seated(now clock.Millis, ev Seated) []Intent {
	if bk.seats == nil && !bk.FromStart {
		return nil
	}
	next, err := bk.seats.With(ev.Epoch, ev.Table)
	if err != nil {
		bk.counts.BadMessages++
		return nil
	}
	bk.learn(now, next)
	return slices.Concat(bk.handOn(now), bk.proposeAgain(now))
}

func (bk *Book) proposeAgain(now clock.Millis) []Intent {
	bk.fleet.wanted = nil
	return bk.propose(now)
}

func (bk *Book) restore(now clock.Millis, st *Seats) []Intent {
	if bk.seats != nil || st == nil {
		return nil
	}
	for at := st; at != nil; at = at.prev {
		bk.learn(now, at)
	}
	bk.seats = st
	return bk.handOn(now)
}

func (bk *Book) learn(now clock.Millis, st *Seats) {
	if bk.learned == nil {
		bk.learned = map[uint64]clock.Millis{}
		bk.sent = map[uint64]bool{}
	}
	bk.seats = st
	bk.learned[st.Epoch] = now
	bk.prune(now)
}

// prune forgets the tables before one that is older than any claim.
func (bk *Book) prune(now clock.Millis) {
	for at := bk.seats; at != nil; at = at.prev {
		if at == bk.seats || !bk.aged(now, at) || at.prev == nil {
			continue
		}
		for old := at.prev; old != nil; old = old.prev {
			delete(bk.learned, old.Epoch)
			delete(bk.received, old.Epoch)
			delete(bk.sent, old.Epoch)
		}
		bk.seats = bk.seats.since(at.Epoch)
		return
	}
}

// aged tells whether every claim made under the tables before this one has
// been forgotten anyway.
func (bk *Book) aged(now clock.Millis, st *Seats) bool {
	return now-bk.learned[st.Epoch] > bk.life()
}

// covers tells whether this seat, together with any other covering seat of
// the key's group, knows every grant that was made under earlier tables. That
// holds if the group did not change and the seat covered the key before; or
// if a majority of the group before, each covering the key, has handed over
// its records and grants nothing under the table before any more.
func (bk *Book) covers(now clock.Millis, nm name, st *Seats) bool {
	switch {
	case st == nil:
		return false
	case bk.aged(now, st), bk.without&guardCovers != 0:
		return true
	case st.prev == nil:
		return st.base == 0
	}
	gr := st.Group(nm.customer, nm.key)
	before := st.prev.Group(nm.customer, nm.key)
	if gr.digest() == before.digest() {
		return bk.covers(now, nm, st.prev)
	}
	from := bk.received[st.Epoch]
	count := 0
	for _, ref := range before {
		if from[ref] || (ref == bk.Self && bk.covers(now, nm, st.prev)) {
			count++
		}
	}
	if bk.without&guardHandoffs != 0 {
		return count > 0
	}
	return count >= before.Majority()
}

// whole tells whether this seat covers every key that it had under the table.
func (bk *Book) whole(now clock.Millis, st *Seats) bool {
	switch {
	case st == nil:
		return false
	case bk.aged(now, st):
		return true
	case st.prev == nil:
		return st.base == 0
	}
	selfWhole := st.prev.holds(bk.Self) && bk.whole(now, st.prev)
	from := bk.received[st.Epoch]
	return st.prev.spread(func(ref board.VMRef) bool {
		return !from[ref] && (ref != bk.Self || !selfWhole)
	})
}

// handOn hands this VM's records to the seats of each later table, once it
// covers all keys that it had under the table before.
func (bk *Book) handOn(now clock.Millis) []Intent {
	var pending []*Seats
	for st := bk.seats; st != nil && st.prev != nil; st = st.prev {
		if !bk.sent[st.Epoch] && st.prev.holds(bk.Self) {
			pending = append(pending, st)
		}
	}
	var out []Intent
	for _, st := range slices.Backward(pending) {
		if !bk.whole(now, st.prev) && bk.without&guardWhole == 0 {
			break
		}
		bk.sent[st.Epoch] = true
		out = append(out, bk.handTo(now, st, nil)...)
	}
	return out
}

func (bk *Book) resendDue(now clock.Millis) []Intent {
	var out []Intent
	later := bk.resend[:0]
	for _, rs := range bk.resend {
		st := bk.table(rs.epoch)
		if now < rs.at {
			later = append(later, rs)
			out = append(out, Wake{rs.at})
		} else if st != nil && bk.seats.holds(rs.to) {
			out = append(out, bk.handTo(now, st, &rs.to)...)
		}
	}
	bk.resend = later
	return out
}

func (bk *Book) table(epoch uint64) *Seats {
	for st := bk.seats; st != nil; st = st.prev {
		if st.Epoch == epoch {
			return st
		}
	}
	return nil
}

// handTo sends the records that the table gives new seats to, to all of its
// VMs or to one.
func (bk *Book) handTo(now clock.Millis, st *Seats, only *board.VMRef) []Intent {
	batches := bk.moved(now, st)
	var out []Intent
	for _, vm := range st.VMs {
		if vm.VMRef == bk.Self || (only != nil && vm.VMRef != *only) {
			continue
		}
		out = append(out, bk.parts(st.Epoch, vm.VMRef, batches[vm.VMRef])...)
	}
	return out
}

// moved sorts the records of keys whose group the table changed by the seats
// of their new group. The order is the same at every run.
func (bk *Book) moved(now clock.Millis, st *Seats) map[board.VMRef][]*peerpb.ClaimRecord {
	out := map[board.VMRef][]*peerpb.ClaimRecord{}
	names := slices.SortedFunc(maps.Keys(bk.recs.byName), compareNames)
	for _, nm := range names {
		rc := bk.recs.find(nm, now)
		if rc == nil {
			continue
		}
		gr := st.Group(nm.customer, nm.key)
		if gr.digest() == st.prev.Group(nm.customer, nm.key).digest() {
			continue
		}
		wire := rc.wire(nm, now)
		for _, ref := range gr {
			if ref != bk.Self {
				out[ref] = append(out[ref], wire)
			}
		}
	}
	return out
}

func (bk *Book) parts(epoch uint64, to board.VMRef, recs []*peerpb.ClaimRecord) []Intent {
	bk.sending++
	var out []Intent
	count := max(1, (len(recs)+batchRecords-1)/batchRecords)
	for part := range count {
		out = append(out, SendHandoff{To: to, Handoff: &peerpb.ClaimHandoff{
			Records: recs[part*batchRecords : min((part+1)*batchRecords, len(recs))],
			Epoch:   epoch, FromID: bk.Self.ID, FromIncarnation: bk.Self.Incarnation,
			Sending: bk.sending, Part: uint32(part), Parts: uint32(count),
		}})
	}
	bk.counts.HandoffsOut += uint64(count)
	return out
}

// receive takes in one part of another seat's records.
func (bk *Book) receive(now clock.Millis, ho *peerpb.ClaimHandoff) {
	if ho.GetPart() >= ho.GetParts() || ho.GetFromID() == "" || len(ho.GetRecords()) > batchRecords {
		bk.counts.BadMessages++
		return
	}
	for _, cr := range ho.GetRecords() {
		nm, rc, ok := recordOf(cr, now, bk.life())
		if !ok {
			bk.counts.BadMessages++
			return
		}
		if !bk.mergeIn(now, nm, rc) {
			bk.count(Full)
			return // the sending never counts as whole
		}
	}
	bk.counts.HandoffsIn++
	bk.note(ho)
}

// mergeIn stores a record that another seat holds. Those records have as much
// room as the grants of this seat.
func (bk *Book) mergeIn(now clock.Millis, nm name, rc record) bool {
	old := bk.recs.find(nm, now)
	if old == nil {
		if len(bk.recs.byName) >= 2*bk.room() {
			return false
		}
		bk.recs.put(now, nm, &rc)
		return true
	}
	merged := merge(*old, rc)
	if bk.without&guardDoubt != 0 && merged.state == Doubtful {
		merged.state = Claimed
	}
	if merged.state == Doubtful && old.state != Doubtful {
		bk.counts.Conflicts++
	}
	bk.recs.put(now, nm, &merged)
	return true
}

// note marks a sending as complete once all its parts came.
func (bk *Book) note(ho *peerpb.ClaimHandoff) {
	from := board.VMRef{ID: ho.GetFromID(), Incarnation: ho.GetFromIncarnation()}
	src := source{from, ho.GetEpoch()}
	if bk.partial == nil {
		bk.partial = map[source]*arriving{}
	}
	ar := bk.partial[src]
	if ar == nil || ar.sending < ho.GetSending() {
		ar = &arriving{sending: ho.GetSending(), parts: map[uint32]bool{}}
		bk.partial[src] = ar
	}
	if ar.sending != ho.GetSending() {
		return
	}
	ar.parts[ho.GetPart()] = true
	if len(ar.parts) < int(ho.GetParts()) {
		return
	}
	delete(bk.partial, src)
	if bk.received == nil {
		bk.received = map[uint64]map[board.VMRef]bool{}
	}
	if bk.received[src.epoch] == nil {
		bk.received[src.epoch] = map[board.VMRef]bool{}
	}
	bk.received[src.epoch][from] = true
}

func compareNames(na, nb name) int {
	switch {
	case na == nb:
		return 0
	case na.customer < nb.customer, na.customer == nb.customer && na.key < nb.key:
		return -1
	default:
		return 1
	}
}
