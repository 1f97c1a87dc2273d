package registry_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/registry"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

func server(id string) board.BackendServer { return board.BackendServer{ID: id, Address: id + ":1"} }

func entry(bs board.BackendServer) registry.Entry { return registry.Entry{Server: bs} }

func ids(list []board.BackendServer) []string {
	out := []string{}
	for _, bs := range list {
		out = append(out, bs.ID)
	}
	return out
}

func TestSetAndRemove(t *testing.T) {
	var rg registry.Registry
	rg.Set(0, entry(server("b")))
	rg.Set(0, entry(server("a")))
	list, changed := rg.Servers(0)
	assert.DeepEqual(t, ids(list), []string{"a", "b"})
	assert.Assert(t, changed)
	rg.Set(0, entry(server("a"))) // a renewal, which changes nothing
	_, changed = rg.Servers(0)
	assert.Assert(t, !changed)
	leaving := server("a")
	leaving.Leaving = true
	rg.Set(0, entry(leaving))
	list, changed = rg.Servers(0)
	assert.Assert(t, changed && list[0].Leaving)
	rg.Remove(0, "a", topic.Revision{})
	list, _ = rg.Servers(0)
	assert.DeepEqual(t, ids(list), []string{"b"})
}

// An entry that expired during an outage of the store is kept until its server has
// had time to renew it.
func TestEntryExpiredInOutageIsKept(t *testing.T) {
	const outageEnd = 10 * clock.Second
	for _, tc := range []struct {
		name           string
		at             clock.Millis
		renew          bool
		want           []string
		wantAfterGrace []string
	}{
		{"never renewed", outageEnd + 500, false, []string{"a", "b"}, []string{"b"}},
		{"renewed", outageEnd + 500, true, []string{"a", "b"}, []string{"a", "b"}},
		{"after the grace period", outageEnd + registry.DefaultRenewalGrace, false, []string{"b"}, []string{"b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var rg registry.Registry
			rg.Set(0, entry(server("a")))
			rg.Set(0, entry(server("b")))
			rg.SetOutageEnd(outageEnd)
			rg.Replace(tc.at, []registry.Entry{entry(server("b"))})
			list, _ := rg.Servers(tc.at)
			assert.DeepEqual(t, ids(list), tc.want)
			if tc.renew {
				rg.Set(0, entry(server("a")))
			}
			list, _ = rg.Servers(outageEnd + registry.DefaultRenewalGrace)
			assert.DeepEqual(t, ids(list), tc.wantAfterGrace)
		})
	}
}

// A renewal that takes effect late does not make a leaving server ready again; its
// next incarnation is ready.
func TestLateRenewalDoesNotRevokeLeaving(t *testing.T) {
	newServer := func(incarnation uint64, leaving bool) board.BackendServer {
		return board.BackendServer{ID: fmt.Sprintf("a.%d", incarnation), Name: "a", Incarnation: incarnation, Leaving: leaving}
	}
	var rg registry.Registry
	rg.Set(0, entry(newServer(5, false)))
	rg.Set(0, entry(newServer(5, true)))
	rg.Servers(0)
	assert.Assert(t, rg.IsRedundant(0, entry(newServer(5, false))))
	rg.Set(0, entry(newServer(5, false)))
	list, changed := rg.Servers(0)
	assert.Assert(t, !changed)
	assert.Assert(t, list[0].Leaving)
	rg.Set(0, entry(newServer(6, false)))
	list, _ = rg.Servers(0)
	assert.Assert(t, !list[0].Leaving)
}

// A server that restarts reuses its entry. Delayed writes of an earlier incarnation
// are redundant, and removing the entry removes the server whatever its incarnation.
func TestServerRestart(t *testing.T) {
	newServer := func(incarnation uint64) board.BackendServer {
		return board.BackendServer{ID: fmt.Sprintf("a.%d", incarnation), Name: "a", Incarnation: incarnation, Address: "a:1"}
	}
	var rg registry.Registry
	rg.Set(0, entry(newServer(5)))
	list, changed := rg.Servers(0)
	assert.Assert(t, changed)
	assert.DeepEqual(t, ids(list), []string{"a.5"})
	rg.Set(0, entry(newServer(7)))
	list, changed = rg.Servers(0)
	assert.Assert(t, changed)
	assert.DeepEqual(t, ids(list), []string{"a.7"})
	assert.Assert(t, rg.IsRedundant(0, entry(newServer(5))))
	rg.Set(0, entry(newServer(5)))
	list, changed = rg.Servers(0)
	assert.Assert(t, !changed)
	assert.DeepEqual(t, ids(list), []string{"a.7"})
	rg.Remove(0, "a", topic.Revision{})
	list, _ = rg.Servers(0)
	assert.Equal(t, len(list), 0)
	assert.Assert(t, !rg.Contains("a"))
}

// The renewal of an entry that expires late in the grace period may have failed in a
// further outage that no VM noticed, so its server gets one more heartbeat interval.
// If the outage turns out not to have happened, it gets none.
func TestEntryThatExpiresInTheGracePeriodMayBeRenewed(t *testing.T) {
	const outageEnd = 10 * clock.Second
	expired := outageEnd + registry.DefaultRenewalGrace - 100
	for _, tc := range []struct {
		name    string
		at      clock.Millis
		refuted bool
		want    []string
	}{
		{"grace period over", outageEnd + registry.DefaultRenewalGrace, false, []string{"a"}},
		{"heartbeat interval over", expired + 1250, false, []string{}},
		{"no outage after all", expired + 100, true, []string{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var rg registry.Registry
			rg.Set(0, entry(server("a")))
			rg.SetOutageEnd(outageEnd)
			assert.Assert(t, rg.Remove(expired, "a", topic.Revision{}))
			rg.Remove(expired+50, "a", topic.Revision{}) // the same expiry reported twice
			if tc.refuted {
				rg.SetOutageEnd(0)
			}
			list, _ := rg.Servers(tc.at)
			assert.DeepEqual(t, ids(list), tc.want)
		})
	}
}
