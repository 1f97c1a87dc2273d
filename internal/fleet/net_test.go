package fleet

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/membership"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// netVMs is a fleet that is large enough for schedulers.
	netVMs = maxDirectVMs + 3
	// netDomains is its failure domains.
	netDomains = 4
	// inboxDatagrams bounds what waits for a VM that is frozen.
	inboxDatagrams = 4096
)

type (
	// simNet carries the datagrams of a simulated fleet in virtual time. Its
	// delays and losses follow from the seed and each datagram's sender and number,
	// not from the order in which goroutines run.
	simNet struct {
		seed  uint64
		clock bubbleClock

		mu          sync.Mutex
		vms         map[string]*simVM        // the newest life of each name
		lives       map[string]uint64        // incarnation of the newest life
		blocked     map[[2]string]bool       // datagrams from the first to the second are lost
		extraDelay  map[string]time.Duration // added to each datagram from and to a VM
		loss        float64                  // part of the datagrams that is lost, while others overtake each other
		lastArrival map[[2]string]time.Time  // when the last datagram from the first to the second arrives
	}

	// simVM is one life of a VM: the project's own membership, wire forms, choice
	// of schedulers and of readers, before the simulated network.
	simVM struct {
		net  *simNet
		self board.VM
		ctx  context.Context
		stop context.CancelFunc
		fl   *Fleet
		mb   *Member

		inbox       chan []byte
		alwaysFirst bool // it believes that it is the first scheduler

		mu        sync.Mutex
		sequence  uint64        // of the last datagram
		resumed   chan struct{} // closed when a frozen VM goes on; nil: it is not frozen
		resumedAt clock.Millis  // when it last went on
	}

	// simHandlers is what a VM does with others' words; a nil field drops them.
	simHandlers struct {
		usage func(vm string, rp usage.Report)
		place func(vm string, ask usage.PlacementRequest) usage.PlacementReply
		moved func()
		news  func(nw topic.Update)
	}

	// violations are what was not as it must be, by kind. The zero value has none.
	violations struct {
		kinds []string
		count map[string]int
		first map[string]clock.Millis
	}

	// bubbleClock counts from the start of a synctest bubble.
	bubbleClock struct{ start time.Time }
)

func (bc bubbleClock) Now() clock.Millis { return clock.Of(time.Since(bc.start)) }

// recordIf notes a violation if there is one.
func (vi *violations) recordIf(is bool, at clock.Millis, kind string) {
	if !is {
		return
	}
	if vi.count == nil {
		vi.count, vi.first = make(map[string]int), make(map[string]clock.Millis)
	}
	if vi.count[kind] == 0 {
		vi.kinds = append(vi.kinds, kind)
		vi.first[kind] = at
	}
	vi.count[kind]++
}

// list tells each kind with how often it was, and when first.
func (vi *violations) list() (out []string) {
	for _, kind := range vi.kinds {
		out = append(out, fmt.Sprintf("%s: %d times, first at %v", kind, vi.count[kind], vi.first[kind]))
	}
	return out
}

func newNet(seed uint64) *simNet {
	return &simNet{seed: seed, clock: bubbleClock{time.Now()}, vms: make(map[string]*simVM), lives: make(map[string]uint64),
		blocked: make(map[[2]string]bool), extraDelay: make(map[string]time.Duration),
		lastArrival: make(map[[2]string]time.Time)}
}

// chance is a number in [0,1) that follows from the seed and the key.
func (sn *simNet) chance(key string, number uint64) float64 {
	raw := binary.LittleEndian.AppendUint64([]byte(key), sn.seed)
	raw = binary.LittleEndian.AppendUint64(raw, number)
	return float64(xxhash.Sum64(raw)>>11) / (1 << 53)
}

// vmName is the name of a VM of the fleet.
func vmName(ix int) string { return fmt.Sprintf("vm-%02d", ix) }

// listedVMs is the VMs as the store lists them.
func listedVMs() []board.VM {
	out := make([]board.VM, 0, netVMs)
	for ix := range netVMs {
		out = append(out, board.VM{VMRef: board.VMRef{ID: vmName(ix)}, FailureDomain: fmt.Sprint(ix % netDomains),
			Peer: fmt.Sprintf("10.0.0.%d:1", ix+1), Caller: fmt.Sprintf("10.0.1.%d:80", ix+1), Listed: true})
	}
	return out
}

