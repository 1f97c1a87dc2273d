package register

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrNotKnown is returned by Export while some registers are undecided.
var ErrNotKnown = errors.New("some registers are not decided yet")

type (
	// Snapshot holds all registers of a stream after the records below AsOf.
	Snapshot struct {
		Version int
		Content Content
		Buckets int
		AsOf    uint64
		Entries []Entry `json:",omitempty"` // sorted by key

		// Requested is the offset of the newest RestateRequest, plus one.
		// Covered holds that of each bucket's newest valid Restate or Recover.
		Requested uint64
		Covered   []uint64
	}

	// SnapshotError reports why a snapshot is refused.
	SnapshotError struct{ Detail string }
)

// Error returns a message with the detail.
func (se *SnapshotError) Error() string { return "snapshot of registers: " + se.Detail }

// Export encodes the state for a peer. It returns ErrNotKnown while some registers
// are undecided.
func (st *State) Export() ([]byte, error) {
	if !st.Known() {
		return nil, ErrNotKnown
	}
	snap := Snapshot{
		Version: formatVersion, Content: st.Content, Buckets: st.Buckets,
		AsOf: st.next, Entries: st.Entries(), Requested: st.requested,
	}
	for ix := range st.slots {
		snap.Covered = append(snap.Covered, st.slots[ix].covered)
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("marshal a snapshot: %w", err)
	}
	return data, nil
}

// ParseSnapshot decodes and checks a snapshot.
func ParseSnapshot(data []byte) (Snapshot, error) {
	var snap Snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return Snapshot{}, fmt.Errorf("parse a snapshot: %w", err)
	}
	if snap.Version != formatVersion {
		return Snapshot{}, &SnapshotError{Detail: fmt.Sprintf("unsupported version %d", snap.Version)}
	}
	if err := checkEntries(snap.Entries, snap.AsOf); err != nil {
		return Snapshot{}, fmt.Errorf("check a snapshot: %w", err)
	}
	return snap, nil
}

// findReverted finds a register that the snapshot would replace although its last known
// revision is newer. That is valid only after a Recover of its bucket since then.
func (st *State) findReverted(parts [][]Entry, snap Snapshot) (key string, back bool) {
	for ix := range st.slots {
		if st.slots[ix].known && snap.AsOf <= st.next {
			continue
		}
		revisions := map[string]uint64{}
		for _, en := range parts[ix] {
			revisions[en.Key] = en.Revision
		}
		for key, en := range st.slots[ix].entries {
			if revisions[key] < en.Revision && snap.Covered[ix] <= en.Revision {
				return key, true
			}
		}
	}
	return "", false
}

// Import merges a peer's snapshot. A snapshot that is ahead of the state replaces it; one
// that is not behind the state's start decides the undecided buckets; any other changes
// nothing. A snapshot that would revert a register is refused with a *SnapshotError.
func (st *State) Import(snap Snapshot) ([]Outcome, error) {
	st.init()
	if snap.Content != st.Content || snap.Buckets != st.Buckets || len(snap.Covered) != st.Buckets {
		return nil, &SnapshotError{Detail: "belongs to another stream"}
	}
	ahead := !st.begun || snap.AsOf > st.next
	if !ahead && !st.broken.snapshotWins && (snap.AsOf < st.start || st.Known()) {
		return nil, nil
	}
	parts := make([][]Entry, st.Buckets)
	for _, en := range snap.Entries {
		ix := st.bucket(en.Key)
		parts[ix] = append(parts[ix], en)
	}
	if key, back := st.findReverted(parts, snap); back && !st.broken.snapshotWins {
		return nil, &SnapshotError{Detail: fmt.Sprintf("would revert register %q", key)}
	}
	if ahead {
		st.begun, st.start, st.next = true, snap.AsOf, snap.AsOf
	}
	st.requested = max(st.requested, snap.Requested)
	var outs []Outcome
	for ix := range st.slots {
		sl := &st.slots[ix]
		if snap.AsOf < sl.minAsOf {
			continue
		}
		sl.covered = max(sl.covered, snap.Covered[ix])
		if ahead || !sl.known || st.broken.snapshotWins {
			outs = append(outs, st.adoptContent(sl, snap.AsOf, parts[ix])...)
		}
	}
	return outs, nil
}
