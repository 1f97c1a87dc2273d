// Package logsvc is a small in-memory stand-in for the platform's log
// service, with faults that a test can inject. It counts its calls and their
// effects.
//
// # Usage
//
//	srv := &logsvc.Server{Token: "secret"}
//	ts := httptest.NewServer(srv)
//	srv.Set(logsvc.Faults{LoseReplies: 1})
//
// The zero Server has no token and no faults and is ready to use.
package logsvc

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	wire "alderdyke/internal/logsvc"
	"alderdyke/pkg/clock"
)

const (
	maxRecord = 1 << 20      // maximum size of a record, in bytes
	maxWait   = clock.Minute // maximum time that a read waits for records
)

type (
	// Faults describes the faults of the service. The zero value is a healthy
	// service.
	Faults struct {
		Outage      bool         // closes the connection of every call, without an effect
		Refuse      bool         // answers every call with status 503, without an effect
		Slow        clock.Millis // delay before each call takes effect
		LoseReplies int          // number of appends that take effect but get no reply
		Lag         int          // number of newest records that reads do not return
		KeepRecords int          // retention by number of records; zero keeps all
		KeepFor     clock.Millis // retention by age; zero keeps all
	}

	// Counts holds the number of calls and the amount of data so far.
	Counts struct {
		Appends     int
		LostReplies int // appends that took effect but got no reply
		Reads       int
		Refused     int // calls that failed because of an outage, Refuse or a wrong token
		BytesIn     int64
		BytesOut    int64 // response bodies only
		Trimmed     int   // records removed by retention or Trim
		MaxRecord   int   // size of the largest record, in bytes
	}

	// Server is the stand-in. Set Token and Clock before the first call.
	Server struct {
		Token string       // expected bearer token; empty accepts all
		Clock clock.Source // for retention by age; nil uses the process's clock

		mu      sync.Mutex
		faults  Faults
		counts  Counts
		streams map[string]*stream
	}

	stream struct {
		first   uint64
		records []storedRecord
		changed chan struct{}
	}

	storedRecord struct {
		data []byte
		at   clock.Millis
	}

	appendReply struct{ Offset uint64 }
)

// Set replaces the faults.
func (srv *Server) Set(fl Faults) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.faults = fl
	for _, st := range srv.streams {
		st.notifyReaders()
	}
}

// Counts returns the number of calls and the amount of data so far.
func (srv *Server) Counts() Counts {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.counts
}

// Trim removes all records of the stream below the offset.
func (srv *Server) Trim(name string, below uint64) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	st := srv.stream(name)
	for st.first < below && len(st.records) > 0 {
		srv.dropOldest(st)
	}
}

// Records returns all records of the stream that retention has not removed.
func (srv *Server) Records(name string) []wire.Record {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	st := srv.stream(name)
	return st.recordsFrom(st.first, len(st.records))
}

// ServeHTTP serves the protocol of the log service.
func (srv *Server) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", srv.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", srv.serveRead)
	if !srv.admit(rw, req) {
		return
	}
	mux.ServeHTTP(rw, req)
}

// admit checks the token and applies the faults that affect every call. It
// returns false if the call must not be served.
func (srv *Server) admit(rw http.ResponseWriter, req *http.Request) bool {
	srv.mu.Lock()
	fl := srv.faults
	allowed := srv.Token == "" || req.Header.Get("Authorization") == "Bearer "+srv.Token
	if fl.Outage || fl.Refuse || !allowed {
		srv.counts.Refused++
	}
	srv.mu.Unlock()
	switch {
	case fl.Outage:
		panic(http.ErrAbortHandler)
	case fl.Refuse:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return false
	case !allowed:
		rw.WriteHeader(http.StatusUnauthorized)
		return false
	}
	if fl.Slow > 0 {
		tm := time.NewTimer(fl.Slow.Std())
		defer tm.Stop()
		select {
		case <-tm.C:
		case <-req.Context().Done():
			return false
		}
	}
	return true
}

