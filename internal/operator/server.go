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
	"alderdyke/internal/settings"
	"alderdyke/pkg/clock"
)

const (
	headerTimeout  = 5 * clock.Second
	readTimeout    = 30 * clock.Second
	writeTimeout   = 90 * clock.Second
	idleTimeout    = clock.Minute
	publishTimeout = clock.Minute
	orderTimeout   = 80 * clock.Second // of which the engine may take a minute
	queryTimeout   = 20 * clock.Second
	stopTimeout    = 5 * clock.Second
	maxHeaderBytes = 16 << 10 // bytes

	rejectedLogBurst    = 10           // rejected requests that are logged one by one
	rejectedLogInterval = clock.Second // after that, one line in this span
)

// Server serves operators. Set the exported fields before Run.
type Server struct {
	Listener net.Listener
	Token    settings.Secret // required
	Backend  Backend
	Metrics  http.Handler // page of the counters; nil: there is none
	Scope    tally.Scope  // of its own, such as a subscope Operator, for the counters Requests and Refusals; nil: not counted
	Log      event.Logger

	rejectedLog rate.Sometimes
}

// Run serves until the context ends, then lets the requests in progress end
// for a few seconds. It closes the listener.
func (srv *Server) Run(ctx context.Context) error {
	place := oops.In("operator").With("Listen", srv.Listener.Addr().String())
	handler, err := srv.Handler()
	if err != nil {
		return place.Wrapf(err, "prepare to serve operators")
	}
	hs := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout.Std(),
		ReadTimeout:       readTimeout.Std(),
		WriteTimeout:      writeTimeout.Std(),
		IdleTimeout:       idleTimeout.Std(),
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // its lines are no events of the catalogue
	}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(srv.Listener) }()
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
		return place.Wrapf(err, "end requests of operators")
	}
	<-served
	return nil
}

// Handler returns what Run serves.
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

// authorize lets only those with the token go on.
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

// refuse ends a request with a fault and counts it.
func (srv *Server) refuse(ctx iris.Context, fa Fault) {
	srv.Scope.Tagged(map[string]string{"Reason": string(fa.Reason)}).Counter("Refusals").Inc(1)
	writeReply(ctx, httpStatuses[fa.Reason], fa)
	ctx.StopExecution()
}

// writeReply writes a JSON writeReply.
func writeReply(ctx iris.Context, status int, body any) {
	ctx.StatusCode(status)
	_ = ctx.JSON(body) // the operator's connection broke; there is nobody to tell
}
