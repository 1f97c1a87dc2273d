package peer

import "github.com/uber-go/tally/v4"

// Reasons for which a connection or stream of another VM is refused; each has
// a counter.
const (
	refusedHandshake        = "Handshake"         // aborted, too slow or not TLS
	refusedUntrusted        = "Untrusted"         // does not have the secret
	refusedManyHandshakes   = "TooManyHandshakes" // evicted by later connections
	refusedHello            = "BadHello"
	refusedWrongVM          = "WrongVM"
	refusedStaleIncarnation = "StaleIncarnation" // a newer incarnation of the VM is connected
	refusedManySessions     = "TooManySessions"
	refusedManyStreams      = "TooManyStreams"
)

// Reasons for which a datagram is dropped; each has a counter.
const (
	accepted                verdict = "" // it is not dropped
	droppedBadMAC           verdict = "BadMAC"
	droppedReplayed         verdict = "Replayed"
	droppedStaleIncarnation verdict = "StaleIncarnation"
	droppedMalformed        verdict = "Malformed"
	droppedWrongVM          verdict = "WrongTarget"

	reasonTag         = "Reason"
	counterRefused    = "PeerRefused"
	counterDropped    = "PeerDatagramsDropped"
	counterSessions   = "PeerSessions"
	counterDialed     = "PeerDialed"
	counterDialFailed = "PeerDialFailed"
	counterLost       = "PeerSessionsLost"
	counterIdle       = "PeerSessionsIdle"
)

type (
	// verdict is the reason for dropping a datagram, or accepted.
	verdict string

	counters struct {
		refused, dropped                     map[string]tally.Counter
		dialed, dialFailed, lost, idle       tally.Counter
		sessions                             tally.Gauge
		bytesIn, bytesOut                    tally.Counter // of TCP payload, TLS included
		datagramsIn, datagramsOut            tally.Counter
		datagramBytesIn, datagramBytesOut    tally.Counter
		streamsOpened, streamsServed, pinged tally.Counter
	}
)

func newCounters(sc tally.Scope) *counters {
	byReason := func(name string, reasons ...string) map[string]tally.Counter {
		out := make(map[string]tally.Counter, len(reasons))
		for _, rs := range reasons {
			out[rs] = sc.Tagged(map[string]string{reasonTag: rs}).Counter(name)
		}
		return out
	}
	return &counters{
		refused: byReason(counterRefused, refusedHandshake, refusedUntrusted, refusedManyHandshakes, refusedHello,
			refusedWrongVM, refusedStaleIncarnation, refusedManySessions, refusedManyStreams),
		dropped: byReason(counterDropped, string(droppedBadMAC), string(droppedReplayed), string(droppedStaleIncarnation),
			string(droppedMalformed), string(droppedWrongVM)),
		dialed:           sc.Counter(counterDialed),
		dialFailed:       sc.Counter(counterDialFailed),
		lost:             sc.Counter(counterLost),
		idle:             sc.Counter(counterIdle),
		sessions:         sc.Gauge(counterSessions),
		bytesIn:          sc.Counter("PeerBytesReceived"),
		bytesOut:         sc.Counter("PeerBytesSent"),
		datagramsIn:      sc.Counter("PeerDatagramsReceived"),
		datagramsOut:     sc.Counter("PeerDatagramsSent"),
		datagramBytesIn:  sc.Counter("PeerDatagramBytesReceived"),
		datagramBytesOut: sc.Counter("PeerDatagramBytesSent"),
		streamsOpened:    sc.Counter("PeerStreamsOpened"),
		streamsServed:    sc.Counter("PeerStreamsServed"),
		pinged:           sc.Counter("PeerPings"),
	}
}
