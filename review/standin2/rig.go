package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
		temp    string
		store   *store
		storeAt string
		vms     []*vm
		workers []*worker
		trouble bool
		began   time.Time

		mu     sync.Mutex
		record *os.File
	}

	// vm is a process of the system.
	vm struct {
		name, front, ready string
		process            *exec.Cmd
	}

	// workerSettings is what a worker process is told on its standard input.
	workerSettings struct {
		ID, Service, Address, Zone, Store string
		Slots                             int
		Pieces                            int           // of an answer
		PieceBytes                        int           // least size of one that is not an event
		Pause                             time.Duration // between two pieces
		Drain                             time.Duration // for which it serves after it has reported that it leaves
	}

	worker struct {
		set     workerSettings
		process *exec.Cmd
	}
)

var errNoStart = errors.New("the VMs did not become ready")

func newRig(folder string) (*rig, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	rg := &rig{temp: temp, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: file}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	rg.storeAt = ln.Addr().String()
	go func() { _ = http.Serve(ln, rg.store) }() // it ends with the process
	return rg, nil
}

// note writes a line to the record.
func (rg *rig) note(format string, args ...any) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	fmt.Fprintf(rg.record, "%8.3f s  %s\n", time.Since(rg.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started.
func (rg *rig) close() {
	for _, wk := range rg.workers {
		end(wk.process)
	}
	for _, vm := range rg.vms {
		end(vm.process)
	}
	_ = os.RemoveAll(rg.temp)
	_ = rg.record.Close()
}

func end(process *exec.Cmd) {
	_ = process.Process.Kill() // it may have ended
	_ = process.Wait()
}

// deployCommand returns the command of the deploy file that runs a VM.
func deployCommand() (string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", fmt.Errorf("read the deploy file: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run command")
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

// startVM starts a process of the system as the deploy file says.
func (rg *rig) startVM(name, zone string) error {
	ip, err := freeIP(7660, 8140, 8143, 8144, metricsPort)
	if err != nil {
		return err
	}
	command, err := deployCommand()
	if err != nil {
		return err
	}
	file := filepath.Join(rg.temp, name+".toml")
	text := strings.NewReplacer("NAME", name, "IP", ip, "ZONE", zone, "STORE", rg.storeAt).Replace(settingsText)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	words := strings.Fields(command)
	process := exec.Command(words[0], words[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + rg.temp, "ALDERDYKE_CONFIG=" + file}
	log, err := os.Create(filepath.Join(rg.temp, name+".log"))
	if err != nil {
		return fmt.Errorf("create the log: %w", err)
	}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return fmt.Errorf("start a VM: %w", err)
	}
	rg.vms = append(rg.vms, &vm{name: name, front: ip + ":8144", ready: ip + ":8140", process: process})
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

// startWorker starts a worker process, whose lines go to the record. Without an address it
// gets a free one.
func (rg *rig) startWorker(set workerSettings) error {
	if set.Address == "" {
		ip, err := freeIP(8080)
		if err != nil {
			return err
		}
		set.Address = ip + ":8080"
	}
	set.Store, set.Drain = rg.storeAt, drainTime
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	process := exec.Command(self, "worker")
	in, err := process.StdinPipe()
	if err != nil {
		return fmt.Errorf("open the input of a worker: %w", err)
	}
	out, err := process.StdoutPipe()
	if err != nil {
		return fmt.Errorf("open the output of a worker: %w", err)
	}
	if err := process.Start(); err != nil {
		return fmt.Errorf("start a worker: %w", err)
	}
	rg.workers = append(rg.workers, &worker{set: set, process: process})
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			rg.note("worker %s: %s", set.ID, lines.Text())
		}
	}()
	return json.NewEncoder(in).Encode(set)
}

// crash ends a worker as a crash does. The store removes its entry after three heartbeats of
// silence.
func (rg *rig) crash(wk *worker) {
	end(wk.process)
	rg.note("worker %s crashed", wk.set.ID)
	time.AfterFunc(3*heartbeat, func() { rg.store.add(topicServers, wk.set.ID, nil) })
}

// leave begins the planned shutdown of a worker.
func (wk *worker) leave() error { return wk.process.Process.Signal(syscall.SIGTERM) }
