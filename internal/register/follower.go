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

// Results of a publish request, as reported to its operator.
const (
	Published    Result = "Published"    // active, with the verdict's Revision
	Conflict     Result = "Conflict"     // refused permanently; Current is active
	NotPublished Result = "NotPublished" // guarantees that the log never accepted it
	Unknown      Result = "Unknown"      // repeat the request with the same ID
)

type (
	// Settings configure a Follower. A zero field means its default.
	Settings struct {
		Content Content
		Buckets int

		// Retention is how long the log service keeps a record. A bucket is
		// restated at a quarter of that age. Default 24 h.
		Retention clock.Millis

		ReadWait      clock.Millis // for which a read waits for the next record; default 1.5 s
		Overdue       clock.Millis // after ReadWait, until an open read counts as failed; default 700 ms
		MaxRecords    int          // of one read; default 256
		Retry         clock.Millis // after a failed call; doubles with each failure, up to eightfold; default 250 ms
		PeerEvery     clock.Millis // between two requests to peers; default 500 ms
		PublishWithin clock.Millis // until an operator gets a verdict; default 5 s
		RequestAfter  clock.Millis // from when a VM misses records until it requests restatements; default 10 s
		RecoverAfter  clock.Millis // from an unanswered request until a VM recovers its last known content; default 1 min
		MaxPending    int          // publications pending at this VM; default 64
		RestateEvery  clock.Millis // between two restatements of this VM; default 500 ms
		KeepRecords   int          // newest records kept for peers; default 256
		KeepBytes     int          // their total size; default 512 KiB
	}

	// Follower decides what one VM reads, requests from peers and appends to
	// follow one stream. Set the exported fields before the first Step. It has
	// a single owner.
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

	// emittedState is the state that the last TemplatesChanged reported.
	emittedState struct {
		edits uint64
		ready bool
	}

	// Result is the result of a publish request.
	Result string

	// Event is an input of a Follower: Read, PeerRecords, PeerSnapshot,
	// FleetChanged, PublishRequest, Appended or Tick.
	Event interface{ followerEvent() }

	// Intent is an action that a Follower requests: ReadLog, RequestRecords,
	// RequestSnapshot, Append, TemplatesChanged, Verdict, LogEvent or Wake.
	Intent interface{ followerIntent() }

	// Read answers a ReadLog.
	Read struct {
		Batch logsvc.Batch
		Err   error
	}

	// PeerRecords answers a RequestRecords.
	PeerRecords struct {
		VM    board.VMRef
		Batch logsvc.Batch
		Err   error
	}

	// PeerSnapshot answers a RequestSnapshot. A peer that is not ready answers
	// with an error.
	PeerSnapshot struct {
		VM   board.VMRef
		Data []byte
		Err  error
	}

	// FleetChanged carries a new snapshot of the entry VMs.
	FleetChanged struct{ Fleet *board.Fleet }

	// PublishRequest is an operator's request to publish a customer's
	// template, or to withdraw it if Template is nil. A request repeated with
	// the same ID is published at most once.
	PublishRequest struct {
		ID       string
		Customer string
		Base     uint64
		Template *template.Template
		// Repeated reports that a request with this ID was made before, here or
		// at another VM, without a definite verdict. This VM cannot know whether
		// that one was appended, so it never answers NotPublished.
		Repeated bool
	}

	// Appended answers an Append.
	Appended struct {
		ID     string
		Offset uint64
		Err    error // wraps a *logsvc.AppendError
	}

	// Tick reports that time has passed.
	Tick struct{}

	// ReadLog requests a read of the log. At most one is in progress.
	ReadLog struct {
		From uint64
		Max  int
		Wait clock.Millis
	}

	// RequestRecords requests records that a peer has read.
	RequestRecords struct {
		VM   board.VM
		From uint64
		Max  int
	}

	// RequestSnapshot requests a peer's state.
	RequestSnapshot struct{ VM board.VM }

	// Append requests an append to the log.
	Append struct {
		ID   string
		Data []byte
	}

	// TemplatesChanged carries the customers' active templates after a change.
	TemplatesChanged struct{ Templates *board.Templates }

	// Verdict answers a PublishRequest. Each request gets one, but concurrent
	// requests with the same ID share it.
	Verdict struct {
		ID       string
		Result   Result
		Revision uint64 // assigned to the publication
		Current  uint64 // active revision, as far as this VM has read
		Reason   Reason
	}

	// LogEvent requests that an event be logged and counted.
	LogEvent struct {
		Event  event.Event
		Fields []event.Field
	}

	// Wake requests a Tick at the given time at the latest. It replaces the
	// previous Wake.
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

// Step handles one event and returns the resulting intents, in order.
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

// plan performs everything that is due and requests a Wake for the next due time.
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

// Ready reports whether all registers are decided and the follower has reached the end
// that the log had at its first successful read.
func (fo *Follower) Ready() bool {
	return fo.state.Known() && (!fo.reading.seen || fo.state.next >= fo.reading.initialEnd)
}

// Entry returns a register, and whether it is decided up to what was read.
func (fo *Follower) Entry(key string) (Entry, bool) { return fo.state.Entry(key) }

// Entries returns all registers, including withdrawn ones, sorted by key.
func (fo *Follower) Entries() []Entry { return fo.state.Entries() }

// Next returns the offset of the next record.
func (fo *Follower) Next() uint64 { return fo.state.next }

// Snapshot returns the encoded state for a peer, and the offset that it is as of. It
// returns ErrNotKnown while this VM is not ready itself.
func (fo *Follower) Snapshot() (data []byte, asOf uint64, err error) {
	if !fo.started || !fo.Ready() {
		return nil, 0, ErrNotKnown
	}
	data, err = fo.state.Export()
	return data, fo.state.next, err
}

// Records returns records that were read and are still kept for peers. First of the batch
// is the lowest offset kept here, not in the log.
func (fo *Follower) Records(from uint64, most int) logsvc.Batch {
	return fo.recent.batch(from, most)
}

func (fo *Follower) emit(in Intent) { fo.out = append(fo.out, in) }

func (fo *Follower) logEvent(ev event.Event, fields ...event.Field) {
	fo.emit(LogEvent{Event: ev, Fields: fields})
}

// jitter returns a random span between half of the given span and all of it.
func (fo *Follower) jitter(span clock.Millis) clock.Millis {
	return span/2 + clock.Millis(fo.Rand.Int64N(int64(span/2)+1))
}

// backoff returns a jittered delay that grows with the number of consecutive failures.
func (fo *Follower) backoff(failures int) clock.Millis {
	return fo.jitter(fo.Settings.Retry << min(max(failures-1, 0), 3))
}

// applyOutcomes handles what a batch or snapshot decided.
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

// emitChanges reports the active templates if they changed.
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
	span(&se.Overdue, 700)
	span(&se.Retry, 250)
	span(&se.PeerEvery, 500)
	span(&se.PublishWithin, 5*clock.Second)
	span(&se.RestateEvery, 500)
	span(&se.RequestAfter, 10*clock.Second)
	span(&se.RecoverAfter, clock.Minute)
	count(&se.Buckets, DefaultBuckets)
	count(&se.MaxRecords, 256)
	count(&se.MaxPending, 64)
	count(&se.KeepRecords, 256)
	count(&se.KeepBytes, 512<<10)
	return se
}
