package roles_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/register"
	"alderdyke/internal/roles"
	"alderdyke/pkg/clock"
)

var errRevisionChanged = errors.New("the revision of the register has changed")

type (
	// testCell holds a register and the engines of one service in memory.
	testCell struct {
		mu          sync.Mutex
		entry       register.Entry
		engines     []board.BackendServer
		token       uint64 // largest fencing token that an engine accepted
		orders      []givenOrder
		lostReplies int // number of replies to lose from now on
		storeDown   bool
		swaps       int // number of writes of the lease
	}

	// givenOrder is an order that an engine accepted.
	givenOrder struct {
		by    string // name of the VM
		token uint64
		at    time.Time
	}

	// view gives the keeper of one VM access to the register and the engines.
	view struct {
		ce   *testCell
		name string // of the VM
	}

	// bubbleClock counts from the start of a synctest bubble.
	bubbleClock struct{ start time.Time }
)

func (bc bubbleClock) Now() clock.Millis { return clock.Of(time.Since(bc.start)) }

func (vw view) Read(context.Context) (register.Entry, error) {
	vw.ce.mu.Lock()
	defer vw.ce.mu.Unlock()
	if vw.ce.storeDown {
		return register.Entry{}, context.DeadlineExceeded
	}
	return vw.ce.entry, nil
}

func (vw view) Swap(_ context.Context, base uint64, id string, value []byte) error {
	vw.ce.mu.Lock()
	defer vw.ce.mu.Unlock()
	if vw.ce.storeDown || vw.ce.entry.Revision != base {
		return &logsvc.AppendError{Effect: logsvc.NotAppended, Err: errRevisionChanged}
	}
	vw.ce.swaps++
	vw.ce.entry = register.Entry{Key: vw.ce.entry.Key, Revision: base + 3, ID: id, Value: value}
	return nil
}

func (vw view) ChangeRole(_ context.Context, ch roles.Change, token uint64, may func() bool) error {
	vw.ce.mu.Lock()
	defer vw.ce.mu.Unlock()
	if !may() {
		return backend.NotSentError{Err: backend.ErrWithheld}
	}
	if token < vw.ce.token {
		return backend.DeclinedError{Reason: backend.StaleFence}
	}
	vw.ce.token = token
	vw.ce.orders = append(vw.ce.orders, givenOrder{vw.name, token, time.Now()})
	for ix := range vw.ce.engines {
		if vw.ce.engines[ix].ID == ch.Server.ID {
			vw.ce.engines[ix].Role = ch.To
		}
	}
	if vw.ce.lostReplies > 0 {
		vw.ce.lostReplies--
		return backend.InDoubtError{Err: context.DeadlineExceeded}
	}
	return nil
}

// keeper returns the keeper of a VM.
func (ce *testCell) keeper(name string, shouldOrder func() bool) *roles.Keeper {
	vw := view{ce, name}
	return &roles.Keeper{Register: vw, Orders: vw, ShouldOrder: shouldOrder, Clock: bubbleClock{time.Now()},
		Holder: &register.Holder{Resource: "r", Self: name, Rand: rand.New(rand.NewPCG(1, uint64(len(name))))},
		Services: func() map[string]roles.Service {
			ce.mu.Lock()
			defer ce.mu.Unlock()
			return map[string]roles.Service{"s": {Engines: append([]board.BackendServer(nil), ce.engines...), SwitchTime: 6 * clock.Second}}
		}}
}

func (ce *testCell) prefillCount() (prefill int) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	for _, bs := range ce.engines {
		if bs.Role == board.Prefill {
			prefill++
		}
	}
	return prefill
}

func (ce *testCell) givenOrders() []givenOrder {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	return append([]givenOrder(nil), ce.orders...)
}

// If two VMs both consider themselves the one to give orders, only one does, tokens
// never decrease, and the other takes over only after the lease has expired.
func TestOnlyOneKeeperOrdersAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ce := &testCell{engines: engines(4, 4)}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		first, stopFirst := context.WithCancel(ctx)
		go ce.keeper("vm-1", func() bool { return true }).Run(first)
		go ce.keeper("vm-two", func() bool { return true }).Run(ctx)
		time.Sleep(time.Minute)
		assert.Equal(t, ce.prefillCount(), 2)
		stopFirst()
		ce.mu.Lock()
		ce.engines = engines(1, 7)
		ce.mu.Unlock()
		time.Sleep(2 * time.Minute)
		assert.Equal(t, ce.prefillCount(), 2)
		orders := ce.givenOrders()
		for ix, gv := range orders[1:] {
			before := orders[ix]
			assert.Assert(t, gv.token >= before.token)
			if gv.by != before.by {
				assert.Assert(t, gv.at.Sub(before.at) > 5*time.Second, "orders of two VMs within %s", gv.at.Sub(before.at))
			}
		}
	})
}

// Once no change is due, the lease expires without a renewal or a release, and the store
// gets no further writes. The next order acquires the lease again.
func TestLeaseLapsesWhenNothingIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ce := &testCell{engines: engines(3, 5)}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go ce.keeper("vm-1", func() bool { return true }).Run(ctx)
		swaps := func() int {
			ce.mu.Lock()
			defer ce.mu.Unlock()
			return ce.swaps
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, ce.prefillCount(), 2)
		before := swaps()
		time.Sleep(5 * time.Minute)
		assert.Equal(t, swaps(), before)
		ce.mu.Lock()
		withdrawn := ce.entry.Withdrawn()
		ce.engines = engines(1, 7)
		ce.mu.Unlock()
		assert.Assert(t, !withdrawn)
		time.Sleep(30 * time.Second)
		assert.Equal(t, ce.prefillCount(), 2)
		assert.Assert(t, swaps() > before)
	})
}

// Without the store no VM can hold the lease, so no orders are given.
func TestNoOrdersWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ce := &testCell{engines: engines(4, 4), storeDown: true}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go ce.keeper("vm-1", func() bool { return true }).Run(ctx)
		time.Sleep(time.Minute)
		assert.Equal(t, len(ce.givenOrders()), 0)
	})
}

// An order whose reply was lost may have been carried out, so it is not repeated.
func TestLostReplyIsNotOrderedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ce := &testCell{engines: engines(3, 5), lostReplies: 1}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go ce.keeper("vm-1", func() bool { return true }).Run(ctx)
		time.Sleep(time.Minute)
		assert.Equal(t, len(ce.givenOrders()), 1, fmt.Sprint(ce.givenOrders()))
		assert.Equal(t, ce.prefillCount(), 2)
	})
}

// A VM whose token an engine declined pauses for longer than a lease lasts.
func TestRejectedTokenPausesKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ce := &testCell{engines: engines(4, 4), token: 1000}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var tries atomic.Int64
		ke := ce.keeper("vm-1", func() bool { tries.Add(1); return true })
		go ke.Run(ctx)
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(ce.givenOrders()), 0)
		assert.Equal(t, ce.prefillCount(), 4)
		assert.Assert(t, tries.Load() > 0)
	})
}
