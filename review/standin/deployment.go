package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// heartbeat is how often a worker writes its entry; after heartbeatsKept of them
	// without a word its entry goes.
	heartbeat      = 1200 * time.Millisecond
	heartbeatsKept = 3
	// metricsPort is a port that the program always uses; the VMs have addresses of
	// their own.
	metricsPort  = 9464
	readyTimeout = 20 * time.Second
	startTimeout = 5 * time.Second
	// pollInterval is how often the output of the processes is read.
	pollInterval = 5 * time.Millisecond
)

type (
	// deployment is a small one on loopback addresses.
	deployment struct {
		rec     *record
		store   *store
		storeAt string // where the machines reach the store
		front   *silencer
		folder  string   // where play.sh notes the processes
		ask     *os.File // asks play.sh for them
		network int      // second byte of the addresses

		mu    sync.Mutex
		quit  chan struct{}
		group sync.WaitGroup
	}

	// process is a process that play.sh started for this case.
	process struct {
		name string
		proc *os.Process
		done chan struct{} // closed when it has ended
	}

	// vmProcess is an entry machine.
	vmProcess struct {
		*process
		front, directory, ready string
	}

	// workerProcess is a worker and its entry in the store.
	workerProcess struct {
		*process
		id, service, phase, zone, address string
		slots                             int
		seq                               int
		draining, gone                    bool
	}

	// route is a route of the configuration.
	route struct {
		Name        string `json:"name"`
		Host        string `json:"host"`
		PathPrefix  string `json:"path_prefix"`
		RouteKind   string `json:"route_kind"`
		TimeoutMS   int    `json:"timeout_ms"`
		SLOMS       int    `json:"slo_ms"`
		Priority    int    `json:"priority"`
		Service     string `json:"service"`
		MaxAttempts int    `json:"max_attempts"`
		Sticky      bool   `json:"sticky"`
		Resumable   bool   `json:"resumable"`
		GapAimMS    int    `json:"gap_aim_ms,omitempty"`
	}
)

var errNoNetwork = errors.New("no loopback addresses with the program's metrics port are free")

func newDeployment(rec *record, folder string) (*deployment, error) {
	ask, err := os.OpenFile(filepath.Join(folder, "ask"), os.O_WRONLY, 0)
	if err != nil {
		return nil, fmt.Errorf("ask for processes: %w", err)
	}
	dp := &deployment{rec: rec, store: newStore(), folder: folder, ask: ask, quit: make(chan struct{})}
	if dp.network = freeNetwork(); dp.network == 0 {
		return nil, errNoNetwork
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	go func() { _ = http.Serve(ln, dp.store) }()
	if dp.front, err = newSilencer(ln.Addr().String()); err != nil {
		return nil, err
	}
	dp.storeAt = dp.front.address()
	return dp, nil
}

// freeNetwork returns the second byte of addresses at which the metrics port is free.
func freeNetwork() int {
	for ix := range 200 {
		network := 20 + (os.Getpid()+ix)%200
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, metricsPort))
		if err == nil {
			_ = ln.Close()
			return network
		}
	}
	return 0
}

// freeAddress returns an address whose port is free.
func freeAddress(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// stop ends what the case itself runs; play.sh ends the processes.
func (dp *deployment) stop() {
	close(dp.quit)
	dp.group.Wait()
	_ = dp.ask.Close()
}

// start has play.sh start a process. Its output goes line by line to say.
func (dp *deployment) start(what, name, args string, say func(line string)) (*process, error) {
	if _, err := fmt.Fprintf(dp.ask, "%s %s %s\n", what, name, args); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		data, err := os.ReadFile(filepath.Join(dp.folder, name+".pid"))
		if err != nil {
			continue
		}
		var pid int
		if _, err := fmt.Sscan(string(data), &pid); err != nil {
			return nil, fmt.Errorf("start %s: %w", name, err)
		}
		proc, err := os.FindProcess(pid)
		if err != nil {
			return nil, fmt.Errorf("start %s: %w", name, err)
		}
		pr := &process{name: name, proc: proc, done: make(chan struct{})}
		dp.group.Go(func() { dp.follow(pr, say) })
		return pr, nil
	}
	return nil, fmt.Errorf("%s was not started in time", name)
}

// follow passes on the output of a process until it has ended, or the case.
func (dp *deployment) follow(pr *process, say func(line string)) {
	read, ended := 0, false
	for {
		code, err := os.ReadFile(filepath.Join(dp.folder, pr.name+".rc"))
		ended = err == nil
		text, _ := os.ReadFile(filepath.Join(dp.folder, pr.name+".log")) // it may not be there yet
		for {
			line, _, whole := strings.Cut(string(text[read:]), "\n")
			if !whole {
				break
			}
			read += len(line) + 1
			say(line)
		}
		if ended {
			dp.rec.add("%s has ended with code %s", pr.name, strings.TrimSpace(string(code)))
			close(pr.done)
			return
		}
		select {
		case <-dp.quit:
			return
		case <-time.After(pollInterval):
		}
	}
}

// ended reports whether the process has ended.
func (pr *process) ended() bool {
	select {
	case <-pr.done:
		return true
	default:
		return false
	}
}

