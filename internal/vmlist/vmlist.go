// Package vmlist is the client of the platform's VM list: the entry VMs, which
// handle callers' requests, and the backend servers, live and leaving.
//
// The list lags and can be unavailable. It is one input among others and never
// decides by itself which VMs and servers are alive.
//
// # Usage
//
//	cl := &vmlist.Client{URL: "http://10.0.0.9:7100", Token: token}
//	list, err := cl.Fetch(ctx)
//
// # Protocol
//
//	GET /vms    answers {"VMs": [...], "Servers": [...]}
//
// If a response has an ETag, the next request sends it in If-None-Match: an
// unchanged list then costs a status 304 without a body, whatever its length.
// A platform that sends no ETag sends the whole list each time.
//
// An invalid entry rejects the whole list with an [EntryError], so that a
// partly parsed list is never mistaken for the removal of servers.
package vmlist

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/samber/oops"

	"alderdyke/internal/board"
	"alderdyke/internal/wellformed"
	"alderdyke/pkg/clock"
)

// Defaults of the limits that a Client leaves at zero.
const (
	DefaultMaxBody = 4 << 20 // bytes
	DefaultTimeout = 3 * clock.Second
)

// maxHead bounds the head of a response, in bytes; a valid one has less than 1 KB.
const maxHead = 64 << 10

// The states of an entry.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

type (
	// State is the state of an entry of the list.
	State string

	// VMEntry is an entry VM in the platform's format.
	VMEntry struct {
		ID            string
		FailureDomain string
		Region        string
		Caller        string // "IP:port" for callers' connections
		Peer          string // "IP:port" for TCP and UDP between VMs
		State         State
	}

	// ServerEntry is a backend server in the platform's format.
	ServerEntry struct {
		ID            string
		Service       string
		Role          board.Role
		Address       string // "IP:port"
		FailureDomain string
		ChecksFencing bool // rejects orders with an outdated fencing token; false if the entry omits it
		State         State
	}

	// Document is the platform's list in its encoded form.
	Document struct {
		VMs     []VMEntry
		Servers []ServerEntry
	}

	// List is a validated list; both parts are sorted by ID.
	List struct {
		VMs     []board.VM
		Servers []board.BackendServer
	}

	// Client is the HTTP client of the VM list. Set the fields before the first
	// call; after that it is safe for concurrent use.
	Client struct {
		URL     string       // for example "http://10.0.0.9:7100"
		Token   string       // bearer token; never logged
		HTTP    *http.Client // nil: a client with its own connection pool
		MaxBody int64        // bytes of one response; zero means DefaultMaxBody
		Timeout clock.Millis // of one fetch; zero means DefaultTimeout

		once sync.Once

		mu       sync.Mutex
		lastETag string // ETag of lastList; empty if it had none
		lastList List
	}

	// fetchResult is the result of one fetch.
	fetchResult struct {
		notModified bool // the list still has the ETag that was sent
		body        []byte
		etag        string
	}

	// EntryError reports an entry of the list that can't be used.
	EntryError struct {
		List  string // "VMs" or "Servers"
		Index int
		ID    string
		Field string
		Value string
		Hint  string
	}

	// StatusError is a response with an unexpected status.
	StatusError struct{ Status int }

	// TooLargeError reports a response that exceeds its limit.
	TooLargeError struct{ Limit int64 }
)

// Error returns a message with the entry, the value and a hint on how to correct it.
func (ee *EntryError) Error() string {
	return fmt.Sprintf("VM list: %s[%d] %q: %s %q: %s", ee.List, ee.Index, ee.ID, ee.Field, ee.Value, ee.Hint)
}

// Error returns a message with the status.
func (se *StatusError) Error() string {
	return fmt.Sprintf("VM list responded with status %d", se.Status)
}

// Error returns a message with the limit.
func (te *TooLargeError) Error() string {
	return fmt.Sprintf("VM list exceeds the limit of %d bytes", te.Limit)
}

// Fetch reads the list. While the platform reports it as unchanged, Fetch returns
// the previous list again; callers must not modify it.
func (cl *Client) Fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(cl.Timeout, DefaultTimeout).Std())
	defer cancel()
	cl.mu.Lock()
	tag, last := cl.lastETag, cl.lastList
	cl.mu.Unlock()
	got, err := cl.get(ctx, tag)
	if err != nil {
		return List{}, oops.In("vmlist").Wrapf(err, "fetch the VM list")
	}
	if got.notModified {
		return last, nil
	}
	list, err := Parse(got.body)
	if err != nil {
		return List{}, oops.In("vmlist").Wrapf(err, "parse the VM list")
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.lastETag, cl.lastList = got.etag, list
	return list, nil
}

