package register

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/logsvc"
	"alderdyke/pkg/clock"
)

type (
	// leaseWorld runs Holders on one log. Each has its own reader, which can lag,
	// and its own clock, which can be paused between any two steps.
	leaseWorld struct {
		tt      rapid.TB
		now     clock.Millis
		log     [][]byte
		holders []*leaseVM
		granted map[uint64]string
		orders  int
	}

	leaseVM struct {
		ho     *Holder
		st     *State
		wake   clock.Millis
		paused bool
		cut    bool // reads nothing from the log
		lose   bool // replies to appends are lost
		out    []byte
		outID  string
	}
)

func newLeaseWorld(tt rapid.TB, vms int, seed uint64) *leaseWorld {
	lw := &leaseWorld{tt: tt, granted: map[uint64]string{}}
	for ix := range vms {
		ho := &Holder{
			Resource: "model/7", Self: fmt.Sprintf("vm%d/1", ix), Duration: 10 * clock.Second,
			Margin: clock.Second, Rand: rand.New(rand.NewPCG(seed, uint64(ix))),
		}
		vm := &leaseVM{ho: ho, st: &State{Content: Leases, Buckets: 1}, wake: never}
		lw.holders = append(lw.holders, vm)
	}
	return lw
}

func (lw *leaseWorld) step(vm *leaseVM, ev HolderEvent) {
	vm.wake = never
	for _, in := range vm.ho.Step(lw.now, ev) {
		switch in := in.(type) {
		case LeaseAppend:
			vm.out, vm.outID = in.Data, in.ID
		case Wake:
			vm.wake = in.At
		case LeaseHeld:
			if who, ok := lw.granted[in.Token]; ok && who != vm.ho.Self {
				lw.tt.Errorf("token %d was granted to %s and %s", in.Token, who, vm.ho.Self)
			}
			lw.granted[in.Token] = vm.ho.Self
		}
	}
}

// tick advances the time by 100 ms: appends arrive, readers read, holders handle their
// Wake, and VMs that may order are counted.
func (lw *leaseWorld) tick() {
	lw.now += 100
	for _, vm := range lw.holders {
		if vm.out != nil {
			// The append is already sent: it arrives even if the VM is paused.
			lw.log = append(lw.log, vm.out)
			vm.out = nil
			if !vm.paused && !vm.lose {
				lw.step(vm, LeaseAppended{ID: vm.outID})
			}
		}
	}
	for _, vm := range lw.holders {
		if vm.paused {
			continue
		}
		if !vm.cut {
			lw.read(vm)
		}
		if lw.now >= vm.wake {
			lw.step(vm, LeaseTick{})
		}
	}
	lw.checkOrders()
}

func (lw *leaseWorld) read(vm *leaseVM) {
	ba := logsvc.Batch{Next: uint64(len(lw.log)), End: uint64(len(lw.log))}
	for offset := vm.st.Next(); offset < ba.End; offset++ {
		ba.Records = append(ba.Records, logsvc.Record{Offset: offset, Data: lw.log[offset]})
	}
	_, bad := vm.st.Advance(ba)
	assert.Equal(lw.tt, len(bad), 0)
	en, known := vm.st.Entry(vm.ho.Resource)
	lw.step(vm, LeaseObserved{Entry: en, Known: known})
}

// checkOrders checks that at most one VM may order. Paused VMs are included: a paused VM
// calls MayOrder with the time at which it resumes.
func (lw *leaseWorld) checkOrders() {
	var first string
	for _, vm := range lw.holders {
		if _, may := vm.ho.MayOrder(lw.now); !may {
			continue
		}
		lw.orders++
		if first != "" {
			lw.tt.Errorf("at %v both %s and %s may order", lw.now, first, vm.ho.Self)
		}
		first = vm.ho.Self
	}
}

func (lw *leaseWorld) run(span clock.Millis) {
	for until := lw.now + span; lw.now < until; {
		lw.tick()
	}
}

func (lw *leaseWorld) want(ix int, hold bool) { lw.step(lw.holders[ix], LeaseWanted{Hold: hold}) }

func (lw *leaseWorld) holder() int {
	for ix, vm := range lw.holders {
		if _, may := vm.ho.MayOrder(lw.now); may {
			return ix
		}
	}
	return -1
}