func (srv *Server) serveAppend(rw http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(io.LimitReader(req.Body, maxRecord+1))
	if err != nil {
		return
	}
	if len(data) > maxRecord {
		rw.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	offset, lost := srv.append(req.PathValue("stream"), data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	srv.writeReply(rw, appendReply{Offset: offset})
}

// append stores a record and returns its offset, and whether the reply must be
// lost.
func (srv *Server) append(name string, data []byte) (offset uint64, lost bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	st := srv.stream(name)
	offset = st.end()
	st.records = append(st.records, storedRecord{data: data, at: srv.now()})
	srv.counts.Appends++
	srv.counts.BytesIn += int64(len(data))
	srv.counts.MaxRecord = max(srv.counts.MaxRecord, len(data))
	srv.applyRetention(st)
	st.notifyReaders()
	if srv.faults.LoseReplies > 0 {
		srv.faults.LoseReplies--
		srv.counts.LostReplies++
		lost = true
	}
	return offset, lost
}

func (srv *Server) serveRead(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, errFrom := strconv.ParseUint(query.Get("From"), 10, 64)
	limit, errMax := strconv.Atoi(query.Get("Max"))
	var wait clock.Millis
	var errWait error
	if text := query.Get("Wait"); text != "" {
		errWait = wait.UnmarshalText([]byte(text))
	}
	if errFrom != nil || errMax != nil || errWait != nil || limit < 1 || wait < 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	tm := time.NewTimer(min(wait, maxWait).Std())
	defer tm.Stop()
	for {
		ba, changed := srv.read(req.PathValue("stream"), from, limit)
		if len(ba.Records) > 0 || ba.First > from {
			srv.writeReply(rw, ba)
			return
		}
		select {
		case <-changed:
		case <-tm.C:
			srv.writeReply(rw, ba)
			return
		case <-req.Context().Done():
			return
		}
	}
}

// read returns the records from an offset on, except those that Lag hides, and a
// channel that is closed when the stream or the faults change.
func (srv *Server) read(name string, from uint64, limit int) (wire.Batch, <-chan struct{}) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	st := srv.stream(name)
	srv.applyRetention(st)
	end := st.end() - min(uint64(srv.faults.Lag), st.end()-st.first)
	ba := wire.Batch{First: st.first, End: end}
	from = max(from, st.first)
	if from < end {
		ba.Records = st.recordsFrom(from, min(limit, int(end-from)))
	}
	ba.Next = min(from, end) + uint64(len(ba.Records))
	return ba, st.changed
}

func (srv *Server) writeReply(rw http.ResponseWriter, reply any) {
	body, err := json.Marshal(reply)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	srv.mu.Lock()
	if _, ok := reply.(wire.Batch); ok {
		srv.counts.Reads++
	}
	srv.counts.BytesOut += int64(len(body))
	srv.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	// Write fails only if the caller has disconnected, who needs no answer.
	_, _ = rw.Write(body)
}

func (srv *Server) stream(name string) *stream {
	st := srv.streams[name]
	if st == nil {
		st = &stream{changed: make(chan struct{})}
		if srv.streams == nil {
			srv.streams = map[string]*stream{}
		}
		srv.streams[name] = st
	}
	return st
}

func (srv *Server) applyRetention(st *stream) {
	fl := srv.faults
	for fl.KeepRecords > 0 && len(st.records) > fl.KeepRecords {
		srv.dropOldest(st)
	}
	for fl.KeepFor > 0 && len(st.records) > 0 && srv.now()-st.records[0].at >= fl.KeepFor {
		srv.dropOldest(st)
	}
}

func (srv *Server) dropOldest(st *stream) {
	st.records = st.records[1:]
	st.first++
	srv.counts.Trimmed++
}

func (srv *Server) now() clock.Millis { return clock.OrBoottime(srv.Clock).Now() }

func (st *stream) end() uint64 { return st.first + uint64(len(st.records)) }

func (st *stream) recordsFrom(from uint64, count int) []wire.Record {
	out := make([]wire.Record, count)
	for ix := range out {
		offset := from + uint64(ix)
		out[ix] = wire.Record{Offset: offset, Data: st.records[offset-st.first].data}
	}
	return out
}

func (st *stream) notifyReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}
