package slope

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/membership"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	domains = 8 // failure domains, in three regions
	regions = 3

	// Overhead of a datagram besides its message: the headers of IP and UDP, and the
	// MAC of internal/peer.
	headerBytes = 28
	macBytes    = 16

	// typicalSequence is the sequence number of a datagram after some days. It makes the
	// encoded size typical.
	typicalSequence = 1 << 20

	typicalIncarnation = 1764691200000 // milliseconds since the epoch
)

type (
	// virtualFleet exchanges datagrams between real detectors under virtual time, with
	// the delays of three regions and without loss.
	virtualFleet struct {
		now    clock.Millis
		rnd    *rand.Rand
		vms    []*virtualVM
		byID   map[string]*virtualVM
		events eventQueue
		seq    int
		steps  int

		secondEnds    clock.Millis // end of the current second
		peakBytes     int          // maximum bytes of any VM in one second
		peakDatagrams int          // maximum datagrams of any VM in one second
	}

	virtualVM struct {
		dt              *membership.Detector
		self            board.VM
		up              bool
		tickAt          clock.Millis
		fleet           *board.Fleet
		quorumUntil     clock.Millis
		messages        int
		bytes           int
		secondBytes     int
		secondDatagrams int
	}

	scheduledEvent struct {
		at  clock.Millis
		seq int
		vm  *virtualVM
		ev  membership.Event
	}

	eventQueue []scheduledEvent
)

func (ar eventQueue) Len() int { return len(ar) }
func (ar eventQueue) Less(ia, ib int) bool {
	if ar[ia].at != ar[ib].at {
		return ar[ia].at < ar[ib].at
	}
	return ar[ia].seq < ar[ib].seq
}
func (ar eventQueue) Swap(ia, ib int) { ar[ia], ar[ib] = ar[ib], ar[ia] }

// Push implements [heap.Interface].
func (ar *eventQueue) Push(item any) { *ar = append(*ar, item.(scheduledEvent)) }

// Pop implements [heap.Interface].
func (ar *eventQueue) Pop() any {
	old := *ar
	last := old[len(old)-1]
	*ar = old[:len(old)-1]
	return last
}

// fleetVM returns the VM with the given index in a large fleet.
func fleetVM(ix int) board.VM {
	domain := ix % domains
	return board.VM{
		VMRef:         board.VMRef{ID: fmt.Sprintf("domain-%d-%03d", domain, ix), Incarnation: typicalIncarnation},
		FailureDomain: fmt.Sprintf("domain-%d", domain),
		Region:        fmt.Sprintf("region-%d", domain%regions),
		Caller:        fmt.Sprintf("10.%d.0.%d:8443", domain, ix%250),
		Peer:          fmt.Sprintf("10.%d.0.%d:7400", domain, ix%250),
		Listed:        true,
	}
}

// newVirtualFleet starts all VMs at once with the whole VM list.
func newVirtualFleet(size int, seed uint64) *virtualFleet {
	vf := &virtualFleet{rnd: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*virtualVM)}
	var list []board.VM
	for ix := range size {
		vm := &virtualVM{self: fleetVM(ix), up: true}
		vm.dt = &membership.Detector{Self: vm.self, Rand: rand.New(rand.NewPCG(seed, uint64(ix)+2))}
		vf.vms = append(vf.vms, vm)
		vf.byID[vm.self.ID] = vm
		list = append(list, vm.self)
	}
	for _, vm := range vf.vms {
		vf.step(vm, membership.Listed{VMs: list})
	}
	return vf
}

// run advances the time by the span, or until the condition holds, which is checked ten
// times per second. It reports whether the condition held.
func (vf *virtualFleet) run(span clock.Millis, until func() bool) bool {
	end, nextCheck := vf.now+span, vf.now
	for len(vf.events) > 0 && vf.events[0].at <= end {
		ar := heap.Pop(&vf.events).(scheduledEvent)
		vf.now = max(vf.now, ar.at)
		vf.updatePeaks()
		if until != nil && vf.now >= nextCheck {
			if until() {
				return true
			}
			nextCheck = vf.now + clock.Second/10
		}
		vf.deliver(ar)
	}
	vf.now = end
	return false
}

