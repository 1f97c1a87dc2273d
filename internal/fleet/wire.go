package fleet

import (
	"bytes"
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/suspect"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// maxUpdateBytes limits the records in one message; 300 bytes of a datagram are reserved
	// for the names and numbers around them.
	maxUpdateBytes = peer.MaxDatagram - 300
	// recordOverhead bounds the bytes of a record's offset and revision, and of their tags.
	recordOverhead = 50
	// usageOverhead is reserved for the names and numbers around a usage report.
	usageOverhead = 150
	// maxPlanned is the longest time that another VM's forecast or reservation may be
	// ahead. No caller waits that long, so a longer one is a fault of that VM: the time
	// counts as not given, and the rest of the message is used.
	maxPlanned = 3600 * clock.Second
	// maxMoves bounds the moves that a VM may state in a report: no VM serves more runs.
	maxMoves = 1 << 16
)

// ReportUsage sends this VM's runs and requests at the engines to the schedulers; in a
// small fleet, to all VMs.
func (fl *Fleet) ReportUsage(rp usage.Report) {
	to := fl.Schedulers()
	if len(to) == 0 {
		to = fl.broadcaster().alive(func(board.VM) bool { return true })
	}
	to = slices.DeleteFunc(slices.Clone(to), func(vm board.VM) bool { return vm.ID == fl.Self.ID })
	// If a message is too long or lost, the other VMs reserve the most that each run
	// may use.
	fl.broadcaster().sendTo(to, []*peerpb.Datagram{{Body: &peerpb.Datagram_Usage{Usage: usageThatFits(rp)}}})
}

// usageThatFits encodes a report. If it is larger than a datagram, it leaves out what the
// other VMs can do without: first the returns, the oldest first, then the waiting requests
// that come last.
func usageThatFits(rp usage.Report) *peerpb.Usage {
	for {
		out := usageToWire(rp)
		switch {
		case proto.Size(out) <= peer.MaxDatagram-usageOverhead:
			return out
		case len(rp.Returns) > 0:
			rp.Returns = rp.Returns[(len(rp.Returns)+1)/2:]
		case len(rp.Waiting) > 0:
			rp.Waiting = rp.Waiting[:len(rp.Waiting)/2]
		default:
			return out
		}
	}
}

// BroadcastUpdate forwards to all VMs alive what this one read of a topic. A VM that
// misses a part notices the gap at the next update.
func (fl *Fleet) BroadcastUpdate(nw topic.Update) {
	msgs, err := updateToWire(nw)
	if err != nil {
		fl.Log.Log(event.NewsNotTold, event.F("Topic", nw.Topic), event.F("From", nw.From), event.F("Error", err.Error()))
		return
	}
	fl.broadcaster().Broadcast(msgs...)
}

// BroadcastReport sends what this VM reports about requests to all VMs alive.
func (fl *Fleet) BroadcastReport(re suspect.Report) { fl.broadcaster().BroadcastReport(re) }

func reportToWire(re suspect.Report) *peerpb.Datagram {
	switch re := re.(type) {
	case suspect.Crash:
		end := &peerpb.RequestEnd{Server: re.Server, Answered: re.Answered, Beside: uint32(re.Concurrent),
			Age: uint32(max(0, re.Age)), Forgiven: re.Retracted, Parts: marksToWire(re.Parts)}
		end.Mark, end.Customer = markToWire(re.Request), markToWire(re.Customer)
		return &peerpb.Datagram{Body: &peerpb.Datagram_RequestEnd{RequestEnd: end}}
	case suspect.Answer:
		return &peerpb.Datagram{Body: &peerpb.Datagram_PartsAnswered{PartsAnswered: &peerpb.PartsAnswered{
			Parts: marksToWire(re.Parts), Age: uint32(max(0, re.Age))}}}
	default:
		panic(fmt.Sprintf("report %T has no message", re))
	}
}

// ReportFromWire decodes a report; false if the datagram is none, or incomplete.
func ReportFromWire(dg *peerpb.Datagram) (suspect.Report, bool) {
	if pa := dg.GetPartsAnswered(); pa != nil {
		parts, ok := marksFromWire(pa.GetParts())
		return suspect.Answer{Parts: parts, Age: clock.Millis(pa.GetAge())}, ok && len(parts) > 0
	}
	end := dg.GetRequestEnd()
	request, okRequest := markFromWire(end.GetMark())
	customer, okCustomer := markFromWire(end.GetCustomer())
	parts, okParts := marksFromWire(end.GetParts())
	ms := suspect.Marks{Request: request, Customer: customer, Parts: parts}
	complete := end.GetServer() != "" && (len(end.GetMark()) > 0 || len(parts) > 0)
	return suspect.Crash{Marks: ms, Server: end.GetServer(), Answered: end.GetAnswered(), Concurrent: int(end.GetBeside()),
		Age: clock.Millis(end.GetAge()), Retracted: end.GetForgiven()}, okRequest && okCustomer && okParts && complete
}

