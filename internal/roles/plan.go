package roles

import (
	"cmp"
	"math"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// Defaults of the zero fields of [Settings].
const (
	// DefaultPrefillPart is the fraction of a service's engines that compute prompts
	// while every decode engine is full. A generation with 5,000 prompt tokens and
	// 4,400 answer tokens occupies a prefill engine for 90 ms and an eighth of a
	// decode engine for 3.2 s, which results in a sixth.
	DefaultPrefillPart = 0.16
	// DefaultPrefillSpare is the number of spare prefill engines per square root of
	// the number of engines. Prompts arrive at random, so the capacity needed for
	// coinciding prompts grows with the square root of their number.
	DefaultPrefillSpare = 0.4
	// DefaultMinPrefill is the smallest number of prefill engines; one of them may be
	// lost.
	DefaultMinPrefill = 2
	// DefaultDwell is how long a change must be needed before it is due. Engines that
	// are replaced are missing for about a second.
	DefaultDwell = 1500 * clock.Millis(1)
	// DefaultSettle is how long after the change itself an engine's entry may still
	// show the old role. The engine finishes its runs first, which takes up to 8 s,
	// and the entry lags by a heartbeat and a read.
	DefaultSettle = 10 * clock.Second
)

type (
	// Settings configures a Plan. A zero field stands for its default.
	Settings struct {
		PrefillPart  float64      // fraction of a service's engines that compute prompts
		PrefillSpare float64      // additional prefill engines per square root of the number of engines
		MinPrefill   int          // smallest number of prefill engines
		Dwell        clock.Millis // how long a change must be needed before it is due
		Settle       clock.Millis // how long after a change an engine's entry may be outdated
	}

	// Change is the change of one engine's role.
	Change struct {
		Server board.BackendServer
		To     board.Role
	}

	// Plan decides which engines of one service change their role. Set the exported
	// fields before use.
	Plan struct {
		Settings   Settings
		SwitchTime clock.Millis // duration of a change at an engine

		ordered      map[string]order // by engine
		pendingSince clock.Millis     // when pendingRole was first needed
		pendingRole  board.Role       // role with too few engines; empty: none
	}

	// order is a change that was ordered and may not be listed yet.
	order struct {
		to    board.Role
		until clock.Millis // when it no longer takes precedence over the listed role
	}
)

// Next returns the change that is due, if there is one. It must be called regularly,
// because a change is due only if it was needed at all calls for Settings.Dwell.
func (pl *Plan) Next(now clock.Millis, engines []board.BackendServer) (Change, bool) {
	st := pl.Settings.withDefaults()
	roles := pl.effectiveRoles(now, engines)
	toward := missingRole(st, roles)
	if toward != pl.pendingRole || toward == "" {
		pl.pendingRole, pl.pendingSince = toward, now
	}
	if toward == "" || now-pl.pendingSince < st.Dwell {
		return Change{}, false
	}
	bs, ok := engineToChange(engines, roles, toward)
	return Change{Server: bs, To: toward}, ok
}

// RecordOrder records that a change was ordered, or may have been, and returns until
// when it may be in progress.
func (pl *Plan) RecordOrder(now clock.Millis, ch Change) clock.Millis {
	if pl.ordered == nil {
		pl.ordered = make(map[string]order)
	}
	until := now + pl.SwitchTime + pl.Settings.withDefaults().Settle
	pl.ordered[ch.Server.ID] = order{to: ch.To, until: until}
	return until
}

// effectiveRoles returns the role of each engine that is not leaving. An ordered role
// takes precedence over the listed one.
func (pl *Plan) effectiveRoles(now clock.Millis, engines []board.BackendServer) map[string]board.Role {
	out := make(map[string]board.Role, len(engines))
	for _, bs := range engines {
		if bs.Leaving || bs.Role == board.Plain {
			continue
		}
		out[bs.ID] = bs.Role
		if or, ok := pl.ordered[bs.ID]; ok && now < or.until {
			out[bs.ID] = or.to
		}
	}
	for id, or := range pl.ordered {
		if now >= or.until {
			delete(pl.ordered, id)
		}
	}
	return out
}

// missingRole returns the role that has too few engines, or the empty string.
func missingRole(st Settings, roles map[string]board.Role) board.Role {
	prefill := 0
	for _, role := range roles {
		if role == board.Prefill {
			prefill++
		}
	}
	engines := float64(len(roles))
	want := max(st.MinPrefill, int(math.Round(st.PrefillPart*engines+st.PrefillSpare*math.Sqrt(engines))))
	want = min(want, len(roles)/2)
	switch {
	case prefill < want:
		return board.Prefill
	case prefill > want:
		return board.Decode
	default:
		return ""
	}
}

// engineToChange chooses the engine whose role changes. It takes one from the failure
// domain with the most engines of that role, so that the loss of a domain affects as
// few engines of either role as possible.
func engineToChange(engines []board.BackendServer, roles map[string]board.Role, toward board.Role) (board.BackendServer, bool) {
	perDomain := make(map[string]int)
	var fit []board.BackendServer
	for _, bs := range engines {
		if role, stays := roles[bs.ID]; stays && role != toward && role == bs.Role {
			fit = append(fit, bs)
			perDomain[bs.FailureDomain]++
		}
	}
	if len(fit) == 0 {
		return board.BackendServer{}, false
	}
	return slices.MinFunc(fit, func(sa, sb board.BackendServer) int {
		return cmp.Or(cmp.Compare(perDomain[sb.FailureDomain], perDomain[sa.FailureDomain]), cmp.Compare(sa.ID, sb.ID))
	}), true
}

func (st Settings) withDefaults() Settings {
	if st.PrefillPart <= 0 {
		st.PrefillPart = DefaultPrefillPart
	}
	if st.PrefillSpare <= 0 {
		st.PrefillSpare = DefaultPrefillSpare
	}
	if st.MinPrefill <= 0 {
		st.MinPrefill = DefaultMinPrefill
	}
	if st.Dwell <= 0 {
		st.Dwell = DefaultDwell
	}
	if st.Settle <= 0 {
		st.Settle = DefaultSettle
	}
	return st
}
