package fleet

import (
	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// newsBytes bounds the keys and values of one message; the rest of a datagram
// is left for the names and numbers around them.
const newsBytes = peer.MaxDatagram - 300

// TellUsage tells all VMs that live what this one has at model engines.
func (fl *Fleet) TellUsage(rp usage.Report) {
	us := usageToWire(rp)
	// A message that is too long or lost is as good as none: the others then
	// reserve what a run may come to.
	fl.tellAll(&peerpb.Datagram{Body: &peerpb.Datagram_Usage{Usage: us}})
}

// TellNews passes on to all VMs that live what this one read of a topic.
func (fl *Fleet) TellNews(nw topic.News) {
	for _, part := range newsToWire(nw) {
		// Whoever misses a part notices the gap at the next.
		fl.tellAll(&peerpb.Datagram{Body: &peerpb.Datagram_TopicNews{TopicNews: part}})
	}
}

// tellAll sends a datagram to each VM that lives.
func (fl *Fleet) tellAll(word *peerpb.Datagram) {
	var living []board.VM
	for _, vm := range fl.View().VMs {
		if vm.ID != fl.Self.ID && vm.Health == board.Alive && vm.Incarnation != 0 {
			living = append(living, vm)
		}
	}
	// Words between VMs may be lost, and are renewed.
	_ = fl.peers.Broadcast(living, word)
}

// newsToWire splits news into messages. Records that fit none are left out,
// so that the others see a gap and read for themselves.
func newsToWire(nw topic.News) []*peerpb.TopicNews {
	part := &peerpb.TopicNews{Topic: nw.Topic, From: nw.From, Next: nw.Next}
	parts := []*peerpb.TopicNews{part}
	size := 0
	for _, rec := range nw.Records {
		bytes := len(rec.Key) + len(rec.Value)
		switch {
		case bytes > newsBytes:
			part = &peerpb.TopicNews{Topic: nw.Topic, From: rec.Offset + 1, Next: nw.Next}
			parts, size = append(parts, part), 0
			parts[len(parts)-2].Next = rec.Offset
			continue
		case size+bytes > newsBytes:
			part = &peerpb.TopicNews{Topic: nw.Topic, From: rec.Offset, Next: nw.Next}
			parts, size = append(parts, part), 0
			parts[len(parts)-2].Next = rec.Offset
		}
		size += bytes
		part.Records = append(part.Records, &peerpb.TopicRecord{Key: rec.Key, Value: rec.Value, Offset: rec.Offset})
	}
	return parts
}

func newsFromWire(tn *peerpb.TopicNews) topic.News {
	nw := topic.News{Topic: tn.GetTopic(), From: tn.GetFrom(), Next: tn.GetNext()}
	for _, rec := range tn.GetRecords() {
		nw.Records = append(nw.Records, topic.Record{Key: rec.GetKey(), Value: rec.GetValue(), Offset: rec.GetOffset()})
	}
	return nw
}

func usageToWire(rp usage.Report) *peerpb.Usage {
	byEngine := make(map[string]*peerpb.EngineUsage)
	out := &peerpb.Usage{Avoided: rp.Avoided, Failing: rp.Failing, Short: rp.Short}
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
	}
	for engine, tokens := range rp.Prompts {
		at(engine).Prompts = uint32(tokens)
	}
	out.Queues = queuesToWire(rp.Waiting)
	return out
}

func queuesToWire(waiting []usage.Ask) []*peerpb.Queue {
	byService := make(map[string]*peerpb.Queue)
	var out []*peerpb.Queue
	for _, ak := range waiting {
		qu := byService[ak.Service]
		if qu == nil {
			qu = &peerpb.Queue{Service: ak.Service}
			byService[ak.Service] = qu
			out = append(out, qu)
		}
		qu.Waiters = append(qu.Waiters, &peerpb.Waiter{Turn: ak.Turn, Age: uint32(ak.Age), Returning: ak.Returning})
	}
	return out
}

func queuesFromWire(queues []*peerpb.Queue) []usage.Ask {
	var out []usage.Ask
	for _, qu := range queues {
		for _, wt := range qu.GetWaiters() {
			out = append(out, usage.Ask{Service: qu.GetService(), Returning: wt.GetReturning(), Turn: wt.GetTurn(), Age: clock.Millis(wt.GetAge())})
		}
	}
	return out
}

func usageFromWire(us *peerpb.Usage) usage.Report {
	rp := usage.Report{Prompts: make(map[string]int), Avoided: us.GetAvoided(), Failing: us.GetFailing(), Short: us.GetShort(),
		Waiting: queuesFromWire(us.GetQueues())}
	for _, en := range us.GetEngines() {
		if en.GetPrompts() > 0 {
			rp.Prompts[en.GetEngine()] = int(en.GetPrompts())
		}
		for ix, tokens := range en.GetTokens() {
			run := usage.Run{Engine: en.GetEngine(), Tokens: int(tokens)}
			if ix < len(en.GetLeft()) {
				run.Left = int(en.GetLeft()[ix])
			}
			rp.Runs = append(rp.Runs, run)
		}
	}
	return rp
}
