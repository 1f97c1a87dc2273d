package charge_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/charge"
	"alderdyke/internal/quota"
)

const (
	lostVMs = 24
	// lossNoticeDelay is the time until the VMs detect that the keeper is lost.
	lossNoticeDelay = time.Second
	// lossSpan is how long the loss of a keeper may have effects.
	lossSpan = 2 * time.Second
	// lossUtilization is the part of its limit that the customer uses, a tenth of that
	// for plain requests.
	lossUtilization  = 0.55
	generationTokens = 7700 // of a generation
	plainTokens      = 100  // of one plain request
)

// lostLimit is the limit of a small customer, which allows four generations per second.
var lostLimit = quota.Limit{Rate: 29000, Burst: 29000}

// requestCounts counts requests and refusals.
type requestCounts struct {
	mu             sync.Mutex
	count, refused int
}

// sendRequests sends requests of one size to random VMs for a span.
func (rc *requestCounts) sendRequests(t *testing.T, nt *testNet, rnd *rand.Rand, names []string, span time.Duration, tokens, perSecond float64) {
	var open sync.WaitGroup
	for end := time.Now().Add(span); ; {
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Now().After(end) {
			break
		}
		vm := nt.vms[names[rnd.IntN(len(names))]]
		open.Go(func() {
			err := vm.Charge(t.Context(), charge.Order{Customer: "c", Limit: lostLimit, Tokens: tokens, MaxWait: 180})
			rc.mu.Lock()
			defer rc.mu.Unlock()
			rc.count++
			if err != nil {
				rc.refused++
			}
		})
	}
	open.Wait()
}

// simulateKeeperLoss simulates the loss of a keeper and counts the requests in the span
// after it.
func simulateKeeperLoss(t *testing.T, seed uint64) (plain, generations *requestCounts) {
	plain, generations = &requestCounts{}, &requestCounts{}
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for ix := range lostVMs {
			names = append(names, fmt.Sprintf("vm-%02d", ix))
		}
		rnd := rand.New(rand.NewPCG(seed, 33))
		nt := newNet(t, settings, names...)
		for _, vm := range nt.vms {
			vm.Limit = func(customer string) (quota.Limit, bool) { return lostLimit, customer == "c" }
		}
		both := func(span time.Duration, names []string, plain, generations *requestCounts) {
			var open sync.WaitGroup
			rest := rand.New(rand.NewPCG(seed, 34))
			open.Go(func() {
				plain.sendRequests(t, nt, rest, names, span, plainTokens, 0.1*lossUtilization*lostLimit.Rate/plainTokens)
			})
			open.Go(func() {
				generations.sendRequests(t, nt, rnd, names, span, generationTokens, 0.9*lossUtilization*lostLimit.Rate/generationTokens)
			})
			open.Wait()
		}
		before := &requestCounts{}
		time.Sleep(5 * time.Second)
		both(10*time.Second, names, before, before)
		assert.Equal(t, before.refused, 0, "below the limit nothing is refused")
		nt.mu.Lock()
		nt.unresponsive[names[0]] = true
		nt.mu.Unlock()
		time.AfterFunc(lossNoticeDelay, func() {
			nt.mu.Lock()
			defer nt.mu.Unlock()
			nt.keeper = names[1]
		})
		both(lossSpan, names[1:], plain, generations)
	})
	return plain, generations
}

// After the loss of a keeper, a customer below its limit has at most 1 % of its requests
// refused within two seconds.
func TestKeeperLost(t *testing.T) {
	var plain, generations, lostPlain, lostGenerations int
	for seed := range uint64(30) {
		pl, ge := simulateKeeperLoss(t, seed)
		plain, lostPlain = plain+pl.count, lostPlain+pl.refused
		generations, lostGenerations = generations+ge.count, lostGenerations+ge.refused
	}
	t.Logf("refused: %d of %d plain requests, %d of %d generations", lostPlain, plain, lostGenerations, generations)
	assert.Assert(t, (lostPlain+lostGenerations)*100 <= plain+generations)
}
