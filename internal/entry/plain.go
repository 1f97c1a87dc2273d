package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"alderdyke/internal/backend"
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/event"
	"alderdyke/internal/rendezvous"
	"alderdyke/internal/retry"
	"alderdyke/internal/service"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// plainPollInterval is the minimum interval between two load reports of a
	// server. It grows by plainIntervalPerServer with the number of servers, so
	// that a VM reads four reports per second, but only up to maxPlainInterval,
	// because a leaving server must be detected within seconds.
	plainPollInterval      = 1 * clock.Second
	plainIntervalPerServer = 250 * clock.Millis(1)
	maxPlainInterval       = 3 * clock.Second
	// maxPlainSubset limits the servers of one plain service that this VM uses,
	// so that its polling does not grow with the fleet.
	maxPlainSubset = 8
)

// plainAttempt is the result of one attempt, or of two concurrent ones.
type plainAttempt struct {
	tried []string // IDs of the servers
	rsp   service.Response
	err   error
}

// runPlain runs a request on the servers of a plain service, with retries, until
// it ends.
func (rn *run) runPlain(ctx context.Context) error {
	var tried []string
	for try := 0; ; try++ {
		at := rn.attemptHedged(ctx, tried)
		if at.err == nil {
			return rn.endPlainAnswer(at.rsp)
		}
		if ctx.Err() != nil {
			return at.err
		}
		tried = append(tried, at.tried...)
		err := at.err
		rn.tr.add(event.AttemptFailed, err.Error())
		if err := rn.awaitRetry(ctx, try, err); err != nil {
			return err
		}
	}
}

// attemptHedged makes one attempt, and a second concurrent one at another server if
// the first is slower than usual, from when it chose its server, and the retry budget
// allows it. The first complete response counts. A response that reports the server's own
// failure counts only if the other attempt has no better result.
func (rn *run) attemptHedged(ctx context.Context, tried []string) plainAttempt {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	call := rn.plainCall() // copied, because the run drops its request when it ends, maybe before the slower attempt
	done := make(chan plainAttempt, 2)
	began := make(chan string, 1)
	rn.vm.wg.Go(func() { done <- rn.attemptPlain(ctx, call, tried, began) })
	ask := retry.HedgeRequest{
		Customer:   rn.id.Customer,
		Service:    rn.req.Class.Service,
		Idempotent: rn.req.Class.Idempotent,
		Quick:      rn.quick(),
		Deadline:   rn.deadline,
	}
	after, hedges := rn.vm.hedgeDelay(ask)
	all, first := plainAttempt{}, ""
	var late <-chan time.Time
	for open := 1; open > 0; {
		select {
		case at := <-done:
			open--
			all = all.merge(at)
			if all.conclusive() {
				return all
			}
		case first = <-began:
			if hedges { // the time in which the attempt chose a server says nothing about that server
				late = time.After(after.Std())
			}
		case <-late:
			late = nil
			if rn.vm.spendHedge(ask) {
				open++
				rn.tr.add(event.RequestRetried, string(retry.Hedged))
				others := append(slices.Clone(tried), first)
				rn.vm.wg.Go(func() { done <- rn.attemptPlain(ctx, call, others, nil) })
			}
		}
	}
	return all
}

// merge combines the results of concurrent attempts.
func (at plainAttempt) merge(other plainAttempt) plainAttempt {
	tried := append(at.tried, other.tried...)
	switch {
	case other.conclusive():
	case at.hasResponse(): // arrived first, and the other one is no better
		other = at
	case other.err != nil:
		other.err = errors.Join(at.err, other.err)
	}
	other.tried = tried
	return other
}

// hasResponse reports whether a server responded, with whatever status.
func (at plainAttempt) hasResponse() bool { return at.err == nil && at.rsp.Status != 0 }

// conclusive reports whether a server responded with anything but its own failure.
func (at plainAttempt) conclusive() bool {
	return at.hasResponse() && at.rsp.Status < http.StatusInternalServerError
}

