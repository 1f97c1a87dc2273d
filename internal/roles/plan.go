package roles

import (
	"cmp"
	"math"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// What the zero value of a field of [Settings] stands for.
const (
	// DefaultPrefillPart is the part of a service's engines that compute
	// prompts while every decode engine is full. A generation of 5,000 tokens
	// in and 4,400 out keeps a prefill engine for 90 ms and an eighth of a
	// decode engine for 3.2 s, which makes a sixth.
	DefaultPrefillPart = 0.16
	// DefaultPrefillSpare is the room for chance, in square roots of the
	// number of engines: prompts come by chance, so what has to be kept free
	// for those that come together grows with the root of their number.
	DefaultPrefillSpare = 0.4
	// DefaultMinPrefill prefill engines are kept, so that one may be lost.
	DefaultMinPrefill = 2
	// DefaultDwell is how long a change must be called for. Engines that are
	// replaced are gone for about a second.
	DefaultDwell = 1500 * clock.Millis(1)
	// DefaultSettle is how long beyond the change itself an engine's entry may
	// still name its old role: it ends its runs first, which takes up to 8 s,
	// and the entry lags by a heartbeat and a read.
	DefaultSettle = 10 * clock.Second
)

type (
	// Settings of a Plan. A zero field stands for its default.
	Settings struct {
		PrefillPart  float64      // of the engines of a service that compute prompts
		PrefillSpare float64      // engines beyond that, for each square root of their number
		MinPrefill   int          // prefill engines that are kept
		Dwell        clock.Millis // for how long a change must be called for
		Settle       clock.Millis // after a change, until the entry counts again
	}

	// Change is one engine's change of role.
	Change struct {
		Server board.BackendServer
		To     board.Role
	}

	// Plan decides for one service which engines change their role. Set the
	// exported fields before use.
	Plan struct {
		Settings   Settings
		SwitchTime clock.Millis // time that a change takes at an engine

		ordered      map[string]order
		pendingSince clock.Millis // since when a change is called for; zero: it is not
		pendingRole  board.Role
	}

	// order is a change that was ordered and whose end is not seen yet.
	order struct {
		to    board.Role
		until clock.Millis
	}
)

// Next returns the change that is due, if one is.
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

// RecordOrder notes that a change was ordered, or may have been, and returns until
// when it may be under way.
func (pl *Plan) RecordOrder(now clock.Millis, ch Change) clock.Millis {
	if pl.ordered == nil {
		pl.ordered = make(map[string]order)
	}
	until := now + pl.SwitchTime + pl.Settings.withDefaults().Settle
	pl.ordered[ch.Server.ID] = order{to: ch.To, until: until}
	return until
}

// effectiveRoles tells the role of each engine that stays, an ordered one ahead of the
// listed one.
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

// missingRole tells which role has too few engines; empty if none has.
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

// engineToChange chooses the engine that changes: of the failure domain that has most
// engines of its role, so that a domain's loss takes fewest of either.
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