func (vf *virtualFleet) deliver(ar scheduledEvent) {
	if !ar.vm.up {
		return
	}
	switch ev := ar.ev.(type) {
	case membership.Tick:
		if ar.at < ar.vm.tickAt {
			return // replaced by a later Wake
		}
		ar.vm.tickAt = 0
	case membership.Received:
		ar.vm.count(ev.Datagram)
	}
	vf.step(ar.vm, ar.ev)
}

func (vf *virtualFleet) step(vm *virtualVM, ev membership.Event) {
	vf.steps++
	for _, in := range vm.dt.Step(vf.now, ev) {
		switch in := in.(type) {
		case membership.Send:
			vf.send(vm, in)
		case membership.FleetChanged:
			vm.fleet = in.Fleet
		case membership.QuorumDeadline:
			vm.quorumUntil = in.Until
		case membership.Wake:
			if vm.tickAt == 0 || in.At < vm.tickAt {
				vm.tickAt = in.At
				vf.schedule(in.At, vm, membership.Tick{})
			}
		}
	}
}

func (vf *virtualFleet) send(from *virtualVM, in membership.Send) {
	in.Datagram.Sequence = typicalSequence
	from.count(in.Datagram)
	to, ok := vf.byID[in.To.ID]
	if !ok {
		return
	}
	delay := clock.Millis(1 + vf.rnd.Int64N(2))
	if to.self.Region != from.self.Region {
		delay += 10
	}
	vf.schedule(vf.now+delay, to, membership.Received{Datagram: in.Datagram})
}

func (vf *virtualFleet) schedule(at clock.Millis, vm *virtualVM, ev membership.Event) {
	vf.seq++
	heap.Push(&vf.events, scheduledEvent{at: at, seq: vf.seq, vm: vm, ev: ev})
}

// count counts a datagram that the VM sent or received.
func (vm *virtualVM) count(dg *peerpb.Datagram) {
	size := proto.Size(dg) + headerBytes + macBytes
	vm.messages++
	vm.bytes += size
	vm.secondDatagrams++
	vm.secondBytes += size
}

// updatePeaks updates the peaks at the end of each second.
func (vf *virtualFleet) updatePeaks() {
	if vf.now < vf.secondEnds {
		return
	}
	vf.secondEnds = vf.now + clock.Second
	for _, vm := range vf.vms {
		vf.peakBytes = max(vf.peakBytes, vm.secondBytes)
		vf.peakDatagrams = max(vf.peakDatagrams, vm.secondDatagrams)
		vm.secondBytes, vm.secondDatagrams = 0, 0
	}
}

// resetCounts resets all counts and peaks.
func (vf *virtualFleet) resetCounts() {
	vf.steps, vf.peakBytes, vf.peakDatagrams, vf.secondEnds = 0, 0, 0, vf.now+clock.Second
	for _, vm := range vf.vms {
		vm.messages, vm.bytes, vm.secondBytes, vm.secondDatagrams = 0, 0, 0, 0
	}
}

// meanTraffic returns the datagrams and bytes, sent and received, per live VM.
func (vf *virtualFleet) meanTraffic() (messages, bytes float64) {
	live := 0
	for _, vm := range vf.vms {
		if vm.up {
			live++
			messages += float64(vm.messages)
			bytes += float64(vm.bytes)
		}
	}
	return messages / float64(live), bytes / float64(live)
}

// healthAgreed reports whether every live VM sees exactly the failed VMs as Dead.
func (vf *virtualFleet) healthAgreed() bool {
	for _, vm := range vf.vms {
		if !vm.up {
			continue
		}
		if vm.fleet == nil || len(vm.fleet.VMs) != len(vf.vms) {
			return false
		}
		for _, seen := range vm.fleet.VMs {
			if (seen.Health == board.Dead) == vf.byID[seen.ID].up {
				return false
			}
		}
	}
	return true
}

// allQuorate reports whether every live VM reaches a majority.
func (vf *virtualFleet) allQuorate() bool {
	for _, vm := range vf.vms {
		if vm.up && vm.quorumUntil <= vf.now {
			return false
		}
	}
	return true
}

// loseDomain fails all VMs of a failure domain and returns their number.
func (vf *virtualFleet) loseDomain(domain string) int {
	lost := 0
	for _, vm := range vf.vms {
		if vm.up && vm.self.FailureDomain == domain {
			vm.up = false
			lost++
		}
	}
	return lost
}
