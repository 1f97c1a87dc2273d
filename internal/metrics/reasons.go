package metrics

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"alderdyke/pkg/refusal"
)

const (
	// MaxNames bounds the number of distinct names for each kind of counter,
	// because each counter takes about 3 KB for the lifetime of the process.
	MaxNames = 64

	// OtherName replaces all names beyond the first MaxNames.
	OtherName = "Other"
)

type (
	// Refusals counts refusals in the counter Refusals, by class, reason and
	// whether the request ran. Set Scope before use; with a nil Scope nothing is
	// counted. It is safe for concurrent use.
	Refusals struct {
		Scope tally.Scope

		counts counterCache
	}

	// Retries counts retries in the counter Retries, by service and reason. Set
	// Scope before use; with a nil Scope nothing is counted. It is safe for
	// concurrent use.
	Retries struct {
		Scope tally.Scope

		counts counterCache
	}

	// counterCache holds the counters created so far.
	counterCache struct {
		mu       sync.Mutex
		names    map[string]bool
		counters map[counterKey]tally.Counter
	}

	counterKey struct {
		name, reason, ran string
	}
)

// Inc counts one refusal of a request of the class.
func (rf *Refusals) Inc(class string, re refusal.Refusal) {
	if rf.Scope == nil {
		return
	}
	rf.counts.counter(counterKey{name: class, reason: string(re.Reason), ran: string(re.Ran)}, func(lb counterKey) tally.Counter {
		return rf.Scope.Tagged(map[string]string{"Class": lb.name, "Reason": lb.reason, "Ran": lb.ran}).Counter("Refusals")
	}).Inc(1)
}

// Inc counts one retry of a call to the service.
func (rt *Retries) Inc(service string, reason refusal.Reason) {
	if rt.Scope == nil {
		return
	}
	rt.counts.counter(counterKey{name: service, reason: string(reason)}, func(lb counterKey) tally.Counter {
		return rt.Scope.Tagged(map[string]string{"Service": lb.name, "Reason": lb.reason}).Counter("Retries")
	}).Inc(1)
}

// counter returns the counter of a key and creates it on first use.
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
