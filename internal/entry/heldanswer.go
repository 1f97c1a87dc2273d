package entry

import (
	"context"
	"errors"
	"sync"

	"alderdyke/internal/memory"
)

const (
	// firstAnswerBytes is what is reserved for an answer of a class of which none has ended
	// at this VM: a budget of 28 MB has room for 448.
	firstAnswerBytes = 64 << 10
	// answerCopies is how often an answer is in memory while it is delivered: as it was
	// received, and as it is written to its caller.
	answerCopies = 2
	// answerSizeWeight is the weight of the last answer in the mean size of its class, which
	// is known after about eight.
	answerSizeWeight = 1.0 / 8
)

type (
	// heldAnswer counts one answer in the memory budget, however many callers read it.
	heldAnswer struct {
		budget   *memory.Budget
		reserved int64 // before the request ran

		mu      sync.Mutex
		holding *memory.Holding // that of the request, while it has not ended
		counted int64
	}

	// answerSizes holds the mean size of the answers of each class. The mean decides, because
	// the sum of many answers has to fit. The zero value is ready to use.
	answerSizes struct {
		mu   sync.Mutex
		mean map[answerClass]float64
	}

	answerClass struct{ service, class string }
)

// begin counts the answer in the holding of its request from now on.
func (ha *heldAnswer) begin(hd *memory.Holding) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.holding = hd
}

// reserve records that the holding of the request has room for the answer.
func (ha *heldAnswer) reserve(bytes int64) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.reserved, ha.counted = bytes, bytes
}

// set sets how many bytes are counted.
func (ha *heldAnswer) set(bytes int64) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	more := bytes - ha.counted
	ha.counted = bytes
	switch {
	case more == 0:
	case ha.holding == nil:
		ha.holding = ha.budget.Hold(bytes)
	case more > 0:
		ha.holding.Add(more)
	default:
		ha.holding.Release(-more)
	}
}

// end counts nothing any more.
func (ha *heldAnswer) end() {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.holding.End()
	ha.holding, ha.counted = nil, 0
}

// expected returns how many bytes to reserve for an answer of a class.
func (as *answerSizes) expected(cl answerClass) int64 {
	as.mu.Lock()
	defer as.mu.Unlock()
	if mean, ok := as.mean[cl]; ok {
		return int64(answerCopies * mean)
	}
	return firstAnswerBytes
}

// record adds the size of a complete answer.
func (as *answerSizes) record(cl answerClass, bytes int) {
	as.mu.Lock()
	defer as.mu.Unlock()
	if as.mean == nil {
		as.mean = make(map[answerClass]float64)
	}
	mean, ok := as.mean[cl]
	if !ok {
		mean = float64(bytes)
	}
	as.mean[cl] = mean + answerSizeWeight*(float64(bytes)-mean)
}

func (rn *run) answerClass() answerClass {
	return answerClass{service: rn.req.Class.Service, class: rn.req.Class.Name}
}

// reserveAnswer reserves memory for the answer before the request may run, so that the request
// is refused, and not run, if there is none. An answer of which the caller has a part is counted
// as it comes.
func (rn *run) reserveAnswer(ctx context.Context) error {
	if rn.memory == nil || rn.req.Resumed {
		return nil
	}
	bytes := rn.vm.answerSizes.expected(rn.answerClass())
	err := rn.memory.Reserve(ctx, bytes)
	switch {
	case err == nil:
		rn.answer.reserve(bytes)
		return nil
	case errors.Is(err, memory.ErrTooLarge): // the body takes almost the whole budget
		return nil
	case errors.Is(err, memory.ErrRefused):
		rn.yieldMemory()
		return context.Cause(rn.ctx)
	default:
		return context.Cause(ctx)
	}
}

// countAnswer counts what the answer takes, at least what was reserved for it. It is not paused
// for lack of memory: it has to be whole before it frees any, and servers cut off a response
// that stays unread.
func (rn *run) countAnswer() {
	rn.answer.set(max(int64(rn.st.Size()), rn.answer.reserved))
}
