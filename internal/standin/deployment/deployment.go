// Package deployment starts the stand-ins of one deployment on loopback: the
// platform's log service and VM list, model engines and plain services. Entry
// VMs then connect to them, from this process or from processes of their own.
//
// # Usage
//
//	dp := &deployment.Deployment{Model: "rapportmodel", Prefill: 3, Decode: 5, PlainService: "feltapp", Plain: 4}
//	err := dp.Start()
//	defer dp.Close()
//	set, err := dp.AddVM("aarhus-a-1", "aarhus-a")
//	dp.Publish() // the VM list then contains the VMs added so far
package deployment

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/ingress"
	"alderdyke/internal/settings"
	enginesim "alderdyke/internal/standin/engine"
	logsim "alderdyke/internal/standin/logsvc"
	servicesim "alderdyke/internal/standin/service"
	listsim "alderdyke/internal/standin/vmlist"
	"alderdyke/internal/vmlist"
	"alderdyke/pkg/clock"
)

// Tokens and secrets that all deployments on loopback use.
const (
	BackendToken  = "backend-token-of-the-stand-ins"
	LogToken      = "log-token-of-the-stand-ins"
	ListToken     = "list-token-of-the-stand-ins"
	OperatorToken = "operator-token-of-the-stand-ins"
	PeerSecret    = "a-secret-that-all-stand-in-vms-share"
)

// Ports of an entry VM that has its own IP address.
const (
	callerPort   = 8080
	peerPort     = 7946
	operatorPort = 9090
)

// Kinds of links between the parts of a deployment.
const (
	CallerLink  LinkKind = "Caller"  // callers to a VM
	PeerLink    LinkKind = "Peer"    // other VMs to a VM, by TCP and UDP
	LogLink     LinkKind = "Log"     // a VM to the log service
	ListLink    LinkKind = "List"    // a VM to the VM list
	BackendLink LinkKind = "Backend" // VMs and other engines to a backend server
)

type (
	// LinkKind says which parts of a deployment a link connects.
	LinkKind string

	// Link is a network connection between parts of a deployment.
	Link struct {
		Kind LinkKind
		ID   string // ID of the VM or of the backend server
	}

	// Deployment holds the stand-ins that some entry VMs connect to. Set the
	// exported fields up to Intercept before Start, which sets the others.
	Deployment struct {
		Model        string // name of the model service
		Prefill      int    // number of prefill engines
		Decode       int    // number of decode engines
		PlainService string // name of the plain service
		Plain        int    // number of servers of the plain service

		FailureDomains []string // assigned to backend servers in turn
		Region         string
		Engine         enginesim.Settings
		Service        servicesim.Settings

		// Hosts are loopback addresses, one for each entry VM. A VM then
		// listens on the default ports of its own address. If Hosts is empty,
		// all VMs use one loopback address of this process and free ports.
		Hosts []netip.Addr
		// Intercept puts an intermediary, such as a proxy that injects faults,
		// in front of an address that others connect to, and returns the
		// intermediary's address. Nil leaves all addresses unchanged.
		Intercept func(lk Link, addr netip.AddrPort) (netip.AddrPort, error)

		Logs     *logsim.Server
		List     *listsim.Server
		Engines  []*enginesim.Engine
		Services []*servicesim.Server

		mu       sync.Mutex
		doc      vmlist.Document
		logAddr  netip.AddrPort
		listAddr netip.AddrPort
		servers  []*http.Server
	}
)

var (
	errNoHost = errors.New("more entry VMs than addresses in Hosts")
	errNoPort = errors.New("too few free ports")
)

// Start starts all stand-ins and publishes the VM list.
func (dp *Deployment) Start() error {
	if len(dp.FailureDomains) == 0 {
		dp.FailureDomains = []string{"domain-a"}
	}
	dp.Engine.Token = BackendToken
	dp.Service.Token = BackendToken
	dp.Logs = &logsim.Server{Token: LogToken}
	dp.List = &listsim.Server{Token: ListToken}
	var err error
	if dp.logAddr, err = dp.serve(dp.Logs); err != nil {
		return fmt.Errorf("start the log service: %w", err)
	}
	if dp.listAddr, err = dp.serve(dp.List); err != nil {
		return fmt.Errorf("start the VM list: %w", err)
	}
	for ix := range dp.Prefill {
		if err := dp.startEngine(fmt.Sprintf("%s-prefill-%d", dp.Model, ix+1), board.Prefill); err != nil {
			return err
		}
	}
	for ix := range dp.Decode {
		if err := dp.startEngine(fmt.Sprintf("%s-decode-%d", dp.Model, ix+1), board.Decode); err != nil {
			return err
		}
	}
	for ix := range dp.Plain {
		if err := dp.startPlainServer(fmt.Sprintf("%s-%d", dp.PlainService, ix+1)); err != nil {
			return err
		}
	}
	dp.Publish()
	return nil
}

