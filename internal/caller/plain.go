package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"

	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

const servicesRoot = "/services/"

var (
	// droppedHeaders are not forwarded with a request or an answer: hop-by-hop
	// headers and those meant for this VM.
	droppedHeaders = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
		"Authorization", headerKey, textproto.CanonicalMIMEHeaderKey(headerLastID),
	}

	// volatileHeaders may differ between two transmissions of one request.
	volatileHeaders = []string{
		"User-Agent", "Accept-Encoding", "Date", "Traceparent", "Tracestate", "X-Request-Id",
	}

	// plainMethods are the methods that a plain service may be called with.
	plainMethods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
)

// PlainAnswer is the complete answer of a plain service: the data of an answer.Whole
// event.
type PlainAnswer struct {
	Status int // HTTP status
	Header http.Header
	Body   []byte
}

// Encode returns the answer as the data of an answer.Whole event.
func (pa PlainAnswer) Encode() ([]byte, error) {
	data, err := json.Marshal(pa)
	if err != nil {
		return nil, fmt.Errorf("encode a plain answer: %w", err)
	}
	return data, nil
}

// DecodePlain parses the result of Encode. A status that HTTP does not allow for a
// complete answer is an error.
func DecodePlain(data []byte) (PlainAnswer, error) {
	var pa PlainAnswer
	if err := json.Unmarshal(data, &pa); err != nil {
		return PlainAnswer{}, fmt.Errorf("decode a plain answer: %s", describeJSONError(err))
	}
	if pa.Status < 200 || pa.Status > 999 {
		return PlainAnswer{}, fmt.Errorf("decode a plain answer: status %d", pa.Status)
	}
	return pa, nil
}

// plainRequest creates the request to a plain service, and returns its unescaped
// path.
func plainRequest(req *http.Request, body []byte) (*Plain, string, error) {
	service, path, err := splitPath(req.URL)
	if err != nil {
		return nil, "", err
	}
	clean, err := checkPath(path)
	if err != nil {
		return nil, "", err
	}
	return &Plain{
		Service: service, Method: req.Method, Path: path, Query: req.URL.RawQuery,
		Header: forwardedHeaders(req.Header), Body: body,
	}, clean, nil
}

// splitPath returns the service and the escaped path after it from the URL.
func splitPath(at *url.URL) (service, path string, err error) {
	rest, ok := strings.CutPrefix(at.EscapedPath(), servicesRoot)
	if !ok {
		return "", "", badRequest("the path must start with " + servicesRoot)
	}
	service, path, _ = strings.Cut(rest, "/")
	if service, err = url.PathUnescape(service); err != nil || service == "" {
		return "", "", badRequest("the path names no service")
	}
	return service, "/" + path, nil
}

// checkPath returns the unescaped path. A path that a service could take for another
// path is refused, because the path determines the class, and so whether the request
// may be repeated.
func checkPath(escaped string) (string, error) {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return "", badRequest("the path is not escaped as it should be")
	}
	if strings.Count(path, "/") != strings.Count(escaped, "/") || strings.ContainsAny(path, "\\\x00;") {
		return "", badRequest("the path holds an escaped slash, a backslash or a semicolon")
	}
	segments := strings.Split(path[1:], "/")
	for ix, seg := range segments {
		if seg == "." || seg == ".." || (seg == "" && ix < len(segments)-1) {
			return "", badRequest("the path holds an empty segment or one of dots")
		}
	}
	return path, nil
}

// plainClass finds the class of a path: the one with the longest prefix. A header
// that names another class is refused.
func plainClass(tpl template.Template, service, path, named string) (template.Class, error) {
	var (
		best   template.Class
		length = -1
		known  bool
	)
	for _, cls := range tpl.Classes {
		if cls.Service != service {
			continue
		}
		for _, prefix := range cls.Paths {
			known = true
			if len(prefix) > length && underPrefix(path, prefix) {
				best, length = cls, len(prefix)
			}
		}
	}
	switch {
	case !known:
		return template.Class{}, refusal.Refusal{
			Ran: refusal.NotRun, Reason: refusal.UnknownService,
			Detail: "the customer's template has no class for this service",
		}
	case length < 0, named != "" && named != best.Name:
		return template.Class{}, refusal.Refusal{
			Ran: refusal.NotRun, Reason: refusal.UnknownClass,
			Detail: "the customer's template has no class of this name for this path",
		}
	}
	return best, nil
}

// underPrefix reports whether the path is the prefix or lies under it. Prefixes match
// up to a slash.
func underPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// forwardedHeaders copies the headers that are forwarded end to end.
func forwardedHeaders(hd http.Header) http.Header {
	out := make(http.Header, len(hd))
	for name, values := range hd {
		name = http.CanonicalHeaderKey(name)
		if !slices.Contains(droppedHeaders, name) && !strings.HasPrefix(name, ownPrefix) {
			out[name] = slices.Clone(values)
		}
	}
	for _, list := range hd.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

// fingerprint computes Request.Fingerprint.
func (pl *Plain) fingerprint(class string) []byte {
	parts := []string{"plain", class, pl.Service, pl.Method, pl.Path, pl.Query, string(pl.Body)}
	names := make([]string, 0, len(pl.Header))
	for name := range pl.Header {
		if !slices.Contains(volatileHeaders, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		parts = append(parts, name, fmt.Sprint(len(pl.Header[name])))
		parts = append(parts, pl.Header[name]...)
	}
	return digest(parts...)
}

// serviceRequest is the parser of calls to plain services, whose answers are never
// streamed.
func serviceRequest(tpl template.Template, req *http.Request, body []byte) (run Request, streamed bool, err error) {
	pl, path, err := plainRequest(req, body)
	if err != nil {
		return Request{}, false, err
	}
	cls, err := plainClass(tpl, pl.Service, path, req.Header.Get(headerClass))
	if err != nil {
		return Request{}, false, err
	}
	return Request{
		Customer: tpl.Customer, Template: tpl, Class: cls, Plain: pl, Fingerprint: pl.fingerprint(cls.Name),
	}, false, nil
}
