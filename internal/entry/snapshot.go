package entry

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/register"
)

// answerSnapshot returns a snapshot of a log stream to a peer. A VM that has not read
// the stream itself replies that it is not ready.
func (vm *VM) answerSnapshot(ctx context.Context, ask *peerpb.SnapshotAsk) (*peerpb.Frame, error) {
	snap := &peerpb.Snapshot{}
	switch fw, ok := vm.followerOf(ask.GetStream()); {
	case ok:
		fw.query(ctx, func(fo *register.Follower) {
			data, asOf, err := fo.Snapshot()
			snap.Data, snap.AsOf, snap.Ready = data, asOf, err == nil
		})
	case ask.GetStream() == vm.seatsStream():
		if err := vm.seatsSnapshot(snap); err != nil {
			return nil, err
		}
	}
	return &peerpb.Frame{Body: &peerpb.Frame_Snapshot{Snapshot: snap}}, nil
}

func (vm *VM) seatsSnapshot(snap *peerpb.Snapshot) error {
	st := vm.seats.Load()
	if st == nil {
		return nil
	}
	data, err := proto.Marshal(st.History())
	if err != nil {
		return fmt.Errorf("encode the seat tables: %w", err)
	}
	snap.AsOf, snap.Data, snap.Ready = st.Epoch, data, true
	return nil
}
