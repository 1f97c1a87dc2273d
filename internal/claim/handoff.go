package claim

import (
	"maps"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// tableAppended applies a record of the log. A table that has no effect is counted.
func (bk *Book) tableAppended(now clock.Millis, ev TableAppended) []Intent {
	if bk.seats == nil && !bk.FromLogStart {
		return nil
	}
	next, err := bk.seats.With(ev.Epoch, ev.Table)
	if err != nil {
		bk.counts.BadMessages++
		return nil
	}
	bk.addTable(now, next)
	return slices.Concat(bk.handOff(now), bk.restartProposal(now))
}

func (bk *Book) restartProposal(now clock.Millis) []Intent {
	bk.fleet.desired = nil
	return bk.propose(now)
}

// restoreHistory adopts the tables of a peer if this VM has none yet.
func (bk *Book) restoreHistory(now clock.Millis, st *SeatTable) []Intent {
	if bk.seats != nil || st == nil {
		return nil
	}
	for at := st; at != nil; at = at.prev {
		bk.addTable(now, at)
	}
	bk.seats = st
	return bk.handOff(now)
}

// addTable makes a table the current one and records when it was learned.
func (bk *Book) addTable(now clock.Millis, st *SeatTable) {
	if bk.learnedAt == nil {
		bk.learnedAt = map[uint64]clock.Millis{}
		bk.handedOff = map[uint64]bool{}
	}
	bk.seats = st
	bk.learnedAt[st.Epoch] = now
	bk.prune(now)
}

// prune drops the tables before the latest one that is older than any claim.
func (bk *Book) prune(now clock.Millis) {
	for at := bk.seats; at != nil; at = at.prev {
		if at == bk.seats || !bk.claimsExpired(now, at) || at.prev == nil {
			continue
		}
		for old := at.prev; old != nil; old = old.prev {
			delete(bk.learnedAt, old.Epoch)
			delete(bk.received, old.Epoch)
			delete(bk.handedOff, old.Epoch)
		}
		bk.seats = bk.seats.truncatedBefore(at.Epoch)
		return
	}
}

// claimsExpired reports whether every claim made under the tables before this one has
// expired.
func (bk *Book) claimsExpired(now clock.Millis, st *SeatTable) bool {
	return now-bk.learnedAt[st.Epoch] > bk.claimTTL()
}

// covers reports whether this seat, together with any other covering seat of the key's
// group, has every grant that was made under earlier tables. That holds if the group
// did not change and the seat covered the key before, or if a majority of the previous
// group, each covering the key, has handed over its records and no longer grants under
// the previous table.
func (bk *Book) covers(now clock.Millis, nm name, st *SeatTable) bool {
	switch {
	case st == nil:
		return false
	case bk.claimsExpired(now, st), bk.disabled&guardCovers != 0:
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
	if bk.disabled&guardHandoffs != 0 {
		return count > 0
	}
	return count >= before.Majority()
}

// coversAll reports whether this seat covers every key that it has under the table.
func (bk *Book) coversAll(now clock.Millis, st *SeatTable) bool {
	switch {
	case st == nil:
		return false
	case bk.claimsExpired(now, st):
		return true
	case st.prev == nil:
		return st.base == 0
	}
	selfCovers := st.prev.hasSeat(bk.Self) && bk.coversAll(now, st.prev)
	from := bk.received[st.Epoch]
	return st.prev.toleratesAbsent(func(ref board.VMRef) bool {
		return !from[ref] && (ref != bk.Self || !selfCovers)
	})
}

// handOff hands this VM's records to the seats of each later table, once it covers all
// keys that it had under the previous table.
func (bk *Book) handOff(now clock.Millis) []Intent {
	var pending []*SeatTable
	for st := bk.seats; st != nil && st.prev != nil; st = st.prev {
		if !bk.handedOff[st.Epoch] && st.prev.hasSeat(bk.Self) {
			pending = append(pending, st)
		}
	}
	var out []Intent
	for _, st := range slices.Backward(pending) {
		if !bk.coversAll(now, st.prev) && bk.disabled&guardCoversAll == 0 {
			break
		}
		bk.handedOff[st.Epoch] = true
		out = append(out, bk.handOffTable(now, st, nil)...)
	}
	return out
}

// resendPending repeats the handoffs that were not acknowledged and whose delay has
// passed.
func (bk *Book) resendPending(now clock.Millis) []Intent {
	var out []Intent
	later := bk.pendingResends[:0]
	for _, rs := range bk.pendingResends {
		st := bk.tableAt(rs.epoch)
		if now < rs.at {
			later = append(later, rs)
			out = append(out, Wake{rs.at})
		} else if st != nil && bk.seats.hasSeat(rs.to) {
			out = append(out, bk.handOffTable(now, st, &rs.to)...)
		}
	}
	bk.pendingResends = later
	return out
}

func (bk *Book) tableAt(epoch uint64) *SeatTable {
	for st := bk.seats; st != nil; st = st.prev {
		if st.Epoch == epoch {
			return st
		}
	}
	return nil
}

// handOffTable sends the records for which the table has new seats to all of its VMs,
// or to one of them.
func (bk *Book) handOffTable(now clock.Millis, st *SeatTable, only *board.VMRef) []Intent {
	batches := bk.movedRecords(now, st)
	var out []Intent
	for _, vm := range st.VMs {
		if vm.VMRef == bk.Self || (only != nil && vm.VMRef != *only) {
			continue
		}
		out = append(out, bk.splitParts(st.Epoch, vm.VMRef, batches[vm.VMRef])...)
	}
	return out
}

// movedRecords returns the records of keys whose group the table changed, by the seats
// of their new group, in a deterministic order.
func (bk *Book) movedRecords(now clock.Millis, st *SeatTable) map[board.VMRef][]*peerpb.ClaimRecord {
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
		wire := rc.toMessage(nm, now)
		for _, ref := range gr {
			if ref != bk.Self {
				out[ref] = append(out[ref], wire)
			}
		}
	}
	return out
}

// splitParts splits the records for one seat into messages of limited size. A handoff
// without records has one empty part, because the seat must learn that it is complete.
func (bk *Book) splitParts(epoch uint64, to board.VMRef, recs []*peerpb.ClaimRecord) []Intent {
	bk.lastSending++
	var out []Intent
	count := max(1, (len(recs)+maxBatchRecords-1)/maxBatchRecords)
	for part := range count {
		out = append(out, SendHandoff{To: to, Handoff: &peerpb.ClaimHandoff{
			Records: recs[part*maxBatchRecords : min((part+1)*maxBatchRecords, len(recs))],
			Epoch:   epoch, FromID: bk.Self.ID, FromIncarnation: bk.Self.Incarnation,
			Sending: bk.lastSending, Part: uint32(part), Parts: uint32(count),
		}})
	}
	bk.counts.HandoffsOut += uint64(count)
	return out
}

// receive applies one part of another seat's records.
func (bk *Book) receive(now clock.Millis, ho *peerpb.ClaimHandoff) {
	if ho.GetPart() >= ho.GetParts() || ho.GetFromID() == "" || len(ho.GetRecords()) > maxBatchRecords {
		bk.counts.BadMessages++
		return
	}
	for _, cr := range ho.GetRecords() {
		nm, rc, ok := recordFromMessage(cr, now, bk.claimTTL())
		if !ok {
			bk.counts.BadMessages++
			return
		}
		if !bk.mergeRecord(now, nm, rc) {
			bk.countRefused(Full)
			return // this handoff then never counts as complete
		}
	}
	bk.counts.HandoffsIn++
	bk.recordPart(ho)
}

// mergeRecord stores a record that another seat holds. The capacity for such records is
// as large as that for the grants of this seat.
func (bk *Book) mergeRecord(now clock.Millis, nm name, rc record) bool {
	old := bk.recs.find(nm, now)
	if old == nil {
		if len(bk.recs.byName) >= 2*bk.maxRecords() {
			return false
		}
		bk.recs.put(now, nm, &rc)
		return true
	}
	merged := merge(*old, rc)
	if bk.disabled&guardDoubt != 0 && merged.state == Doubtful {
		merged.state = Claimed
	}
	if merged.state == Doubtful && old.state != Doubtful {
		bk.counts.Conflicts++
	}
	bk.recs.put(now, nm, &merged)
	return true
}

// recordPart marks a handoff as complete once all its parts have arrived.
func (bk *Book) recordPart(ho *peerpb.ClaimHandoff) {
	from := board.VMRef{ID: ho.GetFromID(), Incarnation: ho.GetFromIncarnation()}
	src := handoffSource{from, ho.GetEpoch()}
	if bk.partialHandoffs == nil {
		bk.partialHandoffs = map[handoffSource]*partialHandoff{}
	}
	ph := bk.partialHandoffs[src]
	if ph == nil || ph.sending < ho.GetSending() {
		ph = &partialHandoff{sending: ho.GetSending(), parts: map[uint32]bool{}}
		bk.partialHandoffs[src] = ph
	}
	if ph.sending != ho.GetSending() {
		return
	}
	ph.parts[ho.GetPart()] = true
	if len(ph.parts) < int(ho.GetParts()) {
		return
	}
	delete(bk.partialHandoffs, src)
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
