package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"alderdyke/internal/board"
	"alderdyke/internal/fleet"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/suspect"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// freePort finds a port that is free for TCP and was so for UDP just now.
func freePort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// VMs that are listed to each other see each other live, hear each other's
// words, and see one leave.
func TestFleetOfThree(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	words := make(chan string, 100)
	var fleets []*fleet.Fleet
	var vms []board.VM
	for ix := range 3 {
		self := board.VM{VMRef: board.VMRef{ID: fmt.Sprintf("vm-%d", ix), Incarnation: 7}, Peer: freePort(t), Caller: fmt.Sprintf("10.0.0.%d:80", ix)}
		vms = append(vms, self)
		fl := &fleet.Fleet{Self: self, Secret: []byte("sixteen bytes or more"), Rand: rand.New(rand.NewPCG(uint64(ix), 2)),
			Usage: func(vm string, rp usage.Report) { words <- fmt.Sprintf("usage of %s: %d", vm, len(rp.Runs)) },
			News:  func(nw topic.Update) { words <- fmt.Sprintf("news of %s: %d", nw.Topic, nw.Next) },
			End: func(en suspect.Crash) {
				words <- fmt.Sprintf("end of %s: %v %v %d", en.Server, en.Mark, en.Answered, en.Concurrent)
			}}
		fl.Prepare()
		fleets = append(fleets, fl)
		go func() { _ = fl.Run(ctx) }() // ends with the context
	}
	for _, fl := range fleets {
		fl.List(ctx, vms)
	}
	until(t, "all see all", func() bool {
		for _, fl := range fleets {
			for _, vm := range fl.View().VMs {
				if vm.Health != board.Alive || vm.Incarnation != 7 || vm.Caller == "" {
					return false
				}
			}
			if len(fl.View().VMs) != len(fleets) {
				return false
			}
		}
		return true
	})
	heard := map[string]bool{}
	until(t, "words are heard", func() bool {
		fleets[0].TellUsage(usage.Report{Runs: []usage.Run{{Engine: "e", Tokens: 1}}})
		fleets[0].TellNews(topic.Update{Topic: "t", Next: 3})
		fleets[0].TellEnd(suspect.Crash{Mark: suspect.Mark{1, 2}, Server: "s", Answered: true, Concurrent: 7})
		for len(words) > 0 {
			heard[<-words] = true
		}
		return heard["usage of vm-0: 1"] && heard["news of t: 3"] && heard["end of s: 010200000000 true 7"]
	})
	fleets[1].Leave(ctx)
	until(t, "one leaves", func() bool {
		vm, _ := fleets[0].View().VM("vm-1")
		return vm.Leaving
	})
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if is() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
}

// A scheduler is asked over the wire, also by a VM that it does not know; who is
// silent is not waited for.
func TestAskOfAScheduler(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const count = 36
	var fleets []*fleet.Neighbours
	st := &memoryStore{}
	for ix := range count {
		ne := &fleet.Neighbours{Self: board.VM{VMRef: board.VMRef{ID: fmt.Sprintf("vm-%02d", ix)}, FailureDomain: fmt.Sprint(ix % 4), Peer: freePort(t), Caller: "10.0.0.1:80"},
			Name: "t", Store: st, Ready: func() bool { return true }, Size: func(int) {}, Moved: func() {}, News: func(topic.Update) {},
			Usage: func(string, usage.Report) {},
			Place: func(vm string, ask usage.PlacementRequest) usage.PlacementReply {
				return usage.PlacementReply{Informed: true, Engines: []string{ask.Waiting.Service + " for " + vm}}
			}}
		ne.Prepare()
		fleets = append(fleets, ne)
		go ne.Run(ctx)
	}
	asker := func() (*fleet.Neighbours, []string) {
		for _, ne := range fleets {
			if vms, here := ne.Before(); !here && len(vms) == 3 {
				return ne, vms
			}
		}
		return nil, nil
	}
	until(t, "a large fleet has three schedulers", func() bool { ne, _ := asker(); return ne != nil })
	ne, vms := asker()
	until(t, "one answers", func() bool {
		within, end := context.WithTimeout(ctx, time.Second)
		defer end()
		ans, err := ne.Ask(within, vms[0], usage.PlacementRequest{Waiting: usage.WaitingRequest{Service: "m"}})
		return err == nil && ans.Informed && len(ans.Engines) == 1 && ans.Engines[0] == "m for "+ne.Self.ID
	})
	_, err := ne.Ask(ctx, "stranger", usage.PlacementRequest{})
	assert.Assert(t, err != nil)
}

// memoryStore is a store of one topic in memory.
type memoryStore struct {
	mu   sync.Mutex
	recs []topic.Record
}

func (ms *memoryStore) Newest(context.Context, string) ([]topic.Record, uint64, error) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return slices.Clone(ms.recs), uint64(len(ms.recs)), nil
}

func (ms *memoryStore) Read(ctx context.Context, _ string, from uint64, wait clock.Millis) ([]topic.Record, uint64, error) {
	for waited := clock.Millis(0); ; waited += 20 {
		ms.mu.Lock()
		recs, next := slices.Clone(ms.recs[from:]), uint64(len(ms.recs))
		ms.mu.Unlock()
		if len(recs) > 0 || waited >= wait || !clock.Sleep(ctx, 20) {
			return recs, next, ctx.Err()
		}
	}
}

func (ms *memoryStore) Append(_ context.Context, name, key string, value []byte, at *uint64) (uint64, error) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	offset := uint64(len(ms.recs))
	if at != nil && *at != offset {
		return 0, &logsvc.AppendError{Stream: name, Effect: logsvc.NotAppended, Err: errors.New("it has moved on")}
	}
	ms.recs = append(ms.recs, topic.Record{Key: key, Value: value, Offset: offset})
	return offset, nil
}
