package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
)

// Two VMs send a started VM the notices that it missed, and all VMs agree on which two.
func TestStartedVMIsCaughtUpByTwo(t *testing.T) {
	for _, size := range []int{2, 3, 7, 69} {
		fl := &board.Fleet{}
		for ix := range size {
			fl.VMs = append(fl.VMs, board.VM{VMRef: board.VMRef{ID: fmt.Sprintf("vm-%d", ix), Incarnation: 1}, Health: board.Alive})
		}
		fl.VMs = append(fl.VMs, board.VM{VMRef: board.VMRef{ID: "dead", Incarnation: 1}, Health: board.Dead})
		started, senders := fl.VMs[0], 0
		for _, one := range fl.VMs {
			vm := &VM{Self: one.VMRef}
			if vm.isCatchUpSender(fl, started) {
				assert.Equal(t, one.Health, board.Alive)
				assert.Assert(t, one.ID != started.ID)
				senders++
			}
		}
		assert.Equal(t, senders, min(catchUpSenders, size-1))
	}
}
