package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// Directions of a proxy's traffic.
const (
	upstream   = "upstream"   // to the server
	downstream = "downstream" // to the client
)

// proxy forwards connections to one TCP server and can inject faults.
type proxy struct {
	*toxiproxy.Proxy
	name string
}

// newProxy starts a proxy on a free loopback port.
func newProxy(t *testing.T, name string, to netip.AddrPort) (*proxy, netip.AddrPort, error) {
	srv := &toxiproxy.ApiServer{Metrics: toxiproxy.NewMetricsContainer(nil)}
	silence(&srv.Logger)
	px := &proxy{Proxy: toxiproxy.NewProxy(srv, name, "127.0.0.1:0", to.String()), name: name}
	if err := px.Start(); err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("start the proxy of %s: %w", name, err)
	}
	t.Cleanup(px.Stop)
	addr, err := netip.ParseAddrPort(px.Listen)
	if err != nil {
		return nil, addr, fmt.Errorf("address of the proxy of %s: %w", name, err)
	}
	return px, addr, nil
}

// silence sets the zero value of a logger, which writes nothing.
func silence[Logger any](lg **Logger) { *lg = new(Logger) }

// addToxic adds one toxic to one direction.
func (px *proxy) addToxic(t *testing.T, kind, direction string, attributes map[string]any) {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": kind + "_" + direction, "type": kind, "stream": direction, "attributes": attributes,
	})
	assert.NilError(t, err)
	_, err = px.Toxics.AddToxicJson(bytes.NewReader(text))
	assert.NilError(t, err)
}

// reset resets each connection as soon as data is sent on it, until heal is called.
func (px *proxy) reset(t *testing.T) {
	t.Helper()
	results.countFault("connection reset")
	for _, direction := range []string{upstream, downstream} {
		px.addToxic(t, "reset_peer", direction, map[string]any{"timeout": 0})
	}
}

// stall holds back all data until heal is called.
func (px *proxy) stall(t *testing.T) {
	t.Helper()
	results.countFault("connection stalled")
	for _, direction := range []string{upstream, downstream} {
		px.addToxic(t, "timeout", direction, map[string]any{"timeout": 0})
	}
}

// slow delays all data to the client until heal is called.
func (px *proxy) slow(t *testing.T, by clock.Millis) {
	t.Helper()
	results.countFault("connection slow")
	px.addToxic(t, "latency", downstream, map[string]any{"latency": int64(by)})
}

// heal removes all toxics.
func (px *proxy) heal(t *testing.T) {
	t.Helper()
	px.Toxics.ResetToxics(t.Context())
}

// loopback returns a loopback address that no other fleet of this process uses.
func loopback(fleet, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, processOctet, byte(fleet), byte(host)})
}
