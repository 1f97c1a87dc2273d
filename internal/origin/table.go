package origin

import "alderdyke/pkg/clock"

const (
	// maxRecords bounds the records of a VM: about 3 MB.
	maxRecords = 16 << 10
	// maxLife bounds how long a record is kept.
	maxLife = clock.Hour
	// sweepInterval is how often expired records are removed.
	sweepInterval = clock.Second
)

type (
	// table holds records by ID. The zero value is empty.
	table struct {
		entries map[ID]entry
		sweepAt clock.Millis
	}

	entry struct {
		record    Record
		ambiguous bool
		since     clock.Millis
		until     clock.Millis
	}
)

// put keeps a record for a time. A record that differs from the one that is kept makes
// the ID ambiguous. If the table is full, an arbitrary record is dropped.
func (tb *table) put(now clock.Millis, id ID, rc Record, life clock.Millis) {
	tb.sweep(now)
	if tb.entries == nil {
		tb.entries = make(map[ID]entry)
	}
	en, ok := tb.entries[id]
	if !ok || now >= en.until {
		en = entry{record: rc, since: now}
	}
	en.ambiguous = en.ambiguous || en.record != rc
	en.until = max(en.until, now+min(life, maxLife))
	for other := range tb.entries {
		if ok || len(tb.entries) < maxRecords {
			break
		}
		delete(tb.entries, other)
	}
	tb.entries[id] = en
}

// get returns what is known of an ID.
func (tb *table) get(now clock.Millis, id ID) Reply {
	en, ok := tb.entries[id]
	switch {
	case !ok || now >= en.until:
		return Reply{}
	case en.ambiguous:
		return Reply{State: Ambiguous}
	default:
		return Reply{State: Known, Record: en.record, Age: now - en.since}
	}
}

// sweep removes expired records from time to time.
func (tb *table) sweep(now clock.Millis) {
	if now < tb.sweepAt {
		return
	}
	tb.sweepAt = now + sweepInterval
	for id, en := range tb.entries {
		if now >= en.until {
			delete(tb.entries, id)
		}
	}
}
