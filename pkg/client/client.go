package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Defaults and limits of a Client.
const (
	defaultAttempts    = 24
	defaultIdleTimeout = 45 * clock.Second
	defaultBackoff     = clock.Millis(200)
	maxBackoff         = 10 * clock.Second
	maxDoublings       = 10
	dialTimeout        = 3 * time.Second
)

type (
	// Client calls the fleet on behalf of one customer. Set the exported
	// fields before the first call. It is safe for concurrent use.
	Client struct {
		Bootstrap []string // "IP:port" of some VMs, used while no other addresses are known
		APIKey    string

		// HTTP sends the requests. If nil, the client creates its own, which
		// uses no proxy. It must neither follow redirects nor have a Timeout.
		HTTP *http.Client

		Attempts    int          // maximum attempts of one call; zero means 24
		IdleTimeout clock.Millis // time without data after which a connection counts as broken; zero means 45s
		Backoff     clock.Millis // delay after all addresses failed, doubled each time up to 10s; zero means 200ms
		Clock       clock.Source // nil means the process's clock

		// Wait waits for a span or until the context ends. Nil means a timer.
		Wait func(ctx context.Context, span clock.Millis) error

		once      sync.Once
		hc        *http.Client
		addresses addressBook
	}

	// call is one request to the fleet: *chatCall or *plainCall.
	call interface {
		// request creates the HTTP request for one attempt.
		request(ctx context.Context, addr string) (*http.Request, error)
		// read reads the complete response.
		read(resp *http.Response) outcome
		// partDelivered reports whether the application already received a part
		// of the answer.
		partDelivered() bool
		// idempotent reports whether the request may run more than once.
		idempotent() bool
	}

	// outcome of one attempt: completed, refused or broken.
	outcome interface{ outcome() }

	completed struct{}
	refused   struct{ rf refusal.Refusal }
	broken    struct {
		sent bool // the request may have reached the VM
		err  error
	}

	// callState is the state of one call across its attempts.
	callState struct {
		key            string
		callerKey      bool // the application set the key
		inDoubt        bool // a broken attempt may have reached a VM
		failedAttempts int  // failed attempts since the last delay
		failedRounds   int  // delays after all known addresses had failed
	}
)

func (completed) outcome() {}
func (refused) outcome()   {}
func (broken) outcome()    {}

// setAuthorization sets the header that all requests to the fleet carry.
func (cl *Client) setAuthorization(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+cl.APIKey)
}

func (cl *Client) init() {
	cl.once.Do(func() {
		cl.hc = cl.HTTP
		if cl.hc == nil {
			dialer := &net.Dialer{Timeout: dialTimeout}
			cl.hc = &http.Client{
				Transport:     &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second},
				CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			}
		}
	})
}

// Close closes idle connections. Calls in progress continue.
func (cl *Client) Close() {
	cl.init()
	cl.hc.CloseIdleConnections()
}

// run attempts the call until it has an outcome. The error wraps a
// refusal.Refusal.
func (cl *Client) run(ctx context.Context, cs *callState, cc call) error {
	cl.init()
	if err := checkBootstrap(cl.Bootstrap); err != nil {
		return err
	}
	if cs.callerKey = cs.key != ""; !cs.callerKey {
		cs.key = rand.Text()
	}
	var last error
	for left := orDefault(cl.Attempts, defaultAttempts) - 1; left >= 0; left-- {
		addr, err := cl.pickAddress(ctx)
		if err != nil {
			return cs.finalError(err)
		}
		switch oc := cl.attempt(ctx, addr, cc).(type) {
		case completed:
			return nil
		case refused:
			last = fmt.Errorf("response of %s: %w", addr, cs.adjustRefusal(oc.rf))
			if left == 0 || !cs.shouldRetry(oc.rf, cc) {
				return last
			}
			cs.rekey(cc)
			err = cl.delayAfterRefusal(ctx, cs, addr, oc.rf)
		case broken:
			cs.inDoubt = cs.inDoubt || oc.sent
			last = fmt.Errorf("attempt at %s: %w", addr, oc.err)
			if left > 0 {
				err = cl.delayAfterBreak(ctx, cs, addr)
			}
		}
		if err != nil {
			return cs.finalError(errors.Join(err, last))
		}
	}
	return cs.finalError(last)
}

// adjustRefusal converts the refusal of one attempt to a refusal of the whole call.
func (cs *callState) adjustRefusal(rf refusal.Refusal) refusal.Refusal {
	if rf.Ran != refusal.NotRun || cs.inDoubt {
		return rf.WithRan(refusal.MayHaveRun)
	}
	return rf
}

