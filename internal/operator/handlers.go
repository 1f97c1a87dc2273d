package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"regexp"
	"slices"
	"strconv"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/pkg/place"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

// Media types of templates.
const (
	mediaJSON = "application/json"
	mediaTOML = "application/toml"
)

const maxOrderBytes = 4 << 10

var (
	idPattern        = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	orderNamePattern = regexp.MustCompile(`^[!-~]{1,128}$`)
)

// publish publishes a template and replies with the verdict.
func (srv *Server) publish(ctx iris.Context) {
	pub, err := readPublication(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("customer"))
	var fa Fault
	if errors.As(err, &fa) {
		srv.refuse(ctx, fa)
		return
	}
	limit, cancel := context.WithTimeout(ctx.Request().Context(), publishTimeout.Std())
	defer cancel()
	ver, err := srv.Backend.Publish(limit, pub)
	fields := []event.Field{event.F("Customer", pub.Customer), event.F("PublicationID", pub.ID), event.F("Base", pub.Base)}
	if err != nil {
		srv.refusePublication(ctx, err, fields)
		return
	}
	status, ev := iris.StatusOK, event.PublicationAccepted
	if !ver.Accepted {
		status, ev = iris.StatusConflict, event.PublicationRefused
		srv.Scope.Tagged(map[string]string{"Reason": ver.Reason}).Counter("Refusals").Inc(1)
		fields = append(fields, event.F("Reason", ver.Reason))
	}
	srv.Log.Log(ev, append(fields, event.F("Revision", ver.Revision), event.F("Current", ver.Current))...)
	writeReply(ctx, status, PublishReply{PublicationID: pub.ID, Verdict: ver})
}

// refusePublication replies to a publication without a verdict, and states
// whether it may still take effect.
func (srv *Server) refusePublication(ctx iris.Context, err error, fields []event.Field) {
	var rf refusal.Refusal
	if errors.As(err, &rf) && rf.Ran == refusal.NotRun {
		srv.Log.Log(event.PublicationRefused, append(fields, event.F("Reason", string(rf.Reason)))...)
		srv.refuse(ctx, Fault{Reason: Unavailable, Detail: "the template was not published: " + err.Error()})
		return
	}
	srv.Log.Log(event.PublicationInDoubt, fields...)
	srv.refuse(ctx, Fault{Reason: InDoubt, Detail: "the template may have been published; publish again with the same PublicationID: " + err.Error()})
}

// readPublication reads a publication from a request. The error is a Fault.
func readPublication(wr http.ResponseWriter, req *http.Request, customer string) (Publication, error) {
	pub := Publication{Customer: customer, ID: uuid.NewString()}
	for key, values := range req.URL.Query() {
		var err error
		switch {
		case len(values) != 1:
			err = Fault{Reason: BadRequest, Detail: fmt.Sprintf("give %.40q once", key)}
		case key == "Base":
			pub.Base, err = parseBase(values[0])
		case key == "PublicationID":
			pub.ID, err = parseID(values[0])
		case key == "Again":
			pub.Again, err = parseAgain(values[0])
		default:
			err = Fault{Reason: BadRequest, Detail: fmt.Sprintf("remove %.40q; the parameters are Base, PublicationID and Again", key)}
		}
		if err != nil {
			return Publication{}, err
		}
	}
	text, err := io.ReadAll(http.MaxBytesReader(wr, req.Body, template.MaxTextBytes))
	if err != nil {
		return Publication{}, bodyFault(err)
	}
	pub.Template, err = decodeTemplate(req.Header.Get("Content-Type"), text)
	if err != nil {
		return Publication{}, err
	}
	if pub.Template.Customer != customer {
		return Publication{}, Fault{Reason: BadRequest, Detail: fmt.Sprintf("the path names customer %.40q, the template %.40q", customer, pub.Template.Customer)}
	}
	return pub, nil
}

func parseBase(text string) (uint64, error) {
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, Fault{Reason: BadRequest, Detail: fmt.Sprintf("Base is %.40q; write the revision that the template was revised from", text)}
	}
	return base, nil
}

func parseAgain(text string) (bool, error) {
	again, err := strconv.ParseBool(text)
	if err != nil {
		return false, Fault{Reason: BadRequest, Detail: fmt.Sprintf("Again is %.40q; write true if the ID was published before", text)}
	}
	return again, nil
}

func parseID(text string) (string, error) {
	if !idPattern.MatchString(text) {
		return "", Fault{Reason: BadRequest, Detail: "write the PublicationID as 1 to 64 letters, digits, dots, dashes or underscores"}
	}
	return text, nil
}

func bodyFault(err error) Fault {
	var mb *http.MaxBytesError
	if errors.As(err, &mb) {
		return Fault{Reason: TooLarge, Detail: fmt.Sprintf("send at most %d bytes", mb.Limit)}
	}
	return Fault{Reason: BadRequest, Detail: "the body can't be read: " + err.Error()}
}

