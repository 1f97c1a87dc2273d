package vmlist_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	standin "alderdyke/internal/standin/vmlist"
	"alderdyke/internal/vmlist"
	"alderdyke/pkg/clock"
)

func testVM() vmlist.VMEntry {
	return vmlist.VMEntry{
		ID: "aarhus-a-1", FailureDomain: "aarhus-a", Region: "dk-jylland",
		Caller: "127.0.0.1:8080", Peer: "127.0.0.1:8081", State: vmlist.Live,
	}
}

func testServer() vmlist.ServerEntry {
	return vmlist.ServerEntry{
		ID: "w1", Service: "rapportmodel", Role: board.Decode, Address: "[::1]:9000",
		FailureDomain: "aarhus-a", State: vmlist.Leaving,
	}
}

func newServerAndClient(tt *testing.T, clk clock.Source) (*standin.Server, *vmlist.Client) {
	tt.Helper()
	srv := &standin.Server{Token: "secret", Clock: clk}
	ts := httptest.NewServer(srv)
	tt.Cleanup(ts.Close)
	return srv, &vmlist.Client{URL: ts.URL, Token: "secret"}
}

func TestFetch(tt *testing.T) {
	srv, cl := newServerAndClient(tt, nil)
	second := testVM()
	second.ID, second.State = "aarhus-a-0", vmlist.Leaving
	srv.Put(vmlist.Document{VMs: []vmlist.VMEntry{testVM(), second}, Servers: []vmlist.ServerEntry{testServer()}})
	list, err := cl.Fetch(context.Background())
	assert.NilError(tt, err)
	assert.Equal(tt, len(list.VMs), 2)
	assert.Equal(tt, list.VMs[0].ID, "aarhus-a-0")
	assert.Assert(tt, list.VMs[0].Leaving && !list.VMs[1].Leaving && list.VMs[1].Listed)
	assert.DeepEqual(tt, list.Servers, []board.BackendServer{{
		ID: "w1", Service: "rapportmodel", Role: board.Decode, Address: "[::1]:9000",
		FailureDomain: "aarhus-a", Leaving: true,
	}})
}

func TestListLags(tt *testing.T) {
	clk := &clock.Manual{}
	srv, cl := newServerAndClient(tt, clk)
	srv.Put(vmlist.Document{})
	clk.Advance(5 * clock.Second)
	srv.Put(vmlist.Document{VMs: []vmlist.VMEntry{testVM()}})
	srv.Set(standin.Faults{Lag: 10 * clock.Second})
	for _, want := range []int{0, 0, 1} {
		list, err := cl.Fetch(context.Background())
		assert.NilError(tt, err)
		assert.Equal(tt, len(list.VMs), want)
		clk.Advance(5 * clock.Second)
	}
}

func TestFetchFails(tt *testing.T) {
	srv, cl := newServerAndClient(tt, nil)
	srv.Put(vmlist.Document{VMs: []vmlist.VMEntry{testVM()}})
	srv.Set(standin.Faults{Outage: true})
	_, err := cl.Fetch(context.Background())
	assert.Assert(tt, err != nil)
	srv.Set(standin.Faults{})

	cl.Token = "other"
	_, err = cl.Fetch(context.Background())
	var se *vmlist.StatusError
	assert.Assert(tt, errors.As(err, &se))
	assert.Assert(tt, !strings.Contains(err.Error(), "other"))

	cl.Token, cl.MaxBody = "secret", 10
	_, err = cl.Fetch(context.Background())
	var te *vmlist.TooLargeError
	assert.Assert(tt, errors.As(err, &te))
	assert.DeepEqual(tt, srv.Counts(), standin.Counts{Fetches: 1, Refused: 2})
}

