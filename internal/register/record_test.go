package register

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/logsvc"
)

func TestParseRejects(tt *testing.T) {
	cases := []struct{ name, data string }{
		{"not JSON", `{`},
		{"other version", `{"Version":2,"Publish":{"ID":"a","Key":"b"}}`},
		{"recovery as of a later offset", `{"Version":1,"Recover":{"AsOf":8,"Buckets":1}}`},
		{"no record", `{"Version":1}`},
		{"two records", `{"Version":1,"Publish":{"ID":"a","Key":"b"},"Restate":{"Buckets":1}}`},
		{"no ID", `{"Version":1,"Publish":{"Key":"b"}}`},
		{"long ID", `{"Version":1,"Publish":{"Key":"b","ID":"` + strings.Repeat("x", MaxID+1) + `"}}`},
		{"long key", `{"Version":1,"Publish":{"ID":"b","Key":"` + strings.Repeat("x", MaxKey+1) + `"}}`},
		{"long value", `{"Version":1,"Publish":{"ID":"b","Key":"k","Value":"` + strings.Repeat("<", MaxValue/6+1) + `"}}`},
		{"restatement as of a later offset", `{"Version":1,"Restate":{"AsOf":8,"Buckets":1}}`},
		{"bucket out of bounds", `{"Version":1,"Restate":{"Bucket":3,"Buckets":3}}`},
		{"entry newer than its restatement", `{"Version":1,"Restate":{"AsOf":5,"Buckets":1,"Entries":[{"Key":"a","Revision":6}]}}`},
		{"entries out of order", `{"Version":1,"Restate":{"AsOf":5,"Buckets":1,"Entries":[{"Key":"b","Revision":1},{"Key":"a","Revision":2}]}}`},
	}
	for _, tc := range cases {
		_, err := Parse(7, []byte(tc.data))
		var re *RecordError
		assert.Assert(tt, errors.As(err, &re), "%s: %v", tc.name, err)
		assert.Equal(tt, re.Offset, uint64(7))
	}
}

func TestValuesAreCanonical(tt *testing.T) {
	rec, err := Parse(0, []byte(`{"Version":1,"Publish":{"ID":"a","Key":"b","Value":{ "Holder" : "<x>" , "Duration":"1s"}}}`))
	assert.NilError(tt, err)
	data, err := Marshal(rec)
	assert.NilError(tt, err)
	again, err := Parse(0, data)
	assert.NilError(tt, err)
	assert.DeepEqual(tt, rec, again)
}

func TestBucketSizeLimit(tt *testing.T) {
	st := &State{Content: Leases, Buckets: 1}
	value, err := json.Marshal(Lease{Holder: strings.Repeat("x", MaxValue-100), Duration: 1000})
	assert.NilError(tt, err)
	full := false
	for ix := range MaxBucket/MaxValue + 2 {
		data, err := Marshal(Publish{ID: "p", Key: fmt.Sprint("k", ix), Value: value})
		assert.NilError(tt, err)
		outs, _ := st.Advance(logsvc.Batch{
			Records: []logsvc.Record{{Offset: uint64(ix), Data: data}}, Next: uint64(ix) + 1, End: uint64(ix) + 1,
		})
		full = outs[0].Reason == BucketFull
	}
	assert.Assert(tt, full)
	rst, ok := st.Restatement(0)
	assert.Assert(tt, ok)
	data, err := Marshal(rst)
	assert.NilError(tt, err)
	assert.Assert(tt, len(data) <= logsvc.DefaultMaxRecord)
}

// FuzzParse checks that every accepted record survives a round trip and can be applied to a
// state, and that a rejected record has no outcome.
func FuzzParse(ff *testing.F) {
	ff.Add([]byte(`{"Version":1,"Publish":{"ID":"a","Key":"b","Value":{"Holder":"h","Duration":"1s"}}}`))
	ff.Add([]byte(`{"Version":1,"Restate":{"AsOf":1,"Buckets":2,"Entries":[{"Key":"a","Revision":1,"ID":"x"}]}}`))
	ff.Add([]byte(`{"Version":1,"Request":{"VM":"a","KnownTo":3}}`))
	ff.Add([]byte(`{"Version":1,"Recover":{"Request":2,"AsOf":1,"Buckets":2,"Entries":[{"Key":"a","Revision":1,"ID":"x"}]}}`))
	ff.Fuzz(func(tt *testing.T, data []byte) {
		rec, err := Parse(3, data)
		st := &State{Content: Leases, Buckets: 2}
		outs, _ := st.Advance(logsvc.Batch{Records: []logsvc.Record{{Offset: 3, Data: data}}, First: 3, Next: 4, End: 4})
		if err != nil {
			assert.Equal(tt, len(outs), 0)
			return
		}
		wire, err := Marshal(rec)
		assert.NilError(tt, err)
		again, err := Parse(3, wire)
		assert.NilError(tt, err)
		twice, err := Marshal(again)
		assert.NilError(tt, err)
		assert.Equal(tt, string(twice), string(wire))
	})
}

