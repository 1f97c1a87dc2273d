package registry_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/registry"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

// numbered returns an entry of the server "a".
func numbered(incarnation, renewal uint64) registry.Entry {
	return registry.Entry{Renewal: renewal, Server: board.BackendServer{ID: fmt.Sprintf("a.%d", incarnation), Name: "a", Incarnation: incarnation}}
}

func leavingEntry(en registry.Entry) registry.Entry {
	en.Server.Leaving = true
	return en
}

func isListed(rg *registry.Registry, now clock.Millis) bool {
	list, _ := rg.Servers(now)
	return len(list) > 0
}

// Guards against a renewal that takes effect after the removal of its entry, and lists a server
// that left; and against a server that renews an expired entry and is not used again.
func TestLateRenewalAfterRemoval(t *testing.T) {
	const removedAt = 20 * clock.Second
	for _, tc := range []struct {
		name   string
		last   registry.Entry
		silent clock.Millis // at most, before the removal; zero: not known
		until  topic.Revision
		after  clock.Millis // from the removal to the entry
		next   registry.Entry
		want   bool
	}{
		{"an earlier renewal", numbered(0, 7), 3600, topic.Revision{}, 2000, numbered(0, 5), false},
		{"the last renewal again", numbered(0, 7), 3600, topic.Revision{}, 2000, numbered(0, 7), false},
		{"a renewal that only the reader knows of", numbered(0, 1), 0, topic.Revision{Renewal: 7}, 2000, numbered(0, 5), false},
		{"not numbered", numbered(0, 7), 3600, topic.Revision{}, 2000, numbered(0, 0), false},
		{"written just before the server left", numbered(0, 7), 2000, topic.Revision{}, 2000, numbered(0, 8), false},
		{"of a server that was leaving", leavingEntry(numbered(0, 7)), 3600, topic.Revision{}, 2000, numbered(0, 9), false},
		{"of an earlier incarnation", numbered(6, 7), 3600, topic.Revision{}, 2000, numbered(5, 90), false},
		{"without an incarnation", numbered(6, 7), 3600, topic.Revision{}, 2000, numbered(0, 90), false},
		{"expired and renewed", numbered(0, 7), 3600, topic.Revision{}, 2000, numbered(0, 8), true},
		{"expired and renewed after failed ones", numbered(0, 7), 3600, topic.Revision{}, 2000, numbered(0, 11), true},
		{"alive after all", numbered(0, 7), 2000, topic.Revision{}, 3600, numbered(0, 10), true},
		{"restarted", numbered(6, 7), 1000, topic.Revision{}, 1000, numbered(8, 1), true},
		{"restarted after it was leaving", leavingEntry(numbered(6, 7)), 1000, topic.Revision{}, 1000, numbered(8, 1), true},
		{"nothing is numbered", numbered(0, 0), 1000, topic.Revision{}, 1000, numbered(0, 0), true},
		{"long ago", numbered(0, 7), 3600, topic.Revision{}, 15 * clock.Second, numbered(0, 5), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var rg registry.Registry
			if tc.silent > 0 {
				tc.last.After = removedAt - tc.silent
			}
			rg.Set(removedAt-tc.silent+800, tc.last)
			rg.Remove(removedAt, "a", tc.until)
			assert.Assert(t, !isListed(&rg, removedAt))
			now := removedAt + tc.after
			assert.Equal(t, rg.IsRedundant(now, tc.next), !tc.want)
			until, superseded := rg.Supersedes(now, tc.next)
			assert.Equal(t, superseded, !tc.want)
			assert.Equal(t, until.IsAfter(topic.Revision{}) && until != topic.Revision{}, !tc.want)
			rg.Set(now, tc.next)
			assert.Equal(t, isListed(&rg, now), tc.want)
		})
	}
}

// Guards against a late renewal that changes back the address or the role of a server that is
// listed. Other VMs may have read it, so the next renewal is new to them.
func TestLateRenewalOfListedServer(t *testing.T) {
	moved := numbered(6, 7)
	moved.Server.Address = "10.0.0.2:1"
	var rg registry.Registry
	rg.Set(0, numbered(6, 5))
	rg.Set(1000, moved)
	rg.Servers(1000)
	assert.Assert(t, rg.IsLate(2000, numbered(6, 6)) && rg.IsRedundant(2000, numbered(6, 6)))
	rg.Set(2000, numbered(6, 6))
	list, changed := rg.Servers(2000)
	assert.Assert(t, !changed)
	assert.Equal(t, list[0].Address, "10.0.0.2:1")
	moved.Renewal = 8
	assert.Assert(t, !rg.IsRedundant(3000, moved), "the other VMs are not told that the change back was none")
	rg.Set(3000, moved)
	moved.Renewal = 9
	assert.Assert(t, rg.IsRedundant(4000, moved))
	assert.Assert(t, !rg.IsLate(5000, moved), "a repeat without a change")
}

// A late entry still tells that its server leaves.
func TestLateEntryAnnouncesLeaving(t *testing.T) {
	var rg registry.Registry
	rg.Set(0, numbered(6, 7))
	rg.Servers(0)
	assert.Assert(t, !rg.IsRedundant(1000, leavingEntry(numbered(6, 6))))
	rg.Set(1000, leavingEntry(numbered(6, 6)))
	list, changed := rg.Servers(1000)
	assert.Assert(t, changed && list[0].Leaving)
}

