package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

func vmOf(id, domain string) board.VM {
	return board.VM{
		VMRef:         board.VMRef{ID: id, Incarnation: 10},
		FailureDomain: domain,
		Peer:          "10.0.0.1:" + id,
	}
}

// testDetector returns a detector that knows VMs 1 to 4 as alive.
func testDetector() *Detector {
	dt := &Detector{Self: vmOf("0", "d0"), Rand: rand.New(rand.NewPCG(1, 2))}
	list := []board.VM{vmOf("0", "d0"), vmOf("1", "d1"), vmOf("2", "d1"), vmOf("3", "d2"), vmOf("4", "d2")}
	dt.Step(0, Listed{VMs: list})
	for _, vm := range list[1:] {
		dt.Step(0, Received{Datagram: datagramFrom(vm, fullRumour(vm))})
	}
	return dt
}

func datagramFrom(vm board.VM, rr ...*peerpb.Rumour) *peerpb.Datagram {
	dg := newNotice()
	dg.From, dg.Incarnation, dg.To, dg.Rumours = vm.ID, vm.Incarnation, "0", rr
	return dg
}

// Guards against an entry of a VM that has stopped, which the store wrote late, and by which
// callers are sent there: a listed VM is dead until it answers.
func TestListedVMIsDeadUntilItAnswers(t *testing.T) {
	dt := testDetector()
	list := []board.VM{vmOf("0", "d0"), vmOf("9", "d1")}
	var fleet *board.Fleet
	for _, in := range dt.Step(1, Listed{VMs: list}) {
		if changed, ok := in.(FleetChanged); ok {
			fleet = changed.Fleet
		}
	}
	vm, ok := fleet.VM("9")
	assert.Assert(t, ok)
	assert.Equal(t, vm.Health, board.Dead)
	assert.Equal(t, vm.Incarnation, uint64(0))
}

func TestRumourPrecedence(t *testing.T) {
	const suspect, dead, left = uint32(board.Suspect), uint32(board.Dead), uint32(board.Left)
	cases := []struct {
		name    string
		rumours []*peerpb.Rumour
		want    board.Health
	}{
		{"suspect beats alive", []*peerpb.Rumour{{Incarnation: 10, Health: suspect}}, board.Suspect},
		{"refutation beats suspect", []*peerpb.Rumour{{Incarnation: 10, Health: suspect}, {Incarnation: 10, Refutation: 1}}, board.Alive},
		{"old suspicion is ignored", []*peerpb.Rumour{{Incarnation: 10, Refutation: 1}, {Incarnation: 10, Health: suspect}}, board.Alive},
		{"dead beats suspect", []*peerpb.Rumour{{Incarnation: 10, Health: dead}, {Incarnation: 10, Health: suspect}}, board.Dead},
		{"alive does not beat dead", []*peerpb.Rumour{{Incarnation: 10, Health: dead}, {Incarnation: 10}}, board.Dead},
		{"new run beats dead", []*peerpb.Rumour{{Incarnation: 10, Health: dead}, {Incarnation: 11}}, board.Alive},
		{"old run is ignored", []*peerpb.Rumour{{Incarnation: 9, Health: dead}}, board.Alive},
		{"left beats dead", []*peerpb.Rumour{{Incarnation: 10, Health: dead}, {Incarnation: 10, Health: left}}, board.Left},
		{"dead does not beat left", []*peerpb.Rumour{{Incarnation: 10, Health: left}, {Incarnation: 10, Health: dead}}, board.Left},
		{"unknown health value", []*peerpb.Rumour{{Incarnation: 10, Health: 9}}, board.Alive},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			dt := testDetector()
			for _, rr := range tc.rumours {
				rr.VM = "1"
				dt.Step(1, Received{Datagram: datagramFrom(vmOf("2", "d1"), rr)})
			}
			vm, _ := dt.fleet.VM("1")
			assert.Equal(t, vm.Health, tc.want)
		})
	}
}

func TestRumoursOfSelf(t *testing.T) {
	cases := []struct {
		name       string
		rr         *peerpb.Rumour
		want       Intent // nil is neither DeathRefuted nor Replaced
		generation uint32 // of Self afterwards
	}{
		{"suspicion is refuted within the incarnation", &peerpb.Rumour{Incarnation: 10, Health: 1}, nil, 0},
		{"death starts a new generation", &peerpb.Rumour{Incarnation: 10, Health: 2}, DeathRefuted{Incarnation: 10}, 1},
		{"death of a later generation", &peerpb.Rumour{Incarnation: 10, Health: 2, Refutation: 3<<generationShift + 7}, DeathRefuted{Incarnation: 10}, 4},
		{"death of a later incarnation needs a new incarnation", &peerpb.Rumour{Incarnation: 12, Health: 2}, DeathRefuted{Incarnation: 13}, 0},
		{"death of an earlier run", &peerpb.Rumour{Incarnation: 9, Health: 2}, nil, 0},
		{"a later run at another address", &peerpb.Rumour{Incarnation: 11, Peer: "10.9.9.9:1"}, Replaced{Incarnation: 11}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			dt := testDetector()
			tc.rr.VM = "0"
			var got Intent
			for _, in := range dt.Step(1, Received{Datagram: datagramFrom(vmOf("2", "d1"), tc.rr)}) {
				switch in.(type) {
				case DeathRefuted, Replaced:
					got = in
				}
			}
			assert.DeepEqual(t, got, tc.want)
			assert.Equal(t, generationOf(dt.refutation), tc.generation)
			assert.Equal(t, dt.refutation%(1<<generationShift) > 0, tc.rr.Health == uint32(board.Suspect))
		})
	}
}

