package claim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const testCustomer = "kedelsyn"

type (
	// scenario describes the events that may happen in a world.
	scenario struct {
		key         string
		start       []board.VM          // VMs of the first table
		joiners     []board.VM          // VMs that run from the start but have no seat in the first table
		tables      []*peerpb.SeatTable // records of the log after the first
		askers      []string            // IDs of the VMs that ask for the key
		idempotent  bool                // whether the request is idempotent
		reports     bool                // runners report to the seats that they dispatched and completed
		timeouts    int                 // number of asks that may be abandoned while their messages are in transit
		crashes     int                 // number of VMs that may crash
		confirms    bool                // runners confirm their claim before they dispatch
		falseDeaths int                 // number of times that an asker may consider live runners dead
		victims     []string            // VMs that may crash; all if empty
		dead        []board.VMRef       // VMs that are dead from the start
		stale       []board.VMRef       // VMs that never learn a later table
		patience    clock.Millis        // of the askers
		disabled    guard               // guards that are disabled
	}

	// member is one VM of a world.
	member struct {
		vm         board.VM
		bk         *Book
		dead       bool
		tablesRead int    // number of tables read
		digestLine string // the part of the digest that describes bk
	}

	// search is one asker with its own clock.
	search struct {
		ak          *Asker
		rnd         *rand.PCG
		memberIndex int // of the VM on which it runs
		now         clock.Millis
		othersDead  bool // considers all other runners dead
		hasClaim    bool // has the claim and must still confirm it
		verdicts    []Decided
		digestLine  string // the part of the digest that describes ak
	}

	// packet is one message in transit.
	packet struct {
		to         board.VMRef
		asker      int // of an ask or a reply
		number     uint64
		body       proto.Message
		digestLine string // the part of the digest that describes the message
	}

	// world is one state of a scenario.
	world struct {
		sc          *scenario
		members     []member
		searches    []search
		packets     []packet
		dispatches  int // number of times that the request was sent to a backend server
		falseNotRun int // refusals that said NotRun after a dispatch
		timeouts    int
		crashes     int
		falseDeaths int
	}

	// move is one step that a world can take.
	move struct {
		kind  string
		index int
	}
)

func vm(id, domain string, incarnation uint64) board.VM {
	return board.VM{VMRef: board.VMRef{ID: id, Incarnation: incarnation}, FailureDomain: domain}
}

func table(base uint64, vms ...board.VM) *peerpb.SeatTable {
	tb := &peerpb.SeatTable{Base: base}
	for _, vm := range vms {
		tb.Seats = append(tb.Seats, &peerpb.ClaimSeat{
			ID: vm.ID, Incarnation: vm.Incarnation, FailureDomain: vm.FailureDomain,
		})
	}
	return tb
}

func newWorld(sc *scenario) *world {
	wd := &world{sc: sc, timeouts: sc.timeouts, crashes: sc.crashes, falseDeaths: sc.falseDeaths}
	for _, vm := range slices.Concat(sc.start, sc.joiners) {
		bk := &Book{Self: vm.VMRef, FromLogStart: true, disabled: sc.disabled}
		bk.Step(0, TableAppended{Epoch: 1, Table: table(0, sc.start...)})
		wd.members = append(wd.members, member{vm: vm, bk: bk, dead: slices.Contains(sc.dead, vm.VMRef)})
	}
	for ix, id := range sc.askers {
		at := slices.IndexFunc(wd.members, func(mb member) bool { return mb.vm.ID == id })
		pcg := rand.NewPCG(uint64(ix), 7)
		ak := &Asker{
			Self: wd.members[at].vm.VMRef, Customer: testCustomer, Key: sc.key, Fingerprint: []byte("print"),
			Idempotent: sc.idempotent, Keep: clock.Minute, Patience: sc.patience, Rand: rand.New(pcg),
			disabled: sc.disabled,
		}
		wd.searches = append(wd.searches, search{ak: ak, rnd: pcg, memberIndex: at})
		wd.stepAsker(ix, Begin{Seats: wd.members[at].bk.Seats(), Fleet: wd.fleet(false, at)})
	}
	return wd
}

