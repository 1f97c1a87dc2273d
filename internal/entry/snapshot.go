package entry

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/peer/peerpb"
)

// answerSnapshot tells a peer what this VM knows of a log stream.
func (vm *VM) answerSnapshot(_ context.Context, ask *peerpb.SnapshotAsk) (*peerpb.Frame, error) {
	snap := &peerpb.Snapshot{}
	if st := vm.seats.Load(); ask.GetStream() == seatsStream && st != nil {
		data, err := proto.Marshal(st.History())
		if err != nil {
			return nil, fmt.Errorf("write the seat tables: %w", err)
		}
		snap.AsOf, snap.Data, snap.Ready = st.Epoch, data, true
	}
	return &peerpb.Frame{Body: &peerpb.Frame_Snapshot{Snapshot: snap}}, nil
}
