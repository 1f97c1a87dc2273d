package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"alderdyke/internal/operator"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// explainConcurrency limits how many VMs are queried at the same time.
const explainConcurrency = 8

// explain collects the trace of a request from all VMs. VMs that do not respond
// are left out.
func (vm *VM) explain(ctx context.Context, id requestID) ([]operator.ExplainLine, error) {
	ask := &peerpb.Frame{Body: &peerpb.Frame_ExplainAsk{ExplainAsk: &peerpb.ExplainAsk{
		Customer: id.Customer, Key: id.Key,
	}}}
	var mu sync.Mutex
	var lines []operator.ExplainLine
	var gr errgroup.Group
	gr.SetLimit(explainConcurrency)
	for _, to := range vm.Board.Fleet().Serving() {
		gr.Go(func() error {
			reply, err := vm.callPeer(ctx, to, ask)
			if err != nil {
				return nil // a VM that can't be reached adds nothing
			}
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, explainLines(reply.GetExplainReply())...)
			return nil
		})
	}
	gr.Wait()
	slices.SortStableFunc(lines, func(la, lb operator.ExplainLine) int {
		return cmp.Or(cmp.Compare(la.VM, lb.VM), cmp.Compare(la.Since, lb.Since))
	})
	return lines, nil
}

func explainLines(er *peerpb.ExplainReply) []operator.ExplainLine {
	var out []operator.ExplainLine
	for _, el := range er.GetLines() {
		out = append(out, operator.ExplainLine{
			VM:    el.GetVM(),
			Since: clock.Millis(el.GetSince()),
			Event: int(el.GetEvent()),
			Text:  el.GetText(),
		})
	}
	return out
}

// answerExplain returns what this VM recorded about a request.
func (vm *VM) answerExplain(ask *peerpb.ExplainAsk) *peerpb.Frame {
	reply := &peerpb.ExplainReply{}
	for _, tl := range vm.traces.find(requestID{Customer: ask.GetCustomer(), Key: ask.GetKey()}) {
		text := tl.Event.Name
		if tl.Text != "" {
			text += ": " + tl.Text
		}
		reply.Lines = append(reply.Lines, &peerpb.ExplainLine{
			VM:    vm.Self.ID,
			Since: int64(tl.Since),
			Event: int32(tl.Event.Number),
			Text:  text,
		})
	}
	return &peerpb.Frame{Body: &peerpb.Frame_ExplainReply{ExplainReply: reply}}
}
