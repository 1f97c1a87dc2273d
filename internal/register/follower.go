package register

import (
	"errors"
	"math/rand/v2"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// How a publication ended, as its operator is told.
const (
	Published    Result = "Published"    // in force with the Revision
	Conflict     Result = "Conflict"     // refused for good; Current is in force
	NotPublished Result = "NotPublished" // promise: the log never took it
	Unknown      Result = "Unknown"      // ask again with the same ID
)

type (
	// Settings of a Follower. The zero value of a field means its default.
	Settings struct {
		Content Content
		Buckets int

		// Retention is how long the log service keeps a record; a quarter
		// of it is the age at which a bucket is written again. Default 24 h.
		Retention clock.Millis

		ReadWait        clock.Millis // that a read waits for the next record; default 1.5 s
		ReadGrace       clock.Millis // after ReadWait, when an open read counts as failed; default 700 ms
		MaxRecords      int          // of one read; default 256
		RetryDelay      clock.Millis // after a failed call; doubles up to eight times; default 250 ms
		PeerInterval    clock.Millis // between two questions to peers; default 500 ms
		PublishTimeout  clock.Millis // until an operator gets a verdict; default 5 s
		RequestDelay    clock.Millis // that a VM misses records, until it asks for restatements; default 10 s
		RecoverDelay    clock.Millis // that nobody answers, until a VM recovers what it last knew; default 1 min
		MaxPending      int          // publications that wait at this VM; default 64
		RestateInterval clock.Millis // between two restatements of this VM; default 500 ms
		KeepRecords     int          // newest records kept for peers; default 256
		KeepBytes       int          // of them; default 512 KiB
	}

	// Follower decides what one VM reads, asks and appends to follow one
	// stream. Set the exported fields before the first Step. It has a single
	// owner.
	Follower struct {
		Self     board.VMRef
		Rand     *rand.Rand
		Settings Settings

		state           State
		fleet           *board.Fleet
		reading         reading
		peerRequests    peerRequests
		pending         map[string]*pending
		restating       restating
		recent          recent
		out             []Intent
		emitted         emittedState
		activeTemplates *board.Templates // of the last TemplatesChanged
		started         bool
	}

	// emittedState is what the last TemplatesChanged said.
	emittedState struct {
		edits uint64
		ready bool
	}

	// Result is how a publication ended.
	Result string

	// Event is what a Follower is told: Read, PeerRecords, PeerSnapshot,
	// FleetChanged, PublishRequest, Appended or Tick.
	Event interface{ followerEvent() }

	// Intent is what a Follower wants done: ReadLog, RequestRecords, RequestSnapshot,
	// Append, TemplatesChanged, Verdict, LogEvent or Wake.
	Intent interface{ followerIntent() }

	// Read answers a ReadLog.
	Read struct {
		Batch logsvc.Batch
		Err   error
	}

	// PeerRecords answers an RequestRecords.
	PeerRecords struct {
		VM    board.VMRef
		Batch logsvc.Batch
		Err   error
	}

	// PeerSnapshot answers an RequestSnapshot. A peer that is not ready answers
	// with an error.
	PeerSnapshot struct {
		VM   board.VMRef
		Data []byte
		Err  error
	}

	// FleetChanged tells of the entry VMs.
	FleetChanged struct{ Fleet *board.Fleet }

	// PublishRequest is an operator's wish to publish a customer's template, or to
	// withdraw it if Template is nil. The same ID asked again never
	// publishes twice.
	PublishRequest struct {
		ID       string
		Customer string
		Base     uint64
		Template *template.Template
		// Repeated tells that this ID was asked before, here or at another VM,
		// without a certain verdict. This VM can't know what became of that,
		// so it never answers NotPublished.
		Repeated bool
	}

	// Appended answers an Append.
	Appended struct {
		ID     string
		Offset uint64
		Err    error // unwraps to a *logsvc.AppendError
	}

	// Tick passes the time.
	Tick struct{}

	// ReadLog asks for a read of the log; there is one at a time.
	ReadLog struct {
		From uint64
		Max  int
		Wait clock.Millis
	}

	// RequestRecords asks a peer for records that it has read.
	RequestRecords struct {
		VM   board.VM
		From uint64
		Max  int
	}

	// RequestSnapshot asks a peer for its state.
	RequestSnapshot struct{ VM board.VM }

	// Append asks for an append to the log.
	Append struct {
		ID   string
		Data []byte
	}

	// TemplatesChanged tells of a change of the customers' templates in force.
	TemplatesChanged struct{ Templates *board.Templates }

	// Verdict ends a PublishRequest. Each PublishRequest gets one, but several with the same
	// ID at the same time share it.
	Verdict struct {
		ID       string
		Result   Result
		Revision uint64 // that it was published with
		Current  uint64 // in force, as far as this VM has read
		Reason   Reason
	}

	// LogEvent asks for a log line and a count.
	LogEvent struct {
		Event  event.Event
		Fields []event.Field
	}

	// Wake asks for a Tick at the given point, at the latest. It replaces
	// the one before.
	Wake struct{ At clock.Millis }
)

func (Read) followerEvent()           {}
func (PeerRecords) followerEvent()    {}
func (PeerSnapshot) followerEvent()   {}
func (FleetChanged) followerEvent()   {}
func (PublishRequest) followerEvent() {}
func (Appended) followerEvent()       {}
func (Tick) followerEvent()           {}

func (ReadLog) followerIntent()          {}
func (RequestRecords) followerIntent()   {}
func (RequestSnapshot) followerIntent()  {}
func (Append) followerIntent()           {}
func (TemplatesChanged) followerIntent() {}
func (Verdict) followerIntent()          {}
func (LogEvent) followerIntent()         {}
func (Wake) followerIntent()             {}

// Step takes one event and returns what is to be done, in order.
func (fo *Follower) Step(now clock.Millis, ev Event) []Intent {
	fo.begin(now)
	switch ev := ev.(type) {
	case Read:
		fo.handleRead(now, ev)
	case PeerRecords:
		fo.handlePeerRecords(now, ev)
	case PeerSnapshot:
		fo.handlePeerSnapshot(now, ev)
	case FleetChanged:
		fo.fleet = ev.Fleet
	case PublishRequest:
		fo.handlePublish(now, ev)
	case Appended:
		fo.handleAppended(now, ev)
	case Tick:
	}
	fo.plan(now)
	out := fo.out
	fo.out = nil
	return out
}

func (fo *Follower) begin(now clock.Millis) {
	if fo.started {
		return
	}
	fo.started = true
	fo.Settings = fo.Settings.withDefaults()
	fo.state.Content = fo.Settings.Content
	fo.state.Buckets = fo.Settings.Buckets
	fo.state.init()
	fo.fleet = &board.Fleet{}
	fo.pending = map[string]*pending{}
	fo.activeTemplates = &board.Templates{}
	fo.restating.begin(now, fo)
}

// plan does all that is due and says when more will be.
func (fo *Follower) plan(now clock.Millis) {
	next := min(
		fo.planRead(now),
		fo.planPeerRequest(now),
		fo.planPending(now),
		fo.planRestate(now),
	)
	fo.emitChanges()
	if next < never {
		fo.emit(Wake{At: max(next, now+1)})
	}
}

// Ready tells whether all registers are decided and the end of the log, as it
// was first seen, was reached.
func (fo *Follower) Ready() bool {
	return fo.state.Known() && (!fo.reading.seen || fo.state.next >= fo.reading.initialEnd)
}

// Entry returns a register and whether it is decided up to what was read.
func (fo *Follower) Entry(key string) (Entry, bool) { return fo.state.Entry(key) }

// Entries returns all registers, withdrawn ones too, sorted by key.
func (fo *Follower) Entries() []Entry { return fo.state.Entries() }

// Next is the offset that comes next.
func (fo *Follower) Next() uint64 { return fo.state.next }

// Snapshot returns the state for a peer, and the offset that it is as of. It
// returns ErrNotKnown while this VM is not ready itself.
func (fo *Follower) Snapshot() (data []byte, asOf uint64, err error) {
	if !fo.started || !fo.Ready() {
		return nil, 0, ErrNotKnown
	}
	data, err = fo.state.Export()
	return data, fo.state.next, err
}

// Records returns records that were read and are still kept for peers. First
// is the lowest of them, not of the log.
func (fo *Follower) Records(from uint64, most int) logsvc.Batch {
	return fo.recent.batch(from, most)
}

func (fo *Follower) emit(in Intent) { fo.out = append(fo.out, in) }

func (fo *Follower) logEvent(ev event.Event, fields ...event.Field) {
	fo.emit(LogEvent{Event: ev, Fields: fields})
}

// jitter spreads a span over half to the whole of it.
func (fo *Follower) jitter(span clock.Millis) clock.Millis {
	return span/2 + clock.Millis(fo.Rand.Int64N(int64(span/2)+1))
}

// backoff grows with the failures in a row.
func (fo *Follower) backoff(failures int) clock.Millis {
	return fo.jitter(fo.Settings.RetryDelay << min(max(failures-1, 0), 3))
}

// applyOutcomes takes in what a batch or snapshot decided.
func (fo *Follower) applyOutcomes(outs []Outcome, bad []error) {
	for _, err := range bad {
		var re *RecordError
		if errors.As(err, &re) {
			fo.logEvent(event.LogRecordRejected, event.F("Offset", re.Offset), event.F("Detail", re.Detail))
		}
	}
	for _, out := range outs {
		fo.resolvePending(out)
	}
	fo.resolvePendingFromState()
	fo.restating.noteRestatements(fo)
}

// emitChanges tells of what is in force if it changed.
func (fo *Follower) emitChanges() {
	ready := fo.emitted.ready || fo.Ready()
	if ready && !fo.emitted.ready {
		fo.logEvent(event.RegisterReady, event.F("Next", fo.state.next))
	}
	now := emittedState{edits: fo.state.edits, ready: ready}
	if now == fo.emitted {
		return
	}
	fo.emitted = now
	if fo.Settings.Content == Templates {
		fo.activeTemplates = fo.buildTemplates(ready)
		fo.emit(TemplatesChanged{Templates: fo.activeTemplates})
	}
}

func (se Settings) withDefaults() Settings {
	span := func(field *clock.Millis, def clock.Millis) {
		if *field == 0 {
			*field = def
		}
	}
	count := func(field *int, def int) {
		if *field == 0 {
			*field = def
		}
	}
	span(&se.Retention, 24*clock.Hour)
	span(&se.ReadWait, 1500)
	span(&se.ReadGrace, 700)
	span(&se.RetryDelay, 250)
	span(&se.PeerInterval, 500)
	span(&se.PublishTimeout, 5*clock.Second)
	span(&se.RestateInterval, 500)
	span(&se.RequestDelay, 10*clock.Second)
	span(&se.RecoverDelay, clock.Minute)
	count(&se.Buckets, DefaultBuckets)
	count(&se.MaxRecords, 256)
	count(&se.MaxPending, 64)
	count(&se.KeepRecords, 256)
	count(&se.KeepBytes, 512<<10)
	return se
}
