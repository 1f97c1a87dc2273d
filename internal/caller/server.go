package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	iriscontext "github.com/kataras/iris/v12/context"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	answersRoot = "/v1/answers/"
	probes      = 3 // unanswered TCP keep-alive probes after which a connection is broken
)

type (
	// Server is the callers' side of one VM. Set the exported fields before
	// Run and leave them alone afterwards.
	Server struct {
		Listen string // "IP:port"; port 0 takes a free one
		Runner Runner
		Board  *board.Board
		Limits Limits
		Scope  tally.Scope // nil counts nothing
		Logger event.Logger

		// Linger makes the channel that ends the wait for callers to let go
		// of the address, in a planned stop. Nil waits for the given span.
		Linger func(span clock.Millis) <-chan time.Time

		limits  Limits
		scope   tally.Scope
		unknown *rate.Limiter // of events about unknown API keys
		turned  *rate.Limiter // of events about connections turned away

		bodies atomic.Int64 // bytes of request bodies held

		mu      sync.Mutex
		addr    net.Addr
		ready   chan struct{}
		streams map[string]int // requests open, by customer
		open    int
	}
)

// Ready is closed once the address is open.
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

// Addr is the address that callers connect to; nil before Ready.
func (srv *Server) Addr() net.Addr {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.addr
}

// Run serves callers until the context ends and then stops as planned: the
// address stays open, and new requests get the Runner's refusal, until no
// caller can still be holding it; then every open stream goes on to its end,
// for at most Limits.StopWait. The error tells what broke before that.
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
		Handler:           handler,
		ReadHeaderTimeout: srv.limits.HeaderTimeout.Std(),
		IdleTimeout:       srv.limits.IdleTimeout.Std(),
		MaxHeaderBytes:    srv.limits.HeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
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

func (srv *Server) listen(ctx context.Context) (*listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: srv.limits.KeepAlive.Std(), Interval: srv.limits.KeepAlive.Std() / 2, Count: probes,
	}}
	base, err := cfg.Listen(ctx, "tcp", srv.Listen)
	if err != nil {
		return nil, oops.In("caller").With("Address", srv.Listen).Wrapf(err, "listen for callers")
	}
	return &listener{
		Listener: base, most: srv.limits.Connections, mostPerIP: srv.limits.ConnectionsPerIP,
		unacked: 2 * srv.limits.WriteTimeout, rejected: srv.turnedAway,
		turning: make(chan struct{}, turnAtOnce),
	}, nil
}

// stop ends a planned stop; see Run.
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

// handler builds the routes. Iris only routes: every handler writes to the
// standard library's own response writer.
func (srv *Server) handler() (http.Handler, error) {
	srv.limits = srv.Limits.withDefaults()
	srv.unknown = rate.NewLimiter(rate.Every(time.Second), 1)
	srv.turned = rate.NewLimiter(rate.Every(time.Second), 1)
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
	app.Get(answersRoot+"{key:path}", srv.wrap(srv.find))
	for _, method := range plainMethods {
		app.Handle(method, servicesRoot+"{path:path}", srv.wrap(srv.service))
	}
	app.Any("/", srv.wrap(srv.lost))
	app.Any("/{path:path}", srv.wrap(srv.lost))
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build the callers' routes: %w", err)
	}
	return app, nil
}

// wrap hands the standard library's response writer to a handler and keeps
// iris from writing a status after it. The deadline is for what net/http
// writes by itself, such as "100 Continue"; every other write sets its own.
func (srv *Server) wrap(fn http.HandlerFunc) iris.Handler {
	return func(ctx iris.Context) {
		iw := ctx.ResponseWriter()
		iw.SetWritten(iriscontext.StatusCodeWritten)
		wr := iw.Naive()
		_ = http.NewResponseController(wr).SetWriteDeadline(time.Now().Add(srv.limits.WriteTimeout.Std()))
		fn(wr, ctx.Request())
	}
}

// lost answers a request that no route takes.
func (srv *Server) lost(wr http.ResponseWriter, _ *http.Request) {
	srv.refuse(wr, "", refusal.Refusal{
		Ran: refusal.NotRun, Reason: refusal.UnknownService, Detail: "no such path or method",
	})
}

// chat serves a chat completion.
func (srv *Server) chat(wr http.ResponseWriter, req *http.Request) {
	vs, err := srv.enter(req)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	defer vs.leave()
	body, err := vs.readBody(wr, req)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	cb, err := parseChat(body)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	cls, err := chatClass(vs.tpl, cb.Model, req.Header.Get(headerClass))
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	ch, err := cb.chat(cls)
	if err != nil {
		srv.refuse(wr, cls.Name, err)
		return
	}
	run := Request{
		Customer: vs.tpl.Customer, Template: vs.tpl, Class: cls, Chat: ch, Fingerprint: ch.fingerprint(cls.Name),
	}
	srv.run(wr, req, run, cb.Stream)
}

