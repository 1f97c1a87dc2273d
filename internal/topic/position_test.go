package topic_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

func TestPosition(t *testing.T) {
	last := uint64(0)
	for _, tc := range []struct{ era, offset uint64 }{{0, 0}, {0, 1}, {0, 1<<40 - 1}, {1, 0}, {1, 7}, {8000, 3}} {
		pos := topic.Position(tc.era, tc.offset)
		assert.Equal(t, topic.EraOf(pos), tc.era)
		assert.Equal(t, topic.OffsetOf(pos), tc.offset)
		assert.Assert(t, pos >= last && pos < 1<<53, "%d/%d", tc.era, tc.offset)
		last = pos
	}
}

// restoringStore is a store that is restored from older copies.
type restoringStore struct {
	mu   sync.Mutex
	era  uint64
	recs []topic.Record // by their offsets in this era
}

func (ds *restoringStore) put(key, value string) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.recs = append(ds.recs, topic.Record{Key: key, Value: []byte(value)})
}

// restoreOlder starts a new era and loses the newest records.
func (ds *restoringStore) restoreOlder(lost int) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.era++
	ds.recs = slices.Clone(ds.recs[:max(0, len(ds.recs)-lost)])
}

// from returns the records from an offset on, with their positions. The caller holds the lock.
func (ds *restoringStore) from(offset uint64) (out []topic.Record, next uint64) {
	for ix := offset; ix < uint64(len(ds.recs)); ix++ {
		rec := ds.recs[ix]
		rec.Offset = topic.Position(ds.era, ix)
		out = append(out, rec)
	}
	return out, topic.Position(ds.era, uint64(len(ds.recs)))
}

func (ds *restoringStore) Newest(context.Context, string) ([]topic.Record, uint64, error) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	recs, next := ds.from(0)
	return recs, next, nil
}

func (ds *restoringStore) Read(_ context.Context, _ string, from uint64, _ clock.Millis) ([]topic.Record, uint64, error) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if topic.EraOf(from) != ds.era {
		return nil, 0, topic.ErrStoreRestored
	}
	recs, next := ds.from(topic.OffsetOf(from))
	return recs, next, nil
}

// Whatever the store loses, and however often, a follower that reads and one that receives
// its updates must end up with the store's content, and must receive records in order.
func TestFollowersAcrossStoreRestores(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 9))
			ds := &restoringStore{}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var mu sync.Mutex
			known := [2]map[string]string{{}, {}}
			last, reported := [2]uint64{}, [2]int{}
			var fos [2]*topic.Follower
			for ix := range fos {
				take := func(rec topic.Record) {
					mu.Lock()
					defer mu.Unlock()
					assert.Check(t, rec.Offset >= last[ix], "seed %d: record at %x was applied after the one at %x", seed, rec.Offset, last[ix])
					last[ix] = rec.Offset
					known[ix][rec.Key] = string(rec.Value)
				}
				fos[ix] = &topic.Follower{Source: ds, Name: "t", Pause: 50, Clock: bubbleClock{time.Now()}, StandbyAfter: 200, SelfReadAfter: 400,
					Rank: func() int { return ix * topic.MaxReaders }, OnSnapshot: topic.ApplyEach(take), OnChange: take, OnStoreRestored: func() { reported[ix]++ }}
			}
			fos[0].Broadcast = fos[1].Receive
			fos[1].Broadcast = func(topic.Update) {}
			ds.put("first", "0")
			for _, fo := range fos {
				go fo.Run(ctx)
			}
			restores := 0
			for step := range 60 {
				if rnd.IntN(8) == 0 {
					ds.restoreOlder(rnd.IntN(6))
					restores++
				}
				ds.put(fmt.Sprint("k", rnd.IntN(5)), fmt.Sprint(step))
				time.Sleep(time.Duration(rnd.IntN(80)) * time.Millisecond)
			}
			time.Sleep(time.Second)
			mu.Lock()
			defer mu.Unlock()
			for ix := range fos {
				for _, rec := range ds.recs {
					want := ""
					for _, later := range ds.recs {
						if later.Key == rec.Key {
							want = string(later.Value)
						}
					}
					assert.Equal(t, known[ix][rec.Key], want, "seed %d: key %s at follower %d", seed, rec.Key, ix)
				}
				assert.Assert(t, reported[ix] <= restores && (restores == 0 || reported[ix] > 0), "seed %d: %d restores reported for %d", seed, reported[ix], restores)
			}
		})
	}
}
