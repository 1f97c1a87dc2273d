package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// TestInvariants applies random events and checks the invariants after each.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newFixture(rapid.IntRange(1, 4).Draw(rt, "prefills"), rapid.IntRange(1, 4).Draw(rt, "decodes"),
			rapid.IntRange(1, 5).Draw(rt, "slots"))
		fx.ce.QueueBound = 16
		md := &model{fx: fx, state: map[string]Stage{}, orphaned: map[string]bool{}}
		rt.Repeat(map[string]func(*rapid.T){
			"submit":   md.submit,
			"progress": md.progress,
			"withdraw": md.withdraw,
			"orphan":   md.orphan,
			"report":   md.report,
			"servers":  md.servers,
			"tick":     md.tick,
			"":         md.check,
		})
		md.drain(rt)
	})
}

// model tracks the expected stage of each request.
type model struct {
	fx        *fixture
	state     map[string]Stage // "" while queued; absent once it ended
	orphaned  map[string]bool
	order     []string
	seen      int // number of intents processed
	submitted int
}

func (md *model) submit(rt *rapid.T) {
	spec := patient(fmt.Sprint("r", md.submitted))
	if rapid.Bool().Draw(rt, "quick") {
		spec = quick(spec.Request)
	}
	spec.Customer = rapid.SampledFrom([]string{"kedelsyn", "fjernvarme"}).Draw(rt, "customer")
	spec.PrefillWeight = rapid.Float64Range(0, 1).Draw(rt, "weight")
	spec.PromptTokens = rapid.IntRange(1, 30_000).Draw(rt, "prompt")
	spec.Share = rapid.Float64Range(0.01, 1).Draw(rt, "share")
	spec.Deadline += md.fx.now
	md.submitted++
	md.state[spec.Request] = ""
	md.order = append(md.order, spec.Request)
	md.fx.step(Submit{Spec: spec})
}

func (md *model) progress(rt *rapid.T) {
	id := md.pick(rt)
	if id == "" {
		return
	}
	next := map[Stage][]Stage{
		Prefilling:   {Prefilled, Prefilled, Lost},
		Transferring: {Decoding, Decoding, Rejected, Lapsed, Lost},
		Decoding:     {Ended, Lost, Cancelled},
	}[md.state[id]]
	if len(next) == 0 {
		return
	}
	stage := rapid.SampledFrom(next).Draw(rt, "stage")
	switch stage {
	case Ended, Lost, Cancelled:
		delete(md.state, id)
	case Rejected:
		md.state[id] = Prefilled
		if md.orphaned[id] {
			delete(md.state, id)
		}
	case Prefilled:
		md.state[id] = Prefilled
	case Lapsed: // the intents show what becomes of it
		if md.orphaned[id] {
			delete(md.state, id)
		}
	default:
		md.state[id] = stage
	}
	md.fx.progress(id, stage, clock.Millis(rapid.IntRange(0, 2000).Draw(rt, "took")))
}

