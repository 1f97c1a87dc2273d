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
	// SeatTable is a seat table with its predecessors. It is immutable; the nil
	// SeatTable is the state before the first table.
	SeatTable struct {
		Epoch uint64
		VMs   []board.VM // ID, incarnation and failure domain; sorted by ID
		base  uint64
		prev  *SeatTable // nil if unknown or no longer needed
	}

	// Group is the list of a key's seats, most preferred first.
	Group []board.VMRef

	// TableError reports why a seat table has no effect.
	TableError struct {
		Epoch  uint64
		Detail string
	}
)

// Error returns the message with the table's epoch.
func (te TableError) Error() string {
	return fmt.Sprintf("seat table %d has no effect: %s", te.Epoch, te.Detail)
}

// With returns the state after one more record of the log. The result depends on the
// log alone, so all VMs agree: a table that was not derived from the current one has no
// effect. A VM that can't read the log from its beginning starts from a peer's
// [SeatTable.History].
func (st *SeatTable) With(epoch uint64, tb *peerpb.SeatTable) (*SeatTable, error) {
	if tb.GetBase() != st.epoch() {
		return st, TableError{epoch, fmt.Sprintf("based on table %d, which is not the current one", tb.GetBase())}
	}
	return st.extend(epoch, tb)
}

// extend returns the state after a table, or an error if the table is invalid.
func (st *SeatTable) extend(epoch uint64, tb *peerpb.SeatTable) (*SeatTable, error) {
	if epoch <= tb.GetBase() {
		return st, TableError{epoch, "epoch is not greater than its base"}
	}
	seats := tb.GetSeats()
	if len(seats) == 0 || len(seats) > maxSeats {
		return st, TableError{epoch, fmt.Sprintf("invalid number of seats: %d", len(seats))}
	}
	next := &SeatTable{Epoch: epoch, base: tb.GetBase(), prev: st}
	for ix, seat := range seats {
		if seat.GetID() == "" || len(seat.GetID()) > maxNameBytes || seat.GetFailureDomain() == "" {
			return st, TableError{epoch, fmt.Sprintf("seat %d has an invalid ID or no failure domain", ix)}
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

// History returns the tables, for a VM that can't read the log from its beginning.
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

// FromHistory decodes the result of History.
func FromHistory(hist *peerpb.SeatHistory) (*SeatTable, error) {
	var st *SeatTable
	for _, te := range hist.GetTables() {
		if st != nil && te.GetTable().GetBase() != st.Epoch {
			return nil, TableError{te.GetEpoch(), "does not follow the previous table of the history"}
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

// Group returns the key's seats: the most preferred VMs of three failure domains, or
// three VMs if there are fewer domains.
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

// Majority returns the smallest size at which any two subsets of the group share a
// seat.
func (gr Group) Majority() int { return len(gr)/2 + 1 }

// digest identifies the set of seats, independent of the table.
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

// toleratesAbsent reports whether every possible group of the table keeps a majority
// without the absent VMs.
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
