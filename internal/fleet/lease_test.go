package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

// storeAfterRemoval is a store whose topic ends with the removal of an entry, which a
// listing does not contain.
type storeAfterRemoval struct{ end uint64 }

func (st storeAfterRemoval) Newest(context.Context, string) ([]topic.Record, uint64, error) {
	return []topic.Record{{Key: secretKey, Value: []byte("s"), Offset: 3}}, st.end, nil
}

func (st storeAfterRemoval) Read(ctx context.Context, _ string, from uint64, wait clock.Millis) ([]topic.Record, uint64, error) {
	clock.Sleep(ctx, wait)
	return nil, from, ctx.Err()
}

func (st storeAfterRemoval) Append(_ context.Context, name, _ string, _ []byte, at *uint64) (uint64, error) {
	if at != nil && *at != st.end {
		return 0, &logsvc.AppendError{Stream: name, Effect: logsvc.NotAppended, Err: errLeaseChanged}
	}
	return st.end, nil
}

// A VM that lists the topic after its last entry was removed takes the lease like any
// other VM. The topic then ends beyond the last record of the listing: a VM that appends
// after that record is rejected until some VM writes another record.
func TestLeaseAfterRemovedEntry(t *testing.T) {
	mb := &Member{Self: board.VM{VMRef: board.VMRef{ID: "me"}}, Store: storeAfterRemoval{end: 9}, LeaseDuration: 4 * clock.Second}
	mb.Prepare()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	go mb.Topic.Run(ctx)
	select {
	case <-mb.readSignal:
	case <-ctx.Done():
		t.Fatal("the topic was not listed")
	}
	assert.NilError(t, mb.Swap(ctx, 0, "me/1", []byte("{}")))
}