func (dp *Deployment) startEngine(id string, role board.Role) error {
	en := &enginesim.Engine{ID: id, Role: role, Settings: dp.Engine, Seed: uint64(len(dp.Engines))}
	addr, err := dp.serve(en.Handler())
	if err != nil {
		return fmt.Errorf("start engine %s: %w", id, err)
	}
	dp.Engines = append(dp.Engines, en)
	return dp.addServer(id, dp.Model, role, addr)
}

func (dp *Deployment) startPlainServer(id string) error {
	sv := &servicesim.Server{ID: id, Settings: dp.Service}
	addr, err := dp.serve(sv.Handler())
	if err != nil {
		return fmt.Errorf("start server %s: %w", id, err)
	}
	dp.Services = append(dp.Services, sv)
	return dp.addServer(id, dp.PlainService, board.Plain, addr)
}

// interceptLink returns the address for a link: that of its intermediary if
// Intercept is set, and otherwise the given one.
func (dp *Deployment) interceptLink(kind LinkKind, id string, addr netip.AddrPort) (netip.AddrPort, error) {
	if dp.Intercept == nil {
		return addr, nil
	}
	out, err := dp.Intercept(Link{Kind: kind, ID: id}, addr)
	if err != nil {
		return addr, fmt.Errorf("intercept %s link of %s: %w", kind, id, err)
	}
	return out, nil
}

