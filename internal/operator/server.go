package operator

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"alderdyke/internal/event"
	"alderdyke/internal/ingress"
	"alderdyke/internal/settings"
	"alderdyke/pkg/clock"
)

const (
	headerTimeout  = 5 * clock.Second
	readTimeout    = 30 * clock.Second
	writeTimeout   = 90 * clock.Second
	idleTimeout    = clock.Minute
	publishTimeout = clock.Minute
	orderTimeout   = 80 * clock.Second // the engine alone may take a minute
	queryTimeout   = 20 * clock.Second
	stopTimeout    = 5 * clock.Second
	maxHeaderBytes = 20 << 10

	rejectedLogBurst    = 10           // rejected requests that are logged individually
	rejectedLogInterval = clock.Second // after these, one line per interval
)

// Server serves operators. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	Token    settings.Secret // required
	Backend  Backend
	Metrics  http.Handler // serves the metrics page; nil: no such page
	Scope    tally.Scope  // a separate one, such as a subscope Operator, for the counters Requests and Refusals; nil: not counted
	Log      event.Logger

	// Connections may be open at the same time, and the headers of all requests may take
	// HeadMemory bytes, beyond ordinary ones; zero: no limit. They hold before any token
	// is checked.
	Connections int
	HeadMemory  int64

	rejectedLog rate.Sometimes
}

// Run serves until the context ends, then gives the requests in progress
// a few seconds to complete. It closes the listener.
func (srv *Server) Run(ctx context.Context) error {
	place := oops.In("operator").With("Listen", srv.Listener.Addr().String())
	handler, err := srv.Handler()
	if err != nil {
		return place.Wrapf(err, "prepare to serve operators")
	}
	hs := &http.Server{
		Handler:      handler,
		ReadTimeout:  readTimeout.Std(), // of a body: the listener has limits for heads and idle connections
		WriteTimeout: writeTimeout.Std(),
		ErrorLog:     log.New(io.Discard, "", 0), // net/http's lines are not events of the catalogue
	}
	ingress.Prepare(hs)
	ln := &ingress.Listener{
		Listener: srv.Listener, Name: "Operators", Scope: srv.Scope.SubScope("Ingress"), Log: srv.Log,
		Connections: srv.Connections, HeadMemory: srv.HeadMemory,
		Limits: func() ingress.Limits {
			return ingress.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
		},
	}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(ln) }()
	select {
	case err := <-served:
		return place.Wrapf(err, "serve operators")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout.Std())
	defer cancel()
	if err := hs.Shutdown(stop); err != nil {
		err = errors.Join(err, hs.Close())
		<-served
		return place.Wrapf(err, "shut down the operators' server")
	}
	<-served
	return nil
}

// Handler returns the handler that Run serves.
func (srv *Server) Handler() (http.Handler, error) {
	if srv.Token.IsZero() {
		return nil, errors.New("no token is set for operators")
	}
	if srv.Scope == nil {
		srv.Scope = tally.NoopScope
	}
	srv.rejectedLog = rate.Sometimes{First: rejectedLogBurst, Interval: rejectedLogInterval.Std()}

	app := iris.New()
	app.Logger().SetOutput(io.Discard).SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutInterruptHandler, iris.WithFireMethodNotAllowed)
	app.UseRouter(srv.authorize)
	app.Post("/templates/{customer:string}", srv.publish)
	app.Get("/templates", srv.templates)
	app.Get("/templates/{customer:string}", srv.template)
	app.Get("/status", srv.status)
	app.Get("/explain/{customer:string}/{key:path}", srv.explain)
	app.Post("/orders", srv.order)
	app.Post("/drain", srv.drain)
	if srv.Metrics != nil {
		app.Get("/metrics", iris.FromStd(srv.Metrics))
	}
	app.OnErrorCode(iris.StatusNotFound, func(ctx iris.Context) { srv.refuse(ctx, Fault{Reason: UnknownPath, Detail: "no such path"}) })
	app.OnErrorCode(iris.StatusMethodNotAllowed, func(ctx iris.Context) {
		srv.refuse(ctx, Fault{Reason: WrongMethod, Detail: "no such method for this path"})
	})
	if err := app.Build(); err != nil {
		return nil, oops.In("operator").Wrapf(err, "build the routes")
	}
	return app, nil
}

// authorize rejects requests that do not carry the token.
func (srv *Server) authorize(ctx iris.Context) {
	srv.Scope.Counter("Requests").Inc(1)
	header := ctx.GetHeader("Authorization")
	token, bearer := strings.CutPrefix(header, "Bearer ")
	if bearer && srv.Token.Equal(token) {
		ctx.Next()
		return
	}
	fa := Fault{Reason: WrongToken, Detail: "this is not the operators' token"}
	if header == "" {
		fa = Fault{Reason: MissingToken, Detail: "send the operators' token as Authorization: Bearer TOKEN"}
	}
	srv.rejectedLog.Do(func() {
		srv.Log.Log(event.OperatorRejected, event.F("From", ctx.Request().RemoteAddr), event.F("Reason", string(fa.Reason)))
	})
	ctx.Header("WWW-Authenticate", "Bearer")
	srv.refuse(ctx, fa)
}

// refuse replies with a fault and counts it.
func (srv *Server) refuse(ctx iris.Context, fa Fault) {
	srv.Scope.Tagged(map[string]string{"Reason": string(fa.Reason)}).Counter("Refusals").Inc(1)
	writeReply(ctx, httpStatuses[fa.Reason], fa)
	ctx.StopExecution()
}

// writeReply writes a JSON reply.
func writeReply(ctx iris.Context, status int, body any) {
	ctx.StatusCode(status)
	_ = ctx.JSON(body) // fails only if the operator's connection broke, so the error can't be reported
}