// service serves a call of a plain service.
func (srv *Server) service(wr http.ResponseWriter, req *http.Request) {
	vs, err := srv.enter(req)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	defer vs.leave()
	body, err := vs.readBody(wr, req)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	pl, path, err := plainRequest(req, body)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	cls, err := plainClass(vs.tpl, pl.Service, path, req.Header.Get(headerClass))
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	run := Request{
		Customer: vs.tpl.Customer, Template: vs.tpl, Class: cls, Plain: pl, Fingerprint: pl.fingerprint(cls.Name),
	}
	srv.run(wr, req, run, false)
}

// run starts a request, or finds the answer that its key has, and delivers it.
func (srv *Server) run(wr http.ResponseWriter, req *http.Request, run Request, streamed bool) {
	dl, err := srv.start(wr, req, &run)
	if err != nil {
		srv.refuse(wr, run.Class.Name, err)
		return
	}
	srv.scope.Tagged(map[string]string{"Class": run.Class.Name}).Counter("Requests").Inc(1)
	st, err := srv.Runner.Start(req.Context(), run)
	if err != nil {
		wr.Header().Set(headerKey, run.Key)
		srv.refuse(wr, run.Class.Name, err)
		return
	}
	if run.Chat != nil {
		dl.model = run.Chat.Model
	}
	dl.deliver(st, streamed)
}

// start fills what the headers say into the request.
func (srv *Server) start(wr http.ResponseWriter, req *http.Request, run *Request) (*delivery, error) {
	after, err := lastEventID(req.Header)
	if err != nil {
		return nil, err
	}
	if run.Key, run.KeyGiven, err = requestKey(req.Header); err != nil {
		return nil, err
	}
	if run.Deadline, err = deadline(req.Header, run.Class); err != nil {
		return nil, err
	}
	if after != fromStart && !run.KeyGiven {
		return nil, badRequest(headerLastID + " needs the " + headerKey + " of the answer")
	}
	run.Resumed = after != fromStart
	if !run.KeyGiven {
		if err := srv.Runner.Accepting(); err != nil {
			return nil, fmt.Errorf("new request: %w", err)
		}
	}
	return srv.delivery(wr, req, run.Class.Name, run.Key, after), nil
}

// find serves an answer by its key, without the request.
func (srv *Server) find(wr http.ResponseWriter, req *http.Request) {
	vs, err := srv.enter(req)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	defer vs.leave()
	key, err := url.PathUnescape(strings.TrimPrefix(req.URL.EscapedPath(), answersRoot))
	if err != nil {
		srv.refuse(wr, "", badRequest("the path is not escaped as it should be"))
		return
	}
	if err := checkKey(key); err != nil {
		srv.refuse(wr, "", err)
		return
	}
	after, err := lastEventID(req.Header)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	st, err := srv.lookUp(req.Context(), vs.tpl.Customer, key)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	streamed := strings.Contains(req.Header.Get("Accept"), "text/event-stream")
	srv.delivery(wr, req, "", key, after).deliver(st, streamed)
}

// lookUp finds the answer of a key, or the refusal that says it is not kept.
func (srv *Server) lookUp(ctx context.Context, customer, key string) (*answer.Stream, error) {
	st, err := srv.Runner.Find(ctx, customer, key)
	if err != nil {
		return nil, fmt.Errorf("find the answer of a key: %w", err)
	}
	if st == nil {
		return nil, refusal.Refusal{
			Ran: refusal.MayHaveRun, Reason: refusal.AnswerExpired, Detail: "no answer is kept for this key",
		}
	}
	return st, nil
}

func (srv *Server) delivery(wr http.ResponseWriter, req *http.Request, class, key string, after int) *delivery {
	return &delivery{
		srv: srv, wr: wr, rc: http.NewResponseController(wr), ctx: req.Context(),
		class: class, key: key, after: after,
	}
}

func (dl *delivery) deliver(st *answer.Stream, streamed bool) {
	if streamed {
		dl.stream(st)
	} else {
		dl.collect(st)
	}
}

func (srv *Server) turnedAway(remote string) {
	srv.count("ConnectionsTurnedAway")
	if srv.turned.Allow() {
		srv.Logger.Log(event.ConnectionLimit, event.F("Remote", remote))
	}
}

func (srv *Server) count(name string) { srv.scope.Counter(name).Inc(1) }

func (srv *Server) countRefusal(rf refusal.Refusal, class string) {
	tags := map[string]string{"Reason": string(rf.Reason), "Ran": string(rf.Ran), "Class": class}
	srv.scope.Tagged(tags).Counter("Refusals").Inc(1)
}
