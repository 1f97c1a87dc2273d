package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
)

func modelEngines(service string, prefill, decode int) []board.BackendServer {
	var out []board.BackendServer
	for ix := range prefill {
		out = append(out, board.BackendServer{ID: fmt.Sprintf("%s-p%03d", service, ix), Service: service, Role: board.Prefill})
	}
	for ix := range decode {
		out = append(out, board.BackendServer{ID: fmt.Sprintf("%s-q%03d", service, ix), Service: service, Role: board.Decode})
	}
	return out
}

// A cell without engines of both roles can't run a request.
func TestCellsHoldBothRolesAndStayBounded(t *testing.T) {
	tests := []struct {
		name            string
		prefill, decode int
		wantCells       int
	}{
		{"small", 3, 5, 1},
		{"full cell", 6, 10, 1},
		{"one engine more than a full cell", 6, 11, 2},
		{"large", 200, 400, 38},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			cells := divideIntoCells(&board.Backends{Servers: modelEngines("svc", tc.prefill, tc.decode)})
			assert.Equal(t, len(cells), tc.wantCells)
			for _, ce := range cells {
				roles := make(map[board.Role]int)
				for _, srv := range ce.Servers {
					roles[srv.Role]++
				}
				assert.Assert(t, roles[board.Prefill] > 0 && roles[board.Decode] > 0, "cell %s has %v", ce.Name, roles)
				assert.Assert(t, len(ce.Servers) <= maxCellServers+1, "cell %s has %d engines", ce.Name, len(ce.Servers))
			}
		})
	}
}

func TestCellsLeavePlainServersOut(t *testing.T) {
	cells := divideIntoCells(&board.Backends{Servers: []board.BackendServer{{ID: "kiosk-1", Service: "kiosk-api", Role: board.Plain}}})
	assert.Equal(t, len(cells), 0)
}

func TestSchedulerIsNeverLeavingSuspectOrDead(t *testing.T) {
	fleet := &board.Fleet{}
	for ix := range 7 {
		vm := board.VM{VMRef: board.VMRef{ID: fmt.Sprintf("vm-%d", ix)}}
		switch ix % 4 {
		case 0:
			vm.Leaving = true
		case 1:
			vm.Health = board.Dead
		case 2:
			vm.Health = board.Suspect
		}
		fleet.VMs = append(fleet.VMs, vm)
	}
	for ix := range 50 {
		vm, ok := schedulerOf(fmt.Sprintf("svc/%d", ix), fleet)
		assert.Assert(t, ok)
		assert.Assert(t, !vm.Leaving && vm.Health == board.Alive, "cell %d went to %s", ix, vm.ID)
	}
}
