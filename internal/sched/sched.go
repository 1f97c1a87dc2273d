// Package sched decides, for one cell of model engines, which request runs
// where and when.
//
// A cell is a group of prefill and decode engines of one service. One VM at a
// time accounts for it, chosen by rendezvous hashing, so that all VMs share
// the engines without racing on lagging load reports. A [Cell] does no I/O:
// it is given events and the time, and returns intents. Everything that it
// decides can be replayed from the list of its events. A VM that can't reach
// the accounting VM decides for itself by a [Fallback].
//
// # Usage
//
//	ce := &sched.Cell{Name: "rapportmodel/0"}
//	for _, in := range ce.Step(now, sched.Submit{Spec: spec}) {
//		switch in := in.(type) {
//		case sched.Grant: ... // send the prefill, then tell Progress
//		case sched.Transfer: ... // import the KV cache and decode
//		case sched.Preempt: ... // cancel, and wait for another Grant
//		case sched.Refuse: ...
//		case sched.Wake: ... // give a Tick by then
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
	Prefilling   Stage = "Prefilling"   // the prefill was sent
	Prefilled    Stage = "Prefilled"    // the prefill is complete; its KV cache is kept for a short time
	Transferring Stage = "Transferring" // the decode engine imports the KV cache
	Decoding     Stage = "Decoding"     // the KV cache is in the decode engine's memory
	Ended        Stage = "Ended"        // the last token came
	Cancelled    Stage = "Cancelled"    // cancelled, and the engines confirmed that nothing is held
	Lost         Stage = "Lost"         // an engine failed; what it held is unknown
	Rejected     Stage = "Rejected"     // the decode engine refused the import as full; the KV cache is still kept
	Lapsed       Stage = "Lapsed"       // the import failed since the KV cache is kept no more
)

// What a KV cache may wait for.
const (
	WaitForLink  WaitReason = "Link"  // another transfer has the prefill engine's link
	WaitForSlot  WaitReason = "Place" // no decode engine has a free place
	WaitForQuick WaitReason = "Quick" // the free places are left to quick requests
)

type (
	// WaitReason is what a KV cache waits for before its transfer begins.
	WaitReason string

	// Stage of a granted request.
	Stage string

	// RequestSpec is all that the decision about a request needs.
	RequestSpec struct {
		Request       string
		Customer      string
		Class         string
		VM            board.VMRef // the VM that serves the caller
		Quick         bool
		PromptTokens  int
		PrefixHash    uint64 // of the shared prompt prefix; zero if there is none
		PrefixTokens  int    // length of that prefix; zero if it is not known
		MaxTokens     int
		TTFT          clock.Millis
		TPOT          clock.Millis
		Deadline      clock.Millis // point on this VM's clock
		Share         float64
		PrefillWeight float64
		Attempt       int
		HeldPrefill   string // prefill engine that still holds the KV cache, if any
	}

	// Event is what a cell is told: Submit, Adopt, Progress, Withdraw,
	// Report, Rest, Servers, Orphan or Tick.
	Event interface{ event() }

	// Intent is what a cell wants done: Grant, Transfer, Refuse, Preempt,
	// Closed or Wake.
	Intent interface{ intent() }

	// Submit asks for a place for a request. A request that the cell already
	// knows is asked for anew: what was reserved for it is released first.
	Submit struct{ Spec RequestSpec }

	// Adopt tells a cell, after the accounting VM changed, of a grant that
	// the VM before it made and that its runner still uses. It never starts
	// anything; the request counts from then on as granted by this cell.
	Adopt struct {
		Spec    RequestSpec
		Stage   Stage // Prefilling, Prefilled, Transferring or Decoding
		Prefill string
		Decode  string
		Tokens  int          // output tokens so far
		Since   clock.Millis // span since the stage began
	}

	// Progress tells how far a granted request is.
	// Attempt is that of the Grant; Progress of an earlier one is dropped.
	Progress struct {
		Request string
		Attempt int
		Stage   Stage
		Tokens  int          // output tokens so far
		Took    clock.Millis // how long the stage before took
	}

	// Withdraw takes back a request that still waits, or whose grant was
	// not used.
	Withdraw struct{ Request string }

	// Report is a load report of an engine.
	Report struct{ Load board.LoadReport }

	// Rest tells that an engine takes nothing new for a span.
	Rest struct {
		Server string
		For    clock.Millis
	}

	// Servers sets the engines of the cell.
	Servers struct{ Servers []board.BackendServer }

	// Orphan tells that the VM of a granted request is gone; the request
	// holds its place until Progress says that the engines are free of it.
	Orphan struct{ Request string }

	// Tick passes the time.
	Tick struct{}

	// Grant places a request: its prefill may be sent now. Decode is the
	// engine that would be taken at this moment; the binding choice comes
	// with Transfer once Progress says Prefilled. A runner that hears no
	// Transfer for a quarter of the time that the KV cache is kept goes on
	// with Decode by itself. SkipPrefill says that the held KV cache is used.
	Grant struct {
		Request     string
		Attempt     int // first that of the RequestSpec, one more with every further Grant
		Prefill     string
		Decode      string
		SkipPrefill bool
	}

	// Transfer orders the import of the KV cache into the decode engine,
	// whose place is reserved. A second Transfer for the same request
	// replaces the first, which stalled or was rejected.
	Transfer struct {
		Request   string
		Attempt   int
		Prefill   string
		Decode    string
		Waited    clock.Millis // span since the KV cache was ready or the transfer before was rejected
		WaitedFor WaitReason   // what it waited for last; empty if it began at once
		Stalled   string       // decode engine of the transfer that this one replaces since it stalled
		Elapsed   clock.Millis // span since that one began
		Expected  clock.Millis // what that one was expected to take
	}

	// Refuse ends a waiting request.
	Refuse struct {
		Request string
		Refusal refusal.Refusal // MayHaveRun if the request was granted before
	}

	// Preempt takes a grant back, before costly work began or after the KV
	// cache lapsed. The runner cancels what it sent; the request waits on in
	// the cell and gets another Grant or a Refuse.
	Preempt struct {
		Request string
		Attempt int
		Reason  refusal.Reason
	}

	// Closed tells that an engine gets nothing new for a span. It is for logs.
	Closed struct {
		Server  string
		Role    board.Role
		For     clock.Millis
		Lost    int    // requests lost on it in a row; zero if it asked for rest
		Request string // the last of these
	}

	// Wake asks for a Tick at the given point, at the latest.
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
func (Tick) event()     {}

func (Grant) intent()    {}
func (Transfer) intent() {}
func (Refuse) intent()   {}
func (Preempt) intent()  {}
func (Closed) intent()   {}
func (Wake) intent()     {}
