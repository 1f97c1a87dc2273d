package sched

import (
	"math/rand/v2"

	"alderdyke/internal/board"
)

const (
	defaultMaxShare = 0.1  // share of an engine's slots that one VM uses on its own
	minPatientFree  = 0.25 // share of an engine's slots that must be reported free for patient work
)

type (
	// Fallback decides for one VM that can't reach the accounting VM of a cell. Its
	// load reports lag, so it takes the better of two random engines and only a small
	// share of their slots. An engine that is full after all refuses, and the VM
	// retries. Rand must be set; the zero MaxShare means a tenth.
	Fallback struct {
		Rand     *rand.Rand
		MaxShare float64
	}

	// EngineView is one VM's own view of a cell's engines.
	EngineView struct {
		Servers     []board.BackendServer
		Reports     map[string]board.LoadReport
		OwnRequests map[string]int // requests that this VM has at each engine
	}
)

// Decide places a request, or reports false if the VM should not place it: the VM then
// refuses quick work with SchedulerAway and keeps patient work queued.
func (fb *Fallback) Decide(spec RequestSpec, vw EngineView) (Grant, bool) {
	dec, ok := fb.decode(spec, vw)
	if !ok {
		return Grant{}, false
	}
	fill, ok := fb.pick(vw, board.Prefill, func(srv board.BackendServer) float64 {
		return float64(vw.Reports[srv.ID].Queued + vw.OwnRequests[srv.ID])
	})
	if !ok {
		return Grant{}, false
	}
	return Grant{Request: spec.Request, Attempt: spec.Attempt, Prefill: fill.ID, Decode: dec}, true
}

// Redirect picks a decode engine for a KV cache that another one refused.
func (fb *Fallback) Redirect(spec RequestSpec, vw EngineView) (string, bool) {
	return fb.decode(spec, vw)
}

func (fb *Fallback) decode(spec RequestSpec, vw EngineView) (string, bool) {
	part := fb.MaxShare
	if part <= 0 {
		part = defaultMaxShare
	}
	free := func(srv board.BackendServer) float64 {
		rep, ok := vw.Reports[srv.ID]
		if !ok || rep.Leaving {
			return 0
		}
		if vw.OwnRequests[srv.ID] >= max(1, int(part*float64(rep.Slots))) {
			return 0
		}
		return float64(rep.Slots - rep.Running)
	}
	dec, ok := fb.pick(vw, board.Decode, func(srv board.BackendServer) float64 { return -free(srv) })
	if !ok {
		return "", false
	}
	need := 1.0
	if !spec.Quick {
		need = max(1, minPatientFree*float64(vw.Reports[dec.ID].Slots))
	}
	return dec.ID, free(dec) >= need
}

// pick returns the better of two random engines of a role; a lower score is better. The
// number of draws is bounded regardless of the number of engines.
func (fb *Fallback) pick(vw EngineView, role board.Role, score func(board.BackendServer) float64) (board.BackendServer, bool) {
	var best board.BackendServer
	found := 0
	for range 16 {
		if len(vw.Servers) == 0 {
			break
		}
		srv := vw.Servers[fb.Rand.IntN(len(vw.Servers))]
		if srv.Role != role || srv.Leaving || srv.ID == best.ID {
			continue
		}
		if found == 0 || score(srv) < score(best) {
			best = srv
		}
		if found++; found == 2 {
			break
		}
	}
	return best, found > 0
}
