package bench

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
)

const (
	borrowInterval     = 20.0     // milliseconds between borrow requests of one VM
	shareLease         = 10_000.0 // milliseconds until the slots of a dead VM can be borrowed again
	maxPatientPrefills = 2        // prefills that a VM has on one engine before its patient work waits
)

type (
	// sharesPolicy gives each VM a share of each decode engine's slots. A VM that needs
	// more borrows from the other VMs in turn. It owns what it borrowed until another VM
	// borrows it.
	sharesPolicy struct {
		sm         *sim
		vms        []*shareVM
		slotEngine map[*request]string // decode engine whose slot the request uses
	}

	shareVM struct {
		localVM
		freeSlots    map[string]int // unused slots of this VM, by decode engine
		borrowCount  int
		borrowing    bool
		unresponsive bool // paused or dead: lends nothing
		filled       map[string]int
	}
)

func (sp *sharesPolicy) begin() {
	sp.slotEngine = make(map[*request]string)
	for ix := range sp.sm.Deployment.VMs {
		vm := &shareVM{freeSlots: make(map[string]int), filled: make(map[string]int)}
		vm.localVM = localVM{ix: ix, reports: make(map[string]board.LoadReport), sentSinceReport: make(map[string]int)}
		sp.vms = append(sp.vms, vm)
	}
	turn := 0
	for _, de := range sp.sm.decodes {
		for range decodeSlots {
			sp.vms[turn%len(sp.vms)].freeSlots[de.id]++
			turn++
		}
	}
	for _, vm := range sp.vms {
		var tick func()
		tick = func() {
			sp.dispatch(vm)
			if sp.sm.now < sp.sm.span+drainTime/2 {
				sp.sm.after(borrowInterval, tick)
			}
		}
		sp.sm.after(float64(vm.ix)*3, tick)
	}
}

func (sp *sharesPolicy) serversChanged() {
	live := sp.sm.aliveEngines(board.Decode)
	for _, vm := range sp.vms {
		for id := range vm.freeSlots {
			if !slices.Contains(live, id) {
				delete(vm.freeSlots, id)
			}
		}
	}
}

func (sp *sharesPolicy) report(vm int, ld board.LoadReport) {
	sp.vms[vm].reports[ld.Server] = ld
	sp.vms[vm].sentSinceReport[ld.Server] = 0
}

func (sp *sharesPolicy) arrive(rq *request) {
	vm := sp.vms[rq.vm]
	vm.queue = append(vm.queue, rq)
	sortByUrgency(vm.queue)
	sp.dispatch(vm)
}

func (vm *shareVM) totalFree() int {
	sum := 0
	for _, free := range vm.freeSlots {
		sum += free
	}
	return sum
}

// dispatch starts queued requests while the VM has free slots, and borrows if it has too
// few.
func (sp *sharesPolicy) dispatch(vm *shareVM) {
	for len(vm.queue) > 0 {
		rq := vm.queue[0]
		if sp.sm.refuseUnreachable(rq) {
			vm.queue = vm.queue[1:]
			continue
		}
		need := 1
		if rq.cls.Work == PatientWork {
			need = 6 // leaves five free slots to quick work
		}
		if vm.totalFree() < need {
			sp.borrow(vm)
			return
		}
		pre := sp.choosePrefill(vm)
		if pre == "" || (rq.cls.Work == PatientWork && vm.estimatedLoad(pre) >= maxPatientPrefills) {
			return
		}
		vm.queue = vm.queue[1:]
		dec := vm.mostFreeEngine()
		vm.freeSlots[dec]--
		sp.slotEngine[rq] = dec
		vm.sentSinceReport[pre]++
		sp.sm.sendPrefill(rq, sp.sm.byID[pre].(*prefillEngine))
	}
}

// mostFreeEngine returns the engine of which the VM has the most free slots. Ties are
// broken by ID.
func (vm *shareVM) mostFreeEngine() string {
	ids := make([]string, 0, len(vm.freeSlots))
	for id := range vm.freeSlots {
		ids = append(ids, id)
	}
	return slices.MinFunc(ids, func(ia, ib string) int {
		return cmp.Or(cmp.Compare(vm.freeSlots[ib], vm.freeSlots[ia]), cmp.Compare(ia, ib))
	})
}

