package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	pathOnce = "/pule252/"
	host     = "ficu95.example"

	// configuration has a route whose requests may run once.
	configuration = `{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/pule252/","route_kind":"non_idempotent",` +
		`"timeout_ms":14000,"slo_ms":5000,"priority":2,"service":"huvo11a","max_attempts":1}],` +
		`"services":[{"name":"huvo11a","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
	clientWait = 14 * time.Second
)

// answer is what a client got.
type answer struct {
	id     string
	status int
	sealed bool
	body   string
	err    error // the answer does not look complete
}

// send sends a request on a new connection and reads the answer to its end, if slow is set
// not faster than slowRate.
func (rg *rig) send(front string, slow bool) (out answer) {
	out = answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, stop := context.WithTimeout(context.Background(), clientWait)
	defer stop()
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", front)
		}}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+pathOnce+"2f", strings.NewReader("{}"))
	if err != nil {
		out.err = err
		return out
	}
	req.Header.Set("Attempt-Id", out.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	rg.note("client sends %s to %s", out.id, front)
	rsp, err := hc.Do(req)
	if err != nil {
		out.err = err
		rg.note("client got no answer to %s: %v", out.id, err)
		return out
	}
	defer rsp.Body.Close()
	var from io.Reader = rsp.Body
	if slow {
		from = slowReader{rsp.Body}
	}
	body, err := io.ReadAll(from)
	out.status, out.sealed, out.body, out.err = rsp.StatusCode, rsp.Header.Get("Server-Seal") != "", string(body), err
	looks := "which looks complete"
	if err != nil {
		looks = "which broke off: " + err.Error()
	}
	rg.note("client got %d for %s (sealed %t, length %d, %v), %d bytes, %s", out.status, out.id, out.sealed, rsp.ContentLength, rsp.TransferEncoding, len(body), looks)
	return out
}

// slowRate is how many bytes a slow client reads in a second.
const slowRate = 3 << 20

// slowReader reads at slowRate.
type slowReader struct{ io.Reader }

// Read reads a piece and waits for as long as it takes a slow client.
func (sr slowReader) Read(data []byte) (int, error) {
	size, err := sr.Reader.Read(data[:min(len(data), 16<<10)])
	time.Sleep(time.Duration(size) * time.Second / slowRate)
	return size, err
}

// errNotWhole reports an answer that looks complete and is not.
var errNotWhole = errors.New("a success whose body is not the worker's whole body")

// check returns errNotWhole if an answer looks like a whole success and is none.
func (an answer) check(set workerSettings) error {
	if an.err != nil || an.status < 200 || an.status >= 300 {
		return nil
	}
	var want strings.Builder
	for number := range set.Pieces {
		want.WriteString(set.piece(an.id, number+1))
	}
	if an.body != want.String() {
		return fmt.Errorf("%s: %w: %d of %d bytes", an.id, errNotWhole, len(an.body), want.Len())
	}
	return nil
}

// judgeBodies compares what clients got as whole successes with what the workers wrote.
func (rg *rig) judgeBodies(answers <-chan answer, set workerSettings) (broken bool, err error) {
	whole := 0
	for an := range answers {
		if err := an.check(set); err != nil {
			rg.note("%v", err)
			broken = true
		} else if an.err == nil && an.status == http.StatusOK {
			whole++
		}
	}
	rg.note("%d answers were whole", whole)
	if whole == 0 {
		return false, errNothingServed
	}
	return broken, nil
}
