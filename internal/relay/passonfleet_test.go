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
	cutFleetVMs   = 5
	cutFleetSeeds = 60
	cutFleetSpan  = 20 * time.Second
	// cutContact is the time from the begin of a cut until its VMs must serve like the
	// others, and cutServedFraction the least part of what the others serve.
	cutContact        = 3 * time.Second
	cutServedFraction = 2.0 / 3
	cutDialTimeout    = 250 * time.Millisecond
)

type (
	// cutFleet is a fleet of relays in virtual time that share servers, and whose paths
	// to the servers are cut.
	cutFleet struct {
		vms []*cutVM

		mu     sync.Mutex
		rnd    *rand.Rand
		faults bool            // servers crash, decline and lose answers, and VMs die while they serve a passed-on request
		down   map[string]bool // crashed servers
		runs   map[string]int  // by request
		hops   map[string]int  // by request
	}

	// cutVM is one VM: its relay, and its paths and servers as the relay sees them.
	cutVM struct {
		*servers // control calls
		fleet    *cutFleet
		relay    *relay.Relay
		address  string
		cut      map[string]bool // services that are cut off
		refuses  bool            // the cut refuses connections instead of swallowing them
	}

	// cutTally counts the first tries at some VMs, and how many were served.
	cutTally struct{ tried, served int }
)

func newCutFleet(t *testing.T, seed uint64, faults bool) *cutFleet {
	cf := &cutFleet{rnd: rand.New(rand.NewPCG(seed, 59)), faults: faults, down: make(map[string]bool), runs: make(map[string]int), hops: make(map[string]int)}
	for ix := range cutFleetVMs {
		rl, sv := newRigOf(t, seed*cutFleetVMs+uint64(ix))
		vm := &cutVM{servers: sv, fleet: cf, relay: rl, address: fmt.Sprintf("vm-%d", ix), cut: make(map[string]bool)}
		rl.Servers, rl.Peers = vm, vm
		cf.vms = append(cf.vms, vm)
	}
	return cf
}

func (cf *cutFleet) draw(rate float64) bool {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.faults && cf.rnd.Float64() < rate
}

// connect opens a connection to a server, as the path allows.
func (vm *cutVM) connect(bs board.BackendServer) error {
	vm.fleet.mu.Lock()
	cut, refuses, down := vm.cut[bs.Service], vm.refuses, vm.fleet.down[bs.ID]
	vm.fleet.mu.Unlock()
	switch {
	case cut && !refuses:
		time.Sleep(cutDialTimeout)
		return backend.NotSentError{Server: bs.ID, Call: "Send", Err: context.DeadlineExceeded}
	case cut || down:
		return backend.NotSentError{Server: bs.ID, Call: "Send", Err: &netError{syscall.ECONNREFUSED}}
	}
	return nil
}

// netError is a failure to connect.
type netError struct{ error }

func (netError) Timeout() bool   { return false }
func (netError) Temporary() bool { return false }