// startVM starts an entry machine and waits until it is ready.
func (dp *deployment) startVM(number int) (*vmProcess, error) {
	ip := fmt.Sprintf("127.%d.0.%d", dp.network, number)
	vm := &vmProcess{}
	var control string
	for _, at := range []*string{&vm.front, &vm.directory, &vm.ready, &control} {
		free, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		*at = free
	}
	name := fmt.Sprintf("edge-aarhus-a-%d", number)
	file := filepath.Join(dp.folder, name+".toml")
	text := strings.NewReplacer("NAME", name, "IP", ip, "FRONT", vm.front, "READY", vm.ready, "CONTROL", control, "DIRECTORY", vm.directory,
		"STORE", dp.storeAt).Replace(settingsTemplate)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write the settings: %w", err)
	}
	var err error
	if vm.process, err = dp.start("vm", name, file, func(line string) { dp.logLine(name, line) }); err != nil {
		return nil, err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if rsp, err := http.Get("http://" + vm.ready + "/api/readyz"); err == nil {
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				dp.rec.add("%s is ready", name)
				return vm, nil
			}
		}
	}
	return nil, fmt.Errorf("%s was not ready in time", name)
}

// logLine records what a VM writes of requests, of workers and of its stop.
func (dp *deployment) logLine(name, line string) {
	var ev struct {
		Name string `json:"Name"`
	}
	if json.Unmarshal([]byte(line), &ev) != nil {
		dp.rec.add("%s: %s", name, line)
		return
	}
	for _, word := range []string{"Relay", "Server", "Draining", "Stop"} {
		if strings.Contains(ev.Name, word) {
			dp.rec.add("%s: %s", name, line)
			return
		}
	}
}

// startWorker starts a worker and writes its entry.
func (dp *deployment) startWorker(number int, service, phase, zone string, slots int, flags ...string) (*workerProcess, error) {
	address, err := freeAddress(fmt.Sprintf("127.%d.1.%d", dp.network, number))
	if err != nil {
		return nil, err
	}
	wk := &workerProcess{id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), service: service, phase: phase, zone: zone, address: address, slots: slots}
	args := append([]string{"-address", address, "-id", wk.id, "-service", service, "-slots", fmt.Sprint(slots)}, flags...)
	if phase != "" {
		args = append(args, "-phase", phase)
	}
	if wk.process, err = dp.start("worker", wk.id, strings.Join(args, " "), func(line string) { dp.rec.add("%s", line) }); err != nil {
		return nil, err
	}
	dp.group.Go(func() { dp.beat(wk) })
	return wk, nil
}

// beat writes the entry of a worker for as long as it lives.
func (dp *deployment) beat(wk *workerProcess) {
	for {
		if wk.ended() {
			dp.mu.Lock()
			left := wk.draining
			dp.mu.Unlock()
			if !left {
				time.Sleep(heartbeatsKept * heartbeat)
			}
			dp.store.put("keyed.servers", wk.id, nil)
			return
		}
		dp.mu.Lock()
		gone := wk.gone
		dp.mu.Unlock()
		if gone {
			return
		}
		dp.writeEntry(wk)
		select {
		case <-time.After(heartbeat):
		case <-wk.done:
		case <-dp.quit:
			return
		}
	}
}

func (dp *deployment) writeEntry(wk *workerProcess) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	wk.seq++
	state := "ready"
	if wk.draining {
		state = "draining"
	}
	entry := map[string]any{"service": wk.service, "address": wk.address, "zone": wk.zone, "version": "v1", "slots": wk.slots, "state": state,
		"cold_left_ms": 0, "seq": wk.seq}
	if wk.phase != "" {
		entry["phase"] = wk.phase
	}
	value, _ := json.Marshal(entry) // a map of plain values always marshals
	dp.store.put("keyed.servers", wk.id, value)
}

// leave makes a worker report that it is draining; it exits by itself later.
func (dp *deployment) leave(wk *workerProcess) error {
	dp.mu.Lock()
	wk.draining = true
	dp.mu.Unlock()
	dp.writeEntry(wk)
	dp.rec.add("the store has accepted that worker %s is draining", wk.id)
	return wk.signal(syscall.SIGUSR1)
}

// withdraw makes a worker leave that never reports that it is draining: its entry is removed,
// and it exits by itself later.
func (dp *deployment) withdraw(wk *workerProcess) error {
	dp.mu.Lock()
	wk.gone = true
	dp.mu.Unlock()
	dp.store.put("keyed.servers", wk.id, nil)
	dp.rec.add("the store has removed the entry of worker %s", wk.id)
	return wk.signal(syscall.SIGUSR1)
}

func (pr *process) signal(sg syscall.Signal) error {
	if err := pr.proc.Signal(sg); err != nil {
		return fmt.Errorf("signal %s: %w", pr.name, err)
	}
	return nil
}

// configure writes a configuration as the operator does. The service engines is that of
// the model workers; empty: there is none.
func (dp *deployment) configure(version int, routes []route, engines string) {
	list := []map[string]any{}
	listed := make(map[string]bool)
	for _, rt := range routes {
		if listed[rt.Service] {
			continue
		}
		listed[rt.Service] = true
		svc := map[string]any{"name": rt.Service, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}
		if rt.Service == engines {
			svc["engine"] = map[string]any{"slots": 64, "kv_capacity": 77047, "kv_token_bytes": 18432, "link_mbps": 2200000.0, "moves": true, "backups": true,
				"stride": 63, "most": 12, "kv_ttl_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []map[string]string{{"name": "m"}}}
		}
		list = append(list, svc)
	}
	value, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	dp.store.put("keyed.op", "config", value)
	dp.rec.add("the store has accepted version %d: %s", version, value)
}

const settingsTemplate = `
node_name = "NAME"
role = "entry"
machine_class = "edge"
serves = ["edge","registry"]
ip = "IP"
zone = "aarhus-a"
region = "dk-jylland"
port_range = [7660,7675]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
aarhus-a = "dk-jylland"
aarhus-b = "dk-jylland"
[listen]
front = "FRONT"
ready = "READY"
control = "CONTROL"
directory = "DIRECTORY"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 134
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recovery_s = 12
transit_ms = 120
again_s = 3
fencing = true
lease_ms = 3000
thaw_ms = 300
ttl_max_s = 5
[platform]
address = "STORE"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`
