package slope

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	recordVMs     = 24   // seats of the fleet in which the memory of a record is measured
	claimRate     = 25.5 // new requests per second at one VM
	claimSpan     = 20   // seconds
	claimSeed     = 11
	recordsTarget = 31_000 // per VM: 9,700/s on 380 VMs, two seats each, kept for ten seconds of run and ten minutes after
)

var (
	duplicateRates = []int{0, 5, 10, 20, 35, 50}
	recordCounts   = []int{1000, 5000, 10_000, 20_000, 40_000}

	errNoVerdict    = errors.New("a claim got no verdict")
	errGrantedTwice = errors.New("a key was granted to two runners")
)

type (
	// claimFleet connects the claim books of a fleet directly, without a network.
	claimFleet struct {
		now   clock.Millis
		fleet *board.Fleet
		books map[string]*claim.Book
		seats *claim.SeatTable
		calls int // between different VMs
		bytes int // frames of these calls, requests and replies
		steps int
		seed  uint64
	}

	// claimRun is one request with its claim and its runner.
	claimRun struct {
		ak      *claim.Asker
		runner  board.VMRef
		verdict claim.Verdict
	}
)

// newClaimFleet creates the books of all VMs with a first seat table.
func newClaimFleet(vms int) *claimFleet {
	cf := &claimFleet{now: clock.Second, fleet: &board.Fleet{Quorate: true, Epoch: 1}, books: make(map[string]*claim.Book)}
	for ix := range vms {
		cf.fleet.VMs = append(cf.fleet.VMs, fleetVM(ix))
	}
	table := cf.seatTable()
	for _, vm := range cf.fleet.VMs {
		bk := &claim.Book{Self: vm.VMRef, FromLogStart: true}
		fl := *cf.fleet
		fl.Self = vm.VMRef
		bk.Step(cf.now, claim.TableAppended{Epoch: 1, Table: table})
		bk.Step(cf.now, claim.FleetChanged{Fleet: &fl})
		cf.books[vm.ID] = bk
		cf.seats = bk.Seats()
	}
	return cf
}

// seatTable returns a seat table with a seat for every VM.
func (cf *claimFleet) seatTable() *peerpb.SeatTable {
	out := &peerpb.SeatTable{}
	for _, vm := range cf.fleet.VMs {
		out.Seats = append(out.Seats, &peerpb.ClaimSeat{ID: vm.ID, Incarnation: vm.Incarnation, FailureDomain: vm.FailureDomain})
	}
	slices.SortFunc(out.Seats, func(sa, sb *peerpb.ClaimSeat) int { return cmp.Compare(sa.GetID(), sb.GetID()) })
	return out
}

// claimKey collects the grants of a key for a request at a VM until there is a verdict.
func (cf *claimFleet) claimKey(at board.VMRef, key string) (*claimRun, error) {
	cf.seed++
	cr := &claimRun{runner: at, ak: &claim.Asker{
		Self: at, Customer: "kedelsyn", Key: key, Fingerprint: make([]byte, fingerprintBytes),
		Keep: 10 * clock.Minute, Rand: rand.New(rand.NewPCG(claimSeed, cf.seed)),
	}}
	cf.execute(cr, cr.ak.Step(cf.now, claim.Begin{Seats: cf.seats, Fleet: cf.fleet}))
	if cr.verdict == "" {
		return nil, errNoVerdict
	}
	return cr, nil
}

// reportState sends the new state of a key to its seats.
func (cf *claimFleet) reportState(cr *claimRun, state claim.State) {
	cf.execute(cr, cr.ak.Step(cf.now, claim.StateChanged{State: state, DecodeServer: "rapportmodel-decode-41",
		EngineRequest: "kedelsyn/" + cr.ak.Key + "/1.0"}))
}

