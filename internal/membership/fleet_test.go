package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// packetOverhead is the size of the IPv4 and UDP headers of a datagram.
const packetOverhead = 28

// neverSeen is the health of a VM that was listed but never responded.
const neverSeen board.Health = -1

type (
	// testFleet exchanges datagrams between real detectors in virtual time, with
	// loss, delay, pauses, deaths and partitions.
	testFleet struct {
		now       clock.Millis
		rnd       *rand.Rand
		vms       []*testVM
		byID      map[string]*testVM
		queue     delivery
		seq       int
		loss      float64
		cut       func(from, to *testVM) bool
		countFrom clock.Millis // false suspicions and deaths are counted from here on
		// pauseEvery is the mean span between pauses of a VM; zero: no pauses.
		pauseEvery clock.Millis
		// unstable VMs pause repeatedly for 2 to 4 s; suspicions and deaths of
		// them do not count as false.
		unstable map[string]bool

		suspects, deaths map[string]int // number of live VMs with that view, by ID
		falseSuspicions  int
		falseDeaths      int
		unfenced         int // VMs that were quorate while a quorate VM saw them as dead
		resurrected      int // VMs that a quorate VM saw as dead and then as alive in the same generation
		largest          int
		killed           map[string]clock.Millis
		suspected        map[string][]clock.Millis
		detected         map[string][]clock.Millis
	}

	// variant is a detector configuration to compare.
	variant struct {
		name     string
		settings Settings
		disabled disabledFeatures
	}

	testVM struct {
		dt             *Detector
		self           board.VM
		up             bool
		pausedUntil    clock.Millis
		tickAt         clock.Millis
		fleet          *board.Fleet
		generations    map[string]generation // of the other VMs, according to its last snapshot
		quorateUntil   clock.Millis
		refutedDeaths  int
		sent, received traffic
	}

	// generation is one span of a VM's existence, from its start or from when it
	// learned that it was declared dead.
	generation struct {
		incarnation uint64
		deaths      uint32
	}

	traffic struct{ messages, bytes int }

	event struct {
		at  clock.Millis
		seq int
		vm  *testVM
		ev  Event // nil pauses the VM
		// size is the size of the received datagram.
		size int
	}

	delivery []event
)

func (dl delivery) Len() int { return len(dl) }
func (dl delivery) Less(ia, ib int) bool {
	if dl[ia].at != dl[ib].at {
		return dl[ia].at < dl[ib].at
	}
	return dl[ia].seq < dl[ib].seq
}
func (dl delivery) Swap(ia, ib int) { dl[ia], dl[ib] = dl[ib], dl[ia] }
func (dl *delivery) Push(ev any)    { *dl = append(*dl, ev.(event)) }
func (dl *delivery) Pop() any {
	old := *dl
	last := old[len(old)-1]
	*dl = old[:len(old)-1]
	return last
}

// newFleet creates VMs in failure domains of three regions, and starts all of them
// at once with the complete list.
func newFleet(size, domains int, seed uint64, vr variant) *testFleet {
	tf := stoppedFleet(size, domains, seed, vr)
	for _, vm := range tf.vms {
		tf.step(vm, Listed{VMs: tf.list()})
	}
	return tf
}

// settledFleet creates a fleet whose VMs already know each other, which saves the
// simulation of a simultaneous start.
func settledFleet(size, domains int, seed uint64, vr variant) *testFleet {
	tf := stoppedFleet(size, domains, seed, vr)
	for _, vm := range tf.vms {
		vm.dt.start(0)
		vm.dt.startedAt = -joinPeriod
		for _, other := range tf.vms {
			if other != vm {
				vm.dt.table.add(&member{vm: other.self, observed: true, joinedAt: -introductionPeriod})
			}
		}
		vm.dt.rumours.drop(vm.self.ID)
		vm.dt.startRound()
		tf.step(vm, Listed{VMs: tf.list()})
	}
	return tf
}

