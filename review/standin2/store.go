package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	lengthBytes   = 4 // before each record
	topicServers  = "keyed.servers"
	topicOperator = "keyed.op"
)

type (
	// store is the platform's store, with keyed topics of one partition.
	store struct {
		// lateBeat is asked for each entry of a worker; a time above zero means that its write
		// gets no answer and takes effect that much later. It is set before the first call.
		lateBeat func(key string) time.Duration

		mu      sync.Mutex
		topics  map[string][]record
		changed chan struct{} // closed when a record was added
	}

	record struct {
		key   string
		value []byte
	}
)

func newStore() *store {
	return &store{topics: make(map[string][]record), changed: make(chan struct{})}
}

// add appends a record and returns its offset.
func (st *store) add(topic, key string, value []byte) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.addLocked(topic, key, value)
}

func (st *store) addLocked(topic, key string, value []byte) int {
	st.topics[topic] = append(st.topics[topic], record{key, value})
	close(st.changed)
	st.changed = make(chan struct{})
	return len(st.topics[topic]) - 1
}

// ServeHTTP answers the calls that the system makes.
func (st *store) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/api/log-newest":
		st.newest(wr, req)
	case "/api/log-read":
		st.read(wr, req)
	case "/api/log-append":
		st.append(wr, req)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) newest(wr http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	st.mu.Lock()
	recs := st.topics[req.URL.Query().Get("topic")]
	last := make(map[string]int)
	for ix, rec := range recs {
		last[rec.key] = ix
	}
	items := []item{}
	for ix, rec := range recs {
		if last[rec.key] == ix && len(rec.value) > 0 {
			items = append(items, item{rec.key, rec.value, ix})
		}
	}
	end := len(recs)
	st.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"items": items, "truncated": false, "end": end})
}

func (st *store) read(wr http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms")) // none: it does not wait
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waits := true; ; {
		st.mu.Lock()
		recs, changed := st.topics[query.Get("topic")], st.changed
		st.mu.Unlock()
		if from > len(recs) {
			wr.WriteHeader(http.StatusGone)
			return
		}
		if from < len(recs) || !waits {
			_, _ = wr.Write(encode(recs, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waits = false
		case <-req.Context().Done():
			return
		}
	}
}

// encode returns the records from an offset on as a read returns them.
func encode(recs []record, from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, rec := range recs[from:] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(body, byte(len(rec.key)))
		body = append(append(body, rec.key...), rec.value...)
	}
	return body
}

func (st *store) append(wr http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil || len(body) <= lengthBytes {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	body = body[lengthBytes:]
	keyEnd := 1 + int(body[0])
	if keyEnd > len(body) {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	topic, at := req.URL.Query().Get("topic"), req.URL.Query().Get("at")
	if key := string(body[1:keyEnd]); topic == topicServers && st.lateBeat != nil {
		if late := st.lateBeat(key); late > 0 {
			time.AfterFunc(late, func() { st.add(topic, key, body[keyEnd:]) })
			panic(http.ErrAbortHandler) // the connection ends without an answer
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if end := len(st.topics[topic]); at != "" && at != strconv.Itoa(end) {
		wr.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(wr).Encode(map[string]int{"end": end})
		return
	}
	offset := st.addLocked(topic, string(body[1:keyEnd]), body[keyEnd:])
	_ = json.NewEncoder(wr).Encode(map[string]int{"offset": offset, "end": offset + 1})
}