// shouldRetry reports whether the call is retried after a VM's refusal. After NotRun
// it may be retried: with a new key, or, if an earlier attempt is in doubt, with the
// same key, which the fleet runs at most once. After MayHaveRun only an idempotent
// request is retried, and never with a key set by the application, because that key
// stands for the refused run. A request that crashes its servers is not retried,
// because the fault is in the request: the application has to decide.
func (cs *callState) shouldRetry(said refusal.Refusal, cc call) bool {
	switch {
	case said.RetryAfter <= 0, said.Reason == refusal.EndsServers:
		return false
	case said.Ran == refusal.NotRun:
		return cs.inDoubt || !cc.partDelivered()
	default:
		return cc.idempotent() && !cs.callerKey && !cc.partDelivered()
	}
}

// rekey generates a new key if the old one may be recorded as refused and a second
// run is either impossible or allowed.
func (cs *callState) rekey(cc call) {
	if !cs.callerKey && !cc.partDelivered() && (!cs.inDoubt || cc.idempotent()) {
		cs.key = rand.Text()
	}
}

// isVMLocal reports whether the reason concerns only the VM that refused and applies
// before anything runs, so that another VM may accept the request.
func isVMLocal(reason refusal.Reason) bool {
	switch reason {
	case refusal.Draining, refusal.Starting, refusal.TooManyConnections:
		return true
	default:
		return false
	}
}

// finalError returns the error of a call that got neither an answer nor a final
// refusal.
func (cs *callState) finalError(err error) error {
	var rf refusal.Refusal
	if errors.As(err, &rf) {
		if adjusted := cs.adjustRefusal(rf); adjusted != rf {
			return fmt.Errorf("%w: %v", adjusted, err)
		}
		return err
	}
	rf = refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.HomeUnreachable, Detail: "no VM could be asked"}
	if errors.Is(err, context.DeadlineExceeded) {
		rf.Reason = refusal.DeadlinePassed
	}
	return fmt.Errorf("%w: %w", cs.adjustRefusal(rf), err)
}

// delayAfterRefusal waits for the refusal's RetryAfter. It does not wait if the refusal
// concerns only this VM and another address has not been tried since the last delay.
func (cl *Client) delayAfterRefusal(ctx context.Context, cs *callState, addr string, rf refusal.Refusal) error {
	if isVMLocal(rf.Reason) && cl.addresses.demote(addr) > cs.failedAttempts+1 {
		cs.failedAttempts++
		return nil // another VM can be tried immediately
	}
	cs.failedAttempts = 0
	return cl.wait(ctx, rf.RetryAfter)
}

// delayAfterBreak waits for a backoff once all known addresses have failed, and makes
// the next attempt fetch addresses again. Before that it does not wait, because another
// address can be tried immediately.
func (cl *Client) delayAfterBreak(ctx context.Context, cs *callState, addr string) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	cs.failedAttempts++
	if known := cl.addresses.demote(addr); cs.failedAttempts < known {
		return nil
	}
	cs.failedAttempts = 0
	cl.addresses.expire()
	pause := min(orDefault(cl.Backoff, defaultBackoff)<<min(cs.failedRounds, maxDoublings), maxBackoff)
	cs.failedRounds++
	return cl.wait(ctx, pause)
}

// wait waits for the span plus a jitter of up to a quarter, so that clients that were
// refused together do not retry together.
func (cl *Client) wait(ctx context.Context, span clock.Millis) error {
	span += clock.Millis(mrand.Int64N(int64(span)/4 + 1))
	if cl.Wait != nil {
		return cl.Wait(ctx, span)
	}
	if due, ok := ctx.Deadline(); ok && time.Until(due) < span.Std() {
		return context.DeadlineExceeded
	}
	tm := time.NewTimer(span.Std())
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tm.C:
		return nil
	}
}

func (cl *Client) now() clock.Millis { return clock.OrBoottime(cl.Clock).Now() }

func orDefault[Number ~int | ~int64](value, preset Number) Number {
	if value <= 0 {
		return preset
	}
	return value
}

func checkBootstrap(addrs []string) error {
	if len(addrs) == 0 {
		return errNotRun("Bootstrap names no address")
	}
	for _, addr := range addrs {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return errNotRun(fmt.Sprintf("Bootstrap: %q is not IP:port", addr))
		}
	}
	return nil
}

func errNotRun(detail string) error {
	return refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.BadRequest, Detail: detail}
}
