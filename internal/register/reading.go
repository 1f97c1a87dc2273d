package register

import (
	"errors"
	"math"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/pkg/clock"
)

const (
	never = clock.Millis(math.MaxInt64)

	snapshotWait = 3 * clock.Second // for a peer's snapshot, before another peer is tried
)

type (
	// reading is the state of the reads from the log.
	reading struct {
		open        bool
		requestedAt clock.Millis // when the open read was requested
		deadline    clock.Millis // for the answer to the open read
		next        clock.Millis // earliest time of the next read
		failures    int          // consecutive
		seen        bool         // a read has succeeded
		initialEnd  uint64       // end of the log at the first successful read
		first       uint64       // lowest offset that the log keeps
		end         uint64       // highest known end of the log
		endAt       clock.Millis // when the last read that reached the end was requested
	}

	// peerRequests is the state of the requests to peers.
	peerRequests struct {
		next         clock.Millis
		needSnapshot bool // the last peer no longer had the records that this VM needs
	}

	// recent holds the newest records for peers: all from first to next.
	recent struct {
		first   uint64
		next    uint64
		records []logsvc.Record
		bytes   int
	}
)

// planRead requests the next read of the log if it is due. It returns when that will be.
func (fo *Follower) planRead(now clock.Millis) clock.Millis {
	rd := &fo.reading
	if rd.open {
		return never // planPeerRequest checks its deadline
	}
	if now < rd.next {
		return rd.next
	}
	wait := fo.Settings.ReadWait
	if !rd.seen {
		wait = 0 // return at once with the end of the log
	}
	rd.open, rd.requestedAt, rd.deadline = true, now, now+wait+fo.Settings.Overdue
	fo.emit(ReadLog{From: fo.state.next, Max: fo.Settings.MaxRecords, Wait: wait})
	return never
}

func (fo *Follower) handleRead(now clock.Millis, ev Read) {
	rd := &fo.reading
	rd.open = false
	if ev.Err != nil {
		if rd.failures == 0 {
			fo.logEvent(event.LogReadFailed, event.F("Next", fo.state.next))
		}
		rd.failures++
		rd.next = now + fo.backoff(rd.failures)
		return
	}
	if rd.failures > 0 {
		fo.logEvent(event.LogReadResumed, event.F("Failures", rd.failures))
	}
	rd.failures = 0
	if !rd.seen {
		rd.seen, rd.initialEnd = true, ev.Batch.End
	}
	rd.first, rd.end = ev.Batch.First, max(rd.end, ev.Batch.End)
	if fo.state.begun && ev.Batch.First > fo.state.next {
		fo.logEvent(event.LogRecordsMissed, event.F("Next", fo.state.next), event.F("First", ev.Batch.First))
	}
	outs, bad := fo.state.Advance(ev.Batch)
	fo.recent.add(fo.Settings, ev.Batch)
	fo.applyOutcomes(outs, bad)
	if fo.state.next >= rd.end {
		// Any record read later was appended after this read was requested.
		rd.endAt = rd.requestedAt
	}
}

// logUnavailable reports whether the log cannot be read at the moment.
func (fo *Follower) logUnavailable(now clock.Millis) bool {
	return fo.reading.failures > 0 || fo.reading.open && now >= fo.reading.deadline
}

// planPeerRequest sends requests to peers while the log is unavailable or incomplete.
func (fo *Follower) planPeerRequest(now clock.Millis) clock.Millis {
	if !fo.logUnavailable(now) && fo.Ready() {
		if fo.reading.open {
			return fo.reading.deadline
		}
		return never
	}
	if now < fo.peerRequests.next {
		return fo.peerRequests.next
	}
	peer, ok := fo.choosePeer()
	fo.peerRequests.next = now + fo.jitter(fo.Settings.PeerEvery)
	if !ok {
		return fo.peerRequests.next
	}
	if fo.state.Known() && !fo.peerRequests.needSnapshot {
		fo.emit(RequestRecords{VM: peer, From: fo.state.next, Max: fo.Settings.MaxRecords})
	} else {
		// A snapshot may take a while; the next one is requested after it failed.
		fo.peerRequests.next = now + snapshotWait
		fo.emit(RequestSnapshot{VM: peer})
	}
	return fo.peerRequests.next
}

// choosePeer returns a random other VM that is serving.
func (fo *Follower) choosePeer() (board.VM, bool) {
	var others []board.VM
	for _, vm := range fo.fleet.Serving() {
		if vm.ID != fo.Self.ID {
			others = append(others, vm)
		}
	}
	if len(others) == 0 {
		return board.VM{}, false
	}
	return others[fo.Rand.IntN(len(others))], true
}

func (fo *Follower) handlePeerRecords(now clock.Millis, ev PeerRecords) {
	if ev.Err != nil || ev.Batch.Check("", 0) != nil {
		return
	}
	outs, bad, err := fo.state.Follow(ev.Batch)
	var gap *GapError
	if errors.As(err, &gap) {
		// Only a peer that is ahead of this VM can help with a snapshot.
		fo.peerRequests.needSnapshot = ev.Batch.Next > fo.state.next
		if fo.peerRequests.needSnapshot {
			fo.peerRequests.next = now
		}
		return
	}
	fo.recent.add(fo.Settings, ev.Batch)
	fo.applyOutcomes(outs, bad)
}

func (fo *Follower) handlePeerSnapshot(now clock.Millis, ev PeerSnapshot) {
	fo.peerRequests.next = now + fo.jitter(fo.Settings.PeerEvery)
	if ev.Err != nil {
		return
	}
	snap, err := ParseSnapshot(ev.Data)
	var outs []Outcome
	before := fo.state.next
	if err == nil {
		outs, err = fo.state.Import(snap)
	}
	if err != nil {
		fo.logEvent(event.SnapshotRejected, event.F("Peer", ev.VM.ID))
		return
	}
	fo.peerRequests.needSnapshot = false
	if fo.state.next != before {
		fo.recent.reset(fo.state.next)
		fo.logEvent(event.SnapshotTaken, event.F("Peer", ev.VM.ID), event.F("AsOf", snap.AsOf))
	}
	fo.applyOutcomes(outs, nil)
}

// add appends the records of a batch and drops the oldest beyond the limits.
func (rc *recent) add(se Settings, ba logsvc.Batch) {
	if ba.First > rc.next {
		rc.reset(ba.First)
	}
	for _, rec := range ba.Records {
		if rec.Offset >= rc.next {
			rc.records = append(rc.records, rec)
			rc.bytes += len(rec.Data)
		}
	}
	rc.next = max(rc.next, ba.Next)
	for len(rc.records) > se.KeepRecords || rc.bytes > se.KeepBytes {
		rc.first = rc.records[0].Offset + 1
		rc.bytes -= len(rc.records[0].Data)
		rc.records[0] = logsvc.Record{} // releases the data
		rc.records = rc.records[1:]
	}
}

// reset drops all records; the next ones start at the offset.
func (rc *recent) reset(offset uint64) { *rc = recent{first: offset, next: offset} }

// batch returns the kept records from an offset on, up to the given number.
func (rc *recent) batch(from uint64, most int) logsvc.Batch {
	ba := logsvc.Batch{First: rc.first, Next: rc.next, End: rc.next}
	for _, rec := range rc.records {
		if rec.Offset < from {
			continue
		}
		if len(ba.Records) == most {
			ba.Next = rec.Offset
			break
		}
		ba.Records = append(ba.Records, rec)
	}
	return ba
}
