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

	snapshotWait = 3 * clock.Second // for a peer's snapshot, before another is asked
)

type (
	// reading is the state of reads from the log.
	reading struct {
		open     bool
		since    clock.Millis // when the open read was asked for
		due      clock.Millis // of the open read's answer
		next     clock.Millis // earliest point of the next read
		failures int          // in a row
		seen     bool         // a read has succeeded
		tail     uint64       // end of the log when it first did
		first    uint64       // lowest offset that the log keeps
		end      uint64       // newest end of the log that was told
		endAt    clock.Millis // when a read that reached the end was asked for
	}

	// helping is the state of questions to peers.
	helping struct {
		next     clock.Millis
		snapshot bool // the last peer no longer had the records
	}

	// recent is the newest records, kept for peers: all from first to next.
	recent struct {
		first   uint64
		next    uint64
		records []logsvc.Record
		bytes   int
	}
)

func (fo *Follower) planRead(now clock.Millis) clock.Millis {
	rd := &fo.reading
	if rd.open {
		return never // planHelp watches over it
	}
	if now < rd.next {
		return rd.next
	}
	wait := fo.Settings.Wait
	if !rd.seen {
		wait = 0 // learn where the log ends
	}
	rd.open, rd.since, rd.due = true, now, now+wait+fo.Settings.Overdue
	fo.emit(ReadLog{From: fo.state.next, Max: fo.Settings.MaxRecords, Wait: wait})
	return never
}

func (fo *Follower) read(now clock.Millis, ev Read) {
	rd := &fo.reading
	rd.open = false
	if ev.Err != nil {
		if rd.failures == 0 {
			fo.note(event.LogReadFailed, event.F("Next", fo.state.next))
		}
		rd.failures++
		rd.next = now + fo.backoff(rd.failures)
		return
	}
	if rd.failures > 0 {
		fo.note(event.LogReadResumed, event.F("Failures", rd.failures))
	}
	rd.failures = 0
	if !rd.seen {
		rd.seen, rd.tail = true, ev.Batch.End
	}
	rd.first, rd.end = ev.Batch.First, max(rd.end, ev.Batch.End)
	if fo.state.begun && ev.Batch.First > fo.state.next {
		fo.note(event.LogRecordsMissed, event.F("Next", fo.state.next), event.F("First", ev.Batch.First))
	}
	outs, bad := fo.state.Advance(ev.Batch)
	fo.recent.add(fo.Settings, ev.Batch)
	fo.learn(outs, bad)
	if fo.state.next >= rd.end {
		// What is read later was appended after this point.
		rd.endAt = rd.since
	}
}

// cutOff tells whether the log can't be read at the moment.
func (fo *Follower) cutOff(now clock.Millis) bool {
	return fo.reading.failures > 0 || fo.reading.open && now >= fo.reading.due
}

// planHelp asks peers while the log doesn't serve, or holds too little.
func (fo *Follower) planHelp(now clock.Millis) clock.Millis {
	if !fo.cutOff(now) && fo.Ready() {
		if fo.reading.open {
			return fo.reading.due
		}
		return never
	}
	if now < fo.helping.next {
		return fo.helping.next
	}
	peer, ok := fo.peer()
	fo.helping.next = now + fo.jitter(fo.Settings.PeerEvery)
	if !ok {
		return fo.helping.next
	}
	if fo.state.Known() && !fo.helping.snapshot {
		fo.emit(AskPeer{VM: peer, From: fo.state.next, Max: fo.Settings.MaxRecords})
	} else {
		// A snapshot may take a while; the next is asked for once it failed.
		fo.helping.next = now + snapshotWait
		fo.emit(AskSnapshot{VM: peer})
	}
	return fo.helping.next
}

// peer picks one of the other serving VMs.
func (fo *Follower) peer() (board.VM, bool) {
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

func (fo *Follower) peerRecords(now clock.Millis, ev PeerRecords) {
	if ev.Err != nil || ev.Batch.Check("", 0) != nil {
		return
	}
	outs, bad, err := fo.state.Follow(ev.Batch)
	var gap *GapError
	if errors.As(err, &gap) {
		// Only a peer that is ahead of this VM can help with a snapshot.
		fo.helping.snapshot = ev.Batch.Next > fo.state.next
		if fo.helping.snapshot {
			fo.helping.next = now
		}
		return
	}
	fo.recent.add(fo.Settings, ev.Batch)
	fo.learn(outs, bad)
}

func (fo *Follower) peerSnapshot(now clock.Millis, ev PeerSnapshot) {
	fo.helping.next = now + fo.jitter(fo.Settings.PeerEvery)
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
		fo.note(event.SnapshotRejected, event.F("Peer", ev.VM.ID))
		return
	}
	fo.helping.snapshot = false
	if fo.state.next != before {
		fo.recent.jump(fo.state.next)
		fo.note(event.SnapshotTaken, event.F("Peer", ev.VM.ID), event.F("AsOf", snap.AsOf))
	}
	fo.learn(outs, nil)
}

// add keeps the records of a batch.
func (rc *recent) add(se Settings, ba logsvc.Batch) {
	if ba.First > rc.next {
		rc.jump(ba.First)
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
		rc.records[0] = logsvc.Record{} // lets the data go
		rc.records = rc.records[1:]
	}
}

// jump forgets all records; those from the offset on come next.
func (rc *recent) jump(offset uint64) { *rc = recent{first: offset, next: offset} }

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
