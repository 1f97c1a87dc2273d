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

// Paths of the routes.
const (
	pathStream = "/lohu930/"
	pathOnce   = "/pule252/"
	host       = "ficu95.example"
)

// answer is what a client got.
type answer struct {
	id, path, via string
	status        int
	sealed        bool
	body          string
	err           error // the answer does not look complete
}

// send sends a request on a new connection and reads the answer to its end.
func (rg *rig) send(front, path string, wait time.Duration) (out answer) {
	out = answer{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, via: front}
	ctx, stop := context.WithTimeout(context.Background(), wait)
	defer stop()
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", front)
		}}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path+"2f", strings.NewReader("{}"))
	if err != nil {
		out.err = err
		return out
	}
	req.Header.Set("Attempt-Id", out.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	rg.note("client sends %s %s to %s", out.id, path, front)
	rsp, err := hc.Do(req)
	if err != nil {
		out.err = err
		rg.note("client got no answer to %s: %v", out.id, err)
		return out
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(rsp.Body)
	out.status, out.sealed, out.body, out.err = rsp.StatusCode, rsp.Header.Get("Server-Seal") != "", string(body), err
	looks := "which looks complete"
	if err != nil {
		looks = "which broke off: " + err.Error()
	}
	rg.note("client got %d for %s (sealed %t, length %d, %v), %d bytes, %s", out.status, out.id, out.sealed, rsp.ContentLength, rsp.TransferEncoding, len(body), looks)
	return out
}

// errNotWhole reports an answer that looks complete and is not.
var errNotWhole = errors.New("a success whose body is not the worker's whole body")

// check returns errNotWhole if an answer looks like a whole success and is none.
func (an answer) check(pieces int) error {
	if an.err != nil || an.status < 200 || an.status >= 300 {
		return nil
	}
	want := ""
	for number := range pieces {
		want += piece(an.path, an.id, number+1, pieces)
	}
	if an.body != want {
		return fmt.Errorf("%s: %w: %d of %d bytes", an.id, errNotWhole, len(an.body), len(want))
	}
	return nil
}
