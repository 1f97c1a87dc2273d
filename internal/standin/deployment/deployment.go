// Package deployment starts the stand-ins of one deployment on loopback: the
// platform's log service and VM list, model engines and plain services. Entry
// VMs then run against it, in this process or in their own.
//
// # Usage
//
//	dp := &deployment.Deployment{Model: "rapportmodel", Prefill: 3, Decode: 5, PlainService: "feltapp", Plain: 4}
//	err := dp.Start()
//	defer dp.Close()
//	set, err := dp.AddVM("aarhus-a-1", "aarhus-a")
//	err = dp.Publish() // the VM list with the VMs so far
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
	"alderdyke/internal/settings"
	enginesim "alderdyke/internal/standin/engine"
	logsim "alderdyke/internal/standin/logsvc"
	servicesim "alderdyke/internal/standin/service"
	listsim "alderdyke/internal/standin/vmlist"
	"alderdyke/internal/vmlist"
	"alderdyke/pkg/clock"
)

// Tokens and secrets of a deployment on loopback.
const (
	BackendToken  = "backend-token-of-the-stand-ins"
	LogToken      = "log-token-of-the-stand-ins"
	ListToken     = "list-token-of-the-stand-ins"
	OperatorToken = "operator-token-of-the-stand-ins"
	PeerSecret    = "a-secret-that-all-stand-in-vms-share"
)

// Ports of an entry VM that has an IP number of its own.
const (
	callerPort   = 8080
	peerPort     = 7946
	operatorPort = 9090
)

// Kinds of links.
const (
	CallerLink  LinkKind = "Caller"  // callers to a VM
	PeerLink    LinkKind = "Peer"    // other VMs to a VM, by TCP and UDP
	LogLink     LinkKind = "Log"     // a VM to the log service
	ListLink    LinkKind = "List"    // a VM to the VM list
	BackendLink LinkKind = "Backend" // VMs and other engines to a backend server
)

type (
	// LinkKind of a link.
	LinkKind string

	// Link is one way by which a deployment's parts speak.
	Link struct {
		Kind LinkKind
		ID   string // of the VM, or of the backend server
	}

	// Deployment is the stand-ins around some entry VMs. Set the exported
	// fields before Start.
	Deployment struct {
		Model        string // name of the model service
		Prefill      int    // prefill engines
		Decode       int    // decode engines
		PlainService string
		Plain        int // servers of the plain service

		FailureDomains []string // dealt to backend servers in turn
		Region         string
		Engine         enginesim.Settings
		Service        servicesim.Settings

		// Hosts are IP numbers of loopback, dealt to entry VMs in turn, each
		// of which then listens at the usual ports of its own. Without any,
		// VMs share 127.0.0.1 and take free ports.
		Hosts []netip.Addr
		// Intercept puts something before an address that others connect to,
		// such as a proxy that injects faults, and returns its address. Nil
		// leaves all addresses as they are.
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
	errNoHost = errors.New("no IP number is left in Hosts")
	errNoPort = errors.New("no more are free")
)

// Start opens all stand-ins.
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

func (dp *Deployment) interceptLink(kind LinkKind, id string, addr netip.AddrPort) (netip.AddrPort, error) {
	if dp.Intercept == nil {
		return addr, nil
	}
	out, err := dp.Intercept(Link{Kind: kind, ID: id}, addr)
	if err != nil {
		return addr, fmt.Errorf("front %s of %s: %w", kind, id, err)
	}
	return out, nil
}

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

func (dp *Deployment) serve(handler http.Handler) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	dp.servers = append(dp.servers, srv)
	go srv.Serve(ln)
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

// AddVM returns the settings of one more entry AddVM and lists it. Publish makes
// the AddVM list say so.
func (dp *Deployment) AddVM(id, failureDomain string) (settings.Settings, error) {
	set := settings.Default()
	set.ID, set.FailureDomain, set.Region = id, failureDomain, dp.Region
	set.Peer.Secret = settings.NewSecret(PeerSecret)
	set.Operator.Token = settings.NewSecret(OperatorToken)
	set.Log.Token = settings.NewSecret(LogToken)
	set.VMList.Token = settings.NewSecret(ListToken)
	set.Backends.Token = settings.NewSecret(BackendToken)
	if err := dp.setAddresses(&set); err != nil {
		return set, fmt.Errorf("place VM %s: %w", id, err)
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

// setAddresses sets all addresses of an entry VM.
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

// vmAddresses returns the addresses for callers, peers and operators of one more
// entry VM.
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

// RemoveVM takes an entry VM off the VM list.
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

// Publish makes the VM list hold what was added and changed.
func (dp *Deployment) Publish() {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	doc := vmlist.Document{
		VMs:     append([]vmlist.VMEntry(nil), dp.doc.VMs...),
		Servers: append([]vmlist.ServerEntry(nil), dp.doc.Servers...),
	}
	dp.List.Put(doc)
}

// Close ends all stand-ins.
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
	// firstPort and portCount bound the ports that VMs get: below those that
	// the kernel gives to whoever asks for any, so that none is given away
	// between its choice and its use.
	firstPort = 10000
	portCount = 20000
)

// portsTried counts the ports that this process has tried, so that no two
// deployments of it get the same.
var portsTried atomic.Uint32

// freePorts finds loopback ports that are free for TCP and UDP.
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
	return nil, fmt.Errorf("%d of %d ports: %w", len(out), count, errNoPort)
}

// isFree tells whether nothing listens at an address.
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

// ScaledEngineSettings scales the paces of engines, so that a test need not wait for real
// ones.
func ScaledEngineSettings(factor float64) enginesim.Settings {
	set := enginesim.DefaultSettings()
	set.PrefillTokensPerSecond *= factor
	set.LinkBytesPerSecond *= factor
	set.TPOT = max(1, clock.Millis(float64(set.TPOT)/factor))
	return set
}

// processHost is a loopback IP number of this process, so that no other process
// takes a port between its choice and its use.
func processHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 64+pid>>8&63, pid&255)
}
