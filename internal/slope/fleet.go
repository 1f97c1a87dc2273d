package slope

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"alderdyke/internal/board"
	"alderdyke/internal/entry"
	"alderdyke/internal/standin/deployment"
	"alderdyke/pkg/clock"
)

const (
	idleSettle       = 8 * clock.Second
	idleSpan         = 12 * clock.Second
	discoveryTimeout = 60 * clock.Second
	discoveryPoll    = 100 * clock.Millis(1)
	shortLinger      = 500 * clock.Millis(1)
	realTarget       = 96 // VMs in one process
)

var (
	realCounts = []int{3, 6, 12, 24, 48, 96}

	errDiscoveryTimeout = errors.New("timeout: the VMs did not discover each other")
)

type (
	// realFleet runs real VMs, and the stand-ins that they need, in this process.
	realFleet struct {
		dp     *deployment.Deployment
		vms    []*entry.VM
		scopes []tally.TestScope
		stop   context.CancelFunc
		group  *errgroup.Group
	}

	// idleSeries is what one real VM spends without requests.
	idleSeries struct{ time, allocs, memory, datagrams, frames *Series }
)

// measureFleet runs real VMs without requests. Processor time, objects and memory are
// those of the whole process, including the stand-ins. The slope is therefore the cost
// of one more VM plus that of answering its polls.
func measureFleet(ctx context.Context, rp *Report) error {
	along := func(name, unit string, kind Kind, shape Shape) *Series {
		return rp.addSeries(Series{Name: name, Along: "VMs", Unit: unit, Kind: kind, Shape: shape, Target: realTarget})
	}
	rs := idleSeries{
		time:      along("RestTime", "us/s of processor time of the process", Time, Linear),
		allocs:    along("RestAllocations", "objects/s of the process", Count, Linear),
		memory:    along("RestMemory", "B of the process", Memory, Linear),
		datagrams: along("RestDatagramBytes", "B/s of datagrams of a VM, sent and received, without headers", Count, Logarithmic),
		frames:    along("RestFrameBytes", "B/s over TCP between VMs of a VM, sent and received", Count, Constant),
	}
	for _, count := range realCounts {
		if err := rs.measure(ctx, count); err != nil {
			return fmt.Errorf("at %d VMs: %w", count, err)
		}
	}
	return nil
}

func (rs idleSeries) measure(ctx context.Context, count int) error {
	empty := memoryInUse()
	rf, err := startFleet(ctx, count)
	if err != nil {
		return err
	}
	err = rs.measureIdle(ctx, rf, empty)
	return errors.Join(err, rf.close())
}

func (rs idleSeries) measureIdle(ctx context.Context, rf *realFleet, empty float64) error {
	if err := rf.awaitDiscovery(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, idleSettle); err != nil {
		return err
	}
	count := len(rf.vms)
	datagrams, frames, objects := rf.sumCounters("PeerDatagramBytes"), rf.sumCounters("PeerBytes"), allocations()
	began, err := processorTime()
	if err != nil {
		return err
	}
	if err := sleep(ctx, idleSpan); err != nil {
		return err
	}
	ended, err := processorTime()
	if err != nil {
		return err
	}
	rs.time.addPoint(count, float64((ended-began).Microseconds())/seconds(idleSpan))
	rs.allocs.addPoint(count, (allocations()-objects)/seconds(idleSpan))
	per := seconds(idleSpan) * float64(count)
	rs.datagrams.addPoint(count, (rf.sumCounters("PeerDatagramBytes")-datagrams)/per)
	rs.frames.addPoint(count, (rf.sumCounters("PeerBytes")-frames)/per)
	rs.memory.addPoint(count, memoryInUse()-empty)
	return nil
}

// startFleet starts the stand-ins and the given number of VMs.
func startFleet(ctx context.Context, count int) (*realFleet, error) {
	ctx, stop := context.WithCancel(ctx)
	rf := &realFleet{stop: stop, group: &errgroup.Group{}}
	rf.dp = &deployment.Deployment{Model: "rapportmodel", Prefill: 4, Decode: 8, PlainService: "feltapp", Plain: 4, Hosts: hosts(count)}
	if err := rf.dp.Start(); err != nil {
		stop()
		return nil, fmt.Errorf("start the stand-ins: %w", err)
	}
	for ix := range count {
		set, err := rf.dp.AddVM(fleetVM(ix).ID, fleetVM(ix).FailureDomain)
		if err != nil {
			return nil, errors.Join(err, rf.close())
		}
		set.Addresses.KeepFor, set.Drain.Linger = shortLinger, shortLinger
		scope := tally.NewTestScope("", nil)
		rf.scopes = append(rf.scopes, scope)
		rf.vms = append(rf.vms, &entry.VM{Settings: set, Incarnation: typicalIncarnation, Scope: scope, Board: &board.Board{}})
	}
	rf.dp.Publish()
	for _, vm := range rf.vms {
		rf.group.Go(func() error { return vm.Run(ctx) })
	}
	return rf, nil
}

// hosts returns a loopback address for each VM. With separate addresses, the ports of
// many VMs cannot collide with the local ports of other connections.
func hosts(count int) []netip.Addr {
	var out []netip.Addr
	for ix := range count {
		out = append(out, netip.AddrFrom4([4]byte{127, 3, byte(ix / 250), byte(1 + ix%250)}))
	}
	return out
}

// awaitDiscovery waits until every VM sees all others alive.
func (rf *realFleet) awaitDiscovery(ctx context.Context) error {
	ctx, stop := context.WithTimeoutCause(ctx, discoveryTimeout.Std(), errDiscoveryTimeout)
	defer stop()
	for _, vm := range rf.vms {
		for len(vm.Board.Fleet().Serving()) < len(rf.vms) {
			if err := sleep(ctx, discoveryPoll); err != nil {
				return err
			}
		}
	}
	return nil
}

// sumCounters returns the sum over all VMs of the counters for sent and received with the
// given prefix.
func (rf *realFleet) sumCounters(name string) float64 {
	total := int64(0)
	for _, scope := range rf.scopes {
		snap := scope.Snapshot().Counters()
		for _, way := range []string{"Sent+", "Received+"} {
			if ct, ok := snap[name+way]; ok {
				total += ct.Value()
			}
		}
	}
	return float64(total)
}

func (rf *realFleet) close() error {
	rf.stop()
	err := rf.group.Wait()
	return errors.Join(err, rf.dp.Close())
}

func sleep(ctx context.Context, span clock.Millis) error {
	select {
	case <-time.After(span.Std()):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", context.Cause(ctx))
	}
}