func (cf *claimFleet) execute(cr *claimRun, ins []claim.AskerIntent) {
	cf.steps++
	for _, in := range ins {
		switch in := in.(type) {
		case claim.SendAsk:
			reply := cf.askSeat(cr.runner, in)
			cf.execute(cr, cr.ak.Step(cf.now, claim.Replied{Number: in.Number, Reply: reply}))
		case claim.SendUpdate:
			cf.steps++
			cf.books[in.To.ID].Step(cf.now, claim.Updated{Update: in.Update})
			cf.countCall(cr.runner, in.To, &peerpb.Frame{Body: &peerpb.Frame_ClaimUpdate{ClaimUpdate: in.Update}}, doneFrame())
		case claim.Decided:
			cr.verdict = in.Verdict
		}
	}
}

func (cf *claimFleet) askSeat(from board.VMRef, in claim.SendAsk) *peerpb.ClaimReply {
	cf.steps++
	for _, out := range cf.books[in.To.ID].Step(cf.now, claim.Asked{Token: 1, Ask: in.Ask}) {
		if rp, ok := out.(claim.Reply); ok {
			cf.countCall(from, in.To,
				&peerpb.Frame{Body: &peerpb.Frame_ClaimAsk{ClaimAsk: in.Ask}},
				&peerpb.Frame{Body: &peerpb.Frame_ClaimReply{ClaimReply: rp.Reply}})
			return rp.Reply
		}
	}
	return nil
}

func (cf *claimFleet) countCall(from, to board.VMRef, ask, reply *peerpb.Frame) {
	if from != to {
		cf.calls++
		cf.bytes += proto.Size(ask) + proto.Size(reply)
	}
}

// measureClaims measures the cost of request keys at one VM, with duplicates at
// another VM, and the memory of the records that seats keep.
func measureClaims(_ context.Context, rp *Report) error {
	along := func(name, unit string, kind Kind) *Series {
		return rp.addSeries(Series{Name: name, Along: "duplicate keys/s", Unit: unit, Kind: kind, Shape: Linear, Target: 50})
	}
	calls := along("ClaimCalls", "calls/s that one VM makes", Count)
	size := along("ClaimFrameBytes", "B/s of frames that one VM sends and gets for them", Count)
	steps := along("ClaimSteps", "steps/s of asker and books", Count)
	took := along("ClaimTime", "us/s of asker and books", Time)
	for _, rate := range duplicateRates {
		cf := newClaimFleet(fleetTarget)
		span, err := cf.timeLoad(rate)
		if err != nil {
			return fmt.Errorf("at %d duplicates a second: %w", rate, err)
		}
		calls.addPoint(rate, float64(cf.calls)/claimSpan)
		size.addPoint(rate, float64(cf.bytes)/claimSpan)
		steps.addPoint(rate, float64(cf.steps)/claimSpan)
		took.addPoint(rate, span)
	}
	if err := measureSeats(rp); err != nil {
		return err
	}
	if err := measureHandoffs(rp); err != nil {
		return err
	}
	return measureRecords(rp)
}

// measureHandoffs replaces one VM's seat and counts the handoff calls of the other VMs
// when there are no records to hand over.
func measureHandoffs(rp *Report) error {
	along := func(name, unit string) *Series {
		return rp.addSeries(Series{Name: name, Along: "VMs with seats", Unit: unit, Kind: Count, Shape: Linear, Target: fleetTarget})
	}
	calls := along("HandoffCalls", "calls of one VM for each change of the seat table")
	size := along("HandoffFrameBytes", "B of their frames")
	table := along("SeatTableBytes", "B of the record of a seat table")
	for _, count := range memberCounts[1:] {
		cf := newClaimFleet(count)
		next := cf.seatTable()
		next.Base = 1
		next.Seats[0].Incarnation++
		table.addPoint(count, float64(proto.Size(next)))
		parts, bytes := 0, 0
		for _, bk := range cf.books {
			for _, in := range bk.Step(cf.now+clock.Second, claim.TableAppended{Epoch: 2, Table: next}) {
				if ho, ok := in.(claim.SendHandoff); ok {
					parts++
					bytes += proto.Size(&peerpb.Frame{Body: &peerpb.Frame_ClaimHandoff{ClaimHandoff: ho.Handoff}})
				}
			}
		}
		if parts == 0 {
			return errNoVerdict
		}
		calls.addPoint(count, float64(parts)/float64(count))
		size.addPoint(count, float64(bytes)/float64(count))
	}
	return nil
}

