package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

type (
	// request is one client attempt.
	request struct {
		id       string
		method   string
		host     string
		path     string
		header   map[string]string
		body     string
		deadline time.Duration // how long the client waits
	}

	// reply is what a client got.
	reply struct {
		sentAt, endedAt time.Time
		status          int // zero: no answer came
		header          http.Header
		body            string
		whole           bool  // the answer came to its end, as its framing says
		err             error // why it is not whole
	}
)

// send sends a request on a new connection and reads the answer.
func (dp *deployment) send(to string, rq request) reply {
	cn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		dp.rec.add("client: %s: no connection: %v", rq.id, err)
		return reply{err: err}
	}
	defer cn.Close()
	return dp.exchange(cn, bufio.NewReader(cn), rq)
}

// exchange sends a request on a connection and reads the answer.
func (dp *deployment) exchange(cn net.Conn, from *bufio.Reader, rq request) (rp reply) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", rq.method, rq.path, rq.host, rq.id, rq.deadline.Milliseconds())
	for name, value := range rq.header {
		head += name + ": " + value + "\r\n"
	}
	if rq.body != "" || rq.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(rq.body))
	}
	rp.sentAt = time.Now()
	dp.rec.add("client: sends %s to %s: %s %s", rq.id, cn.RemoteAddr(), rq.method, rq.path)
	defer func() {
		rp.endedAt = time.Now()
		dp.rec.add("client: %s after %.3f s: status %d, %d bytes, %d events, whole: %t, error: %v", rq.id, rp.endedAt.Sub(rp.sentAt).Seconds(), rp.status,
			len(rp.body), rp.events(), rp.whole, rp.err)
	}()
	_ = cn.SetDeadline(rp.sentAt.Add(rq.deadline))
	if _, rp.err = io.WriteString(cn, head+"\r\n"+rq.body); rp.err != nil {
		return rp
	}
	rsp, err := http.ReadResponse(from, &http.Request{Method: rq.method})
	if err != nil {
		rp.err = err
		return rp
	}
	defer rsp.Body.Close()
	rp.status, rp.header = rsp.StatusCode, rsp.Header
	data, err := io.ReadAll(rsp.Body)
	rp.body, rp.err, rp.whole = string(data), err, err == nil
	return rp
}

// events returns the number of complete events of a stream.
func (rp reply) events() int { return strings.Count(rp.body, "\n\n") }

// cut reports whether the connection ended before the client's time and without a
// complete answer.
func (rp reply) cut() bool { return !rp.whole && !errors.Is(rp.err, os.ErrDeadlineExceeded) }

// resolve asks the directory for the addresses and for how long they count.
func (dp *deployment) resolve(vm *vmProcess) (addresses []string, ttl time.Duration, err error) {
	rsp, err := http.Get("http://" + vm.directory + "/api/resolve?name=ficu95.example&region=dk-jylland&zone=aarhus-a")
	if err != nil {
		return nil, 0, fmt.Errorf("ask the directory: %w", err)
	}
	defer rsp.Body.Close()
	var in struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(rsp.Body).Decode(&in); err != nil {
		return nil, 0, fmt.Errorf("read the directory's answer: %w", err)
	}
	return in.Addresses, time.Duration(in.TTL * float64(time.Second)), nil
}