// markToWire encodes a mark; a zero one is left out.
func markToWire(mk suspect.Mark) []byte {
	if mk == (suspect.Mark{}) {
		return nil
	}
	return mk[:]
}

func markFromWire(data []byte) (mk suspect.Mark, ok bool) {
	switch len(data) {
	case 0:
		return mk, true
	case len(mk):
		return suspect.Mark(data), true
	default:
		return mk, false
	}
}

func marksToWire(marks []suspect.Mark) [][]byte {
	var out [][]byte
	for _, mk := range marks {
		out = append(out, bytes.Clone(mk[:]))
	}
	return out
}

func marksFromWire(list [][]byte) (out []suspect.Mark, ok bool) {
	for _, data := range list {
		if len(data) != len(suspect.Mark{}) {
			return nil, false
		}
		out = append(out, suspect.Mark(data))
	}
	return out, true
}

// updateToWire splits an update into messages. A record that is larger than a message is
// sent in fragments; one that is too large for that is left out, so that the other VMs
// see a gap and read it from the store themselves.
func updateToWire(nw topic.Update) ([]*peerpb.Datagram, error) {
	sp := updateSplitter{topic: nw.Topic, outageEnded: uint32(nw.OutageEndedAgo), availableFor: millisToWire(nw.AvailableFor)}
	sp.begin(nw.From)
	for _, rec := range nw.Records {
		size := len(rec.Key) + len(rec.Value) + recordOverhead
		if size > maxUpdateBytes {
			if err := sp.addLarge(rec); err != nil {
				return nil, err
			}
			continue
		}
		if sp.size+size > maxUpdateBytes {
			sp.end(rec.Offset)
			sp.begin(rec.Offset)
		}
		sp.add(rec, size)
	}
	sp.part.ReadAgo = millisToWire(nw.ReadAgo) // the read did not end where the other messages do
	sp.end(nw.Next)
	return sp.out, nil
}

// updateSplitter builds the messages of one update, in order.
type updateSplitter struct {
	topic        string
	outageEnded  uint32
	availableFor uint32
	part         *peerpb.TopicNews
	size         int // of the part's records, in bytes
	out          []*peerpb.Datagram
}

func (sp *updateSplitter) begin(from uint64) {
	sp.part, sp.size = &peerpb.TopicNews{Topic: sp.topic, From: from, Missed: sp.outageEnded, Answered: sp.availableFor}, 0
}

func (sp *updateSplitter) add(rec topic.Record, size int) {
	sp.size += size
	sp.part.Records = append(sp.part.Records, &peerpb.TopicRecord{Key: rec.Key, Value: rec.Value, Offset: rec.Offset, Until: revisionToWire(rec.Until)})
}

func (sp *updateSplitter) addLarge(rec topic.Record) error {
	sp.end(rec.Offset)
	sp.begin(rec.Offset + 1)
	list, err := fragmentRecord(sp.topic, rec)
	for _, tp := range list {
		sp.out = append(sp.out, &peerpb.Datagram{Body: &peerpb.Datagram_TopicPiece{TopicPiece: tp}})
	}
	return err
}

func (sp *updateSplitter) end(next uint64) {
	sp.part.Next = next
	sp.out = append(sp.out, &peerpb.Datagram{Body: &peerpb.Datagram_TopicNews{TopicNews: sp.part}})
}

// millisToWire caps a duration at the range of its field, which is 49 days.
func millisToWire(span clock.Millis) uint32 { return uint32(min(span, math.MaxUint32)) }

func updateFromWire(tn *peerpb.TopicNews) topic.Update {
	nw := topic.Update{Topic: tn.GetTopic(), From: tn.GetFrom(), Next: tn.GetNext(), OutageEndedAgo: clock.Millis(tn.GetMissed()), AvailableFor: clock.Millis(tn.GetAnswered()), ReadAgo: clock.Millis(tn.GetReadAgo())}
	for _, rec := range tn.GetRecords() {
		nw.Records = append(nw.Records, topic.Record{Key: rec.GetKey(), Value: rec.GetValue(), Offset: rec.GetOffset(), Until: revisionFromWire(rec.GetUntil())})
	}
	return nw
}