// newVM makes a further life of a VM, which is not started yet.
func (sn *simNet) newVM(ctx context.Context, ix int, handlers simHandlers) *simVM {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	self := listedVMs()[ix]
	sn.lives[self.ID]++
	self.Incarnation = sn.lives[self.ID]
	vm := &simVM{net: sn, self: self, inbox: make(chan []byte, inboxDatagrams)}
	vm.ctx, vm.stop = context.WithCancel(ctx)
	vm.mb = &Member{Self: self, TopicName: "t", OnFleetSize: func(int) {}, OnSchedulersChange: orNoop(handlers.moved)}
	vm.fl = &Fleet{Self: self, Clock: sn.clock, Rand: rand.New(rand.NewPCG(sn.seed, uint64(ix)<<8|self.Incarnation)),
		Settings: membership.Settings{ProbeInterval: probeInterval, ProbeTimeout: probeInterval, ProbeDeadline: probeDeadline},
		OnUsage:  handlers.usage, OnPlacementRequest: handlers.place, OnTopicUpdate: handlers.news, OnViewChange: vm.mb.handleViewChange}
	vm.fl.Prepare()
	vm.mb.fleet = vm.fl
	step := vm.fl.members.Step
	vm.fl.members.Step = func(_ clock.Millis, ev membership.Event) []membership.Intent {
		vm.waitResumed() // the span of a freeze is a pause to membership
		return step(sn.clock.Now(), ev)
	}
	vm.fl.members.Execute = vm.handleIntent
	sn.vms[self.ID] = vm
	return vm
}

func orNoop(do func()) func() {
	if do == nil {
		return func() {}
	}
	return do
}

func (vm *simVM) start() {
	go vm.fl.members.Run(vm.ctx)
	go vm.receiveLoop()
	vm.fl.SetListed(vm.ctx, listedVMs())
}

// handleIntent sends by the simulated network, and leaves all else to the fleet.
func (vm *simVM) handleIntent(in membership.Intent) {
	if send, ok := in.(membership.Send); ok {
		vm.send(send.To.ID, send.Datagram)
		return
	}
	vm.fl.handleIntent(in)
}

// waitResumed waits while the VM is frozen, and tells whether it still lives.
func (vm *simVM) waitResumed() bool {
	for vm.ctx.Err() == nil {
		vm.mu.Lock()
		thaw := vm.resumed
		vm.mu.Unlock()
		if thaw == nil {
			return true
		}
		select {
		case <-thaw:
		case <-vm.ctx.Done():
		}
	}
	return false
}

// freeze stops a VM until the function that it returns is called: what comes
// waits, and nothing leaves.
func (vm *simVM) freeze() (thaw func()) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	ch := make(chan struct{})
	vm.resumed = ch
	return func() {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		vm.resumed, vm.resumedAt = nil, vm.net.clock.Now()
		close(ch)
	}
}

// frozenSince tells whether the VM is frozen, or was after a point.
func (vm *simVM) frozenSince(at clock.Millis) bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.resumed != nil || vm.resumedAt > at
}

// send sends a datagram as the transport does: numbered, encoded, and without
// word of whether it arrives.
func (vm *simVM) send(to string, dg *peerpb.Datagram) {
	if !vm.waitResumed() {
		return
	}
	vm.mu.Lock()
	vm.sequence++
	number := vm.sequence
	dg.From, dg.Incarnation, dg.Sequence = vm.self.ID, vm.self.Incarnation, number
	raw, err := proto.Marshal(dg)
	vm.mu.Unlock()
	if err != nil {
		panic(err)
	}
	vm.net.transmit(vm.self.ID, to, number, raw)
}

// transmit takes a millisecond or two, and what slow VMs add. Datagrams of one VM to
// another arrive in order unless some are lost.
func (sn *simNet) transmit(from, to string, number uint64, raw []byte) {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	path := [2]string{from, to}
	if sn.blocked[path] || sn.chance("lost "+from+to, number) < sn.loss {
		return
	}
	delay := time.Millisecond + time.Duration(sn.chance(from+to, number)*float64(time.Millisecond))
	at := time.Now().Add(delay + sn.extraDelay[from] + sn.extraDelay[to])
	if sn.loss == 0 && at.Before(sn.lastArrival[path]) {
		at = sn.lastArrival[path].Add(time.Microsecond)
	}
	sn.lastArrival[path] = at
	time.AfterFunc(time.Until(at), func() { sn.deliver(to, raw) })
}

// deliver hands a datagram to the life that a VM has by then.
func (sn *simNet) deliver(to string, raw []byte) {
	if vm := sn.vm(to); vm != nil && vm.ctx.Err() == nil {
		select {
		case vm.inbox <- raw:
		default: // a full buffer drops it
		}
	}
}

func (sn *simNet) vm(name string) *simVM {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	return sn.vms[name]
}

// receiveLoop takes datagrams one at a time.
func (vm *simVM) receiveLoop() {
	for {
		select {
		case <-vm.ctx.Done():
			return
		case raw := <-vm.inbox:
			if !vm.waitResumed() {
				return
			}
			var dg peerpb.Datagram
			if err := proto.Unmarshal(raw, &dg); err != nil {
				panic(err)
			}
			vm.handleDatagram(&dg)
		}
	}
}

