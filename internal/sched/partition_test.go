package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
)

// A VM that is partitioned from all engines loses each of its requests. Its losses must
// not close healthy engines for the other VMs.
func TestPartitionedVMClosesNoEngine(t *testing.T) {
	for _, stage := range []Stage{Prefilling, Decoding} {
		t.Run(string(stage), func(t *testing.T) {
			fx := newFixture(3, 3, 20)
			submit := func(id, vm string) {
				sp := quick(id)
				sp.VM = board.VMRef{ID: vm, Incarnation: 1}
				fx.step(Submit{Spec: sp})
			}
			submit("before", "vm-2")
			fx.startDecoding("before")
			fx.progress("before", Ended, 5)
			for ix := range 12 {
				id := fmt.Sprint("lost", ix)
				submit(id, "vm-1")
				if _, granted := fx.grants[id]; !granted {
					break
				}
				if stage == Decoding {
					fx.startDecoding(id)
				}
				fx.progress(id, Lost, 5)
			}
			submit("after", "vm-2")
			_, granted := fx.grants["after"]
			assert.Assert(t, granted, "%+v", fx.refusals["after"])
		})
	}
}
