package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/relay"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	partitionFleetVMs   = 5
	partitionFleetSeeds = 60
	partitionFleetSpan  = 20 * time.Second
	// partitionContact is the time from the begin of a partition until its VMs must
	// serve like the others, and partitionServedFraction the least part of what the
	// others serve.
	partitionContact        = 3 * time.Second
	partitionServedFraction = 2.0 / 3
	partitionDialTimeout    = 250 * time.Millisecond
)

type (
	// partitionFleet is a fleet of relays in virtual time that share servers, some of
	// which are partitioned from them.
	partitionFleet struct {
		vms []*partitionVM

		mu     sync.Mutex
		rnd    *rand.Rand
		faults bool            // servers crash, decline and lose answers, and VMs die while they serve a forwarded request
		down   map[string]bool // crashed servers
		runs   map[string]int  // by request
		hops   map[string]int  // by request
	}

	// partitionVM is one VM: its relay, and its paths and servers as the relay sees them.
	partitionVM struct {
		*servers    // control calls
		fleet       *partitionFleet
		relay       *relay.Relay
		address     string
		partitioned map[string]bool // services that the VM is partitioned from
		refuses     bool            // connections are refused instead of not established
	}

	// requestTally counts the first tries at some VMs, and how many were served.
	requestTally struct{ tried, served int }
)

func newPartitionFleet(t *testing.T, seed uint64, faults bool) *partitionFleet {
	pf := &partitionFleet{rnd: rand.New(rand.NewPCG(seed, 59)), faults: faults, down: make(map[string]bool), runs: make(map[string]int), hops: make(map[string]int)}
	for ix := range partitionFleetVMs {
		rl, sv := newRigOf(t, seed*partitionFleetVMs+uint64(ix))
		vm := &partitionVM{servers: sv, fleet: pf, relay: rl, address: fmt.Sprintf("vm-%d", ix), partitioned: make(map[string]bool)}
		rl.Servers, rl.Peers = vm, vm
		pf.vms = append(pf.vms, vm)
	}
	return pf
}

func (pf *partitionFleet) draw(rate float64) bool {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	return pf.faults && pf.rnd.Float64() < rate
}

// connect opens a connection to a server, as the path allows.
func (vm *partitionVM) connect(bs board.BackendServer) error {
	vm.fleet.mu.Lock()
	partitioned, refuses, down := vm.partitioned[bs.Service], vm.refuses, vm.fleet.down[bs.ID]
	vm.fleet.mu.Unlock()
	switch {
	case partitioned && !refuses:
		time.Sleep(partitionDialTimeout)
		return backend.NotSentError{Server: bs.ID, Call: "Send", Err: context.DeadlineExceeded}
	case partitioned || down:
		return backend.NotSentError{Server: bs.ID, Call: "Send", Err: &netError{syscall.ECONNREFUSED}}
	}
	return nil
}

// netError is a failure to connect.
type netError struct{ error }

func (netError) Timeout() bool   { return false }
func (netError) Temporary() bool { return false }

func (vm *partitionVM) Send(_ context.Context, bs board.BackendServer, req *relay.Request, op relay.Options) (*http.Response, error) {
	if err := vm.connect(bs); err != nil {
		return nil, err
	}
	if vm.fleet.draw(0.05) {
		return nil, backend.DeclinedError{Server: bs.ID, Call: "Send", Reason: backend.Full}
	}
	vm.fleet.mu.Lock()
	vm.fleet.runs[req.ID]++
	vm.fleet.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if vm.fleet.draw(0.05) {
		return nil, backend.InDoubtError{Server: bs.ID, Call: "Send", Err: io.ErrUnexpectedEOF}
	}
	return vm.servers.Send(context.Background(), bs, req, op)
}

func (vm *partitionVM) Prefill(ctx context.Context, bs board.BackendServer, req *relay.Request, left clock.Millis) (relay.Handle, error) {
	if err := vm.connect(bs); err != nil {
		return relay.Handle{}, err
	}
	return vm.servers.Prefill(ctx, bs, req, left)
}

func (vm *partitionVM) Reserve(ctx context.Context, bs board.BackendServer, tokens int, life clock.Millis) (string, error) {
	if err := vm.connect(bs); err != nil {
		return "", err
	}
	return vm.servers.Reserve(ctx, bs, tokens, life)
}

