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
	// A bucket is restated when its newest restatement reaches the age of the
	// retention divided by restateFraction.
	restateFraction = 4
	// maxRank bounds how long a VM leaves a due bucket to VMs with a lower rank.
	maxRank = 4

	// Delays per rank of the VMs that answer a request, and that recover a bucket.
	requestSpacing = 2 * clock.Second
	recoverSpacing = 10 * clock.Second

	// emptyRecoverFactor extends the wait for a bucket that this VM never knew. If
	// no VM has its content, all VMs were replaced and the log dropped everything.
	emptyRecoverFactor = 10

	requestBucket = -1 // stands for a request in the IDs of appends
	restatePrefix = "restate/"
)

// restating is the state of restating buckets. A VM that did not read the restatement
// of a bucket assumes that it is due soon. VMs are replaced more often than the
// retention elapses, and if each new VM counted from its own start, everything would
// expire.
type restating struct {
	due      []clock.Millis // when each bucket is due at the VM with rank 0
	seenAsOf []uint64       // AsOf of the restatement that due is derived from
	openID   string         // ID of the append in progress
	bucket   int            // bucket of that append
	asOf     uint64         // AsOf of that append
	next     clock.Millis   // earliest time of the next append
	number   int

	requested       uint64       // the newest request read
	requestedAt     clock.Millis // when this VM read it
	answeredRequest []uint64     // last request that this VM answered for each bucket
	unknownSince    clock.Millis // when buckets became unknown, or this VM last sent a request

	fleet *board.Fleet // for which the ranks were computed
	ranks []int        // rank of this VM for each bucket, plus one; zero if not computed yet
}

func (ro *restating) begin(now clock.Millis, fo *Follower) {
	ro.due = make([]clock.Millis, fo.state.Buckets)
	ro.seenAsOf = make([]uint64, fo.state.Buckets)
	ro.answeredRequest = make([]uint64, fo.state.Buckets)
	for ix := range ro.due {
		ro.due[ix] = now + fo.jitter(min(clock.Minute, fo.Settings.Retention/restateFraction))
	}
}

// noteRestatements records the restatements that were read. They are no older than the
// last read before them that reached the log's end.
func (ro *restating) noteRestatements(fo *Follower) {
	for ix := range fo.state.slots {
		asOf := fo.state.slots[ix].restatedAsOf
		if asOf <= ro.seenAsOf[ix] {
			continue
		}
		ro.seenAsOf[ix] = asOf
		if rd := &fo.reading; rd.endAt > 0 {
			ro.due[ix] = rd.endAt + fo.Settings.Retention/restateFraction
		}
	}
}

// planRestate appends the restatement of one due bucket, and returns when the next one is
// due. A VM that cannot read the log, or has not caught up with it, waits.
func (fo *Follower) planRestate(now clock.Millis) clock.Millis {
	ro, rd := &fo.restating, &fo.reading
	if ro.requested != fo.state.requested {
		ro.requested, ro.requestedAt = fo.state.requested, now
	}
	if ro.openID != "" || rd.failures > 0 || !rd.seen || fo.state.next < rd.end {
		return never
	}
	if now < ro.next {
		return ro.next
	}
	if !fo.state.Known() {
		return fo.planRecover(now)
	}
	ro.unknownSince = 0
	next := never
	for ix := range ro.due {
		due := fo.restateDue(ix, now)
		if due > now {
			next = min(next, due)
			continue
		}
		if rst, ok := fo.state.Restatement(ix); ok {
			ro.asOf = rst.AsOf
			fo.appendOwn(now, ix, rst)
			return never
		}
	}
	return next
}

// restateDue returns when this VM restates a bucket. The owner by rendezvous hashing is
// first; the others follow one after another in case it fails to.
func (fo *Follower) restateDue(ix int, now clock.Millis) clock.Millis {
	ro, rd := &fo.restating, &fo.reading
	if fo.state.slots[ix].covered < ro.requested && ro.answeredRequest[ix] != ro.requested {
		return ro.requestedAt + clock.Millis(fo.rank(ix))*requestSpacing
	}
	due := ro.due[ix]
	if ro.seenAsOf[ix] > 0 && rd.first > 0 && ro.seenAsOf[ix] < rd.first+(rd.end-rd.first)/restateFraction {
		due = min(due, now) // among the oldest records that the log keeps
	}
	if due > now {
		return due
	}
	return due + clock.Millis(fo.rank(ix))*fo.Settings.Retention/(restateFraction*restateFraction)
}

