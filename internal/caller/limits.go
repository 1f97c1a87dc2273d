package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/memory"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

const (
	// smallBody is the size up to which a body is accepted regardless of the total held, on
	// a VM without a memory budget.
	smallBody = 64 << 10

	// Priorities in the memory budget.
	quickPriority   = 0
	patientPriority = 1
)

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

type (
	// Limits bounds what callers may use of this VM. A field that is not positive
	// stands for its default, which is given in parentheses.
	Limits struct {
		MaxBody     int64 // bytes of a request body (8 MiB)
		BodiesHeld  int64 // bytes of the bodies of all open requests; small bodies are exempt (64 MiB); not used with Server.Memory
		HeaderBytes int   // bytes of a request's headers (16 KiB)
		HeadMemory  int64 // bytes that the headers of all requests may take, beyond ordinary ones (32 MiB)

		HeaderTimeout clock.Millis // from the connection to the last header (10s)
		BodyGrace     clock.Millis // time before BodyRate is enforced (10s)
		BodyRate      int64        // minimum average rate of a body, in bytes per second (1 KiB)
		IdleTimeout   clock.Millis // of a connection between requests (60s)

		// WriteTimeout is how long one event, or 16 KiB of a complete answer, may
		// take to reach the caller's connection (20s). Sent data may stay
		// unacknowledged for twice as long; a connection that is closed for that
		// counts as closed by its caller.
		WriteTimeout clock.Millis

		// HeaderWait is how long the status of a streamed answer is withheld to wait
		// for the first event, so that a refusal can have a status of its own (15s).
		// After that the stream begins with status 200.
		HeaderWait clock.Millis

		// KeepAlive is the interval of comments on an idle stream, and the idle time
		// before the first TCP probe of a connection (10s).
		KeepAlive clock.Millis

		Connections        int // open connections (4096)
		ConnectionsPerIP   int // of these, from one IP address (512)
		StreamsPerCustomer int // open requests of one customer at this VM (1024)
		Addresses          int // addresses in one response (4)

		// ListLag is how long, during a planned stop, other VMs may still list this
		// VM to callers (5s).
		ListLag clock.Millis

		// StopWait limits how long a planned stop waits for open streams after the
		// listener was closed (15m).
		StopWait clock.Millis
	}

	// pacedBody reads a body under a deadline that every received byte extends, so
	// that a body below the minimum rate fails and a steady one never does.
	pacedBody struct {
		src      io.Reader
		vs       *visit
		rc       *http.ResponseController
		start    time.Time // later by the time in which this VM had no memory for the body
		grace    time.Duration
		rate     int64
		received int64

		mu          sync.Mutex
		interrupted bool // reading has ended for good
	}
)

func (lm Limits) withDefaults() Limits {
	setDefault(&lm.MaxBody, 8<<20)
	setDefault(&lm.BodiesHeld, 64<<20)
	setDefault(&lm.HeaderBytes, 16<<10)
	setDefault(&lm.HeadMemory, 32<<20)
	setDefault(&lm.HeaderTimeout, 10*clock.Second)
	setDefault(&lm.BodyGrace, 10*clock.Second)
	setDefault(&lm.BodyRate, 1<<10)
	setDefault(&lm.IdleTimeout, clock.Minute)
	setDefault(&lm.WriteTimeout, 20*clock.Second)
	setDefault(&lm.HeaderWait, 15*clock.Second)
	setDefault(&lm.KeepAlive, 10*clock.Second)
	setDefault(&lm.Connections, 4096)
	setDefault(&lm.ConnectionsPerIP, 512)
	setDefault(&lm.StreamsPerCustomer, 1024)
	setDefault(&lm.Addresses, 4)
	setDefault(&lm.ListLag, 5*clock.Second)
	setDefault(&lm.StopWait, 15*clock.Minute)
	return lm
}

func setDefault[Number ~int | ~int64](field *Number, preset Number) {
	if *field <= 0 {
		*field = preset
	}
}

// readBody reads the whole body, up to MaxBody and at BodyRate or faster. Its errors
// are refusals; no part of the request has run.
func (vs *visit) readBody(wr http.ResponseWriter, req *http.Request) ([]byte, error) {
	lm := vs.srv.limits
	if req.ContentLength > lm.MaxBody {
		return nil, tooLarge(lm.MaxBody)
	}
	rc := http.NewResponseController(wr)
	pb := &pacedBody{
		src:   http.MaxBytesReader(wr, req.Body, lm.MaxBody),
		vs:    vs,
		rc:    rc,
		start: time.Now(),
		grace: lm.BodyGrace.Std(),
		rate:  lm.BodyRate,
	}
	vs.memory = vs.srv.Memory.Begin(bodyPriority(vs.tpl, req), pb.interrupt)
	body, err := backend.ReadReserved(pb, req.ContentLength, int(lm.MaxBody)+1, func(bytes int64) error {
		began := time.Now()
		defer func() { pb.start = pb.start.Add(time.Since(began)) }()
		return vs.memory.Reserve(req.Context(), bytes)
	})
	cerr := pb.setDeadline(time.Time{})
	refused := errors.Is(err, memory.ErrRefused) || !vs.memory.Complete(func() {}) // Transfer reports a later refusal
	if err != nil || refused {
		vs.memory.End() // others may wait for it, and a refusal may take long to write
	}
	if refused {
		vs.srv.MemoryRecorder.Refused(memory.ReasonBody)
		return nil, noMemoryError{ran: ranBeforeClaim(req.Header)}
	}
	if err == nil && cerr != nil {
		return nil, badRequest("the connection closed while the body was read")
	}
	vs.srv.MemoryRecorder.Report()
	var (
		big *http.MaxBytesError
		rf  refusal.Refusal
	)
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &rf):
		return nil, rf
	case errors.As(err, &big):
		return nil, tooLarge(lm.MaxBody)
	case errors.Is(err, memory.ErrTooLarge):
		return nil, tooLarge(vs.srv.Memory.Limit())
	case errors.Is(err, os.ErrDeadlineExceeded):
		vs.srv.count("SlowBodies")
		return nil, slowBodyError{minRate: lm.BodyRate}
	default:
		return nil, badRequest("the body broke off")
	}
}