// addServer adds a backend server to the next VM list that is published.
func (dp *Deployment) addServer(id, service string, role board.Role, addr netip.AddrPort) error {
	addr, err := dp.interceptLink(BackendLink, id, addr)
	if err != nil {
		return err
	}
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.doc.Servers = append(dp.doc.Servers, vmlist.ServerEntry{
		ID:            id,
		Service:       service,
		Role:          role,
		Address:       addr.String(),
		FailureDomain: dp.FailureDomains[len(dp.doc.Servers)%len(dp.FailureDomains)],
		ChecksFencing: dp.Engine.ChecksFencing,
		State:         vmlist.Live,
	})
	return nil
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (dp *Deployment) serve(handler http.Handler) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	ingress.Prepare(srv) // forwarded heads may have as many lines as those of callers
	dp.servers = append(dp.servers, srv)
	go srv.Serve(ln)
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

// AddVM adds an entry VM to the deployment and returns its settings. The VM
// list contains it after the next Publish.
func (dp *Deployment) AddVM(id, failureDomain string) (settings.Settings, error) {
	set := settings.Default()
	set.ID, set.FailureDomain, set.Region = id, failureDomain, dp.Region
	set.Peer.Secret = settings.NewSecret(PeerSecret)
	set.Operator.Token = settings.NewSecret(OperatorToken)
	set.Log.Token = settings.NewSecret(LogToken)
	set.VMList.Token = settings.NewSecret(ListToken)
	set.Backends.Token = settings.NewSecret(BackendToken)
	if err := dp.setAddresses(&set); err != nil {
		return set, fmt.Errorf("assign addresses to VM %s: %w", id, err)
	}
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.doc.VMs = append(dp.doc.VMs, vmlist.VMEntry{
		ID:            id,
		FailureDomain: failureDomain,
		Region:        dp.Region,
		Caller:        set.Caller.Advertise.String(),
		Peer:          set.Peer.Advertise.String(),
		State:         vmlist.Live,
	})
	return set, nil
}

// setAddresses sets all addresses in the settings of an entry VM.
func (dp *Deployment) setAddresses(set *settings.Settings) error {
	ports, err := dp.vmAddresses()
	if err != nil {
		return fmt.Errorf("find ports: %w", err)
	}
	set.Caller.Listen, set.Peer.Listen, set.Operator.Listen = ports[0], ports[1], ports[2]
	for _, ad := range []struct {
		kind LinkKind
		addr netip.AddrPort
		to   *netip.AddrPort
	}{
		{CallerLink, ports[0], &set.Caller.Advertise},
		{PeerLink, ports[1], &set.Peer.Advertise},
		{LogLink, dp.logAddr, &set.Log.Address},
		{ListLink, dp.listAddr, &set.VMList.Address},
	} {
		if *ad.to, err = dp.interceptLink(ad.kind, set.ID, ad.addr); err != nil {
			return err
		}
	}
	return nil
}

// vmAddresses returns the addresses on which the next entry VM listens for
// callers, peers and operators.
func (dp *Deployment) vmAddresses() ([]netip.AddrPort, error) {
	if len(dp.Hosts) == 0 {
		return freePorts(3)
	}
	dp.mu.Lock()
	defer dp.mu.Unlock()
	if len(dp.doc.VMs) >= len(dp.Hosts) {
		return nil, errNoHost
	}
	host := dp.Hosts[len(dp.doc.VMs)]
	return []netip.AddrPort{
		netip.AddrPortFrom(host, callerPort),
		netip.AddrPortFrom(host, peerPort),
		netip.AddrPortFrom(host, operatorPort),
	}, nil
}

// MarkLeaving marks an entry VM or a backend server as leaving in the VM list.
func (dp *Deployment) MarkLeaving(id string) { dp.setState(id, vmlist.Leaving) }

// MarkLive marks an entry VM that was replaced, or a backend server, as live in
// the VM list.
func (dp *Deployment) MarkLive(id string) { dp.setState(id, vmlist.Live) }

func (dp *Deployment) setState(id string, state vmlist.State) {
	dp.mu.Lock()
	for ix := range dp.doc.VMs {
		if dp.doc.VMs[ix].ID == id {
			dp.doc.VMs[ix].State = state
		}
	}
	for ix := range dp.doc.Servers {
		if dp.doc.Servers[ix].ID == id {
			dp.doc.Servers[ix].State = state
		}
	}
	dp.mu.Unlock()
	dp.Publish()
}

// RemoveVM removes an entry VM from the VM list.
func (dp *Deployment) RemoveVM(id string) {
	dp.mu.Lock()
	var kept []vmlist.VMEntry
	for _, vm := range dp.doc.VMs {
		if vm.ID != id {
			kept = append(kept, vm)
		}
	}
	dp.doc.VMs = kept
	dp.mu.Unlock()
	dp.Publish()
}

// Publish replaces the VM list by one with all additions and changes so far.
func (dp *Deployment) Publish() {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	doc := vmlist.Document{
		VMs:     append([]vmlist.VMEntry(nil), dp.doc.VMs...),
		Servers: append([]vmlist.ServerEntry(nil), dp.doc.Servers...),
	}
	dp.List.Put(doc)
}

// Close stops all stand-ins.
func (dp *Deployment) Close() error {
	var err error
	for _, srv := range dp.servers {
		err = errors.Join(err, srv.Close())
	}
	for _, en := range dp.Engines {
		en.Close()
	}
	for _, sv := range dp.Services {
		sv.Close()
	}
	return err
}

const (
	// firstPort and portCount bound the ports of VMs. They lie below the
	// kernel's ephemeral ports, so that the kernel does not assign a port to
	// another socket between its choice here and its use by a VM.
	firstPort = 10000
	portCount = 20000
)

// portsTried counts the ports that this process has tried, so that no two
// deployments of the process get the same port.
var portsTried atomic.Uint32

// freePorts returns loopback addresses whose ports are free for TCP and UDP.
func freePorts(count int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range portCount {
		if len(out) == count {
			return out, nil
		}
		addr := fmt.Sprintf("%s:%d", processHost(), firstPort+portsTried.Add(1)%portCount)
		if isFree(addr) {
			out = append(out, netip.MustParseAddrPort(addr))
		}
	}
	return nil, fmt.Errorf("found %d of %d ports: %w", len(out), count, errNoPort)
}

// isFree reports whether an address can be listened on with TCP and UDP.
func isFree(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer ln.Close()
	uc, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	defer uc.Close()
	return true
}

// ScaledEngineSettings returns the default settings of engines with all speeds
// multiplied by factor, so that a test does not wait as long as with real
// engines.
func ScaledEngineSettings(factor float64) enginesim.Settings {
	set := enginesim.DefaultSettings()
	set.PrefillTokensPerSecond *= factor
	set.LinkBytesPerSecond *= factor
	set.TPOT = max(1, clock.Millis(float64(set.TPOT)/factor))
	return set
}

// processHost returns a loopback address that depends on the process ID, so
// that other processes do not take a port between its choice and its use.
func processHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 64+pid>>8&63, pid&255)
}
