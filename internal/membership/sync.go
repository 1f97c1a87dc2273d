package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	syncBuckets     = 64                    // into which a table is split for comparison
	syncTimeout     = 500 * clock.Millis(1) // for one reply
	maxSequenceSize = 10                    // encoded bytes of the transport's Sequence
	maxSyncPages    = 80                    // consecutive replies from one VM
	syncQuietPeriod = 2 * clock.Second      // without a change before tables are compared, so that gossip can finish first
	joinPeriod      = 10 * clock.Second     // after the start, in which tables are compared without the quiet period
)

// syncer compares tables with other VMs, to learn the whole fleet at the start and to
// repair what gossip missed later.
type syncer struct {
	stale         bool // the digests below must be recomputed
	computed      bool // the digests were computed at least once
	total         uint64
	bucketDigests [syncBuckets]uint32
	changed       clock.Millis // when the digests last changed
	awaiting      string       // ID of the VM whose reply is awaited
	deadline      clock.Millis
	notBefore     clock.Millis // earliest start of the next comparison
	pages         int
}

// digest returns the digest over all VMs that may be alive.
func (dt *Detector) digest() uint64 {
	dt.computeDigests()
	return dt.syncer.total
}

// computeDigests computes the digests over the VMs that may be alive, including this one.
func (dt *Detector) computeDigests() {
	sy := &dt.syncer
	if sy.computed && !sy.stale {
		return
	}
	sy.stale, sy.computed = false, true
	before := sy.total
	sy.total = 0
	sy.bucketDigests = [syncBuckets]uint32{}
	fold := func(vm board.VM, leaving bool) {
		vm.Leaving = leaving
		hash := hashVM(vm)
		sy.total ^= hash
		sy.bucketDigests[bucketOf(vm.ID)] ^= uint32(hash)
	}
	fold(dt.Self, dt.leaving)
	for _, mb := range dt.table.members {
		if mb.maybeAlive() {
			fold(mb.vm, mb.leaving)
		}
	}
	if sy.total != before {
		sy.changed = dt.now
	}
}

func bucketOf(id string) int { return int(hashOf(id) % syncBuckets) }

// hashOf returns the hash of a VM's ID. It is never zero, which stands for no VM.
func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) | 1<<31 }

// startSync starts a comparison with a VM whose digest differs.
func (dt *Detector) startSync(mb *member) {
	joining := dt.joining()
	if dt.syncer.awaiting != "" || dt.now < dt.syncer.notBefore {
		return
	}
	if !joining && dt.now-dt.syncer.changed < syncQuietPeriod {
		return
	}
	dt.syncer.pages = 0
	half := dt.Settings.SyncInterval / 2
	dt.syncer.notBefore = dt.now + half + clock.Millis(dt.Rand.Int64N(int64(half)+1))
	if joining {
		dt.syncer.notBefore = dt.now + syncTimeout
	}
	dt.requestSync(mb)
}

// joining reports whether this VM is new or listed VMs were never reached.
func (dt *Detector) joining() bool {
	return dt.now-dt.startedAt < joinPeriod || slices.ContainsFunc(dt.table.members, func(mb *member) bool {
		return !mb.observed && mb.missedProbes < maxJoinProbes
	})
}

// requestSync requests the members of the buckets that differ at another VM.
func (dt *Detector) requestSync(mb *member) {
	dt.computeDigests()
	dt.Counters.Syncs++
	dt.syncer.pages++
	dt.syncer.awaiting = mb.vm.ID
	dt.syncer.deadline = dt.now + syncTimeout
	dt.send(mb, &peerpb.Datagram{Body: &peerpb.Datagram_SyncAsk{SyncAsk: &peerpb.SyncAsk{
		Buckets: append([]uint32(nil), dt.syncer.bucketDigests[:]...),
		Start:   uint32(dt.Rand.IntN(syncBuckets)),
	}}})
}

// expireSync stops waiting for a lost reply; the next ack may start a new comparison.
func (dt *Detector) expireSync() {
	if dt.syncer.awaiting != "" && dt.now >= dt.syncer.deadline {
		dt.syncer.awaiting = ""
		dt.syncer.notBefore = dt.now
	}
}

// replySync sends the members of the differing buckets, as many as fit.
func (dt *Detector) replySync(from *member, ask *peerpb.SyncAsk) {
	if len(ask.GetBuckets()) != syncBuckets {
		dt.Counters.Ignored++
		return
	}
	dt.computeDigests()
	start := int(ask.GetStart() % syncBuckets)
	var differing [syncBuckets][]*peerpb.Rumour
	for _, rr := range dt.allRumours() {
		bk := bucketOf(rr.GetVM())
		if ask.GetBuckets()[bk] != dt.syncer.bucketDigests[bk] && rr.GetVM() != from.vm.ID {
			differing[bk] = append(differing[bk], rr)
		}
	}
	dg := &peerpb.Datagram{Body: &peerpb.Datagram_SyncReply{SyncReply: &peerpb.SyncReply{}}}
	ends := proto.Size(&peerpb.Datagram{From: dt.Self.ID, Incarnation: dt.Self.Incarnation, To: from.vm.ID})
	room := dt.Settings.MaxDatagram - proto.Size(dg) - ends - maxSequenceSize
	for ix := range syncBuckets {
		for _, rr := range differing[(start+ix)%syncBuckets] {
			room = dt.appendRumour(dg, room, rr)
		}
	}
	dt.send(from, dg)
}

// allRumours returns everything that this VM can report about the fleet.
func (dt *Detector) allRumours() []*peerpb.Rumour {
	all := []*peerpb.Rumour{dt.selfRumour()}
	for _, mb := range dt.table.members {
		if mb.observed && !mb.localOnly && mb.vm.Health != board.Left {
			all = append(all, dt.memberRumour(mb, 0, true))
		}
	}
	return all
}

// handleSyncReply requests more from the same VM while its replies contain new rumours.
func (dt *Detector) handleSyncReply(from *member, news bool) {
	if dt.syncer.awaiting != from.vm.ID {
		return
	}
	dt.syncer.awaiting = ""
	if news && dt.syncer.pages < maxSyncPages {
		dt.requestSync(from)
	}
}