// handleDatagram answers an ask and passes news on by the simulated network, and leaves
// all else to the fleet.
func (vm *simVM) handleDatagram(dg *peerpb.Datagram) {
	if ask := dg.GetPlaceAsk(); ask != nil {
		answer := placementReplyToWire(ask.GetNumber(), vm.fl.OnPlacementRequest(dg.GetFrom(), placementRequestFromWire(ask)))
		vm.send(dg.GetFrom(), &peerpb.Datagram{Body: &peerpb.Datagram_PlaceAnswer{PlaceAnswer: answer}})
		return
	}
	if gr := dg.GetForward(); gr != nil {
		dg.Forward = nil
		from := dg.GetFrom()
		for _, other := range vm.fl.broadcaster().alive(func(other board.VM) bool { return inGroup(gr, other) && other.ID != vm.self.ID && other.ID != from }) {
			vm.send(other.ID, proto.Clone(dg).(*peerpb.Datagram))
		}
	}
	vm.fl.handleDatagram(dg, netip.AddrPort{})
}

// Before is the VMs that are asked for a place.
func (vm *simVM) Before() (vms []string, here bool) {
	if vm.alwaysFirst {
		return nil, true
	}
	return vm.mb.Before()
}

// Ask asks a VM for a place by the simulated network.
func (vm *simVM) Ask(ctx context.Context, to string, ask usage.PlacementRequest) (usage.PlacementReply, error) {
	if !slices.ContainsFunc(vm.fl.Schedulers(), func(other board.VM) bool { return other.ID == to }) {
		return usage.PlacementReply{}, errNotScheduler
	}
	number, answer := vm.fl.placementRequests.register()
	defer vm.fl.placementRequests.remove(number)
	vm.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_PlaceAsk{PlaceAsk: placementRequestToWire(number, ask)}})
	select {
	case ans := <-answer:
		return ans, nil
	case <-ctx.Done():
		return usage.PlacementReply{}, ctx.Err()
	}
}

// reportUsage tells the schedulers what this VM has at the engines.
func (vm *simVM) reportUsage(rp usage.Report) {
	for _, to := range vm.fl.Schedulers() {
		if to.ID != vm.self.ID {
			vm.send(to.ID, &peerpb.Datagram{Body: &peerpb.Datagram_Usage{Usage: usageToWire(rp)}})
		}
	}
}

// block loses what goes from some VMs to others; back has it carried again.
func (sn *simNet) block(from, to []string) (back func()) {
	set := func(lost bool) {
		sn.mu.Lock()
		defer sn.mu.Unlock()
		for _, vm := range from {
			for _, other := range to {
				if vm != other {
					sn.blocked[[2]string{vm, other}] = lost
				}
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// slowDown adds a span to each datagram from and to a VM.
func (sn *simNet) slowDown(vm string, span time.Duration) {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	sn.extraDelay[vm] = span
}

// drawDistinct is some of the numbers below a count, each once, that follow from the seed.
func (sn *simNet) drawDistinct(some, count int) (out []int) {
	for number := uint64(0); len(out) < some; number++ {
		if at := int(sn.chance("drawn", number) * float64(count)); !slices.Contains(out, at) {
			out = append(out, at)
		}
	}
	return out
}

// setLoss loses a part of all datagrams, and lets others overtake each other.
func (sn *simNet) setLoss(part float64) {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	sn.loss = part
}

// allNames is the names of all VMs.
func allNames() []string {
	var out []string
	for ix := range netVMs {
		out = append(out, vmName(ix))
	}
	return out
}

// running lists the VMs that live.
func (sn *simNet) running() []*simVM {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	var out []*simVM
	for _, name := range allNames() {
		if vm := sn.vms[name]; vm != nil && vm.ctx.Err() == nil {
			out = append(out, vm)
		}
	}
	return out
}

// schedulerDisagreements tells of VMs that name other schedulers than the first VM does, or ones
// that do not live.
func (sn *simNet) schedulerDisagreements() (out []string) {
	list := sn.running()
	key := list[0].fl.schedulersKey()
	for _, vm := range list {
		if vm.fl.schedulersKey() != key {
			out = append(out, fmt.Sprintf("%s names %s, not %s", vm.self.ID, vm.fl.schedulersKey(), key))
		}
	}
	for rank := range schedulerCount {
		if vm := sn.scheduler(rank); vm.ctx.Err() != nil {
			out = append(out, fmt.Sprintf("%s is a scheduler and does not live", vm.self.ID))
		}
	}
	return out
}
