package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime/debug"

	"alderdyke/internal/caller"
	"alderdyke/internal/ingress"
	"alderdyke/internal/memory"
)

// Shares of the memory and the descriptors of the process for connections that others open.
// More than half of the descriptors remain for those that the VM opens itself.
const (
	callersShare   = 0.4
	operatorsShare = 0.04
)

// requestMemory returns the bytes that the requests of all callers may hold: the setting, or
// else a part of the process's memory limit (GOMEMLIMIT); zero: there is no limit.
func requestMemory(setting int64) int64 {
	if setting > 0 {
		return setting
	}
	return memory.LimitFor(memoryLimit())
}

// memoryLimit returns the process's memory limit; zero: there is none.
func memoryLimit() int64 {
	// A negative argument only reads the limit; without one it is the maximum.
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}

// resources returns what the process may take of its machine.
func resources() ingress.Resources {
	descriptors, err := ingress.Descriptors()
	if err != nil {
		descriptors = 0 // it can't be known
	}
	return ingress.Resources{Descriptors: descriptors, Memory: memoryLimit()}
}

// memoryBudget returns the budget for requests and answers; nil: there is no limit.
func (vm *VM) memoryBudget() *memory.Budget {
	if vm.callers == nil {
		return nil
	}
	return vm.callers.Memory
}

// takeMemory takes over what the request holds. From then on the run may be refused for lack
// of memory until it may run.
func (rn *run) takeMemory(hd *memory.Holding) {
	ok := false
	if rn.memory, ok = hd.Transfer(caller.Priority(rn.req.Class), rn.yieldMemory); !ok {
		rn.yieldMemory() // it was refused already
	}
	rn.bodyBytes = rn.memory.Held()
	rn.answer.begin(rn.memory)
}

// yieldMemory ends the run, which has not been sent, for lack of memory.
func (rn *run) yieldMemory() {
	rn.cancel(fmt.Errorf("%w: %w", memory.ErrRefused, caller.NoMemory(ranBeforeClaim(rn.req))))
}

// mayRun records that the request may run from now on, here or elsewhere, so that it is no
// longer refused for lack of memory. It returns the refusal if it was refused before.
func (rn *run) mayRun() error {
	if rn.memory.MayRun() {
		return nil
	}
	return context.Cause(rn.ctx)
}

// releaseMemory releases the body of the request and records whether it was refused for lack of
// memory. The answer may still be read.
func (rn *run) releaseMemory() {
	rn.memory.Release(rn.bodyBytes)
	if errors.Is(context.Cause(rn.ctx), memory.ErrRefused) {
		rn.vm.callers.MemoryRecorder.Refused(memory.ReasonWaiting)
	}
}