func (vm *partitionVM) Ended(_ context.Context, bs board.BackendServer) bool {
	return errors.Is(vm.connect(bs), syscall.ECONNREFUSED)
}

func (vm *partitionVM) Reaches(_ context.Context, bs board.BackendServer) bool {
	return vm.connect(bs) == nil
}

func (vm *partitionVM) Load(*http.Response) (balance.Load, bool) { return balance.Load{}, false }

func (vm *partitionVM) Addresses() []string {
	var out []string
	for _, other := range vm.fleet.vms {
		if other != vm {
			out = append(out, other.address)
		}
	}
	return out
}

// Forward has another VM serve a request, and at times that VM dies in between.
func (vm *partitionVM) Forward(ctx context.Context, address string, req *relay.Request, left clock.Millis) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	vm.fleet.mu.Lock()
	vm.fleet.hops[req.ID]++
	vm.fleet.mu.Unlock()
	var other *partitionVM
	for _, ov := range vm.fleet.vms {
		if ov.address == address {
			other = ov
		}
	}
	again := *req
	again.Forwarded, again.Arrived, again.WaitLimit = true, other.relay.Clock.Now(), left
	rec := httptest.NewRecorder()
	err := other.relay.Serve(ctx, rec, &again)
	rf, refused := errors.AsType[refusal.Refusal](err)
	switch {
	case vm.fleet.draw(0.05) || errors.Is(err, relay.ErrCut):
		return nil, backend.InDoubtError{Server: address, Call: "Forward", Err: io.ErrUnexpectedEOF}
	case refused && rf.Ran == refusal.NotRun && rf.Reason == refusal.ServersUnreachable:
		return nil, backend.DeclinedError{Server: address, Call: "Forward", Reason: backend.Refused}
	case refused && rf.Ran == refusal.NotRun:
		return newResponse(http.StatusServiceUnavailable, "", nil), nil
	case refused:
		return newResponse(http.StatusBadGateway, "", nil), nil
	}
	return rec.Result(), nil
}

// setPartition partitions a VM from some services, or restores all its paths.
func (pf *partitionFleet) setPartition(vm *partitionVM, refuses bool, services ...string) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	vm.refuses = refuses
	vm.partitioned = make(map[string]bool)
	for _, name := range services {
		vm.partitioned[name] = true
	}
}

// shuffleFaults draws the partitions, and which servers are down.
func (pf *partitionFleet) shuffleFaults() {
	pf.mu.Lock()
	all, kind := pf.rnd.IntN(6) == 0, pf.rnd.IntN(3)
	refuses := pf.rnd.IntN(2) == 0
	var hit []bool
	for range pf.vms {
		hit = append(hit, all || pf.rnd.IntN(3) == 0)
	}
	for _, bs := range allServers {
		pf.down[bs.ID] = pf.rnd.IntN(8) == 0
	}
	pf.mu.Unlock()
	for ix, vm := range pf.vms {
		if hit[ix] {
			pf.setPartition(vm, refuses, [][]string{{"plain"}, {"model"}, {"plain", "model"}}[kind]...)
		} else {
			pf.setPartition(vm, false)
		}
	}
}

// request sends a request to a VM and checks its outcome.
func (pf *partitionFleet) request(t *testing.T, vm *partitionVM, id, name string) (served bool) {
	rec := httptest.NewRecorder()
	req := &relay.Request{ID: id, Method: http.MethodPost, Host: "h", URI: "/" + name + "/x", Path: "/" + name + "/x",
		Header: http.Header{}, Arrived: vm.relay.Clock.Now(), WaitLimit: clock.Second}
	most := map[string]int{"again": 2, "resumable": 2}[name]
	if name == "draft" || name == "resumable" {
		req.Prompt, req.WaitLimit = &relay.Prompt{Tokens: 100, MaxOutput: 100}, 5*clock.Second
	}
	err := vm.relay.Serve(t.Context(), rec, req)
	rf, refused := errors.AsType[refusal.Refusal](err)
	pf.mu.Lock()
	runs, hops := pf.runs[id], pf.hops[id]
	pf.mu.Unlock()
	assert.Check(t, runs <= max(1, most), "%s ran %d times", id, runs)
	if refused && rf.Ran == refusal.NotRun || err == nil && rec.Code == http.StatusServiceUnavailable {
		assert.Check(t, runs == 0, "%s was refused as not run", id)
	}
	assert.Check(t, hops < partitionFleetVMs, "%s was forwarded %d times", id, hops)
	return err == nil && rec.Code == http.StatusOK
}

