package roles

import (
	"cmp"
	"maps"
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
		pending      need             // zero value: none
		pendingSince clock.Millis     // when it was first needed
	}

	// need is a role of which the engines of a software version have too few.
	need struct {
		version string
		role    board.Role // empty: there are enough of both
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
	nd := missingRole(st, engines, roles)
	if nd != pl.pending || nd.role == "" {
		pl.pending, pl.pendingSince = nd, now
	}
	if nd.role == "" || now-pl.pendingSince < st.Dwell {
		return Change{}, false
	}
	bs, ok := engineToChange(engines, roles, nd)
	return Change{Server: bs, To: nd.role}, ok
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

// missingRole returns the version and the role that have too few engines. Prompts are
// computed and decoded by engines of one version, and a stream continues at its own, so
// the prefill engines are divided between the versions by their numbers of engines.
func missingRole(st Settings, engines []board.BackendServer, roles map[string]board.Role) need {
	all, prefill := make(map[string]int), make(map[string]int)
	for _, bs := range engines {
		role, stays := roles[bs.ID]
		if !stays {
			continue
		}
		all[bs.Version]++
		if role == board.Prefill {
			prefill[bs.Version]++
		}
	}
	want := prefillsByVersion(st, len(roles), all)
	var nd need
	most := 0
	for _, version := range slices.Sorted(maps.Keys(all)) {
		if prefill[version] == all[version] && want[version] < prefill[version] {
			return need{version, board.Decode} // its streams can't continue
		}
	}
	// Prefill comes first among equals: until the other change, prompts have one engine
	// more and not one less.
	for _, role := range []board.Role{board.Prefill, board.Decode} {
		for _, version := range slices.Sorted(maps.Keys(all)) {
			missing := want[version] - prefill[version]
			if role == board.Decode {
				missing = -missing
			}
			if missing > most {
				nd, most = need{version, role}, missing
			}
		}
	}
	return nd
}

// prefillsByVersion returns how many engines of each version compute prompts. A version
// keeps at least half of its engines for decoding.
func prefillsByVersion(st Settings, engines int, all map[string]int) map[string]int {
	count := float64(engines)
	left := max(st.MinPrefill, int(math.Round(st.PrefillPart*count+st.PrefillSpare*math.Sqrt(count))))
	left = min(left, engines/2)
	out := make(map[string]int, len(all))
	for ; left > 0; left-- {
		fit := slices.DeleteFunc(slices.Sorted(maps.Keys(all)), func(version string) bool { return 2*(out[version]+1) > all[version] })
		if len(fit) == 0 {
			break
		}
		// The D'Hondt method.
		best := slices.MaxFunc(fit, func(va, vb string) int {
			return cmp.Compare(all[va]*(out[vb]+1), all[vb]*(out[va]+1))
		})
		out[best]++
	}
	return out
}

// engineToChange chooses the engine of a version whose role changes. It takes one from the failure
// domain with the most engines of that role, so that the loss of a domain affects as
// few engines of either role as possible.
func engineToChange(engines []board.BackendServer, roles map[string]board.Role, nd need) (board.BackendServer, bool) {
	perDomain := make(map[string]int)
	var fit []board.BackendServer
	for _, bs := range engines {
		if role, stays := roles[bs.ID]; stays && role != nd.role && role == bs.Role && bs.Version == nd.version {
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
