package origin_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/origin"
	"alderdyke/pkg/clock"
)

type (
	// network connects the registries of some VMs in memory.
	network struct {
		mu       sync.Mutex
		vms      []string // in the order in which they are selected
		regs     map[string]*origin.Registry
		lost     map[string]bool // VMs that do not respond
		messages int
	}

	// member is the network as one VM uses it.
	member struct {
		nw   *network
		name string
	}

	// bubbleClock counts from the start of a synctest bubble.
	bubbleClock struct{ start time.Time }
)

func (bc bubbleClock) Now() clock.Millis { return clock.Of(time.Since(bc.start)) }

var (
	errLost = errors.New("no reply")
	recordA = origin.Record{Service: "m", Version: "v1"}
	recordB = origin.Record{Service: "m", Version: "v2"}
)

func newNetwork(vms int) *network {
	nw := &network{regs: make(map[string]*origin.Registry), lost: make(map[string]bool)}
	for ix := range vms {
		name := fmt.Sprintf("vm-%d", ix)
		nw.vms = append(nw.vms, name)
		nw.regs[name] = &origin.Registry{Peers: member{nw, name}, Clock: bubbleClock{time.Now()}, Log: event.Logger{}}
	}
	return nw
}

// setVMs replaces the VMs that are known, and returns those before.
func (nw *network) setVMs(vms []string) []string {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	was := nw.vms
	nw.vms = vms
	return was
}

// takeMessages returns the number of messages since the last call.
func (nw *network) takeMessages() int {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	count := nw.messages
	nw.messages = 0
	return count
}

func (nw *network) setLost(names ...string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.lost = make(map[string]bool)
	for _, name := range names {
		nw.lost[name] = true
	}
}

func (mb member) OriginVMs(_ origin.ID, count int, alive bool) []string {
	mb.nw.mu.Lock()
	defer mb.nw.mu.Unlock()
	var out []string
	for _, name := range mb.nw.vms {
		if !alive || !mb.nw.lost[name] {
			out = append(out, name)
		}
	}
	out = out[:min(count, len(out))]
	return slices.DeleteFunc(out, func(name string) bool { return name == mb.name })
}

func (mb member) AskOrigin(ctx context.Context, vm string, rq origin.Request) (origin.Reply, error) {
	mb.nw.mu.Lock()
	mb.nw.messages++
	lost := mb.nw.lost[vm] || mb.nw.lost[mb.name]
	mb.nw.mu.Unlock()
	if lost {
		<-ctx.Done()
		return origin.Reply{}, errLost
	}
	time.Sleep(time.Millisecond)
	return mb.nw.regs[vm].Handle(rq), nil
}

// Guards against a stream whose version is lost with the VM that began it and any other.
func TestRecordOutlivesItsVMAndAnother(t *testing.T) {
	for first := range 7 {
		for second := range 7 {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork(7)
				id := origin.IDOf("", "a1")
				begun := nw.vms[first]
				nw.regs[begun].Keep(id, recordA, clock.Minute)
				synctest.Wait()
				time.Sleep(10 * time.Millisecond)
				nw.setLost(begun, nw.vms[second])
				for _, name := range nw.vms {
					if nw.lost[name] {
						continue
					}
					an := nw.regs[name].Lookup(t.Context(), id, "m", clock.Minute)
					assert.Equal(t, an.State, origin.Known, "%s asks", name)
					assert.Equal(t, an.Record, recordA)
				}
			})
		}
	}
}

// Guards against copies that wait for a VM that does not respond, or that a VM makes
// before it knows any other.
func TestRecordIsCopiedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(7)
		all := nw.setVMs(nil)
		id := origin.IDOf("", "a1")
		nw.regs["vm-6"].Keep(id, recordA, clock.Minute)
		time.Sleep(300 * time.Millisecond)
		nw.setVMs(all)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, nw.regs["vm-5"].Lookup(t.Context(), id, "m", clock.Minute).State, origin.Known)
	})
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(7)
		frozen := member{nw, ""}
		nw.regs["vm-6"].Peers = withoutHealth{member{nw, "vm-6"}}
		nw.setLost("vm-0", "vm-1")
		id := origin.IDOf("", "a1")
		nw.regs["vm-6"].Keep(id, recordA, clock.Minute)
		time.Sleep(time.Second)
		held := 0
		for _, name := range frozen.OriginVMs(id, 6, true) {
			if nw.regs[name].Handle(origin.Request{ID: id}).State == origin.Known {
				held++
			}
		}
		assert.Equal(t, held, 4, "at vm-6 and 3 others")
	})
}