// attemptPlain makes one attempt. If began is not nil, it sends the ID of the chosen
// server to it.
func (rn *run) attemptPlain(ctx context.Context, call service.Request, tried []string, began chan<- string) (at plainAttempt) {
	start := rn.vm.Clock.Now()
	var id string
	id, at.rsp, at.err = rn.callPlain(ctx, call, tried, began)
	if id != "" {
		at.tried = []string{id}
	}
	if at.err == nil {
		rn.vm.recordPlainLatency(rn.req.Class.Service, rn.vm.Clock.Now()-start)
	}
	return at
}

// callPlain chooses a server and calls it.
func (rn *run) callPlain(ctx context.Context, call service.Request, tried []string, began chan<- string) (string, service.Response, error) {
	vm := rn.vm
	var none service.Response
	id, err := vm.pickServer(balance.Request{
		Service:  rn.req.Class.Service,
		Customer: rn.id.Customer,
		Share:    rn.req.Class.Share,
		Exclude:  tried,
	})
	if err != nil {
		return "", none, fmt.Errorf("choose a server: %w", err)
	}
	outcome := balance.Failure
	defer func() { vm.recordOutcome(id, rn.id.Customer, outcome) }()
	srv, ok := vm.server(id)
	if !ok {
		return id, none, failure{"use the server", errUnknownServer}
	}
	sc, err := rn.beginCall(ctx, srv, rn.checkDispatch)
	if err != nil {
		outcome = balance.Cancelled
		return id, none, err
	}
	if began != nil {
		began <- id
	}
	rn.tr.add(event.Granted, id)
	rsp, err := vm.Services.Call(ctx, srv, call)
	rn.recordCall(ctx, sc, err)
	if !backend.NotRun(err) {
		rn.mayHaveBeenSent.Store(true)
	}
	outcome = plainOutcome(ctx, err)
	vm.recordServerPause(err)
	if err != nil {
		return id, none, failure{"call", err}
	}
	return id, rsp, nil
}

// recordServerPause pauses a server for the delay that it requested when it declined a call.
func (vm *VM) recordServerPause(err error) {
	if server, span := backend.RetryAfterOf(err); span > 0 {
		vm.chooser.mu.Lock()
		defer vm.chooser.mu.Unlock()
		vm.chooser.BackOff(vm.Clock.Now(), server, span)
	}
}

// hedgeDelay returns the retry policy's delay before a request is hedged, if it may be.
func (vm *VM) hedgeDelay(ask retry.HedgeRequest) (clock.Millis, bool) {
	vm.retries.mu.Lock()
	defer vm.retries.mu.Unlock()
	hd, ok := vm.retries.Hedge(vm.Clock.Now(), ask).(retry.Hedge)
	return hd.After, ok
}

// spendHedge takes a hedge from the retry budget and counts the policy's reason.
func (vm *VM) spendHedge(ask retry.HedgeRequest) bool {
	vm.retries.mu.Lock()
	reason, ok := vm.retries.SpendHedge(vm.Clock.Now(), ask)
	vm.retries.mu.Unlock()
	vm.retries.count.Inc(ask.Service, refusal.Reason(reason))
	return ok
}

// recordPlainLatency records how long a complete response took.
func (vm *VM) recordPlainLatency(name string, took clock.Millis) {
	vm.retries.mu.Lock()
	defer vm.retries.mu.Unlock()
	vm.retries.ObserveLatency(name, took)
}

func plainOutcome(ctx context.Context, err error) balance.Result {
	var declined backend.DeclinedError
	switch {
	case err == nil:
		return balance.Success
	case errors.As(err, &declined):
		return balance.Busy
	case clock.Overdue(ctx):
		return balance.Timeout
	case ctx.Err() != nil:
		return balance.Cancelled
	default:
		return balance.Failure
	}
}

