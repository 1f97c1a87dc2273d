// Package vmlist is a small stand-in for the platform's VM list, with faults
// that a test sets.
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
	// Faults is what goes wrong. The zero value is a healthy service.
	Faults struct {
		Outage bool         // every call breaks off
		Lag    clock.Millis // the list is as old as this
		NoETag bool         // the list is always sent whole
	}

	// Counts counts what the service did.
	Counts struct {
		Fetches     int // lists sent whole
		NotModified int // answers that only said that the list did not change
		Refused     int // calls that found an outage or a wrong token
	}

	// Server is the stand-in. Set Token and Clock before the first call.
	Server struct {
		Token string       // expected bearer token; empty accepts all
		Clock clock.Source // nil means the process's clock

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

// Counts returns the counts so far.
func (srv *Server) Counts() Counts {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.counts
}

// Put replaces the list from now on. The document must not be written to
// afterwards.
func (srv *Server) Put(doc wire.Document) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.revisions = append(srv.revisions, revision{at: srv.now(), doc: doc})
}

// ServeHTTP serves the list as of Lag ago; the first list that was put counts
// as having stood always.
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
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(rw).Encode(doc)
}

// selectList finds the list to send and its tag, the number of its state.
func (srv *Server) selectList(req *http.Request) (doc wire.Document, tag string, outage, allowed bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	allowed = srv.Token == "" || req.Header.Get("Authorization") == "Bearer "+srv.Token
	if srv.faults.Outage || !allowed {
		srv.counts.Refused++
		return doc, "", srv.faults.Outage, allowed
	}
	asOf := srv.now() - srv.faults.Lag
	for ix, st := range srv.revisions {
		if ix == 0 || st.at <= asOf {
			doc, tag = st.doc, fmt.Sprintf("%q", strconv.Itoa(ix))
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