// revisionToWire encodes a revision; an unknown one is left out.
func revisionToWire(rv topic.Revision) *peerpb.Revision {
	if rv == (topic.Revision{}) {
		return nil
	}
	return &peerpb.Revision{Incarnation: rv.Incarnation, Renewal: rv.Renewal}
}

func revisionFromWire(rv *peerpb.Revision) topic.Revision {
	return topic.Revision{Incarnation: rv.GetIncarnation(), Renewal: rv.GetRenewal()}
}

func usageToWire(rp usage.Report) *peerpb.Usage {
	byEngine := make(map[string]*peerpb.EngineUsage)
	out := &peerpb.Usage{Avoided: rp.Avoided, Failing: rp.Failing, Short: rp.Shortage, ShortPriority: uint32(rp.ShortPriority), Returns: returnsToWire(rp.Returns), Moves: uint32(rp.Moves)}
	at := func(engine string) *peerpb.EngineUsage {
		en := byEngine[engine]
		if en == nil {
			en = &peerpb.EngineUsage{Engine: engine}
			byEngine[engine] = en
			out.Engines = append(out.Engines, en)
		}
		return en
	}
	for _, run := range rp.Runs {
		en := at(run.Engine)
		en.Tokens = append(en.Tokens, uint32(run.Tokens))
		en.Left = append(en.Left, uint32(run.Left))
		en.Deviation = append(en.Deviation, uint32(run.Deviation))
	}
	for engine, tokens := range rp.Prompts {
		at(engine).Prompts = uint32(tokens)
	}
	out.Queues = queuesToWire(rp.Waiting)
	return out
}

func queuesToWire(waiting []usage.WaitingRequest) []*peerpb.Queue {
	byService := make(map[string]*peerpb.Queue)
	var out []*peerpb.Queue
	for _, ak := range waiting {
		qu := byService[ak.Service]
		if qu == nil {
			qu = &peerpb.Queue{Service: ak.Service}
			byService[ak.Service] = qu
			out = append(out, qu)
		}
		qu.Waiters = append(qu.Waiters, &peerpb.Waiter{Turn: ak.Turn, Age: uint32(ak.Age), Returning: ak.Returning,
			Objective: millisToWire(max(0, ak.Objective)), Due: ak.Due})
	}
	return out
}

func queuesFromWire(queues []*peerpb.Queue) []usage.WaitingRequest {
	var out []usage.WaitingRequest
	for _, qu := range queues {
		for _, wt := range qu.GetWaiters() {
			out = append(out, usage.WaitingRequest{Service: qu.GetService(), Returning: wt.GetReturning(), Turn: wt.GetTurn(), Age: clock.Millis(wt.GetAge()),
				Objective: clock.Millis(wt.GetObjective()), Due: wt.GetDue()})
		}
	}
	return out
}

func usageFromWire(us *peerpb.Usage) usage.Report {
	rp := usage.Report{Prompts: make(map[string]int), Avoided: us.GetAvoided(), Failing: us.GetFailing(), Shortage: us.GetShort(),
		ShortPriority: int(us.GetShortPriority()), Moves: int(min(us.GetMoves(), maxMoves)), Returns: returnsFromWire(us.GetReturns()), Waiting: queuesFromWire(us.GetQueues())}
	for _, en := range us.GetEngines() {
		if en.GetPrompts() > 0 {
			rp.Prompts[en.GetEngine()] = int(en.GetPrompts())
		}
		for ix, tokens := range en.GetTokens() {
			run := usage.Run{Engine: en.GetEngine(), Tokens: int(tokens)}
			if ix < len(en.GetLeft()) {
				run.Left = int(en.GetLeft()[ix])
			}
			if ix < len(en.GetDeviation()) {
				run.Deviation = int(en.GetDeviation()[ix])
			}
			rp.Runs = append(rp.Runs, run)
		}
	}
	return rp
}

func returnsToWire(list []usage.Return) []*peerpb.Return {
	var out []*peerpb.Return
	for _, rt := range list {
		out = append(out, &peerpb.Return{Service: rt.Service, After: millisToWire(max(0, rt.After)), Tokens: uint32(rt.Tokens), Turn: rt.Turn})
	}
	return out
}

func returnsFromWire(list []*peerpb.Return) []usage.Return {
	var out []usage.Return
	for _, rt := range list {
		if clock.Millis(rt.GetAfter()) > maxPlanned {
			continue
		}
		out = append(out, usage.Return{Service: rt.GetService(), After: clock.Millis(rt.GetAfter()), Tokens: int(rt.GetTokens()), Turn: rt.GetTurn()})
	}
	return out
}