func (md *model) pick(rt *rapid.T) string {
	var live []string
	for _, id := range md.order {
		if _, ok := md.state[id]; ok {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return ""
	}
	return rapid.SampledFrom(live).Draw(rt, "request")
}

func (md *model) withdraw(rt *rapid.T) {
	if id := md.pick(rt); id != "" {
		delete(md.state, id)
		md.fx.step(Withdraw{Request: id})
	}
}

// orphan fails the VM of a request: a request at a decode engine holds its slot until
// progress frees it, all others are dropped.
func (md *model) orphan(rt *rapid.T) {
	id := md.pick(rt)
	if id == "" {
		return
	}
	if st := md.state[id]; st != Transferring && st != Decoding {
		delete(md.state, id)
	}
	md.orphaned[id] = true
	md.fx.step(Orphan{Request: id})
}

func (md *model) report(rt *rapid.T) {
	ids := sortedIDs(md.fx.ce.engines)
	if len(ids) == 0 {
		return
	}
	eng := md.fx.ce.engines[rapid.SampledFrom(ids).Draw(rt, "engine")]
	md.fx.step(Report{Load: board.LoadReport{Server: eng.id, Running: rapid.IntRange(0, eng.slots).Draw(rt, "running")}})
}

func (md *model) servers(rt *rapid.T) {
	list := engines(4, 4)
	for ix := range list {
		list[ix].Leaving = rapid.Bool().Draw(rt, "leaving")
	}
	md.fx.step(Servers{Servers: list})
}

func (md *model) tick(rt *rapid.T) {
	md.fx.now += clock.Millis(rapid.IntRange(1, 5000).Draw(rt, "span"))
	md.fx.step(Tick{})
}

// applyIntents applies the intents to the model and checks that each is allowed.
func (md *model) applyIntents(rt *rapid.T) {
	for ; md.seen < len(md.fx.intents); md.seen++ {
		switch in := md.fx.intents[md.seen].(type) {
		case Grant:
			md.expectStage(rt, in.Request, "")
			md.state[in.Request] = Prefilling
		case Transfer:
			if st := md.state[in.Request]; st != Prefilled && st != Transferring {
				rt.Fatalf("transfer of %s in stage %q", in.Request, st)
			}
			md.state[in.Request] = Transferring
		case Preempt:
			md.state[in.Request] = ""
		case Refuse:
			md.expectStage(rt, in.Request, "")
			delete(md.state, in.Request)
		}
	}
}

func (md *model) expectStage(rt *rapid.T, id string, want Stage) {
	if st, ok := md.state[id]; !ok || st != want {
		rt.Fatalf("request %s is in stage %q (tracked: %v), want %q", id, st, ok, want)
	}
}

func (md *model) check(rt *rapid.T) {
	md.applyIntents(rt)
	ce := md.fx.ce
	free, held := 0, 0
	for _, eng := range ce.engines {
		if eng.role != board.Decode {
			continue
		}
		if eng.held > eng.slots {
			rt.Fatalf("engine %s has %d of %d slots assigned", eng.id, eng.held, eng.slots)
		}
		free += eng.free()
		held += eng.held
	}
	if free != ce.free {
		rt.Fatalf("engines have %d free slots, the cell's total is %d", free, ce.free)
	}
	want := 0
	for _, st := range md.state {
		if st == Transferring || st == Decoding {
			want++
		}
	}
	if held != want {
		rt.Fatalf("engines have %d held slots, %d requests hold one", held, want)
	}
	if ce.queued > 2*ce.QueueBound || len(ce.jobs) != len(md.state) {
		rt.Fatalf("cell has %d queued and %d tracked requests, model has %d", ce.queued, len(ce.jobs), len(md.state))
	}
}

// drain ends all requests and checks that nothing stays held or queued.
func (md *model) drain(rt *rapid.T) {
	for range 3*len(md.order) + 40 {
		for _, id := range md.order {
			switch md.state[id] {
			case Prefilling:
				md.state[id] = Prefilled
				md.fx.progress(id, Prefilled, 1)
			case Transferring:
				md.state[id] = Decoding
				md.fx.progress(id, Decoding, 1)
			case Decoding:
				delete(md.state, id)
				md.fx.progress(id, Ended, 1)
			}
			md.check(rt)
		}
		md.fx.now += 10 * clock.Second
		md.fx.step(Tick{})
		md.check(rt)
	}
	ce := md.fx.ce
	if len(md.state) != 0 || ce.queued != 0 || ce.reserved != [2]int{} || len(ce.readyJobs)+len(ce.transferring) != 0 {
		rt.Fatalf("left over: stages %v, %d queued, %v reserved", md.state, ce.queued, ce.reserved)
	}
	for _, gp := range ce.groups {
		if gp.held != 0 {
			rt.Fatalf("group %v still holds %d slots", gp.key, gp.held)
		}
	}
}
