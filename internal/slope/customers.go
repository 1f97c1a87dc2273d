package slope

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"

	"alderdyke/internal/board"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/register"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

const (
	customerTarget = 1000
	changeCount    = 200
)

var customerCounts = []int{10, 50, 100, 250, 500, 1000}

// typicalTemplate returns a template with the size of the samples: two classes of a
// model service and two of a plain service.
func typicalTemplate(number int) template.Template {
	tpl := template.Template{
		Customer:      fmt.Sprintf("customer-%04d", number),
		PrefillWeight: 0.7,
		Classes: []template.Class{
			{Name: "findings", Service: "rapportmodel", Urgency: template.Patient, TTFT: 20 * clock.Second, TPOT: 60,
				Deadline: 5 * clock.Minute, StreamWait: clock.Minute, Share: 0.001, MaxTokens: 2048},
			{Name: "summary", Service: "rapportmodel", Urgency: template.Quick, Idempotent: true, TTFT: 410, TPOT: 35,
				Deadline: clock.Minute, StreamWait: 20 * clock.Second, Share: 0.001, MaxTokens: 256},
			{Name: "lookup", Service: "feltapp", Urgency: template.Quick, Paths: []string{"/records"}, Idempotent: true,
				TTFT: 300, Deadline: 5 * clock.Second, StreamWait: 5 * clock.Second, Share: 0.001},
			{Name: "certify", Service: "feltapp", Urgency: template.Quick, Paths: []string{"/records/certify"},
				TTFT: 300, Deadline: 5 * clock.Second, StreamWait: 5 * clock.Second, Share: 0.001},
		},
	}
	for range 2 {
		hash := make([]byte, 32)
		hash[0], hash[1], hash[2] = byte(number), byte(number>>8), byte(len(tpl.KeyHashes))
		tpl = tpl.WithKeyHash(hex.EncodeToString(hash))
	}
	return tpl
}

// measureCustomers applies the publications of many customers and measures their cost.
func measureCustomers(_ context.Context, rp *Report) error {
	along := func(name, unit string, kind Kind, shape Shape) *Series {
		return rp.addSeries(Series{Name: name, Along: "customers", Unit: unit, Kind: kind, Shape: shape, Target: customerTarget})
	}
	memory := along("RegisterMemory", "B of registers and templates", Memory, Linear)
	snapshot := along("SnapshotBytes", "B of a snapshot for a peer", Count, Linear)
	restates := along("RestateBytes", "B to write all that is in force to the log once", Count, Linear)
	records := along("RestateRecords", "records to write all that is in force once", Count, Logarithmic)
	took := along("ApplyTime", "us to apply one change", Time, Constant)
	for _, count := range customerCounts {
		empty := memoryInUse()
		st, bd, err := applyPublications(count)
		if err != nil {
			return fmt.Errorf("at %d customers: %w", count, err)
		}
		memory.addPoint(count, memoryInUse()-empty)
		runtime.KeepAlive(bd)
		data, err := st.Export()
		if err != nil {
			return fmt.Errorf("export the register: %w", err)
		}
		snapshot.addPoint(count, float64(len(data)))
		written, size, err := sizeOfRestatements(st)
		if err != nil {
			return err
		}
		records.addPoint(count, float64(written))
		restates.addPoint(count, float64(size))
		span, err := timeChanges(st, count)
		if err != nil {
			return err
		}
		took.addPoint(count, span)
	}
	data, err := publication(1, 0)
	rp.addFact("PublicationBytes", Count, float64(len(data)), "B of the record of one usual template")
	return err
}

func publication(number int, base uint64) ([]byte, error) {
	tpl := typicalTemplate(number)
	value, err := json.Marshal(tpl)
	if err != nil {
		return nil, fmt.Errorf("encode a template: %w", err)
	}
	data, err := register.Marshal(register.Publish{ID: requestKey(number), Key: tpl.Customer, Base: base, Value: value})
	if err != nil {
		return nil, fmt.Errorf("encode a publication: %w", err)
	}
	return data, nil
}

// applyPublications applies one publication for each customer and builds the board's
// templates from the result.
func applyPublications(count int) (*register.State, *board.Templates, error) {
	st := &register.State{Content: register.Templates}
	for number := range count {
		data, err := publication(number, 0)
		if err != nil {
			return nil, nil, err
		}
		offset := uint64(number)
		outs, bad := st.Advance(logsvc.Batch{Records: []logsvc.Record{{Offset: offset, Data: data}}, Next: offset + 1})
		if len(bad) > 0 || len(outs) != 1 || outs[0].Ruling != register.Accepted {
			return nil, nil, fmt.Errorf("publication %d was not accepted: %v", number, bad)
		}
	}
	bd := &board.Templates{ByCustomer: make(map[string]board.ActiveTemplate), ByKeyHash: make(map[string]string)}
	for _, en := range st.Entries() {
		var tpl template.Template
		if err := json.Unmarshal(en.Value, &tpl); err != nil {
			return nil, nil, fmt.Errorf("decode a template: %w", err)
		}
		bd.ByCustomer[en.Key] = board.ActiveTemplate{Template: tpl, Revision: en.Revision}
		for _, hash := range tpl.KeyHashes {
			bd.ByKeyHash[hash] = en.Key
		}
	}
	return st, bd, nil
}

// sizeOfRestatements returns the number and the total size of the records that restate
// all current entries.
func sizeOfRestatements(st *register.State) (written, size int, err error) {
	for bucket := range register.DefaultBuckets {
		rst, ok := st.Restatement(bucket)
		if !ok || len(rst.Entries) == 0 {
			continue
		}
		data, err := register.Marshal(rst)
		if err != nil {
			return 0, 0, fmt.Errorf("encode a restatement: %w", err)
		}
		written++
		size += len(data)
	}
	return written, size, nil
}

// timeChanges publishes revised templates and returns the microseconds per change.
func timeChanges(st *register.State, count int) (float64, error) {
	var batch []logsvc.Record
	for round := range changeCount {
		number := round % count
		en, _ := st.Entry(typicalTemplate(number).Customer)
		base := en.Revision
		if round >= count { // already revised by this loop
			base = batch[round-count].Offset + 1
		}
		data, err := publication(number, base)
		if err != nil {
			return 0, err
		}
		batch = append(batch, logsvc.Record{Offset: st.Next() + uint64(round), Data: data})
	}
	began, err := processorTime()
	if err != nil {
		return 0, err
	}
	_, bad := st.Advance(logsvc.Batch{Records: batch, Next: st.Next() + changeCount})
	ended, err := processorTime()
	if err != nil {
		return 0, err
	}
	if len(bad) > 0 {
		return 0, fmt.Errorf("changes could not be read: %w", bad[0])
	}
	return float64((ended - began).Microseconds()) / changeCount, nil
}