func TestLeaseIsRenewedAndReleased(tt *testing.T) {
	lw := newLeaseWorld(tt, 2, 1)
	lw.tick()
	lw.want(0, true)
	lw.run(clock.Second)
	assert.Equal(tt, lw.holder(), 0)
	lw.want(1, true)
	lw.run(5 * clock.Minute)
	assert.Equal(tt, lw.holder(), 0)
	renewals := len(lw.log)
	assert.Assert(tt, renewals >= 60 && renewals <= 100, "%d appends in 5 minutes", renewals)
	lw.want(0, false)
	lw.run(2 * clock.Second)
	assert.Equal(tt, lw.holder(), 1)
}

func TestPausedHolderIsReplacedAfterItsLease(tt *testing.T) {
	lw := newLeaseWorld(tt, 2, 2)
	lw.tick()
	lw.want(0, true)
	lw.run(clock.Second)
	old, _ := lw.holders[0].ho.MayOrder(lw.now)
	lw.want(1, true)
	lw.holders[0].paused = true
	lw.run(7 * clock.Second)
	assert.Equal(tt, lw.holder(), 0, "the lease has not expired if it resumes now")
	lw.run(10 * clock.Second)
	assert.Equal(tt, lw.holder(), 1)
	token, _ := lw.holders[1].ho.MayOrder(lw.now)
	assert.Assert(tt, token > old)

	// It resumes and has not read yet that it was replaced.
	lw.holders[0].paused, lw.holders[0].cut = false, true
	_, may := lw.holders[0].ho.MayOrder(lw.now)
	assert.Assert(tt, !may)
}

func TestLeaseCountsFromFirstAppendAfterLostReply(tt *testing.T) {
	lw := newLeaseWorld(tt, 1, 3)
	vm := lw.holders[0]
	lw.tick()
	vm.lose = true
	lw.want(0, true)
	requestedAt := lw.now
	vm.cut = true
	lw.run(2 * clock.Second)
	vm.cut = false
	lw.run(clock.Second)
	_, may := vm.ho.MayOrder(lw.now)
	assert.Assert(tt, may)
	assert.Assert(tt, vm.ho.usableUntil <= requestedAt+vm.ho.Duration-vm.ho.Margin)
}

// TestLeaseUnderRandomFaults pauses VMs, disconnects them and loses replies at random.
func TestLeaseUnderRandomFaults(tt *testing.T) {
	tt.Parallel()
	rapid.Check(tt, func(rt *rapid.T) {
		lw := newLeaseWorld(rt, 3, rapid.Uint64().Draw(rt, "seed"))
		lw.tick()
		draw := func(rt *rapid.T) int { return rapid.IntRange(0, 2).Draw(rt, "vm") }
		rt.Repeat(map[string]func(*rapid.T){
			"want":  func(rt *rapid.T) { lw.want(draw(rt), true) },
			"leave": func(rt *rapid.T) { lw.want(draw(rt), false) },
			"pause": func(rt *rapid.T) { toggle(&lw.holders[draw(rt)].paused) },
			"cut":   func(rt *rapid.T) { toggle(&lw.holders[draw(rt)].cut) },
			"lose":  func(rt *rapid.T) { toggle(&lw.holders[draw(rt)].lose) },
			"pass": func(rt *rapid.T) {
				lw.run(clock.Millis(rapid.SampledFrom([]int{100, 1000, 7000, 15_000}).Draw(rt, "span")))
			},
		})
		for _, vm := range lw.holders {
			vm.paused, vm.cut, vm.lose = false, false, false
		}
		lw.want(0, true)
		lw.run(30 * clock.Second)
		assert.Assert(rt, lw.holder() >= 0, "no VM holds the lease")
	})
}

// TestLeaseNeedsItsMargins shows that the check can fail: it must detect a contender that
// does not wait out the duration.
func TestLeaseNeedsItsMargins(tt *testing.T) {
	caught := &recorder{TB: tt}
	lw := newLeaseWorld(caught, 2, 5)
	lw.tick()
	lw.want(0, true)
	lw.run(clock.Second)
	lw.holders[0].paused = true
	lw.want(1, true)
	lw.holders[1].ho.freeAt = lw.now
	lw.holders[1].wake = lw.now
	lw.run(clock.Second)
	assert.Assert(tt, caught.errors > 0)
}

// recorder counts errors instead of failing the test.
type recorder struct {
	rapid.TB
	errors int
}

func (re *recorder) Errorf(string, ...any) { re.errors++ }
