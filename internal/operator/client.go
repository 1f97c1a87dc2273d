package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"alderdyke/internal/settings"
	"alderdyke/pkg/clock"
)

const (
	maxReplyBytes = 64 << 20
	clientTimeout = 100 * clock.Second
)

// directTransport connects to the VM directly and ignores proxy settings of the
// environment, so that the token is sent to no other host.
var directTransport http.RoundTripper = &http.Transport{MaxIdleConns: 4, IdleConnTimeout: idleTimeout.Std()}

// Client sends an operator's requests to one VM. It is an immutable value. All
// its errors are a [Fault].
type Client struct {
	Address string // "IP:port" of the VM's operator address
	Token   settings.Secret
}

// Publish publishes a template. The ID must not be empty: keep it, and after
// InDoubt publish again with the same ID. A reply that is not accepted is not an
// error.
func (cl Client) Publish(ctx context.Context, pub Publication) (PublishReply, error) {
	body, err := json.Marshal(pub.Template)
	if err != nil {
		return PublishReply{}, Fault{Reason: BadRequest, Detail: "write the template as JSON: " + err.Error()}
	}
	if _, err := parseID(pub.ID); err != nil {
		return PublishReply{}, err
	}
	query := url.Values{"Base": {strconv.FormatUint(pub.Base, 10)}, "PublicationID": {pub.ID}}
	if pub.Again {
		query.Set("Again", "true")
	}
	path := "/templates/" + url.PathEscape(pub.Customer) + "?" + query.Encode()
	var out PublishReply
	err = cl.call(ctx, http.MethodPost, path, body, &out)
	var fa Fault
	if errors.As(err, &fa) && fa.Reason == BadReply {
		return out, Fault{Reason: InDoubt, Detail: "the template may have been published; publish again with the same PublicationID: " + fa.Detail}
	}
	return out, err
}

// Templates lists the customers and their revisions in force.
func (cl Client) Templates(ctx context.Context) (TemplateList, error) {
	var out TemplateList
	err := cl.call(ctx, http.MethodGet, "/templates", nil, &out)
	return out, err
}

// Template returns a customer's template in force.
func (cl Client) Template(ctx context.Context, customer string) (TemplateReply, error) {
	var out TemplateReply
	err := cl.call(ctx, http.MethodGet, "/templates/"+url.PathEscape(customer), nil, &out)
	return out, err
}

// Status returns the state of the VM and its view of the fleet.
func (cl Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := cl.call(ctx, http.MethodGet, "/status", nil, &out)
	return out, err
}

// Explain returns the history of a request, which this VM collects from all VMs.
func (cl Client) Explain(ctx context.Context, customer, key string) (ExplainReply, error) {
	var out ExplainReply
	err := cl.call(ctx, http.MethodGet, "/explain/"+url.PathEscape(customer)+"/"+url.PathEscape(key), nil, &out)
	return out, err
}

// Order sends an order to load a model, an adapter or a version to a model
// engine. After InDoubt the order may be sent again, because orders are
// idempotent.
func (cl Client) Order(ctx context.Context, od Order) (OrderReply, error) {
	body, err := json.Marshal(od)
	if err != nil {
		return OrderReply{}, Fault{Reason: BadRequest, Detail: "write the order as JSON: " + err.Error()}
	}
	var out OrderReply
	err = cl.call(ctx, http.MethodPost, "/orders", body, &out)
	var fa Fault
	if errors.As(err, &fa) && fa.Reason == BadReply {
		return out, Fault{Reason: InDoubt, Detail: "the engine may have carried the order out; give it again: " + fa.Detail}
	}
	return out, err
}

// Drain begins the planned stop of the VM.
func (cl Client) Drain(ctx context.Context) error {
	var out DrainReply
	return cl.call(ctx, http.MethodPost, "/drain", nil, &out)
}

// call sends one request and decodes the reply into out.
func (cl Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	limit, cancel := context.WithTimeout(ctx, clientTimeout.Std())
	defer cancel()
	req, err := http.NewRequestWithContext(limit, method, "http://"+cl.Address+path, bytes.NewReader(body))
	if err != nil {
		return Fault{Reason: BadRequest, Detail: "make the request: " + err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+cl.Token.Reveal())
	req.Header.Set("Content-Type", mediaJSON)
	resp, err := directTransport.RoundTrip(req)
	if err != nil {
		return transportFault(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Fault{Reason: BadReply, Detail: "read the reply: " + err.Error()}
	}
	return readReply(resp.StatusCode, text, out)
}

// transportFault distinguishes a request that was never sent from one that may
// have been.
func transportFault(err error) Fault {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return Fault{Reason: Unreachable, Detail: err.Error()}
	}
	return Fault{Reason: BadReply, Detail: "the connection broke: " + err.Error()}
}

// readReply decodes a success or a decided publication into out; anything else
// is a Fault.
func readReply(status int, text []byte, out any) error {
	if status/100 == 2 || status == http.StatusConflict {
		if err := json.Unmarshal(text, out); err != nil {
			return Fault{Reason: BadReply, Detail: "the reply is not what was expected: " + err.Error()}
		}
		return nil
	}
	var fa Fault
	if err := json.Unmarshal(text, &fa); err != nil || fa.Reason == "" {
		return Fault{Reason: BadReply, Detail: fmt.Sprintf("the address answered with status %d and no reason; is it the operators' address?", status)}
	}
	return fa
}