func TestBadEntries(tt *testing.T) {
	cases := []struct {
		field string
		body  string
	}{
		{"Caller", `{"VMs":[{"ID":"a","FailureDomain":"d","Caller":"host:80","Peer":"127.0.0.1:1","State":"Live"}]}`},
		{"Peer", `{"VMs":[{"ID":"a","FailureDomain":"d","Caller":"127.0.0.1:1","Peer":"0.0.0.0:1","State":"Live"}]}`},
		{"State", `{"VMs":[{"ID":"a","FailureDomain":"d","Caller":"127.0.0.1:1","Peer":"127.0.0.1:1"}]}`},
		{"Address", `{"Servers":[{"ID":"a","Service":"s","Role":"Plain","FailureDomain":"d","Address":"127.0.0.1:0","State":"Live"}]}`},
		{"Role", `{"Servers":[{"ID":"a","Service":"s","Role":"x","FailureDomain":"d","Address":"127.0.0.1:1","State":"Live"}]}`},
		{"ID", `{"Servers":[{"ID":"","Service":"s","Role":"Plain","FailureDomain":"d","Address":"127.0.0.1:1","State":"Live"}]}`},
		{"ID", `{"Servers":[` + `{"ID":"a","Service":"s","Role":"Plain","FailureDomain":"d","Address":"127.0.0.1:1","State":"Live"},` +
			`{"ID":"a","Service":"s","Role":"Plain","FailureDomain":"d","Address":"127.0.0.1:1","State":"Live"}]}`},
	}
	for _, tc := range cases {
		_, err := vmlist.Parse([]byte(tc.body))
		var ee *vmlist.EntryError
		assert.Assert(tt, errors.As(err, &ee), "%s: %v", tc.field, err)
		assert.Equal(tt, ee.Field, tc.field)
	}
}

func FuzzParse(ff *testing.F) {
	ff.Add([]byte(`{"VMs":[{"ID":"a","FailureDomain":"d","Caller":"127.0.0.1:2","Peer":"127.0.0.1:1","State":"Live"}]}`))
	ff.Fuzz(func(tt *testing.T, body []byte) {
		list, err := vmlist.Parse(body)
		if err != nil {
			return
		}
		for ix, vm := range list.VMs {
			if vm.ID == "" || ix > 0 && vm.ID <= list.VMs[ix-1].ID {
				tt.Fatalf("VMs unsorted or without ID: %+v", list.VMs)
			}
		}
	})
}

func ExampleParse() {
	_, err := vmlist.Parse([]byte(`{"VMs":[{"ID":"a","FailureDomain":"d","Caller":"example.org:80"}]}`))
	fmt.Println(err)
	// Output: VM list: VMs[0] "a": Caller "example.org:80": write an IP literal and a port, such as 10.0.0.7:8080
}

// An unchanged list is requested with its ETag and sent without a body. A changed
// list, and any list of a platform without ETags, is sent whole.
func TestUnchangedListIsNotSentAgain(tt *testing.T) {
	srv, cl := newServerAndClient(tt, nil)
	fetch := func() vmlist.List {
		list, err := cl.Fetch(context.Background())
		assert.NilError(tt, err)
		return list
	}
	srv.Put(vmlist.Document{VMs: []vmlist.VMEntry{testVM()}})
	assert.DeepEqual(tt, fetch(), fetch())
	assert.DeepEqual(tt, srv.Counts(), standin.Counts{Fetches: 1, NotModified: 1})

	srv.Put(vmlist.Document{VMs: []vmlist.VMEntry{testVM()}, Servers: []vmlist.ServerEntry{testServer()}})
	assert.Equal(tt, len(fetch().Servers), 1)
	assert.Equal(tt, len(fetch().Servers), 1)
	assert.DeepEqual(tt, srv.Counts(), standin.Counts{Fetches: 2, NotModified: 2})

	srv.Set(standin.Faults{NoETag: true})
	fetch()
	fetch()
	assert.DeepEqual(tt, srv.Counts(), standin.Counts{Fetches: 4, NotModified: 2})
}

// The ETag of an invalid list is not kept, so that the next fetch reads and rejects
// the whole list again.
func TestInvalidListIsNotCached(tt *testing.T) {
	srv, cl := newServerAndClient(tt, nil)
	bad := testVM()
	bad.Peer = "vm.example:1"
	srv.Put(vmlist.Document{VMs: []vmlist.VMEntry{bad}})
	for range 2 {
		_, err := cl.Fetch(context.Background())
		var ee *vmlist.EntryError
		assert.Assert(tt, errors.As(err, &ee))
	}
	assert.DeepEqual(tt, srv.Counts(), standin.Counts{Fetches: 2})
}
