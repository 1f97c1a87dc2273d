// Package vmlist speaks to the platform's VM list: the entry VMs and the
// backend servers, live and leaving.
//
// The list lags and can be down. It is one input among others, never the
// last word on who is alive.
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
// An answer with an ETag is asked for again with If-None-Match: a list that
// did not change then costs a status 304 without a body, whatever its length.
// A platform that sends no ETag sends the whole list each time.
//
// An entry that is wrong refuses the whole list with an [EntryError], so a
// half-read list never looks like servers that have gone.
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
	"alderdyke/pkg/clock"
)

// Bounds that apply where a Client sets none.
const (
	DefaultMaxBody = 4 << 20
	DefaultTimeout = 3 * clock.Second
)

// States of an entry.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

type (
	// State of an entry of the list.
	State string

	// VMEntry is an entry VM as the platform writes it.
	VMEntry struct {
		ID            string
		FailureDomain string
		Region        string
		Caller        string // "IP:port"
		Peer          string // "IP:port"
		State         State
	}

	// ServerEntry is a backend server as the platform writes it.
	ServerEntry struct {
		ID            string
		Service       string
		Role          board.Role
		Address       string // "IP:port"
		FailureDomain string
		ChecksFencing bool // an entry without it counts as one that does not
		State         State
	}

	// Document is the platform's list as it is sent.
	Document struct {
		VMs     []VMEntry
		Servers []ServerEntry
	}

	// List is a checked list, both parts sorted by ID.
	List struct {
		VMs     []board.VM
		Servers []board.BackendServer
	}

	// Client is the HTTP adapter. Set the fields before the first call; it
	// may then be used from several goroutines.
	Client struct {
		URL     string       // such as "http://10.0.0.9:7100"
		Token   string       // bearer token; never logged
		HTTP    *http.Client // nil: a client with connections of its own
		MaxBody int64        // bytes of one answer; zero means DefaultMaxBody
		Timeout clock.Millis // of one fetch; zero means DefaultTimeout

		once sync.Once

		mu       sync.Mutex
		lastETag string // ETag of lastList; empty if it had none
		lastList List
	}

	// fetchResult is what one fetch brought.
	fetchResult struct {
		notModified bool // nothing changed since the tag that was sent
		body        []byte
		etag        string
	}

	// EntryError names an entry of the list that can't be used.
	EntryError struct {
		List  string // "VMs" or "Servers"
		Index int
		ID    string
		Field string
		Value string
		Hint  string
	}

	// StatusError is an answer other than success.
	StatusError struct{ Status int }

	// TooLargeError tells of an answer beyond its bound.
	TooLargeError struct{ Limit int64 }
)

// Error names the entry, the value and the mend.
func (ee *EntryError) Error() string {
	return fmt.Sprintf("VM list: %s[%d] %q: %s %q: %s", ee.List, ee.Index, ee.ID, ee.Field, ee.Value, ee.Hint)
}

// Error names the status.
func (se *StatusError) Error() string {
	return fmt.Sprintf("VM list answered with status %d", se.Status)
}

// Error names the bound.
func (te *TooLargeError) Error() string {
	return fmt.Sprintf("VM list is longer than the limit of %d bytes", te.Limit)
}

// Fetch reads the list. While the platform says that it did not change, the
// list of before is returned again; it must not be written to.
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

// get asks for the list unless it is still the one with the tag.
func (cl *Client) get(ctx context.Context, tag string) (fetchResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(cl.URL, "/")+"/vms", nil)
	if err != nil {
		return fetchResult{}, fmt.Errorf("make the request: %w", err)
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
		return fetchResult{}, fmt.Errorf("read the answer: %w", err)
	}
	if int64(len(body)) > limit {
		return fetchResult{}, &TooLargeError{Limit: limit}
	}
	return fetchResult{body: body, etag: rsp.Header.Get("ETag")}, nil
}

func (cl *Client) client() *http.Client {
	cl.once.Do(func() {
		if cl.HTTP == nil {
			cl.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		}
	})
	return cl.HTTP
}

// Parse reads and checks a list. Unknown fields are passed over: the
// platform may say more than is needed here.
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
	return list, list.sort()
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

func (li List) sort() error {
	slices.SortStableFunc(li.VMs, func(va, vb board.VM) int { return cmp.Compare(va.ID, vb.ID) })
	slices.SortStableFunc(li.Servers, func(sa, sb board.BackendServer) int { return cmp.Compare(sa.ID, sb.ID) })
	for ix := 1; ix < len(li.VMs); ix++ {
		if id := li.VMs[ix].ID; id == li.VMs[ix-1].ID {
			return &EntryError{List: "VMs", Index: ix, ID: id, Field: "ID", Value: id, Hint: "is there twice"}
		}
	}
	for ix := 1; ix < len(li.Servers); ix++ {
		if id := li.Servers[ix].ID; id == li.Servers[ix-1].ID {
			return &EntryError{List: "Servers", Index: ix, ID: id, Field: "ID", Value: id, Hint: "is there twice"}
		}
	}
	return nil
}

// entryChecker keeps the first fault of one entry.
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
		ck.fail(field, value, "name an address and a port that can be connected to")
	}
}

func (ck *entryChecker) checkState(st State) {
	if st != Live && st != Leaving {
		ck.fail("State", string(st), "write Live or Leaving")
	}
}
