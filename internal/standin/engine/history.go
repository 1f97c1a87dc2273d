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
	Complete       Outcome = "Complete"       // prefill: completely exported at least once; decode: the last token was generated
	Expired        Outcome = "Expired"        // the KV cache was never completely exported
	Cancelled      Outcome = "Cancelled"      // by a cancel order
	TransferFailed Outcome = "TransferFailed" // the KV cache did not arrive completely
	Lost           Outcome = "Lost"           // the engine died
)

type (
	// Outcome says how a run ended; it is empty until then.
	Outcome string

	// StageTime records when a run entered a stage.
	StageTime struct {
		Stage sched.Stage
		At    clock.Millis // since the engine started
	}

	// Run is the record of one run of one attempt of a request.
	Run struct {
		Request        string
		Attempt        int
		Role           board.Role
		Customer       string
		VM             board.VMRef
		Quick          bool
		KV             string // name of the KV cache at the prefill engine
		PromptHash     uint64
		PromptTokens   int
		CachedTokens   int // of a prefill
		ComputedTokens int // of a prefill
		Exports        int // of a prefill: how often its KV cache was completely exported
		Decodes        int // of a decode: how often it was started
		Tokens         int // of a decode: number of tokens generated
		Stages         []StageTime
		EndedAt        clock.Millis // since the engine started; zero until then
		SlotTime       clock.Millis // how long it held a memory slot
		Outcome        Outcome
	}

	// OrderRecord is the record of one order to change the engine's role,
	// model, adapters or version.
	OrderRecord struct {
		wire.Order
		VM       board.VMRef
		At       clock.Millis
		Accepted bool
	}

	// History is the record of all runs and orders of an engine. It survives
	// the engine's death by a fault.
	History struct {
		Server   string
		Role     board.Role // current role
		Started  time.Time
		Now      clock.Millis // since the engine started
		Runs     []*Run
		Orders   []OrderRecord
		Declined map[backend.Reason]int
		// SlotsHeld, KVKept and Unfinished count what the engine currently
		// holds: memory slots, KV caches that wait for their transfer, and
		// all runs that have not ended.
		SlotsHeld  int
		KVKept     int
		Unfinished int
	}

	// Waste is the amount of prefill work of some engines, by how it was used.
	Waste struct {
		Computed int // tokens
		Wasted   int // tokens whose decode never started
		Pending  int // tokens whose prefill or transfer is still in progress
	}
)

// History returns a copy of the record so far.
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

// slotTimes returns how long the current runs have held their memory slots.
// The caller holds the mutex.
func (en *Engine) slotTimes() map[*Run]clock.Millis {
	out := map[*Run]clock.Millis{}
	for _, rn := range en.runs {
		if !rn.slotSince.IsZero() {
			out[rn.rec] = clock.Of(time.Since(rn.slotSince))
		}
	}
	return out
}

// WasteOf combines the histories of prefill and decode engines and sums up
// their prefill work. A prefill is wasted if no decode started from its KV
// cache and none can start any more.
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
