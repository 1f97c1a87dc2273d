package pool

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/explain"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// pacePromptTokens is the size of the prompt by which the pace of a prefill engine is told.
const pacePromptTokens = 1000

// EngineState is what a VM knows of an engine.
type EngineState struct {
	Server     board.BackendServer
	PassedOver explain.PassedOver // why it is not considered for a place; empty: it is
	FailedFor  clock.Millis       // left of the time for which it is passed over after a failure
	RestsFor   clock.Millis       // left of its backoff
	Pace       float64            // tokens of prompts per millisecond; zero: not observed
}

// WithRand returns a pool with the same state that draws from another source, so that
// DecodeCandidates and ChoosePrefill change nothing at this one. The result is for reading
// only.
func (po *Pool) WithRand(rnd *rand.Rand) *Pool {
	out := *po
	out.Rand = rnd
	return &out
}

// WithLimits returns a pool with the same state in which Limit was called for engines, with the
// span of each. This one is not changed. The result is for reading only.
func (po *Pool) WithLimits(now clock.Millis, spans map[string]clock.Millis) *Pool {
	out := *po
	out.engines = maps.Clone(po.engines)
	for id, span := range spans {
		if en := out.engines[id]; en != nil {
			copied := *en
			out.engines[id] = &copied
			out.Limit(now, id, span)
		}
	}
	return &out
}

// DecodersOf lists the decode engines of a version that HasDecoder counts, by ID.
func (po *Pool) DecodersOf(version string) []string {
	var out []string
	for id, en := range po.engines {
		if en.isDecoder(version) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Engines lists the engines by ID, with the reason why each is not considered for a place of
// a request.
func (po *Pool) Engines(now clock.Millis, rq Requirements) []EngineState {
	healthy := po.healthy(now, rq.Version)
	out := make([]EngineState, 0, len(po.engines))
	for _, en := range po.engines {
		if en.removed {
			continue
		}
		es := EngineState{Server: en.server, PassedOver: en.passedOver(now, rq, slices.Contains(healthy, en)),
			FailedFor: max(0, en.failedUntil-now), RestsFor: max(0, en.backoffUntil-now)}
		if took := po.prefillTime(en, pacePromptTokens); took > 0 && en.server.Role == board.Prefill {
			es.Pace = pacePromptTokens / float64(took)
		}
		out = append(out, es)
	}
	slices.SortFunc(out, func(ea, eb EngineState) int { return cmp.Compare(ea.Server.ID, eb.Server.ID) })
	return out
}

// passedOver returns why an engine is not considered; empty if it is. The argument healthy
// states whether it is among the engines from which DecodeCandidates selects.
func (en *engine) passedOver(now clock.Millis, rq Requirements, healthy bool) explain.PassedOver {
	switch {
	case en.server.Role != board.Decode:
		return explain.OtherRole
	case en.server.Leaving:
		return explain.Leaving
	case en.contradictsEntry():
		return explain.Contradicted
	case en.isBackingOff(now):
		return explain.Resting
	case now < en.limitedUntil:
		return explain.Limited
	case rq.Version != "" && en.server.Version != rq.Version:
		return explain.OtherVersion
	case !healthy:
		return explain.Failed
	}
	if bound := rq.boundAt(now, en); bound != usage.BoundTurn {
		return explain.PassedOver(bound)
	}
	return ""
}