// Read fails with os.ErrDeadlineExceeded once the body falls behind its rate.
func (pb *pacedBody) Read(buf []byte) (int, error) {
	earned := time.Duration(float64(pb.received) / float64(pb.rate) * float64(time.Second))
	if err := pb.setDeadline(pb.start.Add(pb.grace + earned)); err != nil {
		return 0, fmt.Errorf("set the deadline of a body: %w", err)
	}
	got, err := pb.src.Read(buf)
	pb.received += int64(got)
	if herr := pb.vs.countBody(int64(got)); herr != nil {
		return got, herr
	}
	return got, err
}

// setDeadline sets until when the next bytes must come; the zero time: no limit. It does not
// change the end of a reading that was interrupted.
func (pb *pacedBody) setDeadline(at time.Time) error {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if pb.interrupted {
		return nil
	}
	return pb.rc.SetReadDeadline(at)
}

// interrupt ends the reading of the body, now and later.
func (pb *pacedBody) interrupt() {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.interrupted = true
	_ = pb.rc.SetReadDeadline(longPast) // an error means that the connection is closed
}

// bodyPriority returns the priority of a request whose body is not known yet: that of its
// class, or that of the most urgent class that it may belong to, so that no urgent request
// yields because of a guess.
func bodyPriority(tpl template.Template, req *http.Request) int {
	named := req.Header.Get(headerClass)
	if strings.HasPrefix(req.URL.Path, servicesRoot) {
		pl, path, err := plainRequest(req, nil)
		if err != nil {
			return patientPriority
		}
		cls, _ := plainClass(tpl, pl.Service, path, named)
		return Priority(cls)
	}
	priority := patientPriority
	first := make(map[string]bool) // services whose first class was seen
	for _, cls := range tpl.Classes {
		if len(cls.Paths) > 0 {
			continue
		}
		if named == cls.Name || named == "" && !first[cls.Service] {
			priority = min(priority, Priority(cls))
		}
		first[cls.Service] = true
	}
	return priority
}

// Priority returns the priority of a class among those that need memory: requests that may
// wait yield before those that may not.
func Priority(cls template.Class) int {
	if cls.Urgency == template.Quick {
		return quickPriority
	}
	return patientPriority
}

// noMemoryError reports a request that was refused for lack of memory while its body was
// being read.
type noMemoryError struct{ ran refusal.Ran }

// Error returns the refusal's text.
func (noMemoryError) Error() string { return memory.ErrRefused.Error() }

// Unwrap returns the refusal that is sent to the caller.
func (nm noMemoryError) Unwrap() error { return NoMemory(nm.ran) }

// ranBeforeClaim returns what is known of a request before its key is claimed: a key that the
// caller chose may have run before, here or elsewhere.
func ranBeforeClaim(hd http.Header) refusal.Ran {
	if len(hd.Values(headerKey)) > 0 {
		return refusal.MayHaveRun
	}
	return refusal.NotRun
}

// NoMemory returns the refusal of a request for lack of memory.
func NoMemory(ran refusal.Ran) refusal.Refusal {
	return refusal.Refusal{
		Ran: ran, Reason: refusal.QueueFull, RetryAfter: memory.RetryAfter, Detail: memory.ErrRefused.Error(),
	}
}

// slowBodyError reports that a body came below the minimum rate.
type slowBodyError struct {
	minRate int64 // bytes per second
}

// Error names the rate that was missed.
func (se slowBodyError) Error() string {
	return fmt.Sprintf("body slower than %d bytes a second", se.minRate)
}

// Unwrap returns the refusal that is sent to the caller.
func (se slowBodyError) Unwrap() error {
	return badRequest(se.Error()).WithRetryAfter(clock.Second)
}

func badRequest(detail string) refusal.Refusal {
	return refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.BadRequest, Detail: detail}
}

func tooLarge(most int64) refusal.Refusal {
	return refusal.Refusal{
		Ran: refusal.NotRun, Reason: refusal.TooLarge,
		Detail: fmt.Sprintf("the body is above %d bytes", most),
	}
}