func (sp *sharesPolicy) choosePrefill(vm *shareVM) string {
	ids := sp.sm.aliveEngines(board.Prefill)
	if len(ids) == 0 {
		return ""
	}
	ia, ib := ids[sp.sm.rng.IntN(len(ids))], ids[sp.sm.rng.IntN(len(ids))]
	if vm.estimatedLoad(ib) < vm.estimatedLoad(ia) {
		return ib
	}
	return ia
}

// borrow requests half of the next VM's free slots.
func (sp *sharesPolicy) borrow(vm *shareVM) {
	if vm.borrowing {
		return
	}
	vm.borrowing = true
	sp.sm.messages += 2 // the request and its reply
	vm.borrowCount++
	lender := sp.vms[(vm.ix+vm.borrowCount)%len(sp.vms)]
	if lender == vm {
		vm.borrowCount++
		lender = sp.vms[(vm.ix+vm.borrowCount)%len(sp.vms)]
	}
	span := sp.sm.delay(sp.sm.vmDomain(vm.ix), sp.sm.vmDomain(lender.ix))
	sp.sm.after(span, func() {
		got := lender.lend()
		sp.sm.after(span, func() {
			for id, num := range got {
				vm.freeSlots[id] += num
			}
			if len(got) > 0 {
				sp.sm.after(0, func() { sp.dispatch(vm) })
			}
		})
	})
	sp.sm.after(max(borrowInterval/2, 2*span+0.1), func() { vm.borrowing = false })
}

// lend gives away half of the VM's free slots, rounded up. It does not count one slot
// that the VM keeps while it has queued requests.
func (vm *shareVM) lend() map[string]int {
	got := make(map[string]int)
	if vm.unresponsive {
		return got
	}
	keep := 1
	if len(vm.queue) == 0 {
		keep = 0
	}
	for left := (vm.totalFree() - keep + 1) / 2; left > 0; left-- {
		id := vm.mostFreeEngine()
		vm.freeSlots[id]--
		got[id]++
	}
	return got
}

func (sp *sharesPolicy) prefilled(rq *request) {
	sp.sm.sendImport(rq, sp.sm.byID[sp.slotEngine[rq]].(*decodeEngine))
}

func (sp *sharesPolicy) importRejected(rq *request) {
	att := rq.attempt
	sp.sm.after(importBackoff, func() {
		if rq.attempt == att && rq.endCount == 0 {
			sp.prefilled(rq)
		}
	})
}

func (sp *sharesPolicy) decodeStarted(*request) {}

func (sp *sharesPolicy) returnSlot(rq *request) {
	vm := sp.vms[rq.vm]
	if dec, ok := sp.slotEngine[rq]; ok {
		delete(sp.slotEngine, rq)
		if !sp.sm.byID[dec].(*decodeEngine).dead {
			vm.freeSlots[dec]++
		}
	}
}

func (sp *sharesPolicy) ended(rq *request) {
	sp.returnSlot(rq)
	vm := sp.vms[rq.vm]
	sp.sm.after(0, func() { sp.dispatch(vm) })
}

func (sp *sharesPolicy) attemptLost(rq *request) {
	sp.sm.cancel(rq)
	sp.returnSlot(rq)
	if sp.sm.refuseUnreachable(rq) {
		return
	}
	vm := sp.vms[rq.vm]
	vm.queue = append(vm.queue, rq)
	sortByUrgency(vm.queue)
}

// failVM stops one VM from lending: during a pause, or after its death until its lease
// expires. From then on the others can borrow the dead VM's slots again.
func (sp *sharesPolicy) failVM() {
	vm := sp.vms[0]
	vm.unresponsive = true
	if sp.sm.Fault == PausedOwner {
		sp.sm.after(pauseTime, func() { vm.unresponsive = false })
		return
	}
	sp.sm.after(shareLease, func() { vm.unresponsive = false })
}
