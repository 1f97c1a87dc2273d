package bench

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
)

const (
	borrowEach  = 20.0     // milliseconds between asks of one VM
	tokenLease  = 10_000.0 // until the places of a dead VM are divided anew
	sharesQueue = 2        // patient prefills that a VM has at one engine
)

type (
	// sharesPolicy gives each VM a part of each decode engine's places. A VM
	// that lacks one borrows from the others in turn; what it borrowed is its
	// own until another asks for it.
	sharesPolicy struct {
		sm   *sim
		vms  []*shareVM
		held map[*request]string // whose place it uses
	}

	shareVM struct {
		localVM
		free   map[string]int // places that it may use, by decode engine
		asks   int
		asking bool
		mute   bool // paused or dead: lends nothing
		filled map[string]int
	}
)

func (sp *sharesPolicy) begin() {
	sp.held = make(map[*request]string)
	for ix := range sp.sm.Deployment.VMs {
		vm := &shareVM{free: make(map[string]int), filled: make(map[string]int)}
		vm.localVM = localVM{ix: ix, reports: make(map[string]board.LoadReport), sent: make(map[string]int)}
		sp.vms = append(sp.vms, vm)
	}
	turn := 0
	for _, de := range sp.sm.decodes {
		for range decodeSlots {
			sp.vms[turn%len(sp.vms)].free[de.id]++
			turn++
		}
	}
	for _, vm := range sp.vms {
		var tick func()
		tick = func() {
			sp.pump(vm)
			if sp.sm.now < sp.sm.span+drainFor/2 {
				sp.sm.after(borrowEach, tick)
			}
		}
		sp.sm.after(float64(vm.ix)*3, tick)
	}
}

func (sp *sharesPolicy) servers() {
	live := sp.sm.alive(board.Decode)
	for _, vm := range sp.vms {
		for id := range vm.free {
			if !slices.Contains(live, id) {
				delete(vm.free, id)
			}
		}
	}
}

func (sp *sharesPolicy) report(vm int, ld board.LoadReport) {
	sp.vms[vm].reports[ld.Server] = ld
	sp.vms[vm].sent[ld.Server] = 0
}

func (sp *sharesPolicy) arrive(rq *request) {
	vm := sp.vms[rq.vm]
	vm.queue = append(vm.queue, rq)
	sortByUrgency(vm.queue)
	sp.pump(vm)
}

func (vm *shareVM) total() int {
	sum := 0
	for _, free := range vm.free {
		sum += free
	}
	return sum
}

func (sp *sharesPolicy) pump(vm *shareVM) {
	for len(vm.queue) > 0 {
		rq := vm.queue[0]
		if sp.sm.refuseLate(rq) {
			vm.queue = vm.queue[1:]
			continue
		}
		need := 1
		if rq.cls.Work == PatientWork {
			need = 6
		}
		if vm.total() < need {
			sp.borrow(vm)
			return
		}
		pre := sp.prefill(vm)
		if pre == "" || (rq.cls.Work == PatientWork && vm.load(pre) >= sharesQueue) {
			return
		}
		vm.queue = vm.queue[1:]
		dec := vm.richest()
		vm.free[dec]--
		sp.held[rq] = dec
		vm.sent[pre]++
		sp.sm.sendPrefill(rq, sp.sm.byID[pre].(*prefillEngine))
	}
}

// richest is the engine of which the VM has most places, by ID if equal.
func (vm *shareVM) richest() string {
	ids := make([]string, 0, len(vm.free))
	for id := range vm.free {
		ids = append(ids, id)
	}
	return slices.MinFunc(ids, func(ia, ib string) int {
		return cmp.Or(cmp.Compare(vm.free[ib], vm.free[ia]), cmp.Compare(ia, ib))
	})
}

func (sp *sharesPolicy) prefill(vm *shareVM) string {
	ids := sp.sm.alive(board.Prefill)
	if len(ids) == 0 {
		return ""
	}
	ia, ib := ids[sp.sm.rng.IntN(len(ids))], ids[sp.sm.rng.IntN(len(ids))]
	if vm.load(ib) < vm.load(ia) {
		return ib
	}
	return ia
}

// borrow asks the next VM for half of its free places.
func (sp *sharesPolicy) borrow(vm *shareVM) {
	if vm.asking {
		return
	}
	vm.asking = true
	sp.sm.messages += 2 // the ask and its answer
	vm.asks++
	lender := sp.vms[(vm.ix+vm.asks)%len(sp.vms)]
	if lender == vm {
		vm.asks++
		lender = sp.vms[(vm.ix+vm.asks)%len(sp.vms)]
	}
	span := sp.sm.delay(sp.sm.vmDomain(vm.ix), sp.sm.vmDomain(lender.ix))
	sp.sm.after(span, func() {
		got := lender.lend()
		sp.sm.after(span, func() {
			for id, num := range got {
				vm.free[id] += num
			}
			if len(got) > 0 {
				sp.sm.after(0, func() { sp.pump(vm) })
			}
		})
	})
	sp.sm.after(max(borrowEach/2, 2*span+0.1), func() { vm.asking = false })
}

func (vm *shareVM) lend() map[string]int {
	got := make(map[string]int)
	if vm.mute {
		return got
	}
	keep := 1
	if len(vm.queue) == 0 {
		keep = 0
	}
	for left := (vm.total() - keep + 1) / 2; left > 0; left-- {
		id := vm.richest()
		vm.free[id]--
		got[id]++
	}
	return got
}

func (sp *sharesPolicy) prefilled(rq *request) {
	sp.sm.sendImport(rq, sp.sm.byID[sp.held[rq]].(*decodeEngine))
}

func (sp *sharesPolicy) rejected(rq *request) {
	att := rq.att
	sp.sm.after(importBackoff, func() {
		if rq.att == att && rq.ends == 0 {
			sp.prefilled(rq)
		}
	})
}

func (sp *sharesPolicy) decoding(*request) {}

func (sp *sharesPolicy) giveBack(rq *request) {
	vm := sp.vms[rq.vm]
	if dec, ok := sp.held[rq]; ok {
		delete(sp.held, rq)
		if !sp.sm.byID[dec].(*decodeEngine).dead {
			vm.free[dec]++
		}
	}
}

func (sp *sharesPolicy) ended(rq *request) {
	sp.giveBack(rq)
	vm := sp.vms[rq.vm]
	sp.sm.after(0, func() { sp.pump(vm) })
}

func (sp *sharesPolicy) lost(rq *request) {
	sp.sm.cancel(rq)
	sp.giveBack(rq)
	if sp.sm.refuseLate(rq) {
		return
	}
	vm := sp.vms[rq.vm]
	vm.queue = append(vm.queue, rq)
	sortByUrgency(vm.queue)
}

// fail stops one VM from lending, for a while or for good. The places of a
// dead one are divided anew after their lease.
func (sp *sharesPolicy) fail() {
	vm := sp.vms[0]
	vm.mute = true
	if sp.sm.Fault == PausedOwner {
		sp.sm.after(pauseFor, func() { vm.mute = false })
		return
	}
	sp.sm.after(tokenLease, func() { vm.mute = false })
}
