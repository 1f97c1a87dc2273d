package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	iriscontext "github.com/kataras/iris/v12/context"

	"alderdyke/internal/answer"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

// parser parses a request of a customer. Along with an error it returns what it has
// parsed so far, because the refusal is counted under the request's class.
type parser func(tpl template.Template, req *http.Request, body []byte) (run Request, streamed bool, err error)

// wrap passes the standard library's response writer to a handler and keeps iris from
// writing a status after the handler has returned. The deadline covers what net/http
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

// notFound answers a request that matches no route.
func (srv *Server) notFound(wr http.ResponseWriter, _ *http.Request) {
	srv.refuse(wr, "", refusal.Refusal{
		Ran: refusal.NotRun, Reason: refusal.UnknownService, Detail: "no such path or method",
	})
}

// chat serves a chat completion.
func (srv *Server) chat(wr http.ResponseWriter, req *http.Request) {
	srv.serve(wr, req, chatRequest)
}

// service serves a call to a plain service.
func (srv *Server) service(wr http.ResponseWriter, req *http.Request) {
	srv.serve(wr, req, serviceRequest)
}

// serve admits a caller, reads the request and runs it.
func (srv *Server) serve(wr http.ResponseWriter, req *http.Request, parse parser) {
	vs, err := srv.admit(req)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	defer vs.release()
	body, err := vs.readBody(wr, req)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	run, streamed, err := parse(vs.tpl, req, body)
	if err != nil {
		srv.refuse(wr, run.Class.Name, err)
		return
	}
	run.Memory = vs.memory
	srv.run(wr, req, run, streamed)
}

// run starts a request, or finds the answer that its key already has, and delivers
// it.
func (srv *Server) run(wr http.ResponseWriter, req *http.Request, run Request, streamed bool) {
	dl, err := srv.prepare(wr, req, &run)
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
	run.Chat, run.Plain = nil, nil // the Runner keeps what it needs, and this may last for long
	run.Memory.End()
	dl.deliver(st, streamed)
}

// prepare sets the fields of the request that its headers determine.
func (srv *Server) prepare(wr http.ResponseWriter, req *http.Request, run *Request) (*delivery, error) {
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

// findAnswer serves an answer by its key, without the request.
func (srv *Server) findAnswer(wr http.ResponseWriter, req *http.Request) {
	vs, err := srv.admit(req)
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	defer vs.release()
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

// lookUp finds the answer of a key. If none is kept, the error is a refusal that says
// so.
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
		class: class, key: key, lastSeen: after,
	}
}

// deliver sends an answer to the caller, as it is produced or once it is complete.
func (dl *delivery) deliver(st *answer.Stream, streamed bool) {
	if streamed {
		dl.stream(st)
	} else {
		dl.collect(st)
	}
}
