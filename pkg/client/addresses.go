package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	addressesTimeout  = 5 * time.Second
	maxAddressesBytes = 64 << 10
)

type (
	// addressBook caches the addresses that the client uses, best first.
	addressBook struct {
		mu    sync.Mutex
		addrs []string
		until clock.Millis // when addrs expire
	}

	// addressesBody is the response of a VM with the addresses to use.
	addressesBody struct {
		Addresses []struct{ Address string } // "IP:port", best first
		KeepFor   clock.Millis               // how long the addresses may be cached
	}
)

// pickAddress returns the address to try next. It fetches addresses from the fleet
// if it has none or the cached ones have expired. If no VM responds, it continues
// with the addresses that it has.
func (cl *Client) pickAddress(ctx context.Context) (string, error) {
	if addr, ok := cl.addresses.best(cl.now()); ok {
		return addr, nil
	}
	known := slices.Concat(cl.addresses.all(), cl.Bootstrap)
	tried := map[string]bool{}
	for _, addr := range known {
		if tried[addr] {
			continue
		}
		tried[addr] = true
		got, err := cl.fetchAddresses(ctx, addr)
		var rf refusal.Refusal
		switch {
		case err == nil:
			cl.addresses.store(got, cl.now())
			return got.Addresses[0].Address, nil
		case errors.As(err, &rf) && !isVMLocal(rf.Reason):
			return "", err
		case ctx.Err() != nil:
			return "", fmt.Errorf("fetch addresses: %w", ctx.Err())
		}
	}
	cl.addresses.addFallbacks(cl.Bootstrap)
	return cl.addresses.all()[0], nil
}

// fetchAddresses requests from one VM the addresses to use.
func (cl *Client) fetchAddresses(ctx context.Context, addr string) (addressesBody, error) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/addresses", nil)
	if err != nil {
		return addressesBody{}, fmt.Errorf("fetch addresses from %s: %w", addr, err)
	}
	cl.setAuthorization(req)
	resp, err := cl.hc.Do(req)
	if err != nil {
		return addressesBody{}, fmt.Errorf("fetch addresses from %s: %w", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if rf, ok := refusalOf(resp); ok {
		return addressesBody{}, fmt.Errorf("fetch addresses from %s: %w", addr, rf)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAddressesBytes))
	if err != nil {
		return addressesBody{}, fmt.Errorf("read addresses from %s: %w", addr, err)
	}
	return parseAddresses(data)
}

func parseAddresses(data []byte) (addressesBody, error) {
	var body addressesBody
	if err := json.Unmarshal(data, &body); err != nil {
		return addressesBody{}, fmt.Errorf("parse addresses: %w", err)
	}
	if len(body.Addresses) == 0 || body.KeepFor <= 0 {
		return addressesBody{}, errors.New("parse addresses: the list is empty, or KeepFor is not positive")
	}
	for _, addr := range body.Addresses {
		if _, err := netip.ParseAddrPort(addr.Address); err != nil {
			return addressesBody{}, fmt.Errorf("parse addresses: %w", err)
		}
	}
	return body, nil
}

// best returns the first address, if the addresses have not expired.
func (bk *addressBook) best(now clock.Millis) (string, bool) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	if len(bk.addrs) == 0 || now >= bk.until {
		return "", false
	}
	return bk.addrs[0], true
}

func (bk *addressBook) all() []string {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return slices.Clone(bk.addrs)
}

func (bk *addressBook) store(body addressesBody, now clock.Millis) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.addrs = bk.addrs[:0]
	for _, addr := range body.Addresses {
		bk.addrs = append(bk.addrs, addr.Address)
	}
	bk.until = now + body.KeepFor
}

// addFallbacks appends the addresses that are not in the book.
func (bk *addressBook) addFallbacks(addrs []string) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	for _, addr := range addrs {
		if !slices.Contains(bk.addrs, addr) {
			bk.addrs = append(bk.addrs, addr)
		}
	}
}

// demote moves an address that failed to the end and returns the number of
// addresses.
func (bk *addressBook) demote(addr string) int {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	if ix := slices.Index(bk.addrs, addr); ix >= 0 {
		bk.addrs = append(slices.Delete(bk.addrs, ix, ix+1), addr)
	}
	return len(bk.addrs)
}

// expire makes the next pickAddress fetch the addresses again.
func (bk *addressBook) expire() {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.until = 0
}
