package entry

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/register"
)

// answerSnapshot tells a peer what this VM knows of a log stream. A VM that
// does not know it itself says that it is not ready.
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
		return fmt.Errorf("write the seat tables: %w", err)
	}
	snap.AsOf, snap.Data, snap.Ready = st.Epoch, data, true
	return nil
}
