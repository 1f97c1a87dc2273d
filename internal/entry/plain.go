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
	// plainPollInterval is the least span between two load reports of a server. It
	// grows by plainIntervalPerServer with the servers that are asked, so that a VM
	// reads four reports a second, but never beyond maxPlainInterval: a server that
	// leaves has to be known within seconds.
	plainPollInterval      = 1 * clock.Second
	plainIntervalPerServer = 250 * clock.Millis(1)
	maxPlainInterval       = 3 * clock.Second
	// maxPlainSubset bounds how many servers of one plain service this VM uses,
	// so that what it asks for does not grow with the fleet.
	maxPlainSubset = 8
)

// plainAttempt is the end of one attempt, or of two beside each other.
type plainAttempt struct {
	tried []string // servers
	rsp   service.Response
	err   error
}

// runPlain runs a request at the servers of a runPlain service, with retries, to
// its end.
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

// attemptHedged makes one attempt, and a second one beside it at another server if
// the first is slower than usual and the retry policy pays for it. The first
// whole answer counts; a server's word that it failed does only if the other
// attempt ends no better.
func (rn *run) attemptHedged(ctx context.Context, tried []string) plainAttempt {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	call := rn.plainCall() // the run drops its request when it ends, maybe before the slower attempt
	done := make(chan plainAttempt, 2)
	began := make(chan string, 1)
	rn.vm.wg.Go(func() { done <- rn.attemptPlain(ctx, call, tried, began) })
	ask := retry.HedgeAsk{
		Customer:   rn.id.Customer,
		Service:    rn.req.Class.Service,
		Idempotent: rn.req.Class.Idempotent,
		Quick:      rn.quick(),
		Deadline:   rn.deadline,
	}
	var late <-chan time.Time
	if after, ok := rn.vm.hedgeDelay(ask); ok {
		late = time.After(after.Std())
	}
	all := plainAttempt{}
	for open := 1; open > 0; {
		select {
		case at := <-done:
			open--
			all = all.merge(at)
			if all.conclusive() {
				return all
			}
		case <-late:
			late = nil
			select {
			case first := <-began:
				if rn.vm.spendHedge(ask) {
					open++
					rn.tr.add(event.RequestRetried, string(retry.Hedged))
					others := append(slices.Clone(tried), first)
					rn.vm.wg.Go(func() { done <- rn.attemptPlain(ctx, call, others, nil) })
				}
			default: // the first attempt has not found a server yet
			}
		}
	}
	return all
}

// merge joins the ends of attempts made beside each other.
func (at plainAttempt) merge(other plainAttempt) plainAttempt {
	tried := append(at.tried, other.tried...)
	switch {
	case other.conclusive():
	case at.hasResponse(): // came first, and the other is no better
		other = at
	case other.err != nil:
		other.err = errors.Join(at.err, other.err)
	}
	other.tried = tried
	return other
}

// hasResponse tells whether a server answered, whatever it said.
func (at plainAttempt) hasResponse() bool { return at.err == nil && at.rsp.Status != 0 }

// conclusive tells whether a server conclusive with anything but its own failure.
func (at plainAttempt) conclusive() bool {
	return at.hasResponse() && at.rsp.Status < http.StatusInternalServerError
}

// attemptPlain makes one attempt. It tells on began, if that is not nil, at which
// server.
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
	id, err := vm.pickServer(balance.Ask{
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
	if err := rn.checkDispatch(ctx); err != nil {
		outcome = balance.Cancelled
		return id, none, err
	}
	if began != nil {
		began <- id
	}
	rn.tr.add(event.Granted, id)
	sc := rn.beginCall(srv)
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

// recordServerPause gives a server the rest that it asked for when it declined a call.
func (vm *VM) recordServerPause(err error) {
	if server, span := backend.RetryAfterOf(err); span > 0 {
		vm.chooser.mu.Lock()
		defer vm.chooser.mu.Unlock()
		vm.chooser.Rest(vm.Clock.Now(), server, span)
	}
}

// hedgeDelay asks the retry policy when to hedge a request, if at all.
func (vm *VM) hedgeDelay(ask retry.HedgeAsk) (clock.Millis, bool) {
	vm.retries.mu.Lock()
	defer vm.retries.mu.Unlock()
	hd, ok := vm.retries.Hedge(vm.Clock.Now(), ask).(retry.Hedge)
	return hd.After, ok
}

// spendHedge pays for a hedge and counts what the policy said.
func (vm *VM) spendHedge(ask retry.HedgeAsk) bool {
	vm.retries.mu.Lock()
	reason, ok := vm.retries.TakeHedge(vm.Clock.Now(), ask)
	vm.retries.mu.Unlock()
	vm.retries.count.Inc(ask.Service, refusal.Reason(reason))
	return ok
}

// recordPlainLatency notes how long a whole answer took.
func (vm *VM) recordPlainLatency(name string, took clock.Millis) {
	vm.retries.mu.Lock()
	defer vm.retries.mu.Unlock()
	vm.retries.Observe(name, took)
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
		return fmt.Errorf("keep the answer: %w", err)
	}
	if err := rn.st.Whole(data); err != nil {
		return fmt.Errorf("end the answer: %w", err)
	}
	rn.firstPieceAt = rn.vm.Clock.Now()
	return nil
}

// pickServer chooses a server of a plain service.
func (vm *VM) pickServer(ask balance.Ask) (string, error) {
	vm.chooser.mu.Lock()
	defer vm.chooser.mu.Unlock()
	return vm.chooser.Pick(vm.Clock.Now(), ask)
}

// recordOutcome tells how a choice went.
func (vm *VM) recordOutcome(server, customer string, out balance.Result) {
	vm.chooser.mu.Lock()
	defer vm.chooser.mu.Unlock()
	vm.chooser.Done(vm.Clock.Now(), server, balance.Outcome{Customer: customer, Result: out})
}

// pollPlainLoad reads the load of the plain servers that this VM uses.
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

// plainPollDelay is the span until the servers are asked again.
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

// applyPlainReports puts the reports on the board and tells the chooser.
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

// plainServers lists the plain servers that this VM uses: all of a small
// service, a subset of a large one that differs from VM to VM.
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
