package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// smallBody is the size up to which a body is let in whatever is held.
const smallBody = 64 << 10

type (
	// Limits bounds what callers may hold of this VM. A field that is zero
	// or below stands for its default, which is given in parentheses.
	Limits struct {
		MaxBody     int64 // bytes of a request body (8 MiB)
		BodiesHeld  int64 // bytes of all bodies of open requests; small bodies are exempt (64 MiB)
		HeaderBytes int   // bytes of a request's headers (16 KiB)

		HeaderTimeout clock.Millis // from connecting to the last header (10s)
		BodyGrace     clock.Millis // head start before BodyRate counts (10s)
		BodyRate      int64        // least bytes a second of a body, on average (1 KiB)
		IdleTimeout   clock.Millis // of a connection between requests (60s)

		// WriteTimeout is how long one event, or 16 KiB of a whole answer,
		// may take to reach the caller's connection (20s). Sent data may
		// stay unacknowledged for twice as long; a connection that ends
		// for that counts as one that its caller left.
		WriteTimeout clock.Millis

		// HeaderWait is how long the status of a streamed answer is held
		// back for the first event, so that a refusal has a status of its
		// own (15s). After that the stream begins with status 200.
		HeaderWait clock.Millis

		// KeepAlive is the time between comments on a silent stream, and
		// before the first TCP probe of a silent connection (10s).
		KeepAlive clock.Millis

		Connections        int // open connections (4096)
		ConnectionsPerIP   int // of them from one IP address (512)
		StreamsPerCustomer int // requests of one customer open at this VM (1024)
		Addresses          int // entries in one answer about addresses (4)

		// ListLag is how long, in a planned stop, other VMs may still name
		// this one to callers (5s).
		ListLag clock.Millis

		// StopWait bounds how long a planned stop waits for open streams
		// after the address was let go (15m).
		StopWait clock.Millis
	}

	// pacedBody reads a body under a deadline that moves with every byte, so
	// that a body slower than the least rate fails and a steady one never.
	pacedBody struct {
		src      io.Reader
		vs       *visit
		rc       *http.ResponseController
		start    time.Time
		grace    time.Duration
		rate     int64
		received int64
	}
)

func (lm Limits) withDefaults() Limits {
	setDefault(&lm.MaxBody, 8<<20)
	setDefault(&lm.BodiesHeld, 64<<20)
	setDefault(&lm.HeaderBytes, 16<<10)
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

// readBody reads the whole body, within MaxBody and not slower than BodyRate.
// Its errors are refusals; nothing of the request has run.
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
	body, err := io.ReadAll(pb)
	if cerr := rc.SetReadDeadline(time.Time{}); err == nil && cerr != nil {
		return nil, badRequest("the connection closed while the body was read")
	}
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
	case errors.Is(err, os.ErrDeadlineExceeded):
		vs.srv.count("SlowBodies")
		return nil, slowBodyError{minRate: lm.BodyRate}
	default:
		return nil, badRequest("the body broke off")
	}
}

// Read fails with os.ErrDeadlineExceeded once the body is behind its rate.
func (pb *pacedBody) Read(buf []byte) (int, error) {
	earned := time.Duration(float64(pb.received) / float64(pb.rate) * float64(time.Second))
	if err := pb.rc.SetReadDeadline(pb.start.Add(pb.grace + earned)); err != nil {
		return 0, fmt.Errorf("set the deadline of a body: %w", err)
	}
	got, err := pb.src.Read(buf)
	pb.received += int64(got)
	if herr := pb.vs.countBody(int64(got)); herr != nil {
		return got, herr
	}
	return got, err
}

// slowBodyError tells that a body came below the least rate.
type slowBodyError struct {
	minRate int64 // bytes a second
}

// Error says which rate was missed.
func (se slowBodyError) Error() string {
	return fmt.Sprintf("body slower than %d bytes a second", se.minRate)
}

// Unwrap returns the refusal that the caller is told.
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