// fleet returns a VM's view: all VMs alive, or all others dead.
func (wd *world) fleet(othersDead bool, at int) *board.Fleet {
	fl := &board.Fleet{Quorate: true}
	for ix, mb := range wd.members {
		vm := mb.vm
		if othersDead && ix != at {
			vm.Health = board.Dead
		}
		fl.VMs = append(fl.VMs, vm)
	}
	return fl
}

func (wd *world) stepAsker(ix int, ev AskerEvent) {
	sr := &wd.searches[ix]
	sr.copyState()
	defer sr.updateDigest()
	for _, in := range sr.ak.Step(sr.now, ev) {
		switch in := in.(type) {
		case SendAsk:
			wd.send(packet{to: in.To, asker: ix, number: in.Number, body: in.Ask})
		case SendUpdate:
			wd.send(packet{to: in.To, body: in.Update})
		case Decided:
			wd.recordDecision(sr, in)
		case Wake:
		}
	}
}

func (wd *world) recordDecision(sr *search, dc Decided) {
	if wd.sc.confirms && dc.Verdict == Run && !sr.hasClaim {
		sr.hasClaim = true
		return
	}
	sr.verdicts = append(sr.verdicts, dc)
	if dc.Verdict == Run || (dc.Verdict == TakeOver && wd.sc.idempotent) {
		wd.dispatches++
		wd.reportStates(sr)
	}
	if dc.Ran == refusal.NotRun && dc.Verdict != Reused && wd.dispatches > 0 {
		wd.falseNotRun++
	}
}

func (wd *world) reportStates(sr *search) {
	if !wd.sc.reports {
		return
	}
	for _, state := range []State{Dispatched, Complete} {
		for _, in := range sr.ak.Step(sr.now, StateChanged{State: state}) {
			up := in.(SendUpdate)
			wd.send(packet{to: up.To, body: up.Update})
		}
	}
}

func (wd *world) stepBook(at int, ev Event, from packet) {
	mb := &wd.members[at]
	mb.bk = cloneBook(mb.bk)
	defer mb.updateDigest()
	for _, in := range mb.bk.Step(0, ev) {
		switch in := in.(type) {
		case Reply:
			wd.send(packet{to: wd.members[wd.searches[from.asker].memberIndex].vm.VMRef, asker: from.asker, number: from.number, body: in.Reply})
		case SendHandoff:
			wd.send(packet{to: in.To, body: in.Handoff})
		case Propose, Wake:
		}
	}
}

func (wd *world) send(pk packet) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(pk.body)
	if err != nil {
		panic(err)
	}
	pk.digestLine = string(append(appendNumbers(appendRef(nil, pk.to), uint64(pk.asker), pk.number), raw...))
	wd.packets = append(wd.packets, pk)
}

func (wd *world) liveMember(ref board.VMRef) int {
	return slices.IndexFunc(wd.members, func(mb member) bool { return mb.vm.VMRef == ref && !mb.dead })
}

// moves returns all possible next steps.
func (wd *world) moves() []move {
	var out []move
	for ix := range wd.packets {
		out = append(out, move{"deliver", ix})
	}
	for ix, mb := range wd.members {
		if mb.dead {
			continue
		}
		if mb.tablesRead < len(wd.sc.tables) && !slices.Contains(wd.sc.stale, mb.vm.VMRef) {
			out = append(out, move{"table", ix})
		}
		if wd.crashes > 0 && (len(wd.sc.victims) == 0 || slices.Contains(wd.sc.victims, mb.vm.ID)) {
			out = append(out, move{"crash", ix})
		}
	}
	for ix := range wd.searches {
		out = append(out, wd.askerMoves(ix)...)
	}
	return out
}

func (wd *world) askerMoves(ix int) []move {
	var out []move
	sr := &wd.searches[ix]
	if wd.members[sr.memberIndex].dead {
		return nil
	}
	if sr.ak.phase == backingOff || sr.ak.phase == confirmingLater {
		out = append(out, move{"retry", ix})
	}
	if sr.ak.phase == decided && sr.hasClaim && len(sr.verdicts) == 0 {
		out = append(out, move{"confirm", ix})
	}
	if sr.ak.phase != asking && sr.ak.phase != confirming {
		return out
	}
	if wd.timeouts > 0 && sr.ak.tallyReplies().waiting > 0 {
		out = append(out, move{"timeout", ix})
	}
	if wd.falseDeaths > 0 && !sr.othersDead {
		out = append(out, move{"falseDeath", ix})
	}
	return out
}