// Whatever is partitioned, crashes or dies: a request that may run once runs once at most
// across VMs, a refusal as not run is true, and no request is forwarded by two VMs.
func TestRandomPartitions(t *testing.T) {
	for seed := range uint64(partitionFleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			pf := newPartitionFleet(t, seed, true)
			ctx, stop := context.WithCancel(t.Context())
			for _, vm := range pf.vms {
				go vm.relay.ProbePartitions(ctx)
			}
			var callers sync.WaitGroup
			end := time.Now().Add(partitionFleetSpan)
			for cl := range 6 {
				callers.Go(func() {
					rnd := rand.New(rand.NewPCG(seed, uint64(cl)))
					for nr := 0; time.Now().Before(end); nr++ {
						name := []string{"once", "again", "draft", "resumable"}[rnd.IntN(4)]
						pf.request(t, pf.vms[rnd.IntN(partitionFleetVMs)], fmt.Sprintf("%d-%d", cl, nr), name)
						time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
					}
				})
			}
			for rnd := rand.New(rand.NewPCG(seed, 7)); time.Now().Before(end); {
				pf.shuffleFaults()
				time.Sleep(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
			}
			callers.Wait()
			stop()
			time.Sleep(time.Second) // ends the probes in progress
		})
	}
}

// Partitioned VMs serve like the others from a short time after it began, whichever
// VMs and services it hits; if it hits all VMs, requests are refused quickly.
func TestPartitionedVMsServe(t *testing.T) {
	both := []string{"plain", "model"}
	for _, tc := range []struct {
		name     string
		vms      int // that are partitioned
		services []string
	}{
		{"one VM", 1, both},
		{"most VMs", partitionFleetVMs - 1, both},
		{"all VMs", partitionFleetVMs, both},
		{"a plain service", 2, both[:1]},
		{"a model service", 2, both[1:]},
	} {
		for _, refuses := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, refused %v", tc.name, refuses), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					pf := newPartitionFleet(t, 3, false)
					ctx, stop := context.WithCancel(t.Context())
					for _, vm := range pf.vms {
						go vm.relay.ProbePartitions(ctx)
					}
					for _, vm := range pf.vms[:tc.vms] {
						pf.setPartition(vm, refuses, tc.services...)
					}
					here, others := pf.serveAll(t, pf.vms[:tc.vms], partitionContact), pf.serveAll(t, pf.vms[tc.vms:], partitionContact)
					if tc.vms == partitionFleetVMs {
						assert.Equal(t, here.served, 0)
					} else {
						assert.Assert(t, float64(here.served)*float64(others.tried) >= partitionServedFraction*float64(others.served)*float64(here.tried), "%+v beside %+v", here, others)
						assert.Equal(t, others.served, others.tried)
					}
					for _, vm := range pf.vms {
						pf.setPartition(vm, false)
					}
					time.Sleep(time.Second)
					after := pf.serveAll(t, pf.vms, 0)
					assert.Equal(t, after.served, after.tried)
					stop()
					time.Sleep(time.Second) // ends the probes in progress
				})
			})
		}
	}
}

// serveAll sends requests of all kinds to VMs at the same time, and counts those that
// are sent after a time. Where no VM can serve, each of these must be refused within
// half a second.
func (pf *partitionFleet) serveAll(t *testing.T, vms []*partitionVM, from time.Duration) (ct requestTally) {
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for _, vm := range vms {
		all.Go(func() {
			for nr := 0; time.Since(began) < from+2*time.Second; nr++ {
				sent := time.Now()
				name := []string{"once", "again", "draft", "resumable"}[nr%4]
				served := pf.request(t, vm, fmt.Sprintf("%d-%d-%s", began.UnixNano(), nr, vm.address), name)
				took := time.Since(sent)
				time.Sleep(50 * time.Millisecond)
				if sent.Sub(began) < from {
					continue
				}
				mu.Lock()
				ct.tried++
				if served {
					ct.served++
				} else if len(vms) == partitionFleetVMs && took > 500*time.Millisecond {
					t.Errorf("%s was refused after %s", name, took)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return ct
}
