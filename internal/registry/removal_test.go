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

// Guards against live servers that are dropped because a store that was restored from an older
// copy lacks their entries.
func TestRestoreWithdrawsNoEntry(t *testing.T) {
	var rg registry.Registry
	en := numbered(0, 7)
	en.After = 9 * clock.Second
	rg.Set(10*clock.Second, en)
	rg.SetStoreRestored()
	rg.SetOutageEnd(10 * clock.Second)
	rg.Replace(10*clock.Second, nil)
	rg.Set(11*clock.Second, numbered(0, 8))
	assert.Assert(t, isListed(&rg, 20*clock.Second))
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