// Guards against an entry of another writer, with a number far ahead, that makes the renewals of
// the server look late for good; and against numbers that don't grow.
func TestNumbersOfOtherWriters(t *testing.T) {
	var rg registry.Registry
	rg.Set(0, numbered(0, 1<<40))
	moved := numbered(0, 3)
	moved.Server.Address = "10.0.0.2:1"
	rg.Set(1000, moved)
	assert.Assert(t, rg.IsLate(14*clock.Second, moved))
	rg.Set(15*clock.Second, moved)
	list, _ := rg.Servers(15 * clock.Second)
	assert.Equal(t, list[0].Address, "10.0.0.2:1")
	moved.Server.Address = "10.0.0.3:1"
	rg.Set(16*clock.Second, moved)
	list, _ = rg.Servers(16 * clock.Second)
	assert.Equal(t, list[0].Address, "10.0.0.3:1", "the same number as before")
	moved.Renewal, moved.Server.Address = 0, "10.0.0.4:1"
	rg.Set(17*clock.Second, moved)
	assert.Assert(t, rg.IsLate(18*clock.Second, numbered(0, 2)), "an entry without a number resets none")
}

// Guards against a late renewal that makes a server which left in the grace period after an
// outage look alive. A renewal written after the expiry keeps it.
func TestLateRenewalInGracePeriod(t *testing.T) {
	const outageEnd = 10 * clock.Second
	for _, tc := range []struct {
		renewal uint64
		want    bool
	}{{5, false}, {7, false}, {8, true}} {
		var rg registry.Registry
		rg.Set(4*clock.Second, numbered(0, 7))
		rg.SetOutageEnd(outageEnd)
		assert.Assert(t, rg.Remove(outageEnd+200, "a", topic.Revision{}))
		rg.Set(outageEnd+400, numbered(0, tc.renewal))
		assert.Assert(t, isListed(&rg, outageEnd+500))
		assert.Equal(t, isListed(&rg, outageEnd+4*clock.Second), tc.want, "renewal %d", tc.renewal)
		rg.Set(outageEnd+5*clock.Second, numbered(0, tc.renewal))
		assert.Equal(t, isListed(&rg, outageEnd+5*clock.Second), tc.want, "renewal %d", tc.renewal)
	}
}

// Guards against live servers that are dropped because a store that was restored from an older
// copy lacks their entries. Servers renew them, or write the last ones again.
func TestRestoreWithdrawsNoEntry(t *testing.T) {
	for renewal, want := range map[uint64]bool{6: false, 7: true, 8: true} {
		var rg registry.Registry
		en := numbered(0, 7)
		en.After = 9 * clock.Second
		rg.Set(10*clock.Second, en)
		rg.SetStoreRestored()
		rg.SetOutageEnd(10 * clock.Second)
		rg.Replace(10*clock.Second, nil)
		rg.Set(11*clock.Second, numbered(0, renewal))
		assert.Equal(t, isListed(&rg, 20*clock.Second), want, "renewal %d", renewal)
	}
}

// Guards against another writer's entry under a server's key that counts as its withdrawal.
func TestOverwrittenEntryIsRenewed(t *testing.T) {
	var rg registry.Registry
	en := numbered(0, 7)
	en.After = 9 * clock.Second
	rg.Set(10*clock.Second, en)
	rg.RemoveOverwritten(10*clock.Second, "a")
	assert.Assert(t, !isListed(&rg, 10*clock.Second))
	rg.Set(11*clock.Second, numbered(0, 8))
	assert.Assert(t, isListed(&rg, 11*clock.Second))
}

// Guards against a VM that has listed the store after a late renewal, and uses the server that
// others know to have left.
func TestMergeRemovals(t *testing.T) {
	const now = 20 * clock.Second
	var other registry.Registry
	other.Set(0, numbered(0, 7))
	other.Remove(now-2000, "a", topic.Revision{})
	removals := other.Removals(now)
	assert.DeepEqual(t, removals, []registry.Removal{{Key: "a", Until: topic.Revision{Renewal: 7}, Age: 2000}})
	for _, tc := range []struct {
		name   string
		listed registry.Entry
		merged []registry.Removal
		want   bool
	}{
		{"a late renewal", numbered(0, 5), removals, false},
		{"renewed since", numbered(0, 8), removals, true},
		{"restarted since", numbered(6, 1), removals, true},
		{"another server", numbered(0, 5), []registry.Removal{{Key: "b", Until: topic.Revision{Renewal: 7}}}, true},
		{"too long ago", numbered(0, 5), []registry.Removal{{Key: "a", Until: topic.Revision{Renewal: 7}, Age: math.MaxUint32}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var rg registry.Registry
			rg.Replace(now, []registry.Entry{tc.listed})
			rg.Merge(now, tc.merged)
			assert.Equal(t, isListed(&rg, now), tc.want)
			rg = registry.Registry{}
			rg.Merge(now, tc.merged)
			rg.Replace(now, []registry.Entry{tc.listed})
			assert.Equal(t, isListed(&rg, now), tc.want, "told before the listing")
		})
	}
}

// Guards against memory that grows with the number of servers that were ever replaced.
func TestRemovalsAreForgotten(t *testing.T) {
	var rg registry.Registry
	for now := range 100 * clock.Second {
		if now%10 == 0 {
			key := fmt.Sprint(now)
			rg.Set(now, registry.Entry{Server: board.BackendServer{ID: key}, Renewal: 1})
			rg.Remove(now, key, topic.Revision{})
		}
		if now%800 == 0 {
			rg.Servers(now)
		}
	}
	rg.Servers(100 * clock.Second)
	assert.Equal(t, rg.RemovalsForTest(), 1499)
}
