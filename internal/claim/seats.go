package claim

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/rendezvous"
)

type (
	// SeatTable is a seat table with those before it. It is an immutable value;
	// the nil SeatTable is the state before the first table.
	SeatTable struct {
		Epoch uint64
		VMs   []board.VM // ID, incarnation and failure domain; sorted by ID
		base  uint64
		prev  *SeatTable // nil if unknown or of no more use
	}

	// Group is the seats of one key, most preferred first.
	Group []board.VMRef

	// TableError tells why a seat table has no effect.
	TableError struct {
		Epoch  uint64
		Detail string
	}
)

// Error says what is wrong with the table.
func (te TableError) Error() string {
	return fmt.Sprintf("seat table %d has no effect: %s", te.Epoch, te.Detail)
}

// With returns the state after one more record of the log. All VMs come to
// the same verdict from the log alone: a table that was not made from the one
// in force has no effect. A VM that can't read the log from its beginning
// starts from a peer's [SeatTable.History].
func (st *SeatTable) With(epoch uint64, tb *peerpb.SeatTable) (*SeatTable, error) {
	if tb.GetBase() != st.epoch() {
		return st, TableError{epoch, fmt.Sprintf("made from table %d", tb.GetBase())}
	}
	return st.extend(epoch, tb)
}

func (st *SeatTable) extend(epoch uint64, tb *peerpb.SeatTable) (*SeatTable, error) {
	if epoch <= tb.GetBase() {
		return st, TableError{epoch, "not after its base"}
	}
	seats := tb.GetSeats()
	if len(seats) == 0 || len(seats) > maxSeats {
		return st, TableError{epoch, fmt.Sprintf("%d seats", len(seats))}
	}
	next := &SeatTable{Epoch: epoch, base: tb.GetBase(), prev: st}
	for ix, seat := range seats {
		if seat.GetID() == "" || len(seat.GetID()) > maxNameBytes || seat.GetFailureDomain() == "" {
			return st, TableError{epoch, fmt.Sprintf("seat %d lacks its ID or failure domain", ix)}
		}
		if ix > 0 && seats[ix-1].GetID() >= seat.GetID() {
			return st, TableError{epoch, fmt.Sprintf("seat %d is out of order", ix)}
		}
		next.VMs = append(next.VMs, board.VM{
			VMRef:         board.VMRef{ID: seat.GetID(), Incarnation: seat.GetIncarnation()},
			FailureDomain: seat.GetFailureDomain(),
		})
	}
	return next, nil
}

// History returns the tables for a VM that can't read the log from its
// beginning.
func (st *SeatTable) History() *peerpb.SeatHistory {
	var hist peerpb.SeatHistory
	for at := st; at != nil; at = at.prev {
		tb := &peerpb.SeatTable{Base: at.base}
		for _, vm := range at.VMs {
			tb.Seats = append(tb.Seats, &peerpb.ClaimSeat{
				ID: vm.ID, Incarnation: vm.Incarnation, FailureDomain: vm.FailureDomain,
			})
		}
		hist.Tables = append(hist.Tables, &peerpb.SeatEpoch{Epoch: at.Epoch, Table: tb})
	}
	slices.Reverse(hist.Tables)
	return &hist
}

// FromHistory reads what History wrote.
func FromHistory(hist *peerpb.SeatHistory) (*SeatTable, error) {
	var st *SeatTable
	for _, te := range hist.GetTables() {
		if st != nil && te.GetTable().GetBase() != st.Epoch {
			return nil, TableError{te.GetEpoch(), "gap in the history"}
		}
		next, err := st.extend(te.GetEpoch(), te.GetTable())
		if err != nil {
			return nil, fmt.Errorf("read seat history: %w", err)
		}
		st = next
	}
	return st, nil
}

// truncatedBefore returns the state without the tables before the given one.
func (st *SeatTable) truncatedBefore(epoch uint64) *SeatTable {
	cut := *st
	cut.prev = nil
	if st.Epoch > epoch && st.prev != nil {
		cut.prev = st.prev.truncatedBefore(epoch)
	}
	return &cut
}

func (st *SeatTable) epoch() uint64 {
	if st == nil {
		return 0
	}
	return st.Epoch
}

// Group returns the key's seats: the most preferred VMs of three failure
// domains, or three VMs if there are fewer domains.
func (st *SeatTable) Group(customer, key string) Group {
	if st == nil {
		return nil
	}
	gr := make(Group, 0, groupSize)
	for _, vm := range rendezvous.Spread(customer+"\x00"+key, st.VMs, groupSize) {
		gr = append(gr, vm.VMRef)
	}
	return gr
}

// Majority is the number of seats of which any two sets have one in common.
func (gr Group) Majority() int { return len(gr)/2 + 1 }

// digest names the set of seats, whatever the table.
func (gr Group) digest() uint64 {
	sorted := slices.Clone(gr)
	slices.SortFunc(sorted, compareRefs)
	var buf []byte
	for _, ref := range sorted {
		buf = append(buf, ref.ID...)
		buf = append(buf, 0)
		buf = binary.BigEndian.AppendUint64(buf, ref.Incarnation)
	}
	return xxhash.Sum64(buf)
}

func compareRefs(ra, rb board.VMRef) int {
	return cmp.Or(cmp.Compare(ra.ID, rb.ID), cmp.Compare(ra.Incarnation, rb.Incarnation))
}

func (st *SeatTable) hasSeat(ref board.VMRef) bool {
	if st == nil {
		return false
	}
	return slices.ContainsFunc(st.VMs, func(vm board.VM) bool { return vm.VMRef == ref })
}

// toleratesAbsent tells whether the absent VMs leave every possible group of the
// table a majority of others.
func (st *SeatTable) toleratesAbsent(absent func(board.VMRef) bool) bool {
	domains, missing := map[string]bool{}, map[string]bool{}
	count := 0
	for _, vm := range st.VMs {
		domains[vm.FailureDomain] = true
		if absent(vm.VMRef) {
			missing[vm.FailureDomain] = true
			count++
		}
	}
	switch {
	case len(domains) >= groupSize:
		return len(missing) <= 1
	case len(st.VMs) >= groupSize:
		return count <= 1
	default:
		return count == 0
	}
}
