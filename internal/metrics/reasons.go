package metrics

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"alderdyke/pkg/refusal"
)

const (
	// MaxNames bounds the names that one kind of counter tells apart, since
	// each counter costs about 3 KB for as long as the process lives.
	MaxNames = 64

	// OtherName stands for all names beyond MaxNames.
	OtherName = "Other"
)

type (
	// Refusals counts refusals by class, reason and whether the request ran,
	// as the counter Refusals. Set Scope before use; a nil Scope counts
	// nothing. It may be used by several goroutines.
	Refusals struct {
		Scope tally.Scope

		counts counterCache
	}

	// Retries counts retries by service and reason, as the counter Retries.
	// Set Scope before use; a nil Scope counts nothing. It may be used by
	// several goroutines.
	Retries struct {
		Scope tally.Scope

		counts counterCache
	}

	// counterCache holds the counters that were used so far.
	counterCache struct {
		mu       sync.Mutex
		names    map[string]bool
		counters map[counterKey]tally.Counter
	}

	counterKey struct {
		name, reason, ran string
	}
)

// Inc counts a refusal of a request of the class.
func (rf *Refusals) Inc(class string, re refusal.Refusal) {
	if rf.Scope == nil {
		return
	}
	rf.counts.counter(counterKey{name: class, reason: string(re.Reason), ran: string(re.Ran)}, func(lb counterKey) tally.Counter {
		return rf.Scope.Tagged(map[string]string{"Class": lb.name, "Reason": lb.reason, "Ran": lb.ran}).Counter("Refusals")
	}).Inc(1)
}

// Inc counts a retry at a service.
func (rt *Retries) Inc(service string, reason refusal.Reason) {
	if rt.Scope == nil {
		return
	}
	rt.counts.counter(counterKey{name: service, reason: string(reason)}, func(lb counterKey) tally.Counter {
		return rt.Scope.Tagged(map[string]string{"Service": lb.name, "Reason": lb.reason}).Counter("Retries")
	}).Inc(1)
}

// counter finds or makes the counter of a label.
func (br *counterCache) counter(lb counterKey, create func(lb counterKey) tally.Counter) tally.Counter {
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.counters == nil {
		br.names = map[string]bool{}
		br.counters = map[counterKey]tally.Counter{}
	}
	if !br.names[lb.name] {
		if len(br.names) >= MaxNames {
			lb.name = OtherName
		} else {
			br.names[lb.name] = true
		}
	}
	ct, ok := br.counters[lb]
	if !ok {
		ct = create(lb)
		br.counters[lb] = ct
	}
	return ct
}
