package engine

import (
	"iter"
	"maps"
	"slices"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

// Outcomes of a run.
const (
	Complete       Outcome = "Complete"       // prefill: exported whole at least once; decode: the last token was made
	Expired        Outcome = "Expired"        // the KV cache was never exported whole
	Cancelled      Outcome = "Cancelled"      // by a cancel order
	TransferFailed Outcome = "TransferFailed" // the KV cache did not arrive
	Lost           Outcome = "Lost"           // the engine died
)

type (
	// Outcome of a run; empty while it goes on.
	Outcome string

	// StageTime tells when a run entered a stage.
	StageTime struct {
		Stage sched.Stage
		At    clock.Millis // since the engine started
	}

	// Run is the record of one run of one request's attempt.
	Run struct {
		Request        string
		Attempt        int
		Role           board.Role
		Customer       string
		VM             board.VMRef
		Quick          bool
		KV             string // names the KV cache at the prefill engine
		PromptHash     uint64
		PromptTokens   int
		CachedTokens   int // of a prefill
		ComputedTokens int // of a prefill
		Exports        int // of a prefill: how often its KV cache left whole
		Decodes        int // of a decode: how often it began
		Tokens         int // of a decode: how many were made
		Stages         []StageTime
		EndedAt        clock.Millis // since the engine started; zero while it goes on
		SlotTime       clock.Millis // for how long it held a memory slot
		Outcome        Outcome
	}

	// OrderRecord is one order to the engine itself.
	OrderRecord struct {
		wire.Order
		VM       board.VMRef
		At       clock.Millis
		Accepted bool
	}

	// History is the record of all that an engine did. It outlives its death
	// by a fault.
	History struct {
		Server   string
		Role     board.Role // at present
		Started  time.Time
		Now      clock.Millis // since the engine started
		Runs     []*Run
		Orders   []OrderRecord
		Declined map[backend.Reason]int
		// SlotsHeld, KVKept and Unfinished are what the engine holds at
		// present: memory slots, KV caches that wait for their transfer, and
		// all runs that have not ended.
		SlotsHeld  int
		KVKept     int
		Unfinished int
	}

	// Waste is the prefill work of some engines and what became of it.
	Waste struct {
		Computed int // tokens
		Wasted   int // tokens whose decode never began
		Pending  int // tokens whose prefill or transfer still goes on
	}
)

// History returns a copy of the record.
func (en *Engine) History() History {
	en.initOnce()
	en.mu.Lock()
	defer en.mu.Unlock()
	out := en.history
	out.Role, out.Now = en.role, en.now()
	out.Runs = make([]*Run, len(en.history.Runs))
	held := en.slotTimes()
	for ix, rec := range en.history.Runs {
		cp := *rec
		cp.Stages = slices.Clone(rec.Stages)
		cp.SlotTime += held[rec]
		out.Runs[ix] = &cp
	}
	out.Orders = slices.Clone(en.history.Orders)
	out.Declined = maps.Clone(en.history.Declined)
	for _, rn := range en.runs {
		if !rn.slotSince.IsZero() {
			out.SlotsHeld++
		}
		if rn.stage == sched.Prefilled {
			out.KVKept++
		}
		if rn.stage != sched.Ended {
			out.Unfinished++
		}
	}
	return out
}

// slotTimes tells for how long the runs at present have held their memory
// slots. The mutex is held.
func (en *Engine) slotTimes() map[*Run]clock.Millis {
	out := map[*Run]clock.Millis{}
	for _, rn := range en.runs {
		if !rn.slotSince.IsZero() {
			out[rn.rec] = clock.Of(time.Since(rn.slotSince))
		}
	}
	return out
}

// WasteOf joins the histories of prefill and decode engines. A prefill is of
// use if a decode began from its KV cache.
func WasteOf(hists ...History) Waste {
	began, coming := map[string]bool{}, map[string]bool{}
	for rec := range runsOfRole(hists, board.Decode) {
		if rec.Decodes > 0 {
			began[rec.KV] = true
		}
		if rec.Outcome == "" {
			coming[rec.KV] = true
		}
	}
	var out Waste
	for rec := range runsOfRole(hists, board.Prefill) {
		out.Computed += rec.ComputedTokens
		switch {
		case began[rec.KV]:
		case rec.Outcome == "" || coming[rec.KV]:
			out.Pending += rec.ComputedTokens
		default:
			out.Wasted += rec.ComputedTokens
		}
	}
	return out
}

func runsOfRole(hists []History, role board.Role) iter.Seq[*Run] {
	return func(yield func(*Run) bool) {
		for _, hs := range hists {
			for _, rec := range hs.Runs {
				if rec.Role == role && !yield(rec) {
					return
				}
			}
		}
	}
}
