package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is how long the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	recordHeadBytes = 4
)

type (
	// store is the platform's store: keyed topics of one partition, in memory. It
	// expires nothing.
	store struct {
		mu      sync.Mutex
		topics  map[string][]storedRecord
		changed chan struct{} // closed at each append
	}

	storedRecord struct {
		key   string
		value []byte
	}
)

func newStore() *store {
	return &store{topics: make(map[string][]storedRecord), changed: make(chan struct{})}
}

// put appends a record, as the operator or a worker does. Without a value it drops the key.
func (st *store) put(topic, key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.append(topic, key, value)
}

// append appends a record and returns its offset. The lock is held.
func (st *store) append(topic, key string, value []byte) int {
	st.topics[topic] = append(st.topics[topic], storedRecord{key: key, value: value})
	close(st.changed)
	st.changed = make(chan struct{})
	return len(st.topics[topic]) - 1
}

// ServeHTTP answers a call.
func (st *store) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	time.Sleep(storeAnswerTime)
	switch req.URL.Path {
	case "/api/log-newest":
		st.serveNewest(wr, req)
	case "/api/log-read":
		st.serveRead(wr, req)
	case "/api/log-append":
		st.serveAppend(wr, req)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) serveNewest(wr http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	st.mu.Lock()
	recs := st.topics[req.URL.Query().Get("topic")]
	st.mu.Unlock()
	newest := make(map[string]int)
	for ix, rec := range recs {
		newest[rec.key] = ix
	}
	items := []item{}
	for ix, rec := range recs {
		if newest[rec.key] == ix && len(rec.value) > 0 {
			items = append(items, item{Key: rec.key, Value: rec.value, Offset: ix})
		}
	}
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"items": items, "truncated": false, "end": len(recs)})
}

func (st *store) serveRead(wr http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms")) // left out: no wait
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		recs, changed := st.topics[query.Get("topic")], st.changed
		st.mu.Unlock()
		if from < len(recs) || wait == 0 {
			_, _ = wr.Write(encodeRecords(recs, min(from, len(recs))))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-req.Context().Done():
			return
		}
	}
}

// encodeRecords returns the answer to a read from an offset on.
func encodeRecords(recs []storedRecord, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range recs[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(append(out, rec.key...), rec.value...)
	}
	return out
}

func (st *store) serveAppend(wr http.ResponseWriter, req *http.Request) {
	topic, at := req.URL.Query().Get("topic"), req.URL.Query().Get("at")
	body, err := io.ReadAll(req.Body)
	if err != nil || len(body) <= recordHeadBytes || strings.HasPrefix(topic, "keyed.op") || strings.HasPrefix(topic, "keyed.servers") {
		wr.WriteHeader(http.StatusForbidden)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	if end := len(st.topics[topic]); at != "" && at != strconv.Itoa(end) {
		wr.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(wr).Encode(map[string]int{"end": end})
		return
	}
	offset := 0
	for len(body) > recordHeadBytes {
		size := int(binary.BigEndian.Uint32(body))
		rec := body[recordHeadBytes : recordHeadBytes+size]
		keyEnd := 1 + int(rec[0])
		offset = st.append(topic, string(rec[1:keyEnd]), append([]byte(nil), rec[keyEnd:]...))
		body = body[recordHeadBytes+size:]
	}
	_ = json.NewEncoder(wr).Encode(map[string]int{"offset": offset, "end": len(st.topics[topic])})
}