// FuzzSnapshot checks that no snapshot reverts a state, unless it says that the bucket was
// recovered since.
func FuzzSnapshot(ff *testing.F) {
	ff.Add([]byte(`{"Version":1,"Content":"Leases","Buckets":2,"AsOf":9,"Entries":[{"Key":"a","Revision":1,"ID":"x"}]}`))
	ff.Add([]byte(`{"Version":1,"Content":"Leases","Buckets":2,"AsOf":9,"Covered":[3,0],"Entries":[{"Key":"a","Revision":1,"ID":"x"}]}`))
	ff.Fuzz(func(tt *testing.T, data []byte) {
		snap, err := ParseSnapshot(data)
		if err != nil {
			return
		}
		st := &State{Content: Leases, Buckets: 2}
		pub, err := Marshal(Publish{ID: "p", Key: "a", Value: testValue})
		assert.NilError(tt, err)
		st.Advance(logsvc.Batch{Records: []logsvc.Record{{Offset: 0, Data: pub}}, Next: 1, End: 1})
		_, _ = st.Import(snap)
		en, _ := st.Entry("a")
		recovered := len(snap.Covered) == 2 && snap.Covered[st.bucket("a")] > 1
		assert.Assert(tt, en.Revision >= 1 || recovered)
		assert.Assert(tt, st.Next() >= 1)
	})
}

func ExampleState() {
	st := &State{Content: Leases}
	for offset, pub := range []Publish{
		{ID: "first", Key: "r", Value: json.RawMessage(`{"Holder":"a","Duration":"1s"}`)},
		{ID: "second", Key: "r", Base: 1, Value: json.RawMessage(`{"Holder":"b","Duration":"1s"}`)},
		{ID: "late", Key: "r", Base: 1, Value: json.RawMessage(`{"Holder":"c","Duration":"1s"}`)},
	} {
		data, _ := Marshal(pub)
		outs, _ := st.Advance(logsvc.Batch{
			Records: []logsvc.Record{{Offset: uint64(offset), Data: data}},
			Next:    uint64(offset) + 1, End: uint64(offset) + 1,
		})
		fmt.Printf("%s %s %d %q\n", outs[0].ID, outs[0].Ruling, outs[0].Current, outs[0].Reason)
	}
	// Output:
	// first Accepted 1 ""
	// second Accepted 2 ""
	// late Refused 2 "BaseMismatch"
}

// TestSnapshotBehindADecidedBucket imports an older snapshot after a Restate has decided one
// bucket and a publication has changed it. The snapshot decides only the other bucket.
func TestSnapshotBehindADecidedBucket(tt *testing.T) {
	const keys = "abcdefgh"
	st := &State{Content: Leases, Buckets: 2}
	st.init()
	feed := func(offset uint64, rec Record) {
		data, err := Marshal(rec)
		assert.NilError(tt, err)
		_, bad := st.Advance(logsvc.Batch{
			Records: []logsvc.Record{{Offset: offset, Data: data}}, First: 5, Next: offset + 1, End: offset + 1,
		})
		assert.Equal(tt, len(bad), 0)
	}
	bucket := st.bucket("a")
	feed(5, Restate{AsOf: 5, Bucket: bucket, Buckets: 2})
	feed(6, Publish{ID: "p", Key: "a", Value: testValue})
	other := strings.IndexFunc(keys, func(key rune) bool { return st.bucket(string(key)) != bucket })
	_, err := st.Import(Snapshot{
		Content: Leases, Buckets: 2, AsOf: 6, Covered: []uint64{0, 0},
		Entries: []Entry{{Key: keys[other : other+1], Revision: 3, ID: "q", Value: testValue}},
	})
	assert.NilError(tt, err)
	en, _ := st.Entry("a")
	assert.Equal(tt, en.Revision, uint64(7))
	assert.Assert(tt, st.Known())
	_, err = st.Import(Snapshot{Content: Leases, Buckets: 2, AsOf: 9, Covered: []uint64{0, 0}})
	var se *SnapshotError
	assert.Assert(tt, errors.As(err, &se), "a snapshot that reverts a register was imported")
}