// withoutHealth is a member that does not know which VMs are alive.
type withoutHealth struct{ member }

func (wh withoutHealth) OriginVMs(id origin.ID, count int, _ bool) []string {
	return wh.member.OriginVMs(id, count, false)
}

// The messages of a stream do not depend on the number of VMs.
func TestMessagesOfAStream(t *testing.T) {
	for _, vms := range []int{7, 69, 300} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(vms)
			id := origin.IDOf("", "a1")
			nw.regs["vm-6"].Keep(id, recordA, clock.Minute)
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, nw.takeMessages(), 3, "%d VMs", vms)
			nw.regs["vm-5"].Lookup(t.Context(), id, "m", clock.Minute)
			asked := nw.takeMessages()
			assert.Assert(t, asked <= 5, "%d VMs, %d messages", vms, asked)
			time.Sleep(time.Second) // until the last question has ended
		})
	}
}

// A VM that reaches no other does not go on sending.
func TestMessagesOfAnIsolatedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(7)
		nw.regs["vm-6"].Peers = withoutHealth{member{nw, "vm-6"}}
		nw.setLost(nw.vms[:6]...)
		nw.regs["vm-6"].Keep(origin.IDOf("", "a1"), recordA, clock.Minute)
		time.Sleep(10 * time.Second)
		assert.Equal(t, nw.takeMessages(), 3*3*5, "tries, rounds and VMs")
	})
}

// Guards against a version that is taken from one of two streams with the same ID, and
// from the stream of another customer.
func TestAmbiguousAndForeignIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(7)
		id := origin.IDOf("ann", "a1")
		nw.regs["vm-5"].Keep(id, recordA, clock.Minute)
		nw.regs["vm-6"].Keep(id, recordB, clock.Minute)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, nw.regs["vm-4"].Lookup(t.Context(), id, "m", clock.Minute).State, origin.Ambiguous)
		assert.Equal(t, nw.regs["vm-4"].Lookup(t.Context(), origin.IDOf("bob", "a1"), "m", clock.Minute).State, origin.Unknown)
	})
}

// A lookup ends soon if no VM responds, and tells how many did not.
func TestLookupWithoutReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(7)
		nw.setLost("vm-0", "vm-1", "vm-2", "vm-3", "vm-4")
		began := time.Now()
		an := nw.regs["vm-6"].Lookup(t.Context(), origin.IDOf("", "a1"), "m", clock.Minute)
		assert.Equal(t, an.State, origin.Unknown)
		assert.Equal(t, an.Silent, 5)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%s", time.Since(began))
	})
}

// Records expire, and a flood of IDs neither fills the memory nor changes other records.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const flood = 20000
		rg := newNetwork(1).regs["vm-0"]
		for ix := range flood {
			rg.Handle(origin.Request{ID: origin.IDOf("", fmt.Sprint(ix)), Record: recordB, Life: clock.Minute})
		}
		held := 0
		for ix := range flood {
			re := rg.Handle(origin.Request{ID: origin.IDOf("", fmt.Sprint(ix))})
			if re.State == origin.Known {
				assert.Equal(t, re.Record, recordB)
				held++
			}
		}
		assert.Equal(t, held, 16384)
		time.Sleep(time.Minute)
		assert.Equal(t, rg.Handle(origin.Request{ID: origin.IDOf("", "19999")}).State, origin.Unknown)
	})
}