func stoppedFleet(size, domains int, seed uint64, vr variant) *testFleet {
	tf := &testFleet{
		rnd:       rand.New(rand.NewPCG(seed, 1)),
		byID:      make(map[string]*testVM),
		suspects:  make(map[string]int),
		unstable:  make(map[string]bool),
		deaths:    make(map[string]int),
		killed:    make(map[string]clock.Millis),
		suspected: make(map[string][]clock.Millis),
		detected:  make(map[string][]clock.Millis),
	}
	for ix := range size {
		domain := ix % domains
		tf.addVM(board.VM{
			VMRef:         board.VMRef{ID: fmt.Sprintf("domain-%d-%03d", domain, ix), Incarnation: 1764691200000},
			FailureDomain: fmt.Sprintf("domain-%d", domain),
			Region:        fmt.Sprintf("region-%d", domain%3),
			Caller:        fmt.Sprintf("10.%d.0.%d:8443", domain, ix%250),
			Peer:          fmt.Sprintf("10.%d.0.%d:7400", domain, ix%250),
		}, seed, vr)
	}
	return tf
}

func (tf *testFleet) addVM(self board.VM, seed uint64, vr variant) *testVM {
	vm := &testVM{self: self, up: true, generations: make(map[string]generation)}
	vm.dt = &Detector{
		Self:     self,
		Rand:     rand.New(rand.NewPCG(seed, uint64(len(tf.vms))+2)),
		Settings: vr.settings,
		disabled: vr.disabled,
	}
	tf.vms = append(tf.vms, vm)
	tf.byID[self.ID] = vm
	return vm
}

// restart replaces the process of a VM by a new one with the same ID.
func (tf *testFleet) restart(vm *testVM, seed uint64) {
	self := vm.self
	self.Incarnation += uint64(tf.now) + 1
	*vm = testVM{self: self, up: true, generations: make(map[string]generation)}
	vm.dt = &Detector{Self: self, Rand: rand.New(rand.NewPCG(seed, uint64(tf.now)))}
	delete(tf.killed, self.ID)
	tf.step(vm, Listed{VMs: tf.list()})
}

func (tf *testFleet) list() []board.VM {
	var out []board.VM
	for _, vm := range tf.vms {
		out = append(out, vm.self)
	}
	return out
}

func (tf *testFleet) kill(vm *testVM) {
	vm.up = false
	vm.fleet = nil
	tf.killed[vm.self.ID] = tf.now
}

func (tf *testFleet) push(at clock.Millis, vm *testVM, ev Event) {
	tf.pushEvent(event{at: at, vm: vm, ev: ev})
}

func (tf *testFleet) pushEvent(ev event) {
	tf.seq++
	ev.seq = tf.seq
	heap.Push(&tf.queue, ev)
}

// run advances the time by a span and handles the events that are due.
func (tf *testFleet) run(span clock.Millis) {
	end := tf.now + span
	for len(tf.queue) > 0 && tf.queue[0].at <= end {
		ev := heap.Pop(&tf.queue).(event)
		tf.now = max(tf.now, ev.at)
		switch {
		case !ev.vm.up:
		case ev.ev == nil:
			ev.vm.pausedUntil = max(ev.vm.pausedUntil, tf.now+tf.pauseSpan(ev.vm))
			tf.schedulePause(ev.vm)
		case tf.now < ev.vm.pausedUntil:
			ev.at = ev.vm.pausedUntil
			tf.pushEvent(ev)
		default:
			tf.handle(ev)
		}
	}
	tf.now = end
}

func (tf *testFleet) handle(ev event) {
	if _, ok := ev.ev.(Tick); ok {
		if ev.at < ev.vm.tickAt {
			return // replaced by a later Wake
		}
		ev.vm.tickAt = 0
	}
	if _, ok := ev.ev.(Received); ok {
		ev.vm.received.add(ev.size)
	}
	tf.step(ev.vm, ev.ev)
}

func (tf *testFleet) startPauses(every clock.Millis) {
	tf.pauseEvery = every
	for _, vm := range tf.vms {
		tf.schedulePause(vm)
	}
}

