// Package vmlist is a small stand-in for the platform's VM list, with faults
// that a test can inject.
//
// # Usage
//
//	srv := &vmlist.Server{}
//	srv.Put(wire.Document{VMs: ...})
//	srv.Set(vmlist.Faults{Lag: 10 * clock.Second})
//	ts := httptest.NewServer(srv)
//
// The zero Server holds an empty list and is ready to use.
package vmlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	wire "alderdyke/internal/vmlist"
	"alderdyke/pkg/clock"
)

type (
	// Faults describes the faults of the service. The zero value is a healthy
	// service.
	Faults struct {
		Outage bool         // closes the connection of every call
		Lag    clock.Millis // age of the list that is served
		NoETag bool         // sends no ETag, so that the list is always sent whole
	}

	// Counts holds the number of calls by their result.
	Counts struct {
		Fetches     int // responses with the whole list
		NotModified int // responses without a list because it is unchanged
		Refused     int // calls that failed because of an outage or a wrong token
	}

	// Server is the stand-in. Set Token and Clock before the first call.
	Server struct {
		Token string       // expected bearer token; empty accepts all
		Clock clock.Source // nil uses the process's clock

		mu        sync.Mutex
		faults    Faults
		counts    Counts
		revisions []revision // oldest first
	}

	revision struct {
		at  clock.Millis
		doc wire.Document
	}
)

// Set replaces the faults.
func (srv *Server) Set(fl Faults) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.faults = fl
}

// Counts returns the number of calls by their result so far.
func (srv *Server) Counts() Counts {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.counts
}

// Put replaces the list from now on. The caller must not modify the document
// afterwards.
func (srv *Server) Put(doc wire.Document) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.revisions = append(srv.revisions, revision{at: srv.now(), doc: doc})
}

// ServeHTTP serves the list as it was Lag ago. The first list is served for
// all times before it was put.
func (srv *Server) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	doc, tag, outage, allowed := srv.selectList(req)
	switch {
	case outage:
		panic(http.ErrAbortHandler)
	case !allowed:
		rw.WriteHeader(http.StatusUnauthorized)
		return
	case req.Method != http.MethodGet || req.URL.Path != "/vms":
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if tag != "" {
		rw.Header().Set("ETag", tag)
		if req.Header.Get("If-None-Match") == tag {
			rw.WriteHeader(http.StatusNotModified)
			return
		}
	}
	rw.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the caller has disconnected, who needs no answer.
	_ = json.NewEncoder(rw).Encode(doc)
}

// selectList returns the list to send and its ETag, which is the number of its
// revision, and reports whether there is an outage and whether the token is
// right.
func (srv *Server) selectList(req *http.Request) (doc wire.Document, tag string, outage, allowed bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	allowed = srv.Token == "" || req.Header.Get("Authorization") == "Bearer "+srv.Token
	if srv.faults.Outage || !allowed {
		srv.counts.Refused++
		return doc, "", srv.faults.Outage, allowed
	}
	asOf := srv.now() - srv.faults.Lag
	for ix, rv := range srv.revisions {
		if ix == 0 || rv.at <= asOf {
			doc, tag = rv.doc, fmt.Sprintf("%q", strconv.Itoa(ix))
		}
	}
	if srv.faults.NoETag {
		tag = ""
	}
	if tag != "" && req.Header.Get("If-None-Match") == tag {
		srv.counts.NotModified++
	} else {
		srv.counts.Fetches++
	}
	return doc, tag, false, true
}

func (srv *Server) now() clock.Millis { return clock.OrBoottime(srv.Clock).Now() }
