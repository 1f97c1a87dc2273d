package logsvc_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/logsvc"
	standin "alderdyke/internal/standin/logsvc"
	"alderdyke/pkg/clock"
)

const stream = "configuration"

func newServerAndClient(tt *testing.T) (*standin.Server, *logsvc.Client) {
	tt.Helper()
	srv := &standin.Server{Token: "secret"}
	ts := httptest.NewServer(srv)
	tt.Cleanup(ts.Close)
	return srv, &logsvc.Client{URL: ts.URL, Token: "secret"}
}

func mustAppend(tt *testing.T, cl *logsvc.Client, data string) uint64 {
	tt.Helper()
	offset, err := cl.Append(context.Background(), stream, []byte(data))
	assert.NilError(tt, err)
	return offset
}

func TestAppendThenRead(tt *testing.T) {
	_, cl := newServerAndClient(tt)
	for ix, data := range []string{"a", "b", "c"} {
		assert.Equal(tt, mustAppend(tt, cl, data), uint64(ix))
	}
	ba, err := cl.Read(context.Background(), stream, 1, 1, 0)
	assert.NilError(tt, err)
	assert.DeepEqual(tt, ba, logsvc.Batch{
		Records: []logsvc.Record{{Offset: 1, Data: []byte("b")}}, First: 0, Next: 2, End: 3,
	})
}

func TestReadWaitsForTheNextRecord(tt *testing.T) {
	_, cl := newServerAndClient(tt)
	got := make(chan logsvc.Batch, 1)
	go func() {
		ba, err := cl.Read(context.Background(), stream, 0, 10, 30*clock.Second)
		if err == nil {
			got <- ba
		}
		close(got)
	}()
	mustAppend(tt, cl, "late")
	ba := <-got
	assert.Equal(tt, len(ba.Records), 1)
	assert.Equal(tt, string(ba.Records[0].Data), "late")
}

func TestReadAfterTrimReportsFirstKeptOffset(tt *testing.T) {
	srv, cl := newServerAndClient(tt)
	srv.Set(standin.Faults{KeepRecords: 2})
	for range 5 {
		mustAppend(tt, cl, "x")
	}
	ba, err := cl.Read(context.Background(), stream, 0, 10, 0)
	assert.NilError(tt, err)
	assert.Equal(tt, ba.First, uint64(3))
	assert.Equal(tt, ba.Next, uint64(5))
	assert.Equal(tt, srv.Counts().Trimmed, 3)
}

func TestRetentionByAgeUsesTheClock(tt *testing.T) {
	clk := &clock.Manual{}
	srv := &standin.Server{Clock: clk}
	ts := httptest.NewServer(srv)
	defer ts.Close()
	cl := &logsvc.Client{URL: ts.URL}
	srv.Set(standin.Faults{KeepFor: clock.Minute})
	mustAppend(tt, cl, "old")
	clk.Advance(clock.Minute)
	ba, err := cl.Read(context.Background(), stream, 0, 10, 0)
	assert.NilError(tt, err)
	assert.DeepEqual(tt, ba, logsvc.Batch{First: 1, Next: 1, End: 1})
}

// TestAppendEffect compares the reported effect of each failure with what the
// stand-in server counted.
func TestAppendEffect(tt *testing.T) {
	cases := []struct {
		name    string
		faults  standin.Faults
		token   string
		dead    bool
		bytes   int
		effect  logsvc.Effect
		appends int
	}{
		{name: "reply lost", faults: standin.Faults{LoseReplies: 1}, effect: logsvc.MayBeAppended, appends: 1},
		{name: "outage", faults: standin.Faults{Outage: true}, effect: logsvc.MayBeAppended},
		{name: "status 503", faults: standin.Faults{Refuse: true}, effect: logsvc.MayBeAppended},
		{name: "wrong token", token: "other", effect: logsvc.NotAppended},
		{name: "connection refused", dead: true, effect: logsvc.NotAppended},
		{name: "too large", bytes: logsvc.DefaultMaxRecord + 1, effect: logsvc.NotAppended},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			srv := &standin.Server{Token: "secret"}
			ts := httptest.NewServer(srv)
			defer ts.Close()
			srv.Set(tc.faults)
			cl := &logsvc.Client{URL: ts.URL, Token: "secret"}
			if tc.token != "" {
				cl.Token = tc.token
			}
			if tc.dead {
				ts.Close()
			}
			_, err := cl.Append(context.Background(), stream, make([]byte, tc.bytes))
			var ae *logsvc.AppendError
			assert.Assert(tt, errors.As(err, &ae), "got %v", err)
			assert.Equal(tt, ae.Effect, tc.effect)
			assert.Equal(tt, srv.Counts().Appends, tc.appends)
		})
	}
}