func (wd *world) take(mv move) {
	switch mv.kind {
	case "deliver":
		pk := wd.packets[mv.index]
		wd.packets = slices.Delete(wd.packets, mv.index, mv.index+1)
		wd.deliver(pk)
	case "table":
		mb := &wd.members[mv.index]
		mb.tablesRead++
		wd.stepBook(mv.index, TableAppended{Epoch: uint64(mb.tablesRead) + 1, Table: wd.sc.tables[mb.tablesRead-1]}, packet{})
		for ix := range wd.searches {
			if wd.searches[ix].memberIndex == mv.index {
				wd.stepAsker(ix, ViewChanged{Seats: mb.bk.Seats()})
			}
		}
	case "crash":
		wd.crashes--
		wd.members[mv.index].dead = true
	case "retry":
		wd.searches[mv.index].now = wd.searches[mv.index].ak.retryAt
		wd.stepAsker(mv.index, AskerTick{})
	case "confirm":
		sr := &wd.searches[mv.index]
		wd.stepAsker(mv.index, Revalidate{Seats: wd.members[sr.memberIndex].bk.Seats(), Fleet: wd.fleet(sr.othersDead, sr.memberIndex)})
	case "timeout":
		wd.timeouts--
		asks := wd.searches[mv.index].ak.asks
		wd.stepAsker(mv.index, AskFailed{asks[len(asks)-1].number})
	case "falseDeath":
		wd.falseDeaths--
		sr := &wd.searches[mv.index]
		sr.othersDead = true
		wd.stepAsker(mv.index, ViewChanged{Fleet: wd.fleet(true, sr.memberIndex)})
	}
}

func (wd *world) deliver(pk packet) {
	at := wd.liveMember(pk.to)
	ask, isAsk := pk.body.(*peerpb.ClaimAsk)
	if at < 0 {
		if isAsk && !wd.members[wd.searches[pk.asker].memberIndex].dead {
			wd.stepAsker(pk.asker, AskFailed{pk.number})
		}
		return
	}
	switch body := pk.body.(type) {
	case *peerpb.ClaimAsk:
		wd.stepBook(at, Asked{Ask: ask}, pk)
	case *peerpb.ClaimReply:
		wd.stepAsker(pk.asker, Replied{Number: pk.number, Reply: body})
	case *peerpb.ClaimUpdate:
		wd.stepBook(at, Updated{body}, pk)
	case *peerpb.ClaimHandoff:
		wd.stepBook(at, HandedOff{body}, pk)
	}
}

// undecided counts the askers at live VMs that have no verdict.
func (wd *world) undecided() int {
	count := 0
	for _, sr := range wd.searches {
		if !wd.members[sr.memberIndex].dead && len(sr.verdicts) == 0 {
			count++
		}
	}
	return count
}

// clone copies the world. Books and askers are copied only when they step.
func (wd *world) clone() *world {
	out := *wd
	out.members = slices.Clone(wd.members)
	out.searches = slices.Clone(wd.searches)
	out.packets = slices.Clone(wd.packets)
	return &out
}

func (sr *search) copyState() {
	ak, pcg := *sr.ak, *sr.rnd
	ak.asks = slices.Clone(ak.asks)
	ak.Rand = rand.New(&pcg)
	sr.ak, sr.rnd, sr.verdicts = &ak, &pcg, slices.Clone(sr.verdicts)
}