// decodeTemplate decodes a template by its media type, or by its first byte if
// the type does not identify the format. The error is a Fault.
func decodeTemplate(contentType string, text []byte) (template.Template, error) {
	media, _, err := mime.ParseMediaType(contentType)
	if contentType != "" && err != nil {
		return template.Template{}, Fault{Reason: UnknownMedia, Detail: "the Content-Type can't be read"}
	}
	decode := template.Parse
	switch media {
	case mediaJSON:
		decode = template.DecodeJSON
	case mediaTOML:
	case "", "text/plain", "application/x-www-form-urlencoded", "application/octet-stream": // defaults of common clients
		if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
			decode = template.DecodeJSON
		}
	default:
		return template.Template{}, Fault{Reason: UnknownMedia, Detail: "send " + mediaTOML + " or " + mediaJSON}
	}
	tpl, err := decode("", text)
	if err == nil {
		return tpl, nil
	}
	fa := Fault{Reason: InvalidTemplate, Detail: "the template is not valid"}
	var es place.Errors
	if errors.As(err, &es) {
		fa.Problems = es
	}
	return template.Template{}, fa
}

// templates lists the revisions in force.
func (srv *Server) templates(ctx iris.Context) {
	inForce := srv.Backend.Templates()
	list := TemplateList{Ready: inForce.Ready, Applied: inForce.Applied, Revisions: []Revision{}}
	for customer, tp := range inForce.ByCustomer {
		list.Revisions = append(list.Revisions, Revision{Customer: customer, Revision: tp.Revision})
	}
	slices.SortFunc(list.Revisions, func(ra, rb Revision) int { return cmp.Compare(ra.Customer, rb.Customer) })
	writeReply(ctx, iris.StatusOK, list)
}

// template returns one template in force.
func (srv *Server) template(ctx iris.Context) {
	customer := ctx.Params().Get("customer")
	tp, ok := srv.Backend.Templates().ByCustomer[customer]
	if !ok {
		srv.refuse(ctx, Fault{Reason: UnknownCustomer, Detail: fmt.Sprintf("no template of customer %.40q is in force", customer)})
		return
	}
	writeReply(ctx, iris.StatusOK, TemplateReply{Revision: tp.Revision, Template: tp.Template})
}

// status returns the state of the VM and its view of the fleet.
func (srv *Server) status(ctx iris.Context) {
	limit, cancel := context.WithTimeout(ctx.Request().Context(), queryTimeout.Std())
	defer cancel()
	writeReply(ctx, iris.StatusOK, srv.Backend.Status(limit))
}

// explain returns the history of a request.
func (srv *Server) explain(ctx iris.Context) {
	limit, cancel := context.WithTimeout(ctx.Request().Context(), queryTimeout.Std())
	defer cancel()
	customer, key := ctx.Params().Get("customer"), ctx.Params().Get("key")
	lines, err := srv.Backend.Explain(limit, customer, key)
	if err != nil {
		srv.refuse(ctx, Fault{Reason: Unavailable, Detail: "the VMs can't be asked: " + err.Error()})
		return
	}
	writeReply(ctx, iris.StatusOK, ExplainReply{Customer: customer, Key: key, Lines: lines})
}

// order reads an order to load a model, an adapter or a version, and has the VM
// send it to the model engine.
func (srv *Server) order(ctx iris.Context) {
	limit, cancel := context.WithTimeout(ctx.Request().Context(), orderTimeout.Std())
	defer cancel()
	od, err := readOrder(ctx.ResponseWriter(), ctx.Request())
	var rep OrderReply
	if err == nil {
		rep, err = srv.Backend.Order(limit, od)
	}
	var fa Fault
	switch {
	case err == nil:
		writeReply(ctx, iris.StatusOK, rep)
	case errors.As(err, &fa):
		srv.refuse(ctx, fa)
	default:
		srv.refuse(ctx, Fault{Reason: InDoubt, Detail: "the engine may have carried the order out; give it again: " + err.Error()})
	}
}

// readOrder reads an order from a request. The error is a Fault.
func readOrder(wr http.ResponseWriter, req *http.Request) (Order, error) {
	text, err := io.ReadAll(http.MaxBytesReader(wr, req.Body, maxOrderBytes))
	if err != nil {
		return Order{}, bodyFault(err)
	}
	var od Order
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&od); err != nil {
		return Order{}, Fault{Reason: BadRequest, Detail: "send an object with Server, Kind and Name"}
	}
	switch od.Kind {
	case engine.LoadModel, engine.LoadAdapter, engine.LoadVersion:
	default:
		return Order{}, Fault{Reason: BadRequest, Detail: fmt.Sprintf("Kind is %.40q; write LoadModel, LoadAdapter or LoadVersion", string(od.Kind))}
	}
	if od.Server == "" || !orderNamePattern.MatchString(od.Name) {
		return Order{}, Fault{Reason: BadRequest, Detail: "name the Server, and give a Name of 1 to 128 printed characters"}
	}
	return od, nil
}

// drain begins the planned stop.
func (srv *Server) drain(ctx iris.Context) {
	if err := srv.Backend.Drain(ctx.Request().Context()); err != nil {
		srv.refuse(ctx, Fault{Reason: Unavailable, Detail: "the planned stop did not begin: " + err.Error()})
		return
	}
	srv.Log.Log(event.DrainAsked, event.F("From", ctx.Request().RemoteAddr))
	writeReply(ctx, iris.StatusAccepted, DrainReply{Draining: true})
}