func TestQuorumBySamples(t *testing.T) {
	// Two VMs in d1 and two in d2; with Self the roster has five.
	cases := []struct {
		name   string
		acks   map[string]bool
		want   bool
		until  clock.Millis
		nobody bool
	}{
		{"no probes", nil, false, 0, false},
		{"one domain is a majority", map[string]bool{"1": true}, true, 1000 + defaultAckTTL, false},
		{"half of each domain", map[string]bool{"1": true, "2": false, "3": true, "4": false}, true, 1000 + defaultAckTTL, false},
		{"half of one domain", map[string]bool{"1": true, "2": false}, false, 0, false},
		{"all missed", map[string]bool{"1": false, "3": false}, false, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			dt := testDetector()
			dt.now = 2000
			for id, ok := range tc.acks {
				dt.recordSample(&probe{target: dt.table.byID[id], sent: 1000}, ok)
			}
			dt.updateQuorum()
			assert.Equal(t, dt.quorum.quorate, tc.want)
			assert.Equal(t, dt.quorum.until, tc.until)
			assert.Equal(t, dt.Quorate(1000+defaultAckTTL), false, "acks expire")
		})
	}
}

func TestSuspicionShrinksWithConfirmations(t *testing.T) {
	dt := testDetector()
	assert.Equal(t, dt.suspicionSpan(0), defaultSuspicionMax)
	assert.Assert(t, dt.suspicionSpan(1) < defaultSuspicionMax)
	assert.Equal(t, dt.suspicionSpan(confirmations), defaultSuspicionMin)
}

// FuzzReceived feeds datagrams as an authenticated but faulty peer may send them.
func FuzzReceived(ff *testing.F) {
	dt := testDetector()
	for _, in := range dt.Step(600, Tick{}) {
		if sd, ok := in.(Send); ok {
			raw, err := proto.Marshal(sd.Datagram)
			assert.NilError(ff, err)
			ff.Add(raw, true)
		}
	}
	ask := &peerpb.Datagram{Body: &peerpb.Datagram_SyncAsk{SyncAsk: &peerpb.SyncAsk{Buckets: make([]uint32, syncBuckets)}}}
	raw, err := proto.Marshal(ask)
	assert.NilError(ff, err)
	ff.Add(raw, true)
	ff.Add([]byte("garbage"), false)
	ff.Fuzz(func(t *testing.T, raw []byte, addressed bool) {
		dg := &peerpb.Datagram{}
		if proto.Unmarshal(raw, dg) != nil {
			return
		}
		if addressed {
			dg.From, dg.Incarnation, dg.To = "1", 10, "0"
		}
		dt := testDetector()
		before := dt.Counters.Ignored
		out := dt.Step(1, Received{Datagram: dg})
		for at := clock.Millis(500); at < 20*clock.Second; at += 500 {
			out = append(out, dt.Step(at, Tick{})...)
		}
		for _, in := range out {
			if sd, ok := in.(Send); ok {
				assert.Assert(t, proto.Size(sd.Datagram) <= 1200)
			}
		}
		if !addressed && dg.GetTo() != "0" {
			assert.Equal(t, dt.Counters.Ignored, before+1)
		}
	})
}

// Two VMs that know each other from the VM list.
func ExampleDetector() {
	list := []board.VM{
		{VMRef: board.VMRef{ID: "aarhus-a-1", Incarnation: 1}, FailureDomain: "aarhus-a", Peer: "10.0.0.1:7400"},
		{VMRef: board.VMRef{ID: "vejle-1-1", Incarnation: 1}, FailureDomain: "vejle-1", Peer: "10.0.1.1:7400"},
	}
	vms := make(map[string]*Detector)
	for ix, vm := range list {
		vms[vm.ID] = &Detector{Self: vm, Rand: rand.New(rand.NewPCG(1, uint64(ix)))}
	}
	fleets := make(map[string]*board.Fleet)
	var carry func(now clock.Millis, id string, ev Event)
	carry = func(now clock.Millis, id string, ev Event) {
		for _, in := range vms[id].Step(now, ev) {
			switch in := in.(type) {
			case Send:
				carry(now, in.To.ID, Received{Datagram: in.Datagram})
			case FleetChanged:
				fleets[id] = in.Fleet
			}
		}
	}
	for _, vm := range list {
		carry(0, vm.ID, Listed{VMs: list})
	}
	for now := clock.Millis(100); now <= 2*clock.Second; now += 100 {
		for _, vm := range list {
			carry(now, vm.ID, Tick{})
		}
	}
	other, _ := fleets["aarhus-a-1"].VM("vejle-1-1")
	fmt.Println(other.Health == board.Alive, fleets["aarhus-a-1"].Quorate)
	// Output: true true
}
