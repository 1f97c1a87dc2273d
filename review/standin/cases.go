package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["leaving-worker"] = caseLeavingWorker
	cases["planned-stop"] = casePlannedStop
	cases["two-slashes"] = caseTwoSlashes
	cases["coded-slash"] = caseCodedSlash
	cases["silent-store-connections"] = caseSilentConnections
}

const (
	host  = "ficu95.example"
	model = "huvo11a" // service of the model workers
	plain = "wuno96b" // plain service
	other = "xano55b" // another plain service

	// settle is how long the machines have before the first request.
	settle = 3 * time.Second
)

var (
	errNotAllRan = errors.New("not all requests began to be answered")
	errTTL       = errors.New("clients don't keep the address for so long")
)

// caseLeavingWorker has streams without a length at a worker that drains and exits, while
// no other worker has room for them.
func caseLeavingWorker(dp *deployment, trouble bool) ([]string, error) {
	const events, slots = 80, 2
	var decoders []*workerProcess
	for number, phase := range []string{"prefill", "prefill", "decode", "decode"} {
		wk, err := dp.startWorker(1+number, model, phase, "aarhus-a", slots, "-no-length", "-events", fmt.Sprint(events), "-gap", "100ms")
		if err != nil {
			return nil, err
		}
		if phase == "decode" {
			decoders = append(decoders, wk)
		}
	}
	dp.configure(7, []route{{Name: "r-1", Host: host, PathPrefix: "/lohu930/", RouteKind: "streaming", TimeoutMS: 14000, SLOMS: 900, Priority: 1,
		Service: model, MaxAttempts: 1, Sticky: true, GapAimMS: 300}}, model)
	vm, err := dp.startVM(1)
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	replies := make([]reply, slots*len(decoders))
	var all sync.WaitGroup
	for ix := range replies {
		all.Go(func() {
			replies[ix] = dp.send(vm.front, request{id: fmt.Sprintf("9c41d07be2a35f%02d", ix), method: "POST", host: host, path: "/lohu930/2f", deadline: 14 * time.Second,
				header: map[string]string{"Model": "m", "Token-Count": "1460,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%08x:660", ix)}, body: "a prompt"})
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		if err := dp.leave(decoders[0]); err != nil {
			return nil, err
		}
	}
	all.Wait()
	var broken []string
	for ix, rp := range replies {
		if rp.status != 200 {
			return nil, errNotAllRan
		}
		if rp.whole && rp.events() < events {
			broken = append(broken, fmt.Sprintf("ORDER: stream %d ended as complete after %d of %d events", ix, rp.events(), events))
		}
	}
	return broken, nil
}

// casePlannedStop sends requests to a machine that was told to stop, which takes them.
func casePlannedStop(dp *deployment, trouble bool) ([]string, error) {
	const (
		work     = 4400 * time.Millisecond
		deadline = 5 * time.Second
	)
	sends := []time.Duration{3600 * time.Millisecond, 3800 * time.Millisecond, 4 * time.Second} // after SIGTERM
	for number := range 2 {
		if _, err := dp.startWorker(1+number, plain, "", "aarhus-a", 6, "-work", work.String()); err != nil {
			return nil, err
		}
	}
	dp.configure(7, []route{{Name: "r-1", Host: host, PathPrefix: "/pule252/", RouteKind: "non_idempotent", TimeoutMS: int(deadline.Milliseconds()), SLOMS: 4500, Priority: 2,
		Service: plain, MaxAttempts: 1}}, "")
	first, err := dp.startVM(1)
	if err != nil {
		return nil, err
	}
	if _, err := dp.startVM(2); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	addresses, ttl, err := dp.resolve(first)
	if err != nil {
		return nil, err
	}
	dp.rec.add("client: the directory names %v for %v", addresses, ttl)
	if last := sends[len(sends)-1]; last > 3*ttl {
		return nil, errTTL
	}
	began := time.Now()
	if trouble {
		dp.rec.add("SIGTERM to %s", first.name)
		if err := first.signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	replies := make([]reply, len(sends))
	var all sync.WaitGroup
	for ix, after := range sends {
		time.Sleep(time.Until(began.Add(after)))
		all.Go(func() {
			replies[ix] = dp.send(first.front, request{id: fmt.Sprintf("9c41d07be2a35f%02d", ix), method: "POST", host: host, path: "/pule252/2f", deadline: deadline, body: "a record"})
		})
	}
	all.Wait()
	var broken []string
	for ix, rp := range replies {
		if rp.cut() {
			broken = append(broken, fmt.Sprintf("LOST: request %d, sent %.1f s after the SIGTERM: the connection ended %.1f s later without a complete answer: %v",
				ix, rp.sentAt.Sub(began).Seconds(), rp.endedAt.Sub(rp.sentAt).Seconds(), rp.err))
		}
	}
	return broken, nil
}

// caseTwoSlashes sends requests whose path begins with two slashes.
func caseTwoSlashes(dp *deployment, trouble bool) ([]string, error) {
	for number := range 2 {
		if _, err := dp.startWorker(1+number, plain, "", "aarhus-a", 6); err != nil {
			return nil, err
		}
	}
	dp.configure(7, []route{{Name: "r-1", Host: host, PathPrefix: "/", RouteKind: "non_idempotent", TimeoutMS: 1000, SLOMS: 100, Priority: 2, Service: plain, MaxAttempts: 1}}, "")
	vm, err := dp.startVM(1)
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	paths := []string{"/plants/boiler-7", "/plants//boiler-7", "/?at=//plants"}
	if trouble {
		paths = append(paths, "//plants/boiler-7", "//", "///plants")
	}
	sent := make(map[string]string)
	for ix, path := range paths {
		id := fmt.Sprintf("9c41d07be2a35f%02d", ix)
		sent[id] = path
		if rp := dp.send(vm.front, request{id: id, method: "POST", host: host, path: path, deadline: time.Second, body: "a record"}); rp.status == 0 {
			return nil, errNotAllRan
		}
	}
	var broken []string
	for id, path := range sent {
		for _, ran := range dp.ran(id) {
			if ran != path {
				broken = append(broken, fmt.Sprintf("UNASKED: the client sent %s, and a worker ran %s", path, ran))
			}
		}
	}
	return broken, nil
}

// caseCodedSlash sends requests whose path begins with the shorter one of two prefixes, but
// with the longer one if a coded slash counts as a slash.
func caseCodedSlash(dp *deployment, trouble bool) ([]string, error) {
	wide, err := dp.startWorker(1, plain, "", "aarhus-a", 6)
	if err != nil {
		return nil, err
	}
	narrow, err := dp.startWorker(2, other, "", "aarhus-a", 6)
	if err != nil {
		return nil, err
	}
	rt := route{Name: "r-1", Host: host, PathPrefix: "/plants/", RouteKind: "non_idempotent", TimeoutMS: 1000, SLOMS: 100, Priority: 2, Service: plain, MaxAttempts: 1}
	deep := rt
	deep.Name, deep.PathPrefix, deep.Service = "r-2", "/plants/admin/", other
	dp.configure(7, []route{rt, deep}, "")
	vm, err := dp.startVM(1)
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	want := map[string]string{"/plants/admin/7": narrow.id, "/plants/admin-7": wide.id, "/plants/7%2Fadmin/": wide.id}
	if trouble {
		want["/plants/admin%2F7"], want["/plants/admin%2f"] = wide.id, wide.id
	}
	var broken []string
	ix := 0
	for path, worker := range want {
		ix++
		rp := dp.send(vm.front, request{id: fmt.Sprintf("9c41d07be2a35f%02d", ix), method: "POST", host: host, path: path, deadline: time.Second, body: "a record"})
		if rp.status != 200 {
			return nil, errNotAllRan
		}
		if !strings.Contains(rp.header.Get("Server-Seal"), worker) {
			broken = append(broken, fmt.Sprintf("ROUTE: %s was run with the seal %s, and its route leads to worker %s", path, rp.header.Get("Server-Seal"), worker))
		}
	}
	return broken, nil
}

// ran returns the targets with which workers ran a request.
func (dp *deployment) ran(id string) []string {
	var out []string
	for _, line := range dp.rec.lines() {
		if _, rest, ok := strings.Cut(line, " runs "+id+": POST "); ok {
			target, _, _ := strings.Cut(rest, ",")
			out = append(out, target)
		}
	}
	return out
}

// caseSilentConnections removes a worker's entry just after the connections to the store have
// gone silent, and sends requests once the machines are in touch again.
func caseSilentConnections(dp *deployment, trouble bool) ([]string, error) {
	const (
		drain   = 2 * time.Second         // drain_ms
		contact = 3 * time.Second         // contact_ms
		lingers = 3500 * time.Millisecond // drain_ms and a little longer
		work    = 200 * time.Millisecond
	)
	vms, workers, err := dp.startPlain(3, 4, work, lingers)
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * settle)
	silentAt := time.Now()
	if trouble {
		dp.rec.add("%d connections to the store go silent; new ones work", dp.front.silence())
	}
	time.Sleep(50 * time.Millisecond)
	if err := dp.withdraw(workers[0]); err != nil {
		return nil, err
	}
	removedAt := time.Now()
	time.Sleep(time.Until(silentAt.Add(contact + 50*time.Millisecond)))
	dp.rec.add("the machines are in touch again")
	replies := make([]reply, 100)
	var all sync.WaitGroup
	for ix := range replies {
		all.Go(func() {
			replies[ix] = dp.send(vms[ix%len(vms)].front, request{id: fmt.Sprintf("9c41d07be2a3%04d", ix), method: "POST", host: host, path: "/pule252/2f", deadline: time.Second, body: "a record"})
		})
		time.Sleep(10 * time.Millisecond)
	}
	all.Wait()
	late := dp.rec.count("worker "+workers[0].id+" runs ", removedAt.Add(drain))
	lost := 0
	for ix, rp := range replies {
		if rp.status != 200 && dp.rec.count("worker "+workers[0].id+fmt.Sprintf(" runs 9c41d07be2a3%04d", ix), removedAt) > 0 {
			lost++
		}
	}
	if late == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests that were sent over %v after the silence reached worker %s over %v after its entry was removed; %d of them were lost as it exited",
		late, contact, workers[0].id, drain, lost)}, nil
}

// startPlain starts machines before workers of a plain service.
func (dp *deployment) startPlain(machines, servers int, work, lingers time.Duration) (vms []*vmProcess, workers []*workerProcess, err error) {
	for number := range servers {
		wk, err := dp.startWorker(1+number, plain, "", "aarhus-a", 24, "-work", work.String(), "-lingers", lingers.String())
		if err != nil {
			return nil, nil, err
		}
		workers = append(workers, wk)
	}
	dp.configure(7, []route{{Name: "r-1", Host: host, PathPrefix: "/pule252/", RouteKind: "non_idempotent", TimeoutMS: 1000, SLOMS: 100, Priority: 2, Service: plain, MaxAttempts: 1}}, "")
	for number := range machines {
		vm, err := dp.startVM(1 + number)
		if err != nil {
			return nil, nil, err
		}
		vms = append(vms, vm)
	}
	return vms, workers, nil
}
