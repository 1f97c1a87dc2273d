package topic_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/registry"
	"alderdyke/pkg/clock"
)

const (
	// reuseBound is how long a server whose entry expired may stay unused once it renews it.
	reuseBound = 1500 * clock.Millis(1)
	// minWriteDelay and maxWriteDelay bound how late the store carries out a write that it
	// has not answered.
	minWriteDelay = clock.Second
	maxWriteDelay = 6 * clock.Second
	// lateRenewalSites is the number of sites with late renewals and random faults.
	lateRenewalSites = 300
)

// renewals makes servers write a numbered entry with each heartbeat, and the store carry out
// some of them late.
type renewals struct {
	share float64         // of the heartbeats that get no answer and take effect late
	late  map[string]bool // servers whose last heartbeat is late
	next  clock.Millis    // delay of the next heartbeat of the server "leaves"; zero: none
}

// takesLate decides whether a heartbeat takes effect late, and schedules it.
func (rn *renewals) takesLate(st *site, now clock.Millis, id string, sv *simServer) bool {
	delay := minWriteDelay + clock.Millis(st.rnd.Int64N(int64(maxWriteDelay-minWriteDelay)))
	late := st.rnd.Float64() < rn.share && st.down == reachable
	if id == "leaves" && rn.next > 0 {
		delay, rn.next, late = rn.next, 0, true
	}
	rn.late[id] = late
	if !late {
		return false
	}
	value := st.value(sv)
	time.AfterFunc(delay.Std(), func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		sv.renewed = st.clk.Now()
		st.put(id, value)
	})
	return true
}

// mustUse reports whether a live server has been registered for so long that a VM must use it.
// The caller holds the lock.
func (st *site) mustUse(now clock.Millis, vm *simVM, sv *simServer) bool {
	if st.renewals == nil {
		return true
	}
	return sv.certain > 0 && now-sv.certain > reuseBound && st.connected(now, vm)
}

// withdraw removes the entry of a server that has announced its leaving.
func (st *site) withdraw(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.servers[id].announced = false // it writes nothing more
	st.put(id, "")
}

// startVM starts another VM.
func (st *site) startVM(ctx context.Context) {
	st.mu.Lock()
	vm := st.addVM()
	vm.upSince = st.clk.Now()
	st.mu.Unlock()
	go vm.fo.Run(ctx)
	vm.askRemovals()
}

// askRemovals makes a VM learn of removals from another one, as with a probe.
func (vm *simVM) askRemovals() {
	time.AfterFunc(50*time.Millisecond, func() {
		list := vm.st.removalsFor(vm)
		vm.mu.Lock()
		vm.rg.Merge(vm.st.clk.Now(), list)
		vm.mu.Unlock()
		vm.apply()
	})
}

// removalsFor returns the removals that a random connected VM remembers.
func (st *site) removalsFor(vm *simVM) []registry.Removal {
	st.mu.Lock()
	now := st.clk.Now()
	var others []*simVM
	for _, other := range st.vms {
		if other != vm && st.connected(now, other) {
			others = append(others, other)
		}
	}
	if len(others) == 0 || vm.down == cut {
		st.mu.Unlock()
		return nil
	}
	other := others[st.rnd.IntN(len(others))]
	st.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	return other.rg.Removals(now)
}

// simulateRenewals runs a site of seven VMs and six servers that renew their entries.
func simulateRenewals(t *testing.T, seed uint64, share float64, inject func(ctx context.Context, st *site)) (faults []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		st := newSite(7, seed)
		st.renewals = &renewals{share: share, late: make(map[string]bool)}
		for ix := range 5 {
			st.add(fmt.Sprint("stays-", ix))
		}
		st.add("leaves")
		st.run(ctx)
		time.Sleep(10 * time.Second)
		inject(ctx, st)
		time.Sleep(10 * time.Second)
		faults = st.firstViolations()
	})
	return faults
}

// delayNext makes the next heartbeat of the server "leaves" take effect late, and waits until it
// is sent.
func (st *site) delayNext(delay clock.Millis) {
	st.mu.Lock()
	st.renewals.next = delay
	st.mu.Unlock()
	for pending := true; pending; {
		time.Sleep(10 * time.Millisecond)
		st.mu.Lock()
		pending = st.renewals.next > 0
		st.mu.Unlock()
	}
}