func (rn *run) plainCall() service.Request {
	pl := rn.req.Plain
	path := pl.Path
	if pl.Query != "" {
		path += "?" + pl.Query
	}
	return service.Request{
		Method:     pl.Method,
		Path:       path,
		Header:     pl.Header,
		Body:       pl.Body,
		Key:        rn.id.Customer + "/" + rn.id.Key,
		Idempotent: rn.req.Class.Idempotent,
	}
}

func (rn *run) endPlainAnswer(rsp service.Response) error {
	data, err := caller.PlainAnswer{Status: rsp.Status, Header: rsp.Header, Body: rsp.Body}.Encode()
	if err != nil {
		return fmt.Errorf("encode the answer: %w", err)
	}
	if err := rn.st.Whole(data); err != nil {
		return fmt.Errorf("end the answer: %w", err)
	}
	rn.countAnswer()
	rn.firstPieceAt = rn.vm.Clock.Now()
	return nil
}

// pickServer chooses a server of a plain service.
func (vm *VM) pickServer(ask balance.Request) (string, error) {
	vm.chooser.mu.Lock()
	defer vm.chooser.mu.Unlock()
	return vm.chooser.Pick(vm.Clock.Now(), ask)
}

// recordOutcome reports the result of a call to the chooser.
func (vm *VM) recordOutcome(server, customer string, out balance.Result) {
	vm.chooser.mu.Lock()
	defer vm.chooser.mu.Unlock()
	vm.chooser.Done(vm.Clock.Now(), server, balance.Outcome{Customer: customer, Result: out})
}

// pollPlainLoad polls the load of the plain servers that this VM uses.
func (vm *VM) pollPlainLoad(ctx context.Context) {
	for {
		servers := vm.plainServers()
		reports := make([]*board.LoadReport, len(servers))
		var gr errgroup.Group
		for ix, srv := range servers {
			gr.Go(func() error {
				reports[ix] = vm.plainLoad(ctx, srv)
				return nil
			})
		}
		gr.Wait()
		vm.applyPlainReports(servers, reports)
		if !clock.Sleep(ctx, plainPollDelay(len(servers))) {
			return
		}
	}
}

// plainPollDelay returns the delay until the servers are polled again.
func plainPollDelay(servers int) clock.Millis {
	return min(maxPlainInterval, max(plainPollInterval, clock.Millis(servers)*plainIntervalPerServer))
}

func (vm *VM) plainLoad(ctx context.Context, srv board.BackendServer) *board.LoadReport {
	ctx, stop := context.WithTimeout(ctx, reportTimeout.Std())
	defer stop()
	rp, err := vm.Services.Load(ctx, srv)
	if err != nil {
		return nil
	}
	rp.Server, rp.At = srv.ID, vm.Clock.Now()
	return &rp
}

// applyPlainReports puts the reports on the board and updates the chooser.
func (vm *VM) applyPlainReports(servers []board.BackendServer, reports []*board.LoadReport) {
	vm.backendsMu.Lock()
	bk := vm.Board.Backends()
	for _, rp := range reports {
		if rp != nil {
			bk = bk.WithReport(*rp)
		}
	}
	vm.Board.SetBackends(bk)
	vm.backendsMu.Unlock()
	own := &board.Backends{Servers: servers, Reports: bk.Reports, Epoch: bk.Epoch}
	vm.chooser.mu.Lock()
	defer vm.chooser.mu.Unlock()
	vm.chooser.Update(vm.Clock.Now(), own, len(vm.Board.Fleet().Serving()))
}

// plainServers returns the plain servers that this VM uses: all of a small service,
// and of a large one a subset that differs from VM to VM.
func (vm *VM) plainServers() []board.BackendServer {
	bySvc := make(map[string][]board.BackendServer)
	var out []board.BackendServer
	for _, srv := range vm.Board.Backends().Servers {
		if srv.Role == board.Plain {
			bySvc[srv.Service] = append(bySvc[srv.Service], srv)
		}
	}
	for _, servers := range bySvc {
		out = append(out, rendezvous.Subset(vm.Self.ID, servers, maxPlainSubset)...)
	}
	return out
}
