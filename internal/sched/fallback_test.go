package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
)

func viewOf(servers []board.BackendServer, running, slots int) EngineView {
	vw := EngineView{Servers: servers, Reports: map[string]board.LoadReport{}, OwnRequests: map[string]int{}}
	for _, srv := range servers {
		vw.Reports[srv.ID] = board.LoadReport{Server: srv.ID, Running: running, Slots: slots}
	}
	return vw
}

func TestFallback(t *testing.T) {
	leaving := engines(1, 1)
	leaving[1].Leaving = true
	owned := viewOf(engines(1, 1), 0, 20)
	owned.OwnRequests["d0"] = 2
	tests := []struct {
		name string
		spec RequestSpec
		view EngineView
		want bool
	}{
		{"free", quick("q"), viewOf(engines(2, 2), 10, 20), true},
		{"full", quick("q"), viewOf(engines(2, 2), 20, 20), false},
		{"nearly full, quick", quick("q"), viewOf(engines(2, 2), 19, 20), true},
		{"nearly full, patient", patient("r"), viewOf(engines(2, 2), 18, 20), false},
		{"half full, patient", patient("r"), viewOf(engines(2, 2), 10, 20), true},
		{"own share used up", quick("q"), owned, false},
		{"leaving", quick("q"), viewOf(leaving, 0, 20), false},
		{"no engines", quick("q"), EngineView{}, false},
		{"no report", quick("q"), EngineView{Servers: engines(1, 1)}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			fb := Fallback{Rand: rand.New(rand.NewPCG(1, 2))}
			gr, ok := fb.Decide(tc.spec, tc.view)
			assert.Equal(t, ok, tc.want)
			if _, again := fb.Redirect(tc.spec, tc.view); again != tc.want {
				t.Errorf("Redirect returned %v", again)
			}
			if ok {
				assert.Assert(t, gr.Prefill[0] == 'p' && gr.Decode[0] == 'd')
			}
		})
	}
}

// TestFallbackNeverExceedsItsShare draws random views: a VM never exceeds its share of an
// engine's slots, nor uses an engine that is leaving or full.
func TestFallbackNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		servers := engines(rapid.IntRange(0, 5).Draw(rt, "prefills"), rapid.IntRange(0, 5).Draw(rt, "decodes"))
		vw := viewOf(servers, 0, 20)
		for ix, srv := range servers {
			servers[ix].Leaving = rapid.Bool().Draw(rt, "leaving")
			ld := vw.Reports[srv.ID]
			ld.Running = rapid.IntRange(0, 20).Draw(rt, "running")
			vw.Reports[srv.ID] = ld
			vw.OwnRequests[srv.ID] = rapid.IntRange(0, 3).Draw(rt, "own")
		}
		fb := Fallback{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), MaxShare: 0.1}
		gr, ok := fb.Decide(quick("q"), vw)
		if !ok {
			return
		}
		for _, srv := range servers {
			if srv.ID == gr.Decode && (srv.Leaving || vw.OwnRequests[srv.ID] >= 2 || vw.Reports[srv.ID].Running >= 20) {
				rt.Fatalf("chose decode engine %+v with %d requests of this VM, report %+v", srv, vw.OwnRequests[srv.ID], vw.Reports[srv.ID])
			}
			if srv.ID == gr.Prefill && srv.Leaving {
				rt.Fatalf("chose leaving prefill engine %+v", srv)
			}
		}
	})
}

func BenchmarkFallback(b *testing.B) {
	for _, workers := range []int{12, 600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			fb := Fallback{Rand: rand.New(rand.NewPCG(1, 2))}
			vw := viewOf(engines(workers/2, workers/2), 10, 20)
			spec := quick("q")
			b.ReportAllocs()
			for b.Loop() {
				fb.Decide(spec, vw)
			}
		})
	}
}
