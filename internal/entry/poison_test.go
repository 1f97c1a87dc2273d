package entry

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/poison"
	"alderdyke/internal/service"
	"alderdyke/internal/standin/malformed"
)

// A server whose answers break HTTP is alive: the requests that it got did not crash it.
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	answers := slices.Concat(malformed.Statuses("", "{}"), malformed.AcceptedNames("", "{}"), malformed.Informational("", "{}"), malformed.Codings("", "{}"))
	for _, an := range answers {
		t.Run(an.Name, func(t *testing.T) {
			srv := httptest.NewServer(an)
			defer srv.Close()
			hc := backend.NewHTTP(backend.Limits{})
			defer hc.CloseIdleConnections()
			vm := &VM{Services: &service.Client{HTTP: hc}}
			finding := vm.probe(t.Context(), poison.Call{Server: board.BackendServer{ID: "s1", Role: board.Plain, Address: srv.Listener.Addr().String()}})
			assert.Equal(t, finding, poison.Alive)
		})
	}
}

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