func (vm *cutVM) Send(_ context.Context, bs board.BackendServer, req *relay.Request, op relay.Options) (*http.Response, error) {
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

func (vm *cutVM) Prefill(ctx context.Context, bs board.BackendServer, req *relay.Request, left clock.Millis) (relay.Handle, error) {
	if err := vm.connect(bs); err != nil {
		return relay.Handle{}, err
	}
	return vm.servers.Prefill(ctx, bs, req, left)
}

func (vm *cutVM) Reserve(ctx context.Context, bs board.BackendServer, tokens int, life clock.Millis) (string, error) {
	if err := vm.connect(bs); err != nil {
		return "", err
	}
	return vm.servers.Reserve(ctx, bs, tokens, life)
}

func (vm *cutVM) Ended(_ context.Context, bs board.BackendServer) bool {
	return errors.Is(vm.connect(bs), syscall.ECONNREFUSED)
}

func (vm *cutVM) Reaches(_ context.Context, bs board.BackendServer) bool {
	return vm.connect(bs) == nil
}

func (vm *cutVM) Load(*http.Response) (balance.Load, bool) { return balance.Load{}, false }

func (vm *cutVM) Addresses() []string {
	var out []string
	for _, other := range vm.fleet.vms {
		if other != vm {
			out = append(out, other.address)
		}
	}
	return out
}

// PassOn has another VM serve a request, and at times that VM dies in between.
func (vm *cutVM) PassOn(ctx context.Context, address string, req *relay.Request, left clock.Millis) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	vm.fleet.mu.Lock()
	vm.fleet.hops[req.ID]++
	vm.fleet.mu.Unlock()
	var other *cutVM
	for _, ov := range vm.fleet.vms {
		if ov.address == address {
			other = ov
		}
	}
	again := *req
	again.PassedOn, again.Arrived, again.WaitLimit = true, other.relay.Clock.Now(), left
	rec := httptest.NewRecorder()
	err := other.relay.Serve(ctx, rec, &again)
	rf, refused := errors.AsType[refusal.Refusal](err)
	switch {
	case vm.fleet.draw(0.05) || errors.Is(err, relay.ErrCut):
		return nil, backend.InDoubtError{Server: address, Call: "PassOn", Err: io.ErrUnexpectedEOF}
	case refused && rf.Ran == refusal.NotRun && rf.Reason == refusal.ServersUnreachable:
		return nil, backend.DeclinedError{Server: address, Call: "PassOn", Reason: backend.Refused}
	case refused && rf.Ran == refusal.NotRun:
		return newResponse(http.StatusServiceUnavailable, "", nil), nil
	case refused:
		return newResponse(http.StatusBadGateway, "", nil), nil
	}
	return rec.Result(), nil
}

// setCut cuts the paths of a VM to some services, or restores them all.
func (cf *cutFleet) setCut(vm *cutVM, refuses bool, services ...string) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	vm.refuses = refuses
	vm.cut = make(map[string]bool)
	for _, name := range services {
		vm.cut[name] = true
	}
}

// shuffleFaults draws the cuts, and which servers are down.
func (cf *cutFleet) shuffleFaults() {
	cf.mu.Lock()
	all, kind := cf.rnd.IntN(6) == 0, cf.rnd.IntN(3)
	refuses := cf.rnd.IntN(2) == 0
	var hit []bool
	for range cf.vms {
		hit = append(hit, all || cf.rnd.IntN(3) == 0)
	}
	for _, bs := range allServers {
		cf.down[bs.ID] = cf.rnd.IntN(8) == 0
	}
	cf.mu.Unlock()
	for ix, vm := range cf.vms {
		if hit[ix] {
			cf.setCut(vm, refuses, [][]string{{"plain"}, {"model"}, {"plain", "model"}}[kind]...)
		} else {
			cf.setCut(vm, false)
		}
	}
}

// request sends a request to a VM and checks its outcome.
func (cf *cutFleet) request(t *testing.T, vm *cutVM, id, name string) (served bool) {
	rec := httptest.NewRecorder()
	req := &relay.Request{ID: id, Method: http.MethodPost, Host: "h", URI: "/" + name + "/x", Path: "/" + name + "/x",
		Header: http.Header{}, Arrived: vm.relay.Clock.Now(), WaitLimit: clock.Second}
	most := map[string]int{"again": 2, "resumable": 2}[name]
	if name == "draft" || name == "resumable" {
		req.Prompt, req.WaitLimit = &relay.Prompt{Tokens: 100, MaxOutput: 100}, 5*clock.Second
	}
	err := vm.relay.Serve(t.Context(), rec, req)
	rf, refused := errors.AsType[refusal.Refusal](err)
	cf.mu.Lock()
	runs, hops := cf.runs[id], cf.hops[id]
	cf.mu.Unlock()
	assert.Check(t, runs <= max(1, most), "%s ran %d times", id, runs)
	if refused && rf.Ran == refusal.NotRun || err == nil && rec.Code == http.StatusServiceUnavailable {
		assert.Check(t, runs == 0, "%s was refused as not run", id)
	}
	assert.Check(t, hops < cutFleetVMs, "%s was passed on %d times", id, hops)
	return err == nil && rec.Code == http.StatusOK
}

