package register

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"alderdyke/internal/logsvc"
	"alderdyke/internal/peer/peerpb"
	standin "alderdyke/internal/standin/logsvc"
)

// idleBound is the traffic in bytes per second that following one stream may cost a VM
// while nothing changes.
const idleBound = 300

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cc countedConn) Read(buf []byte) (int, error) {
	count, err := cc.Conn.Read(buf)
	cc.bytes.Add(int64(count))
	return count, err
}

func (cc countedConn) Write(buf []byte) (int, error) {
	count, err := cc.Conn.Write(buf)
	cc.bytes.Add(int64(count))
	return count, err
}

// TestIdleBytes measures one read without records on the wire, at an offset with many
// digits.
func TestIdleBytes(tt *testing.T) {
	srv := &standin.Server{Token: "0123456789abcdef0123456789abcdef"}
	ts := httptest.NewServer(srv)
	defer ts.Close()
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{Conn: conn, bytes: &bytes}, err
	}
	cl := &logsvc.Client{
		URL: ts.URL, Token: srv.Token,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}},
	}
	se := Settings{}.withDefaults()
	const offset = 1_000_000_000
	_, err := cl.Read(context.Background(), "configuration", offset, se.MaxRecords, 1)
	assert.NilError(tt, err)
	each := bytes.Load()
	rest := float64(each) * 1000 / float64(se.ReadWait)
	tt.Logf("%d bytes a read, %.0f bytes a second while idle", each, rest)
	assert.Assert(tt, rest <= idleBound)

	ask, err := proto.Marshal(&peerpb.Frame{Body: &peerpb.Frame_LogAsk{
		LogAsk: &peerpb.LogAsk{Stream: "configuration", From: offset, Max: int32(se.MaxRecords)}}})
	assert.NilError(tt, err)
	answer, err := proto.Marshal(&peerpb.Frame{Body: &peerpb.Frame_LogRecords{
		LogRecords: &peerpb.LogRecords{First: offset, Next: offset}}})
	assert.NilError(tt, err)
	tt.Logf("%d bytes a request to a peer and its answer, without the session's frames", len(ask)+len(answer))
}

// TestSizesAtAThousandCustomers logs and bounds the size of the state of 1,000 customers.
func TestSizesAtAThousandCustomers(tt *testing.T) {
	st := &State{Content: Templates}
	value, largest := 0, 0
	for ix := range 1000 {
		name := fmt.Sprint("customer", ix)
		data, err := json.Marshal(sample(name, "0123456789abcdef0123456789abcdef0123456789abcdef"))
		assert.NilError(tt, err)
		value = len(data)
		raw, err := Marshal(Publish{ID: fmt.Sprintf("%036d", ix), Key: name, Value: data})
		assert.NilError(tt, err)
		outs, _ := st.Advance(logsvc.Batch{
			Records: []logsvc.Record{{Offset: uint64(ix), Data: raw}}, Next: uint64(ix) + 1, End: uint64(ix) + 1,
		})
		assert.Equal(tt, outs[0].Ruling, Accepted)
	}
	total := 0
	for bucket := range DefaultBuckets {
		rst, _ := st.Restatement(bucket)
		data, err := Marshal(rst)
		assert.NilError(tt, err)
		total += len(data)
		largest = max(largest, len(data))
	}
	snap, err := st.Export()
	assert.NilError(tt, err)
	tt.Logf("template of %d bytes: snapshot %d, %d restatements %d, largest %d",
		value, len(snap), DefaultBuckets, total, largest)
	assert.Assert(tt, largest <= logsvc.DefaultMaxRecord/16 && total <= 2*len(snap))
}
