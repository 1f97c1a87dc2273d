package caller

import (
	"net/http"

	"alderdyke/internal/memory"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

// visit is one authenticated request and the resources of this VM that it holds until
// it ends.
type visit struct {
	srv  *Server
	tpl  template.Template
	body int64 // bytes counted in Server.bodyBytes

	memory *memory.Holding // of the body, until the Runner takes it over
}

// admit authenticates a request and counts it against its customer's limit at this
// VM.
func (srv *Server) admit(req *http.Request) (*visit, error) {
	tpl, err := srv.authenticate(req)
	if err != nil {
		return nil, err
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.streams[tpl.Customer] >= srv.limits.StreamsPerCustomer {
		return nil, refusal.Refusal{
			Ran: refusal.NotRun, Reason: refusal.ShareExceeded, RetryAfter: clock.Second,
			Detail: "the customer has too many requests open at this VM",
		}
	}
	if srv.streams == nil {
		srv.streams = make(map[string]int)
	}
	srv.addOpenLocked(tpl.Customer, 1)
	return &visit{srv: srv, tpl: tpl}, nil
}

// release releases everything that the visit holds.
func (vs *visit) release() {
	vs.memory.End()
	vs.srv.MemoryRecorder.Report()
	vs.srv.bodyBytes.Add(-vs.body)
	vs.srv.mu.Lock()
	defer vs.srv.mu.Unlock()
	vs.srv.addOpenLocked(vs.tpl.Customer, -1)
}

// countBody counts bytes of the body on a VM without a memory budget. A small body is always
// accepted, so that long documents can't block quick requests.
func (vs *visit) countBody(bytes int64) error {
	if vs.srv.Memory != nil {
		return nil
	}
	vs.body += bytes
	if vs.srv.bodyBytes.Add(bytes) <= vs.srv.limits.BodiesHeld || vs.body <= smallBody {
		return nil
	}
	return refusal.Refusal{
		Ran: refusal.NotRun, Reason: refusal.QueueFull, RetryAfter: clock.Second,
		Detail: "this VM holds too many long requests",
	}
}

func (srv *Server) addOpenLocked(customer string, by int) {
	srv.streams[customer] += by
	if srv.streams[customer] == 0 {
		delete(srv.streams, customer)
	}
	srv.open += by
	srv.scope.Gauge("StreamsOpen").Update(float64(srv.open))
}

func (srv *Server) openStreams() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.open
}