func TestCancelledAppendIsInDoubtOnceSent(tt *testing.T) {
	arrived := make(chan struct{})
	ts := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		close(arrived)
		<-req.Context().Done()
	}))
	defer ts.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	cl := &logsvc.Client{URL: ts.URL}
	_, err := cl.Append(ctx, stream, nil)
	var ae *logsvc.AppendError
	assert.Assert(tt, errors.As(err, &ae))
	assert.Equal(tt, ae.Effect, logsvc.MayBeAppended)
	assert.Assert(tt, errors.Is(err, context.Canceled))
}

func TestReadRetriesOversizedResponseWithFewerRecords(tt *testing.T) {
	_, cl := newServerAndClient(tt)
	for range 8 {
		mustAppend(tt, cl, "0123456789")
	}
	cl.MaxBatch = 150
	ba, err := cl.Read(context.Background(), stream, 0, 8, 0)
	assert.NilError(tt, err)
	assert.Equal(tt, len(ba.Records), 2)
	cl.MaxBatch = 20
	_, err = cl.Read(context.Background(), stream, 0, 8, 0)
	var te *logsvc.TooLargeError
	assert.Assert(tt, errors.As(err, &te))
	assert.Equal(tt, te.Limit, int64(20))
}

func TestReadMissesNewestRecordsWhileServiceLags(tt *testing.T) {
	srv, cl := newServerAndClient(tt)
	for range 3 {
		mustAppend(tt, cl, "x")
	}
	srv.Set(standin.Faults{Lag: 2})
	ba, err := cl.Read(context.Background(), stream, 0, 10, 0)
	assert.NilError(tt, err)
	assert.Equal(tt, ba.End, uint64(1))
	assert.Equal(tt, len(ba.Records), 1)
}

func TestBatchCheck(tt *testing.T) {
	rec := func(offset uint64) logsvc.Record { return logsvc.Record{Offset: offset} }
	cases := []struct {
		name string
		ba   logsvc.Batch
		from uint64
		good bool
	}{
		{"empty", logsvc.Batch{}, 0, true},
		{"consecutive records", logsvc.Batch{Records: []logsvc.Record{rec(3), rec(4)}, First: 1, Next: 5, End: 9}, 3, true},
		{"read from below First", logsvc.Batch{Records: []logsvc.Record{rec(4)}, First: 4, Next: 5, End: 5}, 0, true},
		{"record below the requested offset", logsvc.Batch{Records: []logsvc.Record{rec(2)}, Next: 5, End: 9}, 3, false},
		{"record below First", logsvc.Batch{Records: []logsvc.Record{rec(3)}, First: 4, Next: 5, End: 9}, 3, false},
		{"duplicate offset", logsvc.Batch{Records: []logsvc.Record{rec(3), rec(3)}, Next: 5, End: 9}, 3, false},
		{"record beyond Next", logsvc.Batch{Records: []logsvc.Record{rec(5)}, Next: 5, End: 9}, 3, false},
		{"Next beyond End", logsvc.Batch{Next: 5, End: 4}, 3, false},
	}
	for _, tc := range cases {
		err := tc.ba.Check(stream, tc.from)
		var be *logsvc.BatchError
		assert.Equal(tt, errors.As(err, &be), !tc.good, tc.name)
	}
}

func FuzzParseBatch(ff *testing.F) {
	ff.Add(uint64(0), []byte(`{"Records":[{"Offset":1,"Data":"YQ=="}],"First":0,"Next":2,"End":2}`))
	ff.Add(uint64(9), []byte(`{"Records":null,"First":18446744073709551615}`))
	ff.Fuzz(func(tt *testing.T, from uint64, body []byte) {
		ba, err := logsvc.ParseBatch(stream, from, body)
		if err != nil {
			return
		}
		for _, rec := range ba.Records {
			if rec.Offset < from || rec.Offset < ba.First || rec.Offset >= ba.Next {
				tt.Fatalf("record %d of %+v accepted for a read from %d", rec.Offset, ba, from)
			}
		}
	})
}

func ExampleClient() {
	ts := httptest.NewServer(&standin.Server{})
	defer ts.Close()
	cl := &logsvc.Client{URL: ts.URL}
	offset, _ := cl.Append(context.Background(), "orders", []byte("first"))
	ba, _ := cl.Read(context.Background(), "orders", offset, 10, 0)
	fmt.Println(offset, string(ba.Records[0].Data), ba.Next)
	// Output: 0 first 1
}
