package backend

import (
	"net/http"
	"strconv"
	"sync"
)

// ServerIncarnationHeader is set by a backend server on each of its responses: a
// positive decimal number that is higher at each start of the server. It is optional;
// without it, incarnations of a server are told apart only when its address refuses
// connections.
const ServerIncarnationHeader = "Alderdyke-Server-Incarnation"

// Incarnations holds the latest incarnation that each backend server reported. The
// zero value is empty and ready to use; its methods are safe for concurrent use.
type Incarnations struct {
	mu       sync.Mutex
	byServer map[string]reported
}

// reported is what a server has reported of its incarnations.
type reported struct {
	incarnation uint64 // the highest
	times       uint64 // number of reports
}

// Latest returns the latest incarnation of a server, or zero if it reported none.
func (in *Incarnations) Latest(server string) uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.byServer[server].incarnation
}

// Reports returns how often a server reported its incarnation.
func (in *Incarnations) Reports(server string) uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.byServer[server].times
}

// FirstMissing reports whether a server has reported no incarnation yet. It returns
// true only once for each server, so that its incarnation is requested only once.
func (in *Incarnations) FirstMissing(server string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, known := in.byServer[server]; known {
		return false
	}
	in.set(server, reported{})
	return true
}

// Retain drops all servers that are not listed.
func (in *Incarnations) Retain(listed func(server string) bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for server := range in.byServer {
		if !listed(server) {
			delete(in.byServer, server)
		}
	}
}

// record stores the incarnation of a response. A late response of an earlier
// incarnation does not lower the stored one.
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

func (in *Incarnations) set(server string, rp reported) {
	if in.byServer == nil {
		in.byServer = make(map[string]reported)
	}
	in.byServer[server] = rp
}
