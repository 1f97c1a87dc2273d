package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime  = 2 * time.Second // drain_ms
	startLimit = 10 * time.Second
	// metricsPort is the port of deploy/system.toml at which each VM serves its metrics.
	metricsPort = 9464
)

type (
	// rig runs the system and the stand-ins of one case.
	rig struct {
		folder  string
		store   *store
		storeAt string
		vms     []*vm
		workers []*worker
		trouble bool
		began   time.Time

		mu    sync.Mutex
		lines []line
	}

	// line is a line of the record.
	line struct {
		at   time.Time
		text string
	}

	// process is one that play-2.sh has started.
	process struct {
		rg   *rig
		name string
		id   int
	}

	// vm is a process of the system.
	vm struct {
		process
		front, ready string
	}

	// workerSettings are what a worker process reads.
	workerSettings struct {
		ID, Service, Address, Zone, Store string
		Slots                             int
		Pieces                            int           // of an answer
		PieceBytes                        int           // least size of one
		Work                              time.Duration // before an answer
		Pause                             time.Duration // between two pieces
		Stay                              time.Duration // for which it serves after its entry was removed
	}

	worker struct {
		process
		set workerSettings
	}
)

var (
	errNoStart       = errors.New("the VMs did not become ready")
	errNoProcess     = errors.New("the process was not started")
	errNoRemoval     = errors.New("the worker's entry was not removed")
	errNothingServed = errors.New("no request was served")
)

func newRig(folder string) (*rig, error) {
	rg := &rig{folder: folder, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	rg.storeAt = ln.Addr().String()
	go func() { _ = http.Serve(ln, rg.store) }() // it ends with the process
	return rg, nil
}

// note adds a line to the record.
func (rg *rig) note(format string, args ...any) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.lines = append(rg.lines, line{time.Now(), fmt.Sprintf(format, args...)})
}

// workerLines returns what a worker has printed so far.
func (rg *rig) workerLines(wk *worker) (out []line, err error) {
	data, err := os.ReadFile(filepath.Join(rg.folder, wk.name+".log"))
	if err != nil {
		return nil, fmt.Errorf("read what a worker printed: %w", err)
	}
	for text := range strings.Lines(string(data)) {
		first, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
		if at, err := strconv.ParseInt(first, 10, 64); err == nil {
			out = append(out, line{time.UnixMicro(at), rest})
		}
	}
	return out, nil
}

// writeRecord writes the lines of the case and of its workers.
func (rg *rig) writeRecord(file string) error {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	all := slices.Clone(rg.lines)
	for _, wk := range rg.workers {
		printed, err := rg.workerLines(wk)
		if err != nil {
			return err
		}
		for _, ln := range printed {
			all = append(all, line{ln.at, "worker " + wk.set.ID + ": " + ln.text})
		}
	}
	slices.SortStableFunc(all, func(la, lb line) int { return la.at.Compare(lb.at) })
	var text strings.Builder
	for _, ln := range all {
		fmt.Fprintf(&text, "%8.3f s  %s\n", ln.at.Sub(rg.began).Seconds(), ln.text)
	}
	if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	return nil
}

// start asks play-2.sh for a process, and waits until it has one.
func (rg *rig) start(kind, name, file string) (process, error) {
	ask, err := os.OpenFile(filepath.Join(rg.folder, "ask"), os.O_WRONLY, 0)
	if err != nil {
		return process{}, fmt.Errorf("ask for a process: %w", err)
	}
	defer ask.Close()
	if _, err := fmt.Fprintln(ask, kind, name, file); err != nil {
		return process{}, fmt.Errorf("ask for a process: %w", err)
	}
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		data, err := os.ReadFile(filepath.Join(rg.folder, name+".pid"))
		if err != nil {
			continue // it is not there yet
		}
		id, err := strconv.Atoi(strings.TrimSpace(string(data)))
		if err != nil {
			return process{}, fmt.Errorf("read the ID of a process: %w", err)
		}
		return process{rg, name, id}, nil
	}
	return process{}, errNoProcess
}

// kill ends a process and waits for that.
func (pc process) kill() {
	_ = syscall.Kill(pc.id, syscall.SIGKILL) // it may have ended
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if _, err := os.Stat(filepath.Join(pc.rg.folder, pc.name+".rc")); err == nil {
			return
		}
	}
}

// freeIP returns a loopback address on which the given ports are free.
func freeIP(ports ...int) (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range ports {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close() // it is used again at once
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address has the ports free")
}

const settingsText = `node_name = "NAME"
role = "entry"
machine_class = "edge"
serves = ["edge","registry"]
ip = "IP"
zone = "ZONE"
region = "dk-jylland"
port_range = [7660,7675]
bootstrap = true
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
aarhus-a = "dk-jylland"
aarhus-b = "dk-jylland"
[listen]
front = "IP:8144"
ready = "IP:8140"
directory = "IP:8143"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 134
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
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

// startVM starts a process of the system.
func (rg *rig) startVM(name, zone string) error {
	ip, err := freeIP(7660, 8140, 8143, 8144, metricsPort)
	if err != nil {
		return err
	}
	file := filepath.Join(rg.folder, name+".toml")
	text := strings.NewReplacer("NAME", name, "IP", ip, "ZONE", zone, "STORE", rg.storeAt).Replace(settingsText)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	pc, err := rg.start("vm", name, file)
	if err != nil {
		return err
	}
	rg.vms = append(rg.vms, &vm{process: pc, front: ip + ":8144", ready: ip + ":8140"})
	rg.note("VM %s started at %s", name, ip)
	return nil
}

// awaitReady waits until all VMs say that they are ready.
func (rg *rig) awaitReady() error {
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, vm := range rg.vms {
			rsp, err := http.Get("http://" + vm.ready + "/api/readyz")
			if err != nil {
				continue
			}
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(rg.vms) {
			rg.note("all VMs are ready")
			return nil
		}
	}
	return errNoStart
}

// startServices starts some workers and two VMs, with a configuration.
func (rg *rig) startServices(workers int, set workerSettings) error {
	rg.store.add(topicOperator, "config", []byte(configuration))
	for ix := range workers {
		set.ID = fmt.Sprintf("i-%d", ix+1)
		if err := rg.startWorker(set); err != nil {
			return err
		}
	}
	for _, name := range []string{"edge-aarhus-a-1", "edge-aarhus-a-2"} {
		if err := rg.startVM(name, "aarhus-a"); err != nil {
			return err
		}
	}
	if err := rg.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the VMs know each other by then
	return nil
}

// startWorker starts a worker process. Without an address it gets a free one.
func (rg *rig) startWorker(set workerSettings) error {
	if set.Address == "" {
		ip, err := freeIP(8080)
		if err != nil {
			return err
		}
		set.Address = ip + ":8080"
	}
	set.Store = rg.storeAt
	data, err := json.Marshal(set)
	if err != nil {
		return fmt.Errorf("encode the settings of a worker: %w", err)
	}
	file := filepath.Join(rg.folder, set.ID+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return fmt.Errorf("write the settings of a worker: %w", err)
	}
	pc, err := rg.start("worker", set.ID, file)
	if err != nil {
		return err
	}
	rg.workers = append(rg.workers, &worker{process: pc, set: set})
	return nil
}

// crash ends a worker as a crash does. The store removes its entry after three heartbeats of
// silence.
func (rg *rig) crash(wk *worker) {
	wk.kill()
	rg.note("worker %s crashed", wk.set.ID)
	time.AfterFunc(3*heartbeat, func() { rg.store.add(topicServers, wk.set.ID, nil) })
}
