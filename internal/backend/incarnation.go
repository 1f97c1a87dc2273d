package backend

import (
	"net/http"
	"strconv"
	"sync"
)

// IncarnationHeader is set by a backend server on each of its responses: a decimal
// number above zero, higher at each start of the server. It is optional; without it,
// lives of a server are told apart only by when its address refuses connections.
const IncarnationHeader = "Alderdyke-Server-Incarnation"

// Incarnations is the latest incarnations that backend servers told. The zero value
// knows none; its methods may be called at the same time.
type Incarnations struct {
	mu       sync.Mutex
	byServer map[string]uint64
}

// Of is the incarnation of a server; zero: it told none.
func (in *Incarnations) Of(server string) uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.byServer[server]
}

// Missing tells, once for each server, that nothing is known of it.
func (in *Incarnations) Missing(server string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, known := in.byServer[server]; known {
		return false
	}
	in.set(server, 0)
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
	told, err := strconv.ParseUint(hd.Get(IncarnationHeader), 10, 64)
	if in == nil || err != nil || told == 0 {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.set(server, max(told, in.byServer[server]))
}

func (in *Incarnations) set(server string, incarnation uint64) {
	if in.byServer == nil {
		in.byServer = make(map[string]uint64)
	}
	in.byServer[server] = incarnation
}
