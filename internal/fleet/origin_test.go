package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/internal/origin"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

func TestOriginOnTheWire(t *testing.T) {
	id := origin.IDOf("ann", "a1")
	for _, rq := range []origin.Request{
		{ID: id, Record: origin.Record{Service: "m", Version: "v1"}, Life: 16 * clock.Second},
		{ID: id, Service: "m", Span: 14 * clock.Second},
	} {
		got, ok := originRequestFromWire(originRequestToWire(7, rq).GetOriginAsk())
		assert.Assert(t, ok)
		assert.Equal(t, got, rq)
	}
	_, ok := originRequestFromWire(&peerpb.OriginAsk{ID: []byte("short")})
	assert.Assert(t, !ok)
	for _, re := range []origin.Reply{
		{}, {Sole: "v1"}, {Several: true}, {State: origin.Ambiguous},
		{State: origin.Known, Record: origin.Record{Service: "m", Version: "v1"}, Age: 900, Sole: "v1"},
	} {
		assert.Equal(t, originReplyFromWire(originReplyToWire(7, re).GetOriginAnswer()), re)
	}
}

// originFleet returns a view with a number of VMs in some failure domains.
func originFleet(vms, domains int, self string) *board.Fleet {
	view := &board.Fleet{Self: board.VMRef{ID: self}}
	for ix := range vms {
		view.VMs = append(view.VMs, board.VM{VMRef: board.VMRef{ID: fmt.Sprint(ix), Incarnation: 1}, FailureDomain: fmt.Sprint(ix % domains)})
	}
	return view
}

// A VM that asks for a record asks VMs to which it was copied, though it counts VMs as
// alive that the VM which copied it did not, and the other way round.
func TestVMsThatKeepARecordAreAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms, domains := rapid.IntRange(4, 300).Draw(t, "vms"), rapid.IntRange(1, 8).Draw(t, "domains")
		id := origin.IDOf("", rapid.String().Draw(t, "attempt"))
		from, to := originFleet(vms, domains, "0"), originFleet(vms, domains, "1")
		skipped := rapid.IntRange(2, vms-1).Draw(t, "skipped")
		from.VMs[skipped].Health = board.Suspect
		copied := originVMs(from, id, 5, true)
		copied = copied[:min(3, len(copied))]
		asked := make(map[string]bool)
		for _, vm := range originVMs(to, id, 5, false) {
			asked[vm] = true
		}
		found := 0
		for _, vm := range copied {
			if asked[vm] || vm == to.Self.ID {
				found++
			}
		}
		assert.Assert(t, found >= min(2, len(copied)), "copied to %v, asked %v", copied, asked)
		assert.Assert(t, len(asked) <= 5)
	})
}

// The copies of a record are in different failure domains.
func TestRecordsAreSpreadOverDomains(t *testing.T) {
	for attempt := range 100 {
		view := originFleet(69, 4, "0")
		domains := make(map[string]bool)
		for _, id := range originVMs(view, origin.IDOf("", fmt.Sprint(attempt)), 5, true)[:3] {
			vm, _ := view.VM(id)
			domains[vm.FailureDomain] = true
		}
		assert.Equal(t, len(domains), 3)
	}
}

// BenchmarkOriginMessages measures the messages that copy a record, and how long the choice
// of the VMs takes.
func BenchmarkOriginMessages(b *testing.B) {
	for _, vms := range []int{7, 69, 300} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			view := originFleet(vms, 4, "0")
			id := origin.IDOf("", "9c41d07be2a35f68")
			bytes, messages := 0, 0
			for b.Loop() {
				bytes, messages = 0, 0
				for range originVMs(view, id, 5, true)[:3] {
					for _, dg := range []*peerpb.Datagram{
						originRequestToWire(7, origin.Request{ID: id, Record: origin.Record{Service: "summary-llm", Version: "v1.2"}, Life: 16 * clock.Second}),
						originReplyToWire(7, origin.Reply{State: origin.Known, Record: origin.Record{Service: "summary-llm", Version: "v1.2"}}),
					} {
						dg.From, dg.To, dg.Incarnation, dg.Sequence = "edge-cantho-a-1", "edge-cantho-b-2", 1<<41, 1<<20
						bytes += proto.Size(dg) + datagramOverhead
						messages++
					}
				}
			}
			b.ReportMetric(float64(bytes), "B/stream")
			b.ReportMetric(float64(messages), "messages/stream")
		})
	}
}

// datagramOverhead is what the MAC, UDP and IP add to a datagram, in bytes.
const datagramOverhead = 16 + 28
