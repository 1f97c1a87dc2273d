package backend

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"sync"
)

// currentVersion begins the responses whose heads need not be recorded.
var currentVersion = []byte("HTTP/1.1 ")

// longestHeadEnd is the length of the longest end of a head, less one byte.
const longestHeadEnd = len("\n\r\n") - 1

// headRecord counts the bytes that a call receives, and keeps the head of a response of a
// version before HTTP/1.1. net/http ignores and removes the Transfer-Encoding of such a head
// and takes the coded body for the body, where the framing is to be treated as faulty
// (RFC 9112, section 6.1).
type headRecord struct {
	mu       sync.Mutex
	received int64 // bytes
	head     []byte
	done     bool
}

// begin starts the record of a call.
func (hr *headRecord) begin() {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	hr.received, hr.head, hr.done = 0, nil, false
}

// receivedBytes returns how many bytes the call has received.
func (hr *headRecord) receivedBytes() int64 {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	return hr.received
}

// add counts what was received, and records what belongs to the head.
func (hr *headRecord) add(data []byte) {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	hr.received += int64(len(data))
	if hr.done {
		return
	}
	if len(hr.head) == 0 && bytes.HasPrefix(data, currentVersion) {
		hr.done = true // without a copy, which nearly every call would cost
		return
	}
	searched := max(0, len(hr.head)-longestHeadEnd)
	hr.head = append(hr.head, data...)
	if bytes.HasPrefix(hr.head, currentVersion) {
		hr.head, hr.done = nil, true
		return
	}
	added := hr.head[searched:]
	hr.done = len(hr.head) > headerBytes || bytes.Contains(added, []byte("\n\r\n")) || bytes.Contains(added, []byte("\n\n"))
}

// hasCoding reports whether the recorded head has a Transfer-Encoding.
func (hr *headRecord) hasCoding() bool {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	rd := textproto.NewReader(bufio.NewReader(bytes.NewReader(hr.head)))
	if _, err := rd.ReadLine(); err != nil {
		return false // no head was recorded
	}
	fields, err := rd.ReadMIMEHeader()
	return err != nil || len(fields["Transfer-Encoding"]) > 0
}

// hasFaultyCoding reports whether a response on the connection has a coded body that net/http
// does not decode.
func (gc *gatedConn) hasFaultyCoding(rsp *http.Response) bool {
	return !rsp.ProtoAtLeast(1, 1) && gc.response.hasCoding()
}
