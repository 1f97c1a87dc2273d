package backend

import (
	"net/http"
	"strconv"
	"sync"
)

// ServerIncarnationHeader is set by a backend server on each of its responses: a decimal
// number above zero, higher at each start of the server. It is optional; without it,
// lives of a server are told apart only by when its address refuses connections.
const ServerIncarnationHeader = "Alderdyke-Server-Incarnation"

// Incarnations is the latest incarnations that backend servers told. The zero value
// knows none; its methods may be called at the same time.
type Incarnations struct {
	mu       sync.Mutex
	byServer map[string]reported
}

// reported is what a server reported.
type reported struct {
	incarnation uint64 // the latest
	times       uint64
}

// Latest is the incarnation of a server; zero: it told none.
func (in *Incarnations) Latest(server string) uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.byServer[server].incarnation
}

// Reports is how often a server told its incarnation.
func (in *Incarnations) Reports(server string) uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.byServer[server].times
}

// FirstMissing tells, once for each server, that nothing is known of it.
func (in *Incarnations) FirstMissing(server string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, known := in.byServer[server]; known {
		return false
	}
	in.set(server, reported{})
	return true
}

// Retain forgets all servers but those that are listed.
func (in *Incarnations) Retain(listed func(server string) bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for server := range in.byServer {
		if !listed(server) {
			delete(in.byServer, server)
		}
	}
}

// record reads what a response tells. A late one of an earlier life changes nothing.
func (in *Incarnations) record(server string, hd http.Header) {
	incarnation, err := strconv.ParseUint(hd.Get(ServerIncarnationHeader), 10, 64)
	if in == nil || err != nil || incarnation == 0 {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	was := in.byServer[server]
	in.set(server, reported{incarnation: max(incarnation, was.incarnation), times: was.times + 1})
}

func (in *Incarnations) set(server string, td reported) {
	if in.byServer == nil {
		in.byServer = make(map[string]reported)
	}
	in.byServer[server] = td
}
