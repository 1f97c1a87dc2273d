// Package malformed is a stand-in for a server whose answers break HTTP, or keep to it in
// an unusual form.
//
// # Usage
//
//	for _, an := range malformed.Names(header, body) {
//		srv := httptest.NewServer(an)
//		... // call srv.URL
//		srv.Close()
//	}
package malformed

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// statusOK begins the answers whose status is not their fault.
const statusOK = "HTTP/1.1 200 OK\r\n"

// Answer is what a server sends to each request, byte by byte.
type Answer struct {
	Name string
	Text string
}

// Statuses returns answers whose status is none of HTTP. The header lines end with CR LF
// each.
func Statuses(header, body string) []Answer {
	var list []Answer
	for _, status := range []string{"000", "001", "099", "+20", "-00"} {
		list = append(list, Answer{"status " + status, "HTTP/1.1 " + status + " No\r\n" + header + withLength(body)})
	}
	return list
}

// Names returns answers with names of fields that are no tokens, or with control bytes in
// values.
func Names(header, body string) []Answer {
	return append(AcceptedNames(header, body), []Answer{
		{"a control byte in a name", statusOK + header + "A\x01b: c\r\n" + withLength(body)},
		{"a tab in a name", statusOK + header + "A\tb: c\r\n" + withLength(body)},
		{"a byte over 127 in a name", statusOK + header + "A\xe9: c\r\n" + withLength(body)},
		{"no name", statusOK + header + ": c\r\n" + withLength(body)},
		{"a control byte in a value", statusOK + header + "A: b\x01c\r\n" + withLength(body)},
		{"a control byte in a name of a trailer", statusOK + header + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\nA\x01b: c\r\n\r\n"},
	}...)
}

// AcceptedNames returns those answers of Names that net/http accepts.
func AcceptedNames(header, body string) []Answer {
	return []Answer{
		{"a blank in a name", statusOK + header + "A b: c\r\n" + withLength(body)},
		{"a blank before a colon", statusOK + header + "A : b\r\n" + withLength(body)},
		{"two blanks before a colon", statusOK + header + "A  : b\r\n" + withLength(body)},
		{"a length with a blank before the colon", statusOK + header + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body},
		{"a coding with a blank before the colon", statusOK + header + "Transfer-Encoding : chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"},
		{"a blank in a name of a trailer", statusOK + header + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\nA b: c\r\n\r\n"},
		{"a blank in the name of an announced trailer", statusOK + header + "Trailer: A b\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"},
	}
}

// Informational returns answers after an informational response with a name of a field that
// is no token.
func Informational(header, body string) []Answer {
	return []Answer{
		{"a blank in a name of an informational response", "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + statusOK + header + withLength(body)},
		{"a blank before a colon of an informational response", "HTTP/1.1 100 Continue\r\nContent-Length : 1\r\n\r\n" + statusOK + header + withLength(body)},
	}
}

// Codings returns answers whose body has a coding that their version of HTTP does not have.
func Codings(header, body string) []Answer {
	return []Answer{
		{"a coding in an earlier version", "HTTP/1.0 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"},
		{"a coding beside a length in an earlier version", "HTTP/1.0 200 OK\r\n" + header + "transfer-encoding: chunked\r\n" + withLength(chunk(body)+"0\r\n\r\n")},
		{"an unknown coding in an earlier version", "HTTP/1.0 200 OK\nTransfer-Encoding: x\n" + header + withLength(body)},
	}
}

// Unusual returns sound answers of rare forms.
func Unusual(header, body string) []Answer {
	return []Answer{
		{"no reason", "HTTP/1.1 200\r\n" + header + withLength(body)},
		{"every byte of a name", statusOK + header + "!#$%&'*+-.^_`|~09azAZ: b\r\n" + withLength(body)},
		{"names in lower case", statusOK + header + fmt.Sprintf("content-length: %d\r\n\r\n", len(body)) + body},
		{"an empty value", statusOK + header + "A:\r\n" + withLength(body)},
		{"blanks around a value", statusOK + header + "A: \t b c \t\r\n" + withLength(body)},
		{"a value of several lines", statusOK + header + "A: b\r\n c\r\n" + withLength(body)},
		{"bytes over 127 in a value", statusOK + header + "A: \xe9\r\n" + withLength(body)},
		{"line feeds alone", strings.ReplaceAll(statusOK+header, "\r\n", "\n") + fmt.Sprintf("Content-Length: %d\n\n", len(body)) + body},
		{"informational responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + statusOK + header + withLength(body)},
		{"trailers", statusOK + header + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\nA: b\r\nB: c\r\n\r\n"},
		{"a length beside a coding", statusOK + header + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"},
		{"a chunk extension", statusOK + header + "Transfer-Encoding: chunked\r\n\r\n" + strings.Replace(chunk(body), "\r\n", ";a=b\r\n", 1) + "0\r\n\r\n"},
		{"neither length nor chunks", statusOK + header + "\r\n" + body},
		{"an earlier version", "HTTP/1.0 200 OK\r\n" + header + withLength(body)},
		{"an earlier version without a length", "HTTP/1.0 200 OK\r\n" + header + "\r\n" + body},
	}
}

// withLength returns the end of a head that states the length of the body, and the body.
func withLength(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// ServeHTTP sends the answer to a request, once it has read it, and closes the connection in
// order.
func (an Answer) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	cn, buf, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return // the connection is gone
	}
	defer cn.Close()
	_, _ = buf.WriteString(an.Text) // the client may have closed the connection in the middle
	_ = buf.Flush()
}
