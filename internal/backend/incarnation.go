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
	byServer map[string]told
}

// told is what a server told.
type told struct {
	incarnation uint64 // the latest
	times       uint64
}

// Of is the incarnation of a server; zero: it told none.
func (in *Incarnations) Of(server string) uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.byServer[server].incarnation
}

// Times is how often a server told its incarnation.
func (in *Incarnations) Times(server string) uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.byServer[server].times
}

// Missing tells, once for each server, that nothing is known of it.
func (in *Incarnations) Missing(server string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, known := in.byServer[server]; known {
		return false
	}
	in.set(server, told{})
	return true
}

// Keep forgets all servers but those that are listed.
func (in *Incarnations) Keep(listed func(server string) bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for server := range in.byServer {
		if !listed(server) {
			delete(in.byServer, server)
		}
	}
}

// note reads what a response tells. A late one of an earlier life changes nothing.
func (in *Incarnations) note(server string, hd http.Header) {
	incarnation, err := strconv.ParseUint(hd.Get(ServerIncarnationHeader), 10, 64)
	if in == nil || err != nil || incarnation == 0 {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	was := in.byServer[server]
	in.set(server, told{incarnation: max(incarnation, was.incarnation), times: was.times + 1})
}

func (in *Incarnations) set(server string, td told) {
	if in.byServer == nil {
		in.byServer = make(map[string]told)
	}
	in.byServer[server] = td
}
