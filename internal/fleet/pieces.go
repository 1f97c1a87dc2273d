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
	// mostPieces bounds the datagrams of one record: a configuration of 30
	// routes deflates to two of them, and a larger one than fits into 16 is
	// read from the store by each VM.
	mostPieces = 16
	// recordBytes bounds a record once it is inflated: the store's own bound.
	recordBytes = 256 << 10
)

// pieces are the parts of the record that a topic's reader passes on just now.
// The zero value has none.
type pieces struct {
	key    string
	offset uint64
	parts  [][]byte
	got    int
}

// split makes the pieces of a record; none if it is too large.
func split(name string, rec topic.Record) ([]*peerpb.TopicPiece, error) {
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
	room := newsBytes - len(rec.Key)
	count := (packed.Len() + room - 1) / room
	if count > mostPieces || len(rec.Value) > recordBytes {
		return nil, nil
	}
	out := make([]*peerpb.TopicPiece, 0, count)
	for ix := range count {
		out = append(out, &peerpb.TopicPiece{Topic: name, Key: rec.Key, Offset: rec.Offset, Index: uint32(ix), Count: uint32(count),
			Data: packed.Next(room)})
	}
	return out, nil
}

// take adds a piece and returns the record if it is whole. Pieces of an older
// record are dropped: who misses it notices the gap.
func (pc *pieces) take(tp *peerpb.TopicPiece) (rec topic.Record, whole bool, err error) {
	count := tp.GetCount()
	if count == 0 || count > mostPieces || tp.GetIndex() >= count {
		return rec, false, fmt.Errorf("piece %d of %d", tp.GetIndex(), count)
	}
	if tp.GetOffset() < pc.offset {
		return rec, false, nil
	}
	if tp.GetOffset() != pc.offset || tp.GetKey() != pc.key || int(count) != len(pc.parts) {
		*pc = pieces{key: tp.GetKey(), offset: tp.GetOffset(), parts: make([][]byte, count)}
	}
	if pc.parts[tp.GetIndex()] != nil {
		return rec, false, nil // it came before
	}
	pc.parts[tp.GetIndex()] = tp.GetData()
	if pc.got++; pc.got < len(pc.parts) {
		return rec, false, nil
	}
	value, err := inflate(bytes.Join(pc.parts, nil))
	if err != nil {
		return rec, false, err
	}
	return topic.Record{Key: pc.key, Value: value, Offset: pc.offset}, true, nil
}

func inflate(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), recordBytes+1))
	if err != nil {
		return nil, fmt.Errorf("inflate a record: %w", err)
	}
	if len(value) > recordBytes {
		return nil, fmt.Errorf("a record of more than %d bytes", recordBytes)
	}
	return value, nil
}