// Guards against VMs that list a server again which left, because one of its renewals takes
// effect after its removal: at the reader and at the others, whoever reads then.
func TestLateRenewalListsNoServerThatLeft(t *testing.T) {
	for _, tc := range []struct {
		name  string
		delay clock.Millis  // of the renewal
		stay  time.Duration // from that renewal until the server leaves
		then  func(ctx context.Context, st *site)
	}{
		{"nothing else", 5800, 3200 * time.Millisecond, nil},
		{"the renewal is its last", 5800, 600 * time.Millisecond, nil},
		{"the reader is lost before the removal", 5800, 3190 * time.Millisecond, func(_ context.Context, st *site) { st.setVM(0, cut) }},
		{"the readers are lost before the removal", 5800, 3190 * time.Millisecond, func(_ context.Context, st *site) {
			for ix := range 5 {
				st.setVM(ix, cut)
			}
		}},
		{"the reader is lost after the removal", 5800, 2200 * time.Millisecond, func(_ context.Context, st *site) {
			time.AfterFunc(2*time.Second, func() { st.setVM(0, cut) })
		}},
		{"the store refuses the reader before the removal", 5800, 3190 * time.Millisecond, func(_ context.Context, st *site) { st.setVM(0, refused) }},
		{"a VM starts after the removal", 5800, 2200 * time.Millisecond, func(ctx context.Context, st *site) {
			time.AfterFunc(2*time.Second, func() { st.startVM(ctx) })
		}},
		{"a VM starts after the late renewal", 5800, 3200 * time.Millisecond, func(ctx context.Context, st *site) {
			time.AfterFunc(3*time.Second, func() { st.startVM(ctx) })
		}},
	} {
		for phase := time.Duration(0); phase < 800*time.Millisecond; phase += 100 * time.Millisecond {
			t.Run(fmt.Sprint(tc.name, " ", phase), func(t *testing.T) {
				assert.DeepEqual(t, simulateRenewals(t, 1, 0, func(ctx context.Context, st *site) {
					time.Sleep(phase)
					st.delayNext(tc.delay)
					time.Sleep(tc.stay)
					if tc.then != nil {
						tc.then(ctx, st)
						time.Sleep(10 * time.Millisecond)
					}
					st.leave("leaves", false)
				}), []string(nil))
			})
		}
	}
}

// The other side: a server whose entry expires while it is alive is used again as soon as it
// renews it, also if it has counted the renewals that failed.
func TestServerThatRenewsExpiredEntryIsUsed(t *testing.T) {
	for _, failed := range []int{0, 3} {
		for phase := time.Duration(0); phase < 800*time.Millisecond; phase += 100 * time.Millisecond {
			t.Run(fmt.Sprint(failed, " ", phase), func(t *testing.T) {
				assert.DeepEqual(t, simulateRenewals(t, 1, 0, func(_ context.Context, st *site) {
					time.Sleep(phase)
					st.mu.Lock()
					sv := st.servers["leaves"]
					sv.number += failed
					sv.tried = st.clk.Now() + 4400 // it is silent for 4.4 s and a heartbeat
					st.mu.Unlock()
				}), []string(nil))
			})
		}
	}
}

// Servers leave with and without announcing it, renewals take effect late, readers change and
// VMs start.
func TestLateRenewalsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(lateRenewalSites) {
		faults := simulateRenewals(t, seed, 0.3, func(ctx context.Context, st *site) { st.leaveUnderFaults(ctx, seed, true) })
		assert.Check(t, len(faults) == 0, "seed %d: %v", seed, faults)
	}
}

// The same with late renewals right before servers leave. After two of them, a removal looks like
// that of an entry that expired, and so it does after one where the reader changes.
func TestSeriesOfLateRenewals(t *testing.T) {
	for seed := range uint64(lateRenewalSites) {
		faults := simulateRenewals(t, seed, 0.3, func(ctx context.Context, st *site) { st.leaveUnderFaults(ctx, seed, false) })
		assert.Check(t, len(faults) == 0, "seed %d: %v", seed, faults)
	}
}

// leaveUnderFaults makes five servers leave while VMs have faults; with settled, each after a
// heartbeat that the store has answered.
func (st *site) leaveUnderFaults(ctx context.Context, seed uint64, settled bool) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	for ix := range 5 {
		time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
		switch rnd.IntN(4) {
		case 0:
			st.setVM(rnd.IntN(len(st.vms)), linkFault(rnd.IntN(4)))
		case 1:
			st.setVM(rnd.IntN(len(st.vms)), reachable)
		case 2:
			st.startVM(ctx)
		}
		id := fmt.Sprint("stays-", ix)
		for settled && st.isLate(id) {
			time.Sleep(checkPeriod.Std())
		}
		announce := rnd.IntN(2) == 0
		st.leave(id, announce)
		if announce {
			time.AfterFunc(2*time.Second, func() { st.withdraw(id) })
		}
	}
}

// isLate reports whether the last heartbeat of a server got no answer.
func (st *site) isLate(id string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.renewals.late[id]
}
