package entry

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// A small deployment reads the list every second; a fleet of 380 VMs and 600 backend servers
// reads it every few seconds, with a jitter of a quarter of the interval.
func TestListIsReadLessOftenTheLongerItIs(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		name        string
		entries     int
		least, most clock.Millis
	}{
		{"none", 0, 750, listInterval},
		{"small", 20, 750, listInterval},
		{"large", 980, 3675, 4900},
		{"above the maximum", 100_000, 3750, maxListInterval},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			seen := make(map[clock.Millis]bool)
			for range 200 {
				span := listDelay(tc.entries, rnd)
				seen[span] = true
				assert.Assert(t, span > tc.least && span <= tc.most, "%v", span)
			}
			assert.Assert(t, len(seen) > 50, "%d different delays", len(seen))
		})
	}
}

// The cells are built once per list of backend servers: a new list rebuilds them, a load report
// does not.
func TestCellsAreDividedOnceForEachList(t *testing.T) {
	vm := &VM{Board: &board.Board{}}
	assert.Equal(t, len(vm.cellList().cells), 0)
	vm.Board.SetBackends(vm.Board.Backends().WithServers(modelEngines("svc", 6, 11)))
	first := vm.cellList()
	assert.Equal(t, len(first.cells), 2)
	vm.Board.SetBackends(vm.Board.Backends().WithReport(board.LoadReport{Server: "svc-p000"}))
	assert.Equal(t, vm.cellList(), first)
	vm.Board.SetBackends(vm.Board.Backends().WithServers(modelEngines("svc", 6, 10)))
	assert.Equal(t, len(vm.cellList().cells), 1)
	assert.DeepEqual(t, vm.cellList().byService, map[string][]string{"svc": {"svc/0"}})
}

// The idle cost of the lists of runs does not grow with the number of runs.
func TestRunsAreListedLessOftenTheMoreThereAre(t *testing.T) {
	assert.Equal(t, runningDelay(0), runningInterval)
	assert.Equal(t, runningDelay(100), runningInterval)
	assert.Equal(t, runningDelay(320), 32*clock.Second)
	assert.Equal(t, runningDelay(10_000), maxRunningInterval)
}

// A lost or restarted VM puts the runs in doubt, so it changes the digest; a suspected one
// does not.
func TestLossDigestIgnoresSuspicion(t *testing.T) {
	fleet := func(health board.Health, incarnation uint64) uint64 {
		return lossDigest(&board.Fleet{VMs: []board.VM{
			{VMRef: board.VMRef{ID: "vm-1", Incarnation: 1}},
			{VMRef: board.VMRef{ID: "vm-2", Incarnation: incarnation}, Health: health},
		}})
	}
	alive := fleet(board.Alive, 1)
	assert.Equal(t, fleet(board.Suspect, 1), alive)
	for _, other := range []uint64{fleet(board.Dead, 1), fleet(board.Left, 1), fleet(board.Alive, 2)} {
		assert.Assert(t, other != alive)
	}
}

// A VM reads four load reports of plain servers per second. The four servers of a small service
// are read every second, and any server within three.
func TestPlainPollRateIsBounded(t *testing.T) {
	assert.Equal(t, plainPollDelay(0), plainPollInterval)
	assert.Equal(t, plainPollDelay(4), plainPollInterval)
	assert.Equal(t, plainPollDelay(8), 2*clock.Second)
	assert.Equal(t, plainPollDelay(40), maxPlainInterval)
}
