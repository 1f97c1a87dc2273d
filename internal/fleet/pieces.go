package fleet

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/topic"
)

const (
	// maxFragments limits the datagrams of one record: a configuration of 30
	// routes deflates to two of them. Each VM reads a record that doesn't fit into
	// 16 datagrams from the store.
	maxFragments = 16
	// maxRecordBytes limits an inflated record; the store limits records to the same size.
	maxRecordBytes = 256 << 10
)

// reassembly collects the fragments of the record that a topic's reader is sending.
// The zero value is empty and ready to use.
type reassembly struct {
	key      string
	offset   uint64
	parts    [][]byte
	received int
}

// fragmentRecord deflates a record and splits it into fragments; none if it is too large.
func fragmentRecord(name string, rec topic.Record) ([]*peerpb.TopicPiece, error) {
	var packed bytes.Buffer
	wr, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("deflate a record: %w", err)
	}
	if _, err := wr.Write(rec.Value); err != nil {
		return nil, fmt.Errorf("deflate a record: %w", err)
	}
	if err := wr.Close(); err != nil {
		return nil, fmt.Errorf("deflate a record: %w", err)
	}
	room := maxUpdateBytes - len(rec.Key)
	count := (packed.Len() + room - 1) / room
	if count > maxFragments || len(rec.Value) > maxRecordBytes {
		return nil, nil
	}
	out := make([]*peerpb.TopicPiece, 0, count)
	for ix := range count {
		out = append(out, &peerpb.TopicPiece{Topic: name, Key: rec.Key, Offset: rec.Offset, Index: uint32(ix), Count: uint32(count),
			Data: packed.Next(room)})
	}
	return out, nil
}

// add adds a fragment and returns the record once all fragments were received. Fragments of
// an older record are dropped: a VM that misses that record notices the gap.
func (ra *reassembly) add(tp *peerpb.TopicPiece) (rec topic.Record, whole bool, err error) {
	count := tp.GetCount()
	if count == 0 || count > maxFragments || tp.GetIndex() >= count {
		return rec, false, fmt.Errorf("invalid fragment %d of %d", tp.GetIndex(), count)
	}
	if tp.GetOffset() < ra.offset {
		return rec, false, nil
	}
	if tp.GetOffset() != ra.offset || tp.GetKey() != ra.key || int(count) != len(ra.parts) {
		*ra = reassembly{key: tp.GetKey(), offset: tp.GetOffset(), parts: make([][]byte, count)}
	}
	if ra.parts[tp.GetIndex()] != nil {
		return rec, false, nil // a duplicate
	}
	ra.parts[tp.GetIndex()] = tp.GetData()
	if ra.received++; ra.received < len(ra.parts) {
		return rec, false, nil
	}
	value, err := inflate(bytes.Join(ra.parts, nil))
	if err != nil {
		return rec, false, err
	}
	return topic.Record{Key: ra.key, Value: value, Offset: ra.offset}, true, nil
}

func inflate(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxRecordBytes+1))
	if err != nil {
		return nil, fmt.Errorf("inflate a record: %w", err)
	}
	if len(value) > maxRecordBytes {
		return nil, fmt.Errorf("inflated record is larger than %d bytes", maxRecordBytes)
	}
	return value, nil
}