// The only version of a service is known only if none can have been missed.
func TestHistory(t *testing.T) {
	list := func(versions ...string) (out []board.BackendServer) {
		for _, version := range versions {
			out = append(out, board.BackendServer{Service: "m", Version: version})
		}
		return append(out, board.BackendServer{Service: "other", Version: "v9"})
	}
	const start, span = 100 * clock.Second, 10 * clock.Second
	from := func(versions ...string) origin.History {
		return origin.History{}.WithGap(start).WithServers(start, list(versions...))
	}
	for _, tc := range []struct {
		name string
		hi   origin.History
		at   clock.Millis
		want string // empty: unknown
	}{
		{"one for long", from("v1", "v1"), start + span, "v1"},
		{"one, but seen for a short time", from("v1"), start + span - 1, ""},
		{"two", from("v1", "v2"), start + 2*span, ""},
		{"one that went lately", from("v1", "v2").WithServers(start+span, list("v2")), start + 2*span - 1, ""},
		{"one that went long ago", from("v1", "v2").WithServers(start+span, list("v2")), start + 2*span, "v2"},
		{"one that was never in a list", from("v1").WithVersion(start+span, "m", "v2"), start + 2*span - 1, ""},
		{"one that was not in a list long ago", from("v1").WithVersion(start+span, "m", "v2"), start + 2*span, "v1"},
		{"one of another service", from("v1").WithVersion(start+span, "n", "v2"), start + 2*span - 1, "v1"},
		{"a gap", from("v1").WithGap(start + span), start + 2*span - 1, ""},
		{"after a gap", from("v1").WithGap(start + span), start + 2*span, "v1"},
		{"none left", from("v1").WithServers(start+span, list()), start + span + 1, "v1"},
		{"none for long", from("v1").WithServers(start+span, list()), start + 2*span, ""},
		{"no server at all", from(), start + span, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := tc.hi.Sole(tc.at, span, "m")
			assert.Equal(t, got, tc.want)
			assert.Equal(t, ok, tc.want != "")
		})
	}
	_, ok := from("").Sole(start, span, "m")
	assert.Assert(t, ok, "servers that tell no version")
}

// Guards against a stream that goes on at another version because one VM that was cut off
// missed a version: the VMs that know of several go before it.
func TestVMThatMissedAVersionDoesNotDecide(t *testing.T) {
	sole := func(version string) func(string, clock.Millis) (string, bool) {
		return func(string, clock.Millis) (string, bool) { return version, version != "" }
	}
	several := func(string, clock.Millis) bool { return true }
	for _, tc := range []struct {
		name    string
		prepare func(regs map[string]*origin.Registry)
		want    string
	}{
		{"one VM knows", func(regs map[string]*origin.Registry) { regs["vm-1"].Sole = sole("v1") }, "v1"},
		{"another knows of several", func(regs map[string]*origin.Registry) {
			regs["vm-1"].Sole, regs["vm-2"].Several = sole("v1"), several
		}, ""},
		{"the VM that asks knows of several", func(regs map[string]*origin.Registry) {
			regs["vm-1"].Sole, regs["vm-0"].Several = sole("v1"), several
		}, ""},
		{"the VM that asks missed a version", func(regs map[string]*origin.Registry) {
			regs["vm-0"].Sole, regs["vm-3"].Several = sole("v1"), several
		}, ""},
		{"two VMs missed one each", func(regs map[string]*origin.Registry) {
			regs["vm-1"].Sole, regs["vm-2"].Sole = sole("v1"), sole("v2")
		}, ""},
		{"only the VM that asks knows", func(regs map[string]*origin.Registry) { regs["vm-0"].Sole = sole("v1") }, "v1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork(5)
				for name := range nw.regs {
					nw.regs[name].Sole = sole("")
				}
				tc.prepare(nw.regs)
				an := nw.regs["vm-0"].Lookup(t.Context(), origin.IDOf("", "a1"), "m", 10*clock.Second)
				assert.Equal(t, an.State, origin.Unknown)
				assert.Equal(t, an.Sole, tc.want)
				assert.Equal(t, an.Several, tc.want == "")
			})
		})
	}
}

// Guards against a VM that has just started and tells a caller for good that its stream is
// unknown, before it knows any VM to ask.
func TestYoungVMWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(7)
		id := origin.IDOf("", "a1")
		nw.regs["vm-6"].Keep(id, recordA, clock.Minute)
		time.Sleep(10 * time.Millisecond)
		all := nw.setVMs(nil)
		time.AfterFunc(100*time.Millisecond, func() { nw.setVMs(all) })
		assert.Equal(t, nw.regs["vm-5"].Lookup(t.Context(), id, "m", clock.Minute).State, origin.Known)
		nw.setVMs(nil)
		began := time.Now()
		an := nw.regs["vm-5"].Lookup(t.Context(), id, "m", clock.Minute)
		assert.Equal(t, an.State, origin.Unknown)
		assert.Equal(t, an.Silent, 1)
		assert.Assert(t, time.Since(began) < 300*time.Millisecond)
	})
}