// Whatever is cut off, crashes or dies: a request that may run once runs once at most
// across VMs, a refusal as not run is true, and no request is passed on by two VMs.
func TestRandomCutsOfAFleet(t *testing.T) {
	for seed := range uint64(cutFleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			cf := newCutFleet(t, seed, true)
			ctx, stop := context.WithCancel(t.Context())
			for _, vm := range cf.vms {
				go vm.relay.WatchPaths(ctx)
			}
			var callers sync.WaitGroup
			end := time.Now().Add(cutFleetSpan)
			for cl := range 6 {
				callers.Go(func() {
					rnd := rand.New(rand.NewPCG(seed, uint64(cl)))
					for nr := 0; time.Now().Before(end); nr++ {
						name := []string{"once", "again", "draft", "resumable"}[rnd.IntN(4)]
						cf.request(t, cf.vms[rnd.IntN(cutFleetVMs)], fmt.Sprintf("%d-%d", cl, nr), name)
						time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
					}
				})
			}
			for rnd := rand.New(rand.NewPCG(seed, 7)); time.Now().Before(end); {
				cf.shuffleFaults()
				time.Sleep(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
			}
			callers.Wait()
			stop()
			time.Sleep(time.Second) // ends the probes in progress
		})
	}
}

// VMs behind a cut serve like the others from a short time after it began, whichever
// VMs and services it hits; if it hits all VMs, requests are refused quickly.
func TestServedBehindACut(t *testing.T) {
	both := []string{"plain", "model"}
	for _, tc := range []struct {
		name     string
		vms      int // behind the cut
		services []string
	}{
		{"one VM", 1, both},
		{"most VMs", cutFleetVMs - 1, both},
		{"all VMs", cutFleetVMs, both},
		{"a plain service", 2, both[:1]},
		{"a model service", 2, both[1:]},
	} {
		for _, refuses := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, refused %v", tc.name, refuses), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cf := newCutFleet(t, 3, false)
					ctx, stop := context.WithCancel(t.Context())
					for _, vm := range cf.vms {
						go vm.relay.WatchPaths(ctx)
					}
					for _, vm := range cf.vms[:tc.vms] {
						cf.setCut(vm, refuses, tc.services...)
					}
					cut, others := cf.serveAll(t, cf.vms[:tc.vms], cutContact), cf.serveAll(t, cf.vms[tc.vms:], cutContact)
					if tc.vms == cutFleetVMs {
						assert.Equal(t, cut.served, 0)
					} else {
						assert.Assert(t, float64(cut.served)*float64(others.tried) >= cutServedFraction*float64(others.served)*float64(cut.tried), "%+v beside %+v", cut, others)
						assert.Equal(t, others.served, others.tried)
					}
					for _, vm := range cf.vms {
						cf.setCut(vm, false)
					}
					time.Sleep(time.Second)
					after := cf.serveAll(t, cf.vms, 0)
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
func (cf *cutFleet) serveAll(t *testing.T, vms []*cutVM, from time.Duration) (ct cutTally) {
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for _, vm := range vms {
		all.Go(func() {
			for nr := 0; time.Since(began) < from+2*time.Second; nr++ {
				sent := time.Now()
				name := []string{"once", "again", "draft", "resumable"}[nr%4]
				served := cf.request(t, vm, fmt.Sprintf("%d-%d-%s", began.UnixNano(), nr, vm.address), name)
				took := time.Since(sent)
				time.Sleep(50 * time.Millisecond)
				if sent.Sub(began) < from {
					continue
				}
				mu.Lock()
				ct.tried++
				if served {
					ct.served++
				} else if len(vms) == cutFleetVMs && took > 500*time.Millisecond {
					t.Errorf("%s was refused after %s", name, took)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return ct
}
