// Package sched decides, for one cell of model engines, which request runs
// where and when.
//
// A cell is a group of prefill and decode engines of one service. One VM at a
// time accounts for it, chosen by rendezvous hashing, so that all VMs share
// the engines without racing on lagging load reports. A [Cell] does no I/O:
// it is given events and the time, and returns intents. Everything that it
// decides can be replayed from the list of its events.
//
// # Usage
//
//	ce := &sched.Cell{Name: "rapportmodel/0"}
//	for _, in := range ce.Step(now, sched.Submit{Ask: ask}) {
//		switch in := in.(type) {
//		case sched.Grant: ...
//		case sched.Refuse: ...
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
)

type (
	// Stage of a granted request.
	Stage string

	// Ask is all that the decision about a request needs.
	Ask struct {
		Request       string
		Customer      string
		Class         string
		VM            board.VMRef // the VM that serves the caller
		Quick         bool
		PromptTokens  int
		PrefixHash    uint64 // of the shared prompt prefix; zero if there is none
		MaxTokens     int
		TTFT          clock.Millis
		TPOT          clock.Millis
		Deadline      clock.Millis // point on this VM's clock
		Share         float64
		PrefillWeight float64
		Attempt       int
		HeldPrefill   string // prefill engine that still holds the KV cache, if any
	}

	// Event is what a cell is told: Submit, Progress, Withdraw, Report,
	// Servers, Orphan or Tick.
	Event interface{ event() }

	// Intent is what a cell wants done: Grant, Refuse, Preempt or
	// Wake.
	Intent interface{ intent() }

	// Submit asks for a place for a request.
	Submit struct{ Ask Ask }

	// Progress tells how far a granted request is.
	Progress struct {
		Request string
		Stage   Stage
		Tokens  int          // output tokens so far
		Took    clock.Millis // how long the stage before took
	}

	// Withdraw takes back a request that still waits, or whose grant was
	// not used.
	Withdraw struct{ Request string }

	// Report is a load report of an engine.
	Report struct{ Load board.LoadReport }

	// Servers sets the engines of the cell.
	Servers struct{ Servers []board.BackendServer }

	// Orphan tells that the VM of a granted request is gone; the request
	// holds its place until Progress says that the engines are free of it.
	Orphan struct{ Request string }

	// Tick passes the time.
	Tick struct{}

	// Grant places a request. The engines are reserved for it.
	Grant struct {
		Request     string
		Prefill     string
		Decode      string
		SkipPrefill bool // the held KV cache is used
	}

	// Refuse ends a waiting request as not run.
	Refuse struct {
		Request string
		Refusal refusal.Refusal
	}

	// Preempt takes a grant back before costly work began.
	Preempt struct {
		Request string
		Reason  refusal.Reason
	}

	// Wake asks for a Tick at the given point, at the latest.
	Wake struct{ At clock.Millis }
)

func (Submit) event()   {}
func (Progress) event() {}
func (Withdraw) event() {}
func (Report) event()   {}
func (Servers) event()  {}
func (Orphan) event()   {}
func (Tick) event()     {}

func (Grant) intent()   {}
func (Refuse) intent()  {}
func (Preempt) intent() {}
func (Wake) intent()    {}
