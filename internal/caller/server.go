package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/ingress"
	"alderdyke/internal/memory"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	answersRoot     = "/v1/answers/"
	keepAliveProbes = 3 // unanswered TCP keep-alive probes after which a connection counts as broken
)

type (
	// Server serves the callers of one VM. Set the exported fields before Run and do
	// not change them afterwards.
	Server struct {
		Listen string // "IP:port"; port 0 selects a free one
		Runner Runner
		Board  *board.Board
		Limits Limits
		Scope  tally.Scope // nil records no metrics
		Logger event.Logger

		// Memory bounds what the requests of all callers hold; nil: Limits.BodiesHeld
		// does. MemoryRecorder reports it, and may be nil.
		Memory         *memory.Budget
		MemoryRecorder *memory.Recorder

		// Linger returns a channel that becomes readable when no caller uses the
		// address any more; a planned stop waits for it. Nil waits for the given
		// duration.
		Linger func(span clock.Millis) <-chan time.Time

		limits           Limits
		scope            tally.Scope
		unknownKeyEvents *rate.Limiter // limits the events about unknown API keys

		bodyBytes atomic.Int64 // bytes of the request bodies in memory

		mu      sync.Mutex
		addr    net.Addr
		ready   chan struct{}
		streams map[string]int // open requests, by customer
		open    int            // open requests of all customers
	}
)

// Ready is closed once the listener is open.
func (srv *Server) Ready() <-chan struct{} {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.readyLocked()
}

func (srv *Server) readyLocked() chan struct{} {
	if srv.ready == nil {
		srv.ready = make(chan struct{})
	}
	return srv.ready
}

// Addr returns the address that callers connect to, or nil before Ready.
func (srv *Server) Addr() net.Addr {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.addr
}

// Run serves callers until the context ends and then performs a planned stop: the
// listener stays open, and new requests get the Runner's refusal, until no caller can
// still have the address; then every open stream continues to its end, for at most
// Limits.StopWait. The error reports a failure before that.
func (srv *Server) Run(ctx context.Context) error {
	handler, err := srv.handler()
	if err != nil {
		return err
	}
	ln, err := srv.listen(ctx)
	if err != nil {
		return err
	}
	hs := &http.Server{
		Handler:  handler,
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	ingress.Prepare(hs)
	served := make(chan error, 1)
	go func() { served <- hs.Serve(ln) }()
	srv.mu.Lock()
	srv.addr = ln.Addr()
	close(srv.readyLocked())
	srv.mu.Unlock()
	srv.Logger.Log(event.CallersListening, event.F("Address", ln.Addr().String()))

	select {
	case <-ctx.Done():
		return srv.stop(hs, served)
	case err := <-served:
		_ = hs.Close()
		return oops.In("caller").With("Address", srv.Listen).Wrapf(err, "serve callers")
	}
}

// stop performs a planned stop; see Run.
func (srv *Server) stop(hs *http.Server, served <-chan error) error {
	hs.SetKeepAlivesEnabled(false)
	_, keepFor := srv.Runner.Addresses()
	span := keepFor + srv.limits.ListLag
	srv.Logger.Log(event.CallersDraining, event.F("Span", span.String()))
	linger := srv.Linger
	if linger == nil {
		linger = func(span clock.Millis) <-chan time.Time { return time.After(span.Std()) }
	}
	select {
	case <-linger(span):
	case err := <-served:
		_ = hs.Close()
		return oops.In("caller").With("Address", srv.Listen).Wrapf(err, "serve callers while draining")
	}
	ctx, cancel := context.WithTimeout(context.Background(), srv.limits.StopWait.Std())
	defer cancel()
	if err := hs.Shutdown(ctx); err != nil {
		srv.Logger.Log(event.CallersCutOff, event.F("Streams", srv.openStreams()))
		_ = hs.Close()
		<-served
		return oops.In("caller").Wrapf(err, "wait for the last streams")
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return oops.In("caller").Wrapf(err, "serve callers to the end")
	}
	srv.Logger.Log(event.CallersClosed)
	return nil
}

// handler builds the routes. Iris only routes: every handler writes to the standard
// library's own response writer.
func (srv *Server) handler() (http.Handler, error) {
	srv.limits = srv.Limits.withDefaults()
	srv.unknownKeyEvents = rate.NewLimiter(rate.Every(time.Second), 1)
	if srv.scope = srv.Scope; srv.scope == nil {
		srv.scope = tally.NoopScope
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(
		iris.WithoutStartupLog, iris.WithoutInterruptHandler, iris.WithoutPathCorrection,
		iris.WithoutAutoFireStatusCode, iris.WithoutBodyConsumptionOnUnmarshal,
		iris.WithoutServerError(iris.ErrServerClosed),
	)
	app.Get("/v1/addresses", srv.wrap(srv.addresses))
	app.Post("/v1/chat/completions", srv.wrap(srv.chat))
	app.Get(answersRoot+"{key:path}", srv.wrap(srv.findAnswer))
	for _, method := range plainMethods {
		app.Handle(method, servicesRoot+"{path:path}", srv.wrap(srv.service))
	}
	app.Any("/", srv.wrap(srv.notFound))
	app.Any("/{path:path}", srv.wrap(srv.notFound))
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build the callers' routes: %w", err)
	}
	return app, nil
}

func (srv *Server) count(name string) { srv.scope.Counter(name).Inc(1) }

func (srv *Server) countRefusal(rf refusal.Refusal, class string) {
	tags := map[string]string{"Reason": string(rf.Reason), "Ran": string(rf.Ran), "Class": class}
	srv.scope.Tagged(tags).Counter("Refusals").Inc(1)
}
