// Package sched decides, for one cell of model engines, which request runs
// where and when.
//
// A cell is a group of prefill and decode engines of one service. One VM at a time
// accounts for it, chosen by rendezvous hashing, so that the VMs share the engines
// without racing on stale load reports. A [Cell] does no I/O: it takes events and the
// time, and returns intents. All its decisions can be replayed from the list of its
// events. A VM that can't reach the accounting VM decides on its own with a [Fallback].
//
// # Usage
//
//	ce := &sched.Cell{Name: "rapportmodel/0"}
//	for _, in := range ce.Step(now, sched.Submit{Spec: spec}) {
//		switch in := in.(type) {
//		case sched.Grant: ... // send the prefill, then report Progress
//		case sched.Transfer: ... // import the KV cache and decode
//		case sched.Preempt: ... // cancel, and wait for another Grant
//		case sched.Refuse: ...
//		case sched.Unknown: ... // have the runner announce the request again
//		case sched.Wake: ... // send a Tick at that time
//		}
//	}
package sched

import (
	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Stages of a granted request, in order.
const (
	Prefilling   Stage = "Prefilling"   // the prefill was sent to its engine
	Prefilled    Stage = "Prefilled"    // the prefill is complete; the prefill engine keeps the KV cache for a short time
	Transferring Stage = "Transferring" // the decode engine is importing the KV cache
	Decoding     Stage = "Decoding"     // the decode engine holds the KV cache in memory
	Ended        Stage = "Ended"        // the last token was received
	Cancelled    Stage = "Cancelled"    // cancelled, and the engines confirmed that they hold nothing
	Lost         Stage = "Lost"         // an engine failed; what it still holds is unknown
	Rejected     Stage = "Rejected"     // the decode engine refused the import because it is full; the KV cache is still kept
	Lapsed       Stage = "Lapsed"       // the import failed because the prefill engine no longer keeps the KV cache
)

// Reasons why a KV cache waits for its transfer.
const (
	WaitForLink  WaitReason = "Link"  // the prefill engine's link is busy with another transfer
	WaitForSlot  WaitReason = "Place" // no decode engine has a free slot
	WaitForQuick WaitReason = "Quick" // the free slots are reserved for quick requests
)

type (
	// WaitReason is what a KV cache waits for before its transfer starts.
	WaitReason string

	// Stage is the progress of a granted request.
	Stage string

	// RequestSpec describes a request to the scheduler.
	RequestSpec struct {
		Request       string
		Stream        uint64 // identifies the stream on which the runner announced the request; intents repeat it
		Customer      string
		Class         string
		VM            board.VMRef // VM that serves the caller
		Quick         bool
		PromptTokens  int
		PrefixHash    uint64 // of the shared prompt prefix; zero if there is none
		PrefixTokens  int    // length of that prefix; zero if unknown
		MaxTokens     int
		TTFT          clock.Millis
		TPOT          clock.Millis
		Deadline      clock.Millis // on this VM's clock
		Share         float64
		PrefillWeight float64
		Attempt       int
		HeldPrefill   string // prefill engine that still holds the KV cache; empty if none
	}

	// Event is an input to a cell: Submit, Adopt, Progress, Withdraw, Report, Rest,
	// Servers, Orphan, Audit or Tick.
	Event interface{ event() }

	// Intent is an action that a cell requests: Grant, Transfer, Refuse, Preempt,
	// Unknown, Closed or Wake.
	Intent interface{ intent() }

	// Submit queues a request for placement. Submitting a request that the cell already
	// has first releases everything reserved for it.
	Submit struct{ Spec RequestSpec }

	// Adopt registers, after the accounting VM changed, a grant that the previous
	// accounting VM made and that its runner still uses. It never starts anything; from
	// then on the request counts as granted by this cell.
	Adopt struct {
		Spec    RequestSpec
		Stage   Stage // Prefilling, Prefilled, Transferring or Decoding
		Prefill string
		Decode  string
		Tokens  int          // output tokens generated so far
		Since   clock.Millis // time since the stage began
	}

	// Progress reports the stage of a granted request. Attempt is that of the Grant;
	// Progress of an earlier attempt is dropped.
	Progress struct {
		Request string
		Attempt int
		Stage   Stage
		Tokens  int          // output tokens generated so far
		Took    clock.Millis // duration of the previous stage
	}

	// Withdraw removes a request that is still queued, or whose grant was not used.
	Withdraw struct{ Request string }

	// Report is a load report of an engine.
	Report struct{ Load board.LoadReport }

	// Rest reports that an engine accepts no new work for some time.
	Rest struct {
		Server string
		For    clock.Millis
	}

	// Servers sets the list of the cell's engines.
	Servers struct{ Servers []board.BackendServer }

	// Orphan reports that the VM of a granted request has failed. The request keeps its
	// slot until Progress shows that the engines have released it.
	Orphan struct{ Request string }

	// Audit lists all requests that the accounting VM holds, as after the events that it
	// sent before. The cell drops requests that are not listed, and reports waiting ones
	// that it does not have by Unknown, so that no lost event lasts.
	Audit struct{ Held []HeldRequest }

	// HeldRequest is a request of an Audit.
	HeldRequest struct {
		Request string
		Stream  uint64
		Waiting bool // not granted, or the grant was revoked
	}

	// Tick advances the time.
	Tick struct{}

	// Grant places a request: its prefill may be sent now. Decode is the engine that
	// would be chosen at this moment; the binding choice comes with the Transfer that
	// follows Progress with stage Prefilled. A runner that receives no Transfer within
	// a quarter of the KV cache's TTL continues with Decode on its own. SkipPrefill
	// means that the retained KV cache is used.
	Grant struct {
		Request     string
		Stream      uint64
		Attempt     int // starts with that of the RequestSpec and grows by one with each further Grant
		Prefill     string
		Decode      string
		SkipPrefill bool
	}

	// Transfer orders the import of the KV cache into the decode engine, where a slot
	// is reserved. A second Transfer for the same request replaces the first, which
	// stalled or was rejected.
	Transfer struct {
		Request   string
		Stream    uint64
		Attempt   int
		Prefill   string
		Decode    string
		Waited    clock.Millis // time since the KV cache was ready or the previous transfer was rejected
		WaitedFor WaitReason   // last reason for waiting; empty if the transfer started at once
		Stalled   string       // decode engine of the stalled transfer that this one replaces; empty if none
		Elapsed   clock.Millis // time since the stalled transfer began
		Expected  clock.Millis // expected duration of the stalled transfer
	}

	// Refuse ends a queued request.
	Refuse struct {
		Request string
		Stream  uint64
		Refusal refusal.Refusal // MayHaveRun if the request was granted before
	}

	// Preempt revokes a grant before costly work has begun or after the KV cache
	// expired. The runner cancels what it sent. The request stays queued in the cell
	// and gets another Grant or a Refuse.
	Preempt struct {
		Request string
		Stream  uint64
		Attempt int
		Reason  refusal.Reason
	}

	// Unknown reports that the cell does not have a request that its runner waits for. The
	// runner must announce it again.
	Unknown struct {
		Request string
		Stream  uint64
	}

	// Closed reports, for logs only, that an engine gets no new work for some time.
	Closed struct {
		Server  string
		Role    board.Role
		For     clock.Millis
		Lost    int    // consecutive losses on the engine; zero if the engine requested a rest
		Request string // last request that was lost
	}

	// Wake requests a Tick no later than the given time.
	Wake struct{ At clock.Millis }
)

func (Submit) event()   {}
func (Adopt) event()    {}
func (Progress) event() {}
func (Withdraw) event() {}
func (Report) event()   {}
func (Rest) event()     {}
func (Servers) event()  {}
func (Orphan) event()   {}
func (Audit) event()    {}
func (Tick) event()     {}

func (Grant) intent()    {}
func (Transfer) intent() {}
func (Refuse) intent()   {}
func (Preempt) intent()  {}
func (Unknown) intent()  {}
func (Closed) intent()   {}
func (Wake) intent()     {}
