package register

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/rendezvous"
	"alderdyke/pkg/clock"
)

const (
	// A bucket is written again when its newest restatement is as old as
	// this part of the retention.
	restateParts = 4
	// maxRank bounds how long a VM leaves a due bucket to the VMs before it.
	maxRank = 4

	restatePrefix = "restate/"
)

// rounds is the state of writing again what is in force. A VM that did not
// see how old a bucket's restatement is takes it for due soon: VMs are
// replaced more often than a retention ends, and each new one counting from
// its own start would let everything expire.
type rounds struct {
	due    []clock.Millis // of each bucket, for the VM that comes first
	seen   []uint64       // AsOf of the newest restatement that due counts from
	open   string         // ID of the append under way
	bucket int            // of it
	asOf   uint64         // of it
	next   clock.Millis   // earliest point of the next append
	number int
	fleet  *board.Fleet // that the ranks are of
	ranks  []int        // of this VM for each bucket, plus one; zero if not known yet
}

func (ro *rounds) begin(now clock.Millis, fo *Follower) {
	ro.due = make([]clock.Millis, fo.state.Buckets)
	ro.seen = make([]uint64, fo.state.Buckets)
	for ix := range ro.due {
		ro.due[ix] = now + fo.jitter(min(clock.Minute, fo.Settings.Retention/restateParts))
	}
}

// learn notes restatements that were read. They are no older than the last
// read that reached the log's end before them.
func (ro *rounds) learn(fo *Follower) {
	for ix := range fo.state.slots {
		asOf := fo.state.slots[ix].restated
		if asOf <= ro.seen[ix] {
			continue
		}
		ro.seen[ix] = asOf
		if rd := &fo.reading; rd.endAt > 0 {
			ro.due[ix] = rd.endAt + fo.Settings.Retention/restateParts
		}
	}
}

// planRounds appends the restatement of one bucket that is due, and tells
// when the next is.
func (fo *Follower) planRounds(now clock.Millis) clock.Millis {
	ro := &fo.rounds
	if ro.open != "" || !fo.Ready() || fo.reading.failures > 0 || !fo.reading.seen {
		return never
	}
	if now < ro.next {
		return ro.next
	}
	next := never
	for ix := range ro.due {
		due := fo.bucketDue(ix, now)
		if due > now {
			next = min(next, due)
			continue
		}
		fo.restate(now, ix)
		return never
	}
	return next
}

// bucketDue tells when this VM writes a bucket again: the owner by rendezvous
// hash first, the others one after another in case it doesn't.
func (fo *Follower) bucketDue(ix int, now clock.Millis) clock.Millis {
	ro, rd := &fo.rounds, &fo.reading
	due := ro.due[ix]
	if ro.seen[ix] > 0 && rd.first > 0 && ro.seen[ix] < rd.first+(rd.end-rd.first)/restateParts {
		due = min(due, now) // among the oldest records that the log keeps
	}
	if due > now {
		return due
	}
	return due + clock.Millis(fo.rank(ix))*fo.Settings.Retention/(restateParts*restateParts)
}

func (fo *Follower) rank(ix int) int {
	ro := &fo.rounds
	if ro.fleet != fo.fleet {
		ro.fleet, ro.ranks = fo.fleet, make([]int, len(ro.due))
	}
	if ro.ranks[ix] == 0 {
		ro.ranks[ix] = 1 + fo.rankOf(ix)
	}
	return ro.ranks[ix] - 1
}

func (fo *Follower) rankOf(ix int) int {
	ranked := rendezvous.Rank(restatePrefix+string(fo.Settings.Content)+"/"+strconv.Itoa(ix), fo.fleet.Serving())
	for rank, vm := range ranked {
		if vm.ID == fo.Self.ID {
			return min(rank, maxRank)
		}
	}
	return 0 // alone, as far as this VM knows
}

func (fo *Follower) restate(now clock.Millis, ix int) {
	ro := &fo.rounds
	ro.next = now + fo.jitter(fo.Settings.RestateEvery)
	rst, ok := fo.state.Restatement(ix)
	if !ok {
		return
	}
	data, err := Marshal(rst)
	if err != nil {
		fo.note(event.RestatementFailed, event.F("Bucket", ix))
		ro.due[ix] = now + fo.jitter(clock.Minute)
		return
	}
	ro.number++
	ro.open = fmt.Sprintf("%s%d/%d", restatePrefix, ix, ro.number)
	ro.bucket, ro.asOf = ix, rst.AsOf
	fo.emit(Append{ID: ro.open, Data: data})
}

// appended takes the answer to a restatement's append; false if it is none.
func (ro *rounds) appended(now clock.Millis, fo *Follower, ev Appended) bool {
	if !strings.HasPrefix(ev.ID, restatePrefix) {
		return false
	}
	if ev.ID != ro.open {
		return true
	}
	ro.open = ""
	ro.next = now + fo.jitter(fo.Settings.RestateEvery)
	if ev.Err != nil {
		fo.note(event.RestatementFailed, event.F("Bucket", ro.bucket))
		ro.next = now + fo.jitter(10*fo.Settings.RestateEvery)
		return true
	}
	ro.due[ro.bucket] = now + fo.Settings.Retention/restateParts
	ro.seen[ro.bucket] = max(ro.seen[ro.bucket], ro.asOf)
	return true
}

func sortedKeys[Key cmp.Ordered, Value any](mp map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(mp))
}