// get requests the list unless it still has the given ETag.
func (cl *Client) get(ctx context.Context, tag string) (fetchResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(cl.URL, "/")+"/vms", nil)
	if err != nil {
		return fetchResult{}, fmt.Errorf("create the request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+cl.Token)
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	rsp, err := cl.client().Do(req)
	if err != nil {
		return fetchResult{}, fmt.Errorf("call the VM list: %w", err)
	}
	defer rsp.Body.Close()
	switch {
	case rsp.StatusCode == http.StatusNotModified && tag != "":
		return fetchResult{notModified: true}, nil
	case rsp.StatusCode != http.StatusOK:
		return fetchResult{}, &StatusError{Status: rsp.StatusCode}
	}
	limit := cmp.Or(cl.MaxBody, DefaultMaxBody)
	body, err := io.ReadAll(io.LimitReader(rsp.Body, limit+1))
	if err != nil {
		return fetchResult{}, fmt.Errorf("read the response: %w", err)
	}
	if int64(len(body)) > limit {
		return fetchResult{}, &TooLargeError{Limit: limit}
	}
	return fetchResult{body: body, etag: rsp.Header.Get("ETag")}, nil
}

func (cl *Client) client() *http.Client {
	cl.once.Do(func() {
		if cl.HTTP == nil {
			cl.HTTP = &http.Client{Transport: wellformed.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHead}}}
		}
	})
	return cl.HTTP
}

// Parse decodes and validates a list. Unknown fields are ignored, because the
// platform may send more than is needed here.
func Parse(body []byte) (List, error) {
	var doc Document
	if err := json.Unmarshal(body, &doc); err != nil {
		return List{}, fmt.Errorf("decode the list: %w", err)
	}
	var list List
	for ix, en := range doc.VMs {
		vm, err := en.vm(ix)
		if err != nil {
			return List{}, err
		}
		list.VMs = append(list.VMs, vm)
	}
	for ix, en := range doc.Servers {
		srv, err := en.server(ix)
		if err != nil {
			return List{}, err
		}
		list.Servers = append(list.Servers, srv)
	}
	return list, list.sortAndCheckUnique()
}

func (en VMEntry) vm(ix int) (board.VM, error) {
	ck := entryChecker{list: "VMs", index: ix, id: en.ID}
	ck.checkNotEmpty("ID", en.ID)
	ck.checkNotEmpty("FailureDomain", en.FailureDomain)
	ck.checkAddress("Caller", en.Caller)
	ck.checkAddress("Peer", en.Peer)
	ck.checkState(en.State)
	return board.VM{
		VMRef:         board.VMRef{ID: en.ID},
		FailureDomain: en.FailureDomain,
		Region:        en.Region,
		Caller:        en.Caller,
		Peer:          en.Peer,
		Leaving:       en.State == Leaving,
		Listed:        true,
	}, ck.err()
}

func (en ServerEntry) server(ix int) (board.BackendServer, error) {
	ck := entryChecker{list: "Servers", index: ix, id: en.ID}
	ck.checkNotEmpty("ID", en.ID)
	ck.checkNotEmpty("Service", en.Service)
	ck.checkNotEmpty("FailureDomain", en.FailureDomain)
	ck.checkAddress("Address", en.Address)
	ck.checkState(en.State)
	if en.Role != board.Prefill && en.Role != board.Decode && en.Role != board.Plain {
		ck.fail("Role", string(en.Role), "write Prefill, Decode or Plain")
	}
	return board.BackendServer{
		ID:            en.ID,
		Service:       en.Service,
		Role:          en.Role,
		Address:       en.Address,
		FailureDomain: en.FailureDomain,
		ChecksFencing: en.ChecksFencing,
		Leaving:       en.State == Leaving,
	}, ck.err()
}

// sortAndCheckUnique sorts both parts by ID and rejects an ID that occurs twice in
// one part.
func (li List) sortAndCheckUnique() error {
	slices.SortStableFunc(li.VMs, func(va, vb board.VM) int { return cmp.Compare(va.ID, vb.ID) })
	slices.SortStableFunc(li.Servers, func(sa, sb board.BackendServer) int { return cmp.Compare(sa.ID, sb.ID) })
	for ix := 1; ix < len(li.VMs); ix++ {
		if id := li.VMs[ix].ID; id == li.VMs[ix-1].ID {
			return &EntryError{List: "VMs", Index: ix, ID: id, Field: "ID", Value: id, Hint: "must be unique"}
		}
	}
	for ix := 1; ix < len(li.Servers); ix++ {
		if id := li.Servers[ix].ID; id == li.Servers[ix-1].ID {
			return &EntryError{List: "Servers", Index: ix, ID: id, Field: "ID", Value: id, Hint: "must be unique"}
		}
	}
	return nil
}

// entryChecker validates one entry and keeps its first error.
type entryChecker struct {
	list       string
	index      int
	id         string
	firstError *EntryError
}

func (ck *entryChecker) fail(field, value, hint string) {
	if ck.firstError == nil {
		ck.firstError = &EntryError{List: ck.list, Index: ck.index, ID: ck.id, Field: field, Value: value, Hint: hint}
	}
}

func (ck *entryChecker) err() error {
	if ck.firstError == nil {
		return nil
	}
	return ck.firstError
}

func (ck *entryChecker) checkNotEmpty(field, value string) {
	if value == "" {
		ck.fail(field, value, "must not be empty")
	}
}

func (ck *entryChecker) checkAddress(field, value string) {
	ap, err := netip.ParseAddrPort(value)
	if err != nil {
		ck.fail(field, value, "write an IP literal and a port, such as 10.0.0.7:8080")
		return
	}
	if ap.Port() == 0 || ap.Addr().IsUnspecified() {
		ck.fail(field, value, "write an address and a port that clients can connect to")
	}
}

func (ck *entryChecker) checkState(st State) {
	if st != Live && st != Leaving {
		ck.fail("State", string(st), "write Live or Leaving")
	}
}
