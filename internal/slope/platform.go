package slope

import (
	"context"
	"fmt"
	"net/http"

	"alderdyke/internal/board"
	"alderdyke/internal/logsvc"
	standinlog "alderdyke/internal/standin/logsvc"
	standinlist "alderdyke/internal/standin/vmlist"
	"alderdyke/internal/vmlist"
)

const listTarget = fleetTarget + enginesTarget

// listCounts are the numbers of VM list entries, from a small fleet to a large one.
var listCounts = []int{20, 60, 120, 245, 490, 980}

// measurePlatform measures the VM list and the log service over HTTP.
func measurePlatform(ctx context.Context, rp *Report) error {
	if err := measureList(ctx, rp); err != nil {
		return fmt.Errorf("VM list: %w", err)
	}
	return measureLog(ctx, rp)
}

// listOf returns a list in which about two of five entries are entry VMs.
func listOf(entries int) vmlist.Document {
	var doc vmlist.Document
	vms := entries * fleetTarget / listTarget
	for ix := range vms {
		vm := fleetVM(ix)
		doc.VMs = append(doc.VMs, vmlist.VMEntry{ID: vm.ID, FailureDomain: vm.FailureDomain, Region: vm.Region,
			Caller: vm.Caller, Peer: vm.Peer, State: vmlist.Live})
	}
	for ix := range entries - vms {
		role := board.Decode
		if ix%4 == 0 {
			role = board.Prefill
		}
		doc.Servers = append(doc.Servers, vmlist.ServerEntry{ID: fmt.Sprintf("rapportmodel-%03d", ix), Service: "rapportmodel",
			Role: role, Address: fmt.Sprintf("10.9.%d.%d:9000", ix/250, 1+ix%250),
			FailureDomain: fmt.Sprintf("domain-%d", ix%domains), ChecksFencing: true, State: vmlist.Live})
	}
	return doc
}

func measureList(ctx context.Context, rp *Report) error {
	along := func(name, unit string, kind Kind, shape Shape) *Series {
		return rp.addSeries(Series{Name: name, Along: "entries", Unit: unit, Kind: kind, Shape: shape, Target: listTarget})
	}
	whole := along("ListWholeBytes", "B of one fetch of a list that changed", Count, Linear)
	same := along("ListSameBytes", "B of one fetch of a list that did not", Count, Constant)
	took := along("ListWholeTime", "us of one fetch of a list that changed, both ends", Time, Linear)
	for _, count := range listCounts {
		if err := fetchList(ctx, count, whole, same, took); err != nil {
			return fmt.Errorf("at %d entries: %w", count, err)
		}
	}
	return nil
}

func fetchList(ctx context.Context, count int, whole, same, took *Series) error {
	sv := &standinlist.Server{}
	st, err := serve(sv)
	if err != nil {
		return err
	}
	defer st.close()
	var wc connBytes
	cl := &vmlist.Client{URL: "http://" + st.addr, Token: wireSecret, HTTP: &http.Client{Transport: wc.transport()}}
	sv.Put(listOf(count))
	if _, err := cl.Fetch(ctx); err != nil {
		return fmt.Errorf("fetch the list: %w", err)
	}
	before := wc.total()
	for range pollRounds {
		if _, err := cl.Fetch(ctx); err != nil {
			return fmt.Errorf("fetch the list: %w", err)
		}
	}
	same.addPoint(count, (wc.total()-before)/pollRounds)
	before = wc.total()
	began, err := processorTime()
	if err != nil {
		return err
	}
	for range pollRounds {
		sv.Put(listOf(count))
		if _, err := cl.Fetch(ctx); err != nil {
			return fmt.Errorf("fetch the list: %w", err)
		}
	}
	ended, err := processorTime()
	if err != nil {
		return err
	}
	whole.addPoint(count, (wc.total()-before)/pollRounds)
	took.addPoint(count, float64((ended-began).Microseconds())/pollRounds)
	return nil
}

func measureLog(ctx context.Context, rp *Report) error {
	st, err := serve(&standinlog.Server{})
	if err != nil {
		return err
	}
	defer st.close()
	var wc connBytes
	cl := &logsvc.Client{URL: "http://" + st.addr, Token: wireSecret, HTTP: &http.Client{Transport: wc.transport()}}
	read := func() error {
		_, err := cl.Read(ctx, "Templates", 0, 64, 0)
		return err
	}
	if err := measureRepeated(rp, "LogRead", &wc, read); err != nil {
		return err
	}
	add := func() error {
		_, err := cl.Append(ctx, "Templates", []byte("{}"))
		return err
	}
	return measureRepeated(rp, "LogAppend", &wc, add)
}