// rank returns this VM's rank for a bucket: how many VMs restate or recover it before this
// one, at most maxRank. The ranks are computed again when the fleet changes.
func (fo *Follower) rank(ix int) int {
	ro := &fo.restating
	if ro.fleet != fo.fleet {
		ro.fleet, ro.ranks = fo.fleet, make([]int, len(ro.due))
	}
	if ro.ranks[ix] == 0 {
		ro.ranks[ix] = 1 + fo.computeRank(ix)
	}
	return ro.ranks[ix] - 1
}

func (fo *Follower) computeRank(ix int) int {
	ranked := rendezvous.Rank(restatePrefix+string(fo.Settings.Content)+"/"+strconv.Itoa(ix), fo.fleet.Serving())
	for rank, vm := range ranked {
		if vm.ID == fo.Self.ID {
			return min(rank, maxRank)
		}
	}
	return 0 // this VM knows no other
}

// planRecover is for a VM that misses records which the log has dropped. It requests
// restatements. If no VM restates, no VM has newer content, and the last known content
// is made current again.
func (fo *Follower) planRecover(now clock.Millis) clock.Millis {
	ro, se := &fo.restating, &fo.Settings
	if ro.unknownSince == 0 {
		ro.unknownSince = now
	}
	stale := ro.requestedAt + 2*emptyRecoverFactor*se.RecoverAfter // the request is repeated then
	knownTo := fo.state.missedKnownTo()
	if ro.requested == 0 || now >= stale || knownTo > fo.state.requestKnownTo {
		due := ro.unknownSince + se.RequestAfter + clock.Millis(fo.rank(0))*requestSpacing
		if due > now {
			return due
		}
		ro.unknownSince = now
		fo.logEvent(event.RestatementRequested, event.F("Next", fo.state.next))
		fo.appendOwn(now, requestBucket, RestateRequest{VM: fo.Self.ID, KnownTo: knownTo})
		return never
	}
	if !fo.fleet.Quorate {
		return stale // a VM that is not reached may have newer content
	}
	next := stale
	for ix := range fo.state.slots {
		rc, ok := fo.state.recoverRecord(ix)
		if !ok || ro.answeredRequest[ix] == ro.requested {
			continue
		}
		due := ro.requestedAt + se.RecoverAfter + clock.Millis(fo.rank(ix))*recoverSpacing
		if rc.AsOf < fo.state.requestKnownTo {
			due += se.RecoverAfter // leave it to the VM that knew more
		}
		if !fo.state.slots[ix].everKnown {
			due += emptyRecoverFactor * se.RecoverAfter
		}
		if due > now {
			next = min(next, due)
			continue
		}
		fo.logEvent(event.BucketRecovered, event.F("Bucket", ix), event.F("AsOf", rc.AsOf))
		fo.appendOwn(now, ix, rc)
		return never
	}
	return next
}

// appendOwn appends a restatement, request or recovery of this VM.
func (fo *Follower) appendOwn(now clock.Millis, ix int, rec Record) {
	ro := &fo.restating
	ro.next = now + fo.appendDelay(ix)
	data, err := Marshal(rec)
	if err != nil {
		fo.logEvent(event.RestatementFailed, event.F("Bucket", ix))
		ro.next = now + fo.jitter(clock.Minute)
		return
	}
	ro.number++
	ro.openID = fmt.Sprintf("%s%d/%d", restatePrefix, ix, ro.number)
	ro.bucket = ix
	fo.emit(Append{ID: ro.openID, Data: data})
}

// appendDelay returns the delay until the next append. It is short while others wait for it.
func (fo *Follower) appendDelay(ix int) clock.Millis {
	if ix != requestBucket && fo.state.slots[ix].covered < fo.state.requested {
		return fo.jitter(max(2, fo.Settings.RestateEvery/10))
	}
	return fo.jitter(fo.Settings.RestateEvery)
}

// handleAppended handles the answer to an append of appendOwn; false if it is for another append.
func (ro *restating) handleAppended(now clock.Millis, fo *Follower, ev Appended) bool {
	if !strings.HasPrefix(ev.ID, restatePrefix) {
		return false
	}
	if ev.ID != ro.openID {
		return true
	}
	ro.openID = ""
	ro.next = now + fo.appendDelay(ro.bucket)
	if ev.Err != nil {
		fo.logEvent(event.RestatementFailed, event.F("Bucket", ro.bucket))
		ro.next = now + fo.jitter(10*fo.Settings.RestateEvery)
		return true
	}
	if ro.bucket == requestBucket {
		return true
	}
	ro.answeredRequest[ro.bucket] = ro.requested
	ro.due[ro.bucket] = now + fo.Settings.Retention/restateFraction
	ro.seenAsOf[ro.bucket] = max(ro.seenAsOf[ro.bucket], ro.asOf)
	return true
}

func sortedKeys[Key cmp.Ordered, Value any](mp map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(mp))
}