func cloneBook(bk *Book) *Book {
	out := *bk
	out.recs = records{byName: map[name]*record{}, buckets: map[clock.Millis][]name{}, nextBucket: bk.recs.nextBucket}
	for nm, rc := range bk.recs.byName {
		cp := *rc
		if rc.superseded != nil {
			was := *rc.superseded
			cp.superseded = &was
		}
		out.recs.byName[nm] = &cp
	}
	for at, names := range bk.recs.buckets {
		out.recs.buckets[at] = slices.Clone(names)
	}
	out.learnedAt = maps.Clone(bk.learnedAt)
	out.handedOff = maps.Clone(bk.handedOff)
	out.received = map[uint64]map[board.VMRef]bool{}
	for epoch, refs := range bk.received {
		out.received[epoch] = maps.Clone(refs)
	}
	out.partialHandoffs = map[handoffSource]*partialHandoff{}
	for src, ph := range bk.partialHandoffs {
		out.partialHandoffs[src] = &partialHandoff{ph.sending, maps.Clone(ph.parts)}
	}
	out.counts = Counts{}
	return &out
}

// updateDigest encodes what distinguishes this book's state from other states.
func (mb *member) updateDigest() {
	var buf []byte
	for _, nm := range slices.SortedFunc(maps.Keys(mb.bk.recs.byName), compareNames) {
		buf = appendRecord(buf, mb.bk.recs.byName[nm])
	}
	for _, epoch := range slices.Sorted(maps.Keys(mb.bk.received)) {
		buf = appendNumbers(buf, epoch)
		for _, ref := range slices.SortedFunc(maps.Keys(mb.bk.received[epoch]), compareRefs) {
			buf = appendRef(buf, ref)
		}
		buf = append(buf, '=', boolByte(mb.bk.handedOff[epoch]))
	}
	mb.digestLine = string(buf)
}

// updateDigest encodes what distinguishes this asker's state from other states.
func (sr *search) updateDigest() {
	ak := sr.ak
	buf := []byte{boolByte(sr.othersDead), boolByte(sr.hasClaim)}
	buf = appendNumbers(buf, uint64(sr.now), uint64(ak.phase), uint64(ak.round), ak.claim, ak.lastNumber,
		uint64(ak.supersedeCount), ak.superseded.GetClaim(), uint64(len(sr.verdicts)))
	for _, ref := range ak.group {
		buf = appendRef(buf, ref)
	}
	for _, sa := range ak.asks {
		buf = append(buf, '/', boolByte(sa.failed))
		buf = appendNumbers(buf, sa.number, sa.reply.GetClaim())
		buf = append(append(append(buf, sa.reply.GetVerdict()...), ' '), sa.reply.GetState()...)
	}
	buf = append(append(buf, '/'), ak.lastState.State...)
	sr.digestLine = string(buf)
}

// digest identifies the state. Messages in transit are an unordered set.
func (wd *world) digest() [2]uint64 {
	buf := []byte{byte(wd.dispatches), byte(wd.timeouts), byte(wd.crashes), byte(wd.falseDeaths)}
	for _, mb := range wd.members {
		buf = append(buf, '|', byte(mb.tablesRead), boolByte(mb.dead))
		buf = append(buf, mb.digestLine...)
	}
	for _, sr := range wd.searches {
		buf = append(buf, '|')
		buf = append(buf, sr.digestLine...)
	}
	lines := make([]string, len(wd.packets))
	for ix, pk := range wd.packets {
		lines[ix] = pk.digestLine
	}
	slices.Sort(lines)
	for _, line := range lines {
		buf = append(append(buf, line...), '\n')
	}
	return [2]uint64{xxhash.Sum64(buf), xxhash.Sum64(append(buf, '#'))}
}

func boolByte(is bool) byte {
	if is {
		return 1
	}
	return 0
}

func appendRecord(buf []byte, rc *record) []byte {
	for ; rc != nil; rc = rc.superseded {
		buf = append(append(buf, '/'), rc.state...)
		buf = appendNumbers(buf, rc.claim, uint64(rc.attempt))
		buf = appendRef(buf, rc.runner)
	}
	return buf
}

func appendRef(buf []byte, ref board.VMRef) []byte {
	buf = append(append(buf, '{'), ref.ID...)
	return appendNumbers(buf, ref.Incarnation)
}

// appendNumbers appends numbers with delimiters, so that different lists never encode
// alike.
func appendNumbers(buf []byte, numbers ...uint64) []byte {
	for _, num := range numbers {
		buf = append(strconv.AppendUint(buf, num, 36), ' ')
	}
	return buf
}

func (mv move) String() string { return fmt.Sprintf("%s %d", mv.kind, mv.index) }