// schedulePause sets when a VM pauses next: an unstable one 2 to 4 s after its last pause,
// any other after a random span.
func (tf *testFleet) schedulePause(vm *testVM) {
	switch {
	case tf.unstable[vm.self.ID]:
		tf.push(max(tf.now, vm.pausedUntil)+2*clock.Second+clock.Millis(tf.rnd.Int64N(2000)), vm, nil)
	case tf.pauseEvery > 0:
		tf.push(tf.now+clock.Second+clock.Millis(tf.rnd.ExpFloat64()*float64(tf.pauseEvery)), vm, nil)
	}
}

func (tf *testFleet) pauseSpan(vm *testVM) clock.Millis {
	if tf.unstable[vm.self.ID] {
		return 2*clock.Second + clock.Millis(tf.rnd.Int64N(2001))
	}
	return 200 + clock.Millis(tf.rnd.Int64N(601))
}

// add counts one datagram of the given encoded size.
func (tr *traffic) add(size int) {
	tr.messages++
	tr.bytes += size + packetOverhead
}

func (tf *testFleet) step(vm *testVM, ev Event) {
	for _, in := range vm.dt.Step(tf.now, ev) {
		switch in := in.(type) {
		case Send:
			in.Datagram.Sequence = uint64(1000 + vm.sent.messages)
			size := proto.Size(in.Datagram)
			tf.largest = max(tf.largest, size)
			vm.sent.add(size)
			tf.transmit(vm, in, size)
		case FleetChanged:
			tf.compareSnapshots(vm, in.Fleet)
		case QuorumDeadline:
			began := vm.quorateUntil <= tf.now && in.Until > tf.now
			vm.quorateUntil = in.Until
			if began {
				tf.checkFenced(vm)
			}
		case DeathRefuted:
			vm.refutedDeaths++
		case Wake:
			if vm.tickAt == 0 || in.At != vm.tickAt {
				vm.tickAt = in.At
				tf.push(in.At, vm, Tick{})
			}
		}
	}
}

func (tf *testFleet) transmit(from *testVM, in Send, size int) {
	to := tf.byID[in.To.ID]
	if to == nil || tf.rnd.Float64() < tf.loss || (tf.cut != nil && tf.cut(from, to)) {
		return
	}
	delay := 1 + clock.Millis(tf.rnd.ExpFloat64()*1.5)
	if from.self.Region != to.self.Region {
		delay += 15 + clock.Millis(tf.rnd.Int64N(20))
	}
	tf.pushEvent(event{at: tf.now + delay, vm: to, ev: Received{Datagram: in.Datagram}, size: size})
}

// compareSnapshots counts the changes between two snapshots of one VM.
func (tf *testFleet) compareSnapshots(vm *testVM, fl *board.Fleet) {
	old := vm.fleet
	vm.fleet = fl
	if old == nil {
		old = &board.Fleet{}
	}
	at := 0
	for _, now := range fl.VMs {
		for at < len(old.VMs) && old.VMs[at].ID < now.ID {
			at++
		}
		before := neverSeen
		if at < len(old.VMs) && old.VMs[at].ID == now.ID {
			before = healthOf(old.VMs[at])
		}
		hl := healthOf(now)
		lf := vm.generationSeen(now)
		if before == board.Dead && hl <= board.Suspect && old.Quorate && lf.atMost(vm.generations[now.ID]) {
			tf.resurrected++
		}
		vm.generations[now.ID] = lf
		if hl != before {
			tf.recordTransition(now.ID, before, hl)
		}
		if hl == board.Dead && fl.Quorate && (hl != before || !old.Quorate) {
			tf.checkFence(vm, now)
		}
	}
}

// checkFenced applies checkFence to a VM that becomes quorate.
func (tf *testFleet) checkFenced(target *testVM) {
	for _, vm := range tf.live() {
		if vm.fleet == nil || vm.quorateUntil <= tf.now {
			continue
		}
		if held, ok := vm.fleet.VM(target.self.ID); ok && held.Health == board.Dead {
			tf.checkFence(vm, held)
		}
	}
}

// checkFence counts a VM that a quorate VM sees as dead while it may still start work in
// the same generation.
func (tf *testFleet) checkFence(holder *testVM, held board.VM) {
	target := tf.byID[held.ID]
	if target.up && target.quorateUntil > tf.now && target.generation() == holder.generationSeen(held) {
		tf.unfenced++
	}
}