// timeLoad runs the load and returns its processor time, in microseconds per second of
// load.
func (cf *claimFleet) timeLoad(duplicates int) (float64, error) {
	began, err := processorTime()
	if err != nil {
		return 0, err
	}
	if err := cf.runLoad(duplicates); err != nil {
		return 0, err
	}
	ended, err := processorTime()
	if err != nil {
		return 0, err
	}
	return float64((ended - began).Microseconds()) / claimSpan, nil
}

// measureSeats measures the cost of request keys without duplicates in fleets of several
// sizes.
func measureSeats(rp *Report) error {
	along := func(name, unit string, kind Kind, shape Shape) *Series {
		return rp.addSeries(Series{Name: name, Along: "VMs with seats", Unit: unit, Kind: kind, Shape: shape, Target: fleetTarget})
	}
	calls := along("SeatCalls", "calls/s that one VM makes", Count, Constant)
	took := along("SeatTime", "us/s of asker and books", Time, Linear)
	for _, count := range memberCounts[1:] {
		cf := newClaimFleet(count)
		span, err := cf.timeLoad(0)
		if err != nil {
			return fmt.Errorf("at %d seats: %w", count, err)
		}
		calls.addPoint(count, float64(cf.calls)/claimSpan)
		took.addPoint(count, span)
	}
	return nil
}

// runLoad claims new keys at one VM, each of which decodes and completes, and sends
// duplicates of some of them to another VM.
func (cf *claimFleet) runLoad(duplicates int) error {
	first, second := cf.fleet.VMs[0].VMRef, cf.fleet.VMs[1].VMRef
	number := 0
	for sec := range claimSpan {
		cf.now += clock.Second
		fresh := int(math.Round(claimRate*float64(sec+1))) - number
		var runs []*claimRun
		for range fresh {
			number++
			cr, err := cf.claimKey(first, requestKey(number))
			if err != nil {
				return err
			}
			if cr.verdict != claim.Run {
				return errNoVerdict
			}
			runs = append(runs, cr)
			cf.reportState(cr, claim.Decoding)
		}
		for ix := range duplicates {
			cr, err := cf.claimKey(second, runs[ix%len(runs)].ak.Key)
			if err != nil {
				return err
			}
			if cr.verdict != claim.Follow {
				return errGrantedTwice
			}
		}
		for _, cr := range runs {
			cf.reportState(cr, claim.Complete)
		}
	}
	return nil
}

// measureRecords fills the books of a fleet with records and measures their memory.
func measureRecords(rp *Report) error {
	memory := rp.addSeries(Series{Name: "ClaimRecordMemory", Along: "records", Unit: "B", Kind: Memory, Shape: Linear, Target: recordsTarget})
	for _, count := range recordCounts {
		cf := newClaimFleet(recordVMs)
		empty := memoryInUse()
		records := 0
		for number := 0; records < count; number++ {
			cf.now += clock.Millis(1)
			cr, err := cf.claimKey(cf.fleet.VMs[number%recordVMs].VMRef, requestKey(number))
			if err != nil {
				return err
			}
			cf.reportState(cr, claim.Decoding)
			cf.reportState(cr, claim.Complete)
			records += 2
		}
		held := memoryInUse() - empty
		total := 0
		for _, bk := range cf.books {
			total += bk.Counts().Records
		}
		memory.addPoint(total, held)
		runtime.KeepAlive(cf)
	}
	return nil
}
