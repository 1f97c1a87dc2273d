package board_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
)

func TestZeroBoard(t *testing.T) {
	var bd board.Board
	assert.Equal(t, len(bd.Fleet().VMs), 0)
	assert.Equal(t, len(bd.Backends().WithReport(board.LoadReport{Server: "e1"}).Reports), 1)
	assert.Assert(t, !bd.Templates().Ready)
}

func TestServing(t *testing.T) {
	fl := &board.Fleet{VMs: []board.VM{
		{VMRef: board.VMRef{ID: "a"}, Health: board.Alive, Leaving: true},
		{VMRef: board.VMRef{ID: "b"}, Health: board.Suspect},
		{VMRef: board.VMRef{ID: "c"}, Health: board.Dead},
		{VMRef: board.VMRef{ID: "d"}, Health: board.Left},
	}}
	assert.DeepEqual(t, fl.Serving(), fl.VMs[:2])
	vm, ok := fl.VM("c")
	assert.Assert(t, ok && vm.Health == board.Dead)
	_, ok = fl.VM("e")
	assert.Assert(t, !ok)
}

// A snapshot that readers hold must never change.
func TestBackendsAreImmutable(t *testing.T) {
	first := (&board.Backends{}).WithServers([]board.BackendServer{{ID: "e1"}, {ID: "e2"}})
	second := first.WithReport(board.LoadReport{Server: "e1", Running: 3})
	third := second.WithReport(board.LoadReport{Server: "e1", Running: 5})
	assert.Equal(t, len(first.Reports), 0)
	assert.Equal(t, second.Reports["e1"].Running, 3)
	assert.Equal(t, third.Reports["e1"].Running, 5)
	assert.Equal(t, third.Epoch, first.Epoch, "a report does not change the epoch")

	fourth := third.WithServers([]board.BackendServer{{ID: "e2"}})
	assert.Equal(t, len(fourth.Reports), 0, "report of an unlisted server was kept")
	assert.Equal(t, fourth.Epoch, third.Epoch+1)
	_, ok := fourth.Server("e1")
	assert.Assert(t, !ok)
	_, ok = third.Server("e1")
	assert.Assert(t, ok)
}

func ExampleBoard() {
	var bd board.Board
	bd.SetBackends(bd.Backends().WithServers([]board.BackendServer{{ID: "e1", Role: board.Prefill}}))
	for _, srv := range bd.Backends().Servers {
		fmt.Println(srv.ID, srv.Role)
	}
	// Output: e1 Prefill
}