// generation returns a VM's own generation.
func (vm *testVM) generation() generation {
	return generation{vm.dt.Self.Incarnation, generationOf(vm.dt.refutation)}
}

// generationSeen returns the generation in which a VM sees another one.
func (vm *testVM) generationSeen(other board.VM) generation {
	lf := generation{incarnation: other.Incarnation}
	if mb := vm.dt.table.byID[other.ID]; mb != nil {
		lf.deaths = generationOf(mb.refutation)
	}
	return lf
}

func (lf generation) atMost(other generation) bool {
	return cmp.Or(cmp.Compare(lf.incarnation, other.incarnation), cmp.Compare(lf.deaths, other.deaths)) <= 0
}

// healthOf distinguishes a VM that never responded from a dead one.
func healthOf(vm board.VM) board.Health {
	if vm.Incarnation == 0 {
		return neverSeen
	}
	return vm.Health
}

func (tf *testFleet) recordTransition(id string, before, now board.Health) {
	if at, ok := tf.killed[id]; ok {
		switch now {
		case board.Suspect:
			tf.suspected[id] = append(tf.suspected[id], tf.now-at)
		case board.Dead:
			tf.detected[id] = append(tf.detected[id], tf.now-at)
		}
		return
	}
	if tf.unstable[id] {
		return
	}
	switch before {
	case board.Suspect:
		tf.suspects[id]--
	case board.Dead:
		tf.deaths[id]--
	}
	switch now {
	case board.Suspect:
		if tf.suspects[id]++; tf.suspects[id] == 1 && tf.now >= tf.countFrom {
			tf.falseSuspicions++
		}
	case board.Dead:
		if tf.deaths[id]++; tf.deaths[id] == 1 && tf.now >= tf.countFrom {
			tf.falseDeaths++
		}
	}
}

// countViews counts the pairs of live VMs in which the first sees the second in the given
// health state.
func (tf *testFleet) countViews(hl board.Health) int {
	count := 0
	for _, vm := range tf.vms {
		if !vm.up {
			continue
		}
		for _, other := range vm.fleet.VMs {
			if tf.byID[other.ID].up && other.Health == hl {
				count++
			}
		}
	}
	return count
}

func (tf *testFleet) live() []*testVM {
	return slices.DeleteFunc(slices.Clone(tf.vms), func(vm *testVM) bool { return !vm.up })
}

func (tf *testFleet) quorate() int {
	count := 0
	for _, vm := range tf.live() {
		if vm.quorateUntil > tf.now {
			count++
		}
	}
	return count
}

// resetTraffic resets the traffic counts.
func (tf *testFleet) resetTraffic() {
	for _, vm := range tf.vms {
		vm.sent, vm.received = traffic{}, traffic{}
	}
}

// perVM returns bytes and messages per second, sent and received together: the mean of
// the live VMs, and the bytes of the busiest one.
func (tf *testFleet) perVM(span clock.Millis) (bytes, messages, most float64) {
	sec := float64(span) / float64(clock.Second)
	for _, vm := range tf.live() {
		all := float64(vm.sent.bytes+vm.received.bytes) / sec
		bytes += all
		messages += float64(vm.sent.messages+vm.received.messages) / sec
		most = max(most, all)
	}
	count := float64(len(tf.live()))
	return bytes / count, messages / count, most
}

func quantile(values []clock.Millis, part float64) clock.Millis {
	if len(values) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// regionCut disconnects region-2 from the others.
func regionCut(from, to *testVM) bool {
	return (from.self.Region == "region-2") != (to.self.Region == "region-2")
}

func (tf *testFleet) regionVMs() []*testVM {
	return slices.DeleteFunc(slices.Clone(tf.vms), func(vm *testVM) bool {
		return vm.self.Region != "region-2"
	})
}

func (tf *testFleet) noneQuorate(vms []*testVM) bool {
	return !slices.ContainsFunc(vms, func(vm *testVM) bool { return vm.quorateUntil > tf.now })
}

func (tf *testFleet) sentBytes() int {
	total := 0
	for _, vm := range tf.vms {
		total += vm.sent.bytes
	}
	return total
}
