package register

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// formatVersion of records and snapshots.
const formatVersion = 1

type (
	// Record is what a stream holds: a Publish, a Restate, a RestateRequest
	// or a Recover.
	Record interface{ record() }

	// Publish changes one register, or withdraws it if Value is empty.
	Publish struct {
		ID    string // of the publication; a repeat carries the same
		Key   string
		Base  uint64          // revision that the operator has seen; 0 if none
		Value json.RawMessage `json:",omitempty"`
	}

	// Restate holds the whole content of one bucket after all records below
	// the offset AsOf.
	Restate struct {
		AsOf    uint64
		Bucket  int
		Buckets int
		Entries []Entry `json:",omitempty"` // sorted by key
	}

	// RestateRequest asks every VM that knows buckets to restate them now.
	RestateRequest struct {
		VM string // that asks; for people who read the log
		// KnownTo is the highest offset up to which the VM knew a bucket that
		// it misses now. VMs that knew more ask again with theirs, and the
		// one that knew most recovers first.
		KnownTo uint64
	}

	// Recover puts the last known content of a bucket in force anew, with a
	// new revision. It counts only if no VM has restated the bucket since the
	// newest request: the log dropped records that nobody has read, and
	// nobody knows better.
	Recover struct {
		Request uint64 // offset of the RestateRequest that stayed without answer
		AsOf    uint64 // up to which the content was known
		Bucket  int
		Buckets int
		Entries []Entry `json:",omitempty"` // sorted by key
	}

	// Entry is one register. A withdrawn one keeps its revision and has no
	// value.
	Entry struct {
		Key      string
		Revision uint64
		ID       string
		Value    json.RawMessage `json:",omitempty"`
		Earlier  []Earlier       `json:",omitempty"` // accepted before it, oldest first
	}

	// Earlier is a publication that was accepted and replaced.
	Earlier struct {
		ID       string
		Revision uint64
	}

	// RecordError tells why a record is passed over.
	RecordError struct {
		Offset uint64
		Detail string
		Err    error
	}

	envelope struct {
		Version int
		Publish *Publish        `json:",omitempty"`
		Restate *Restate        `json:",omitempty"`
		Request *RestateRequest `json:",omitempty"`
		Recover *Recover        `json:",omitempty"`
	}
)

func (Publish) record()        {}
func (Restate) record()        {}
func (RestateRequest) record() {}
func (Recover) record()        {}

// Error names the offset.
func (re *RecordError) Error() string {
	if re.Err != nil {
		return fmt.Sprintf("record at offset %d: %s: %v", re.Offset, re.Detail, re.Err)
	}
	return fmt.Sprintf("record at offset %d: %s", re.Offset, re.Detail)
}

// Unwrap returns the cause, which may be nil.
func (re *RecordError) Unwrap() error { return re.Err }

// Withdrawn tells whether the register was published and then withdrawn.
func (en Entry) Withdrawn() bool { return en.Revision > 0 && len(en.Value) == 0 }

// acceptedAs finds the revision that a publication was accepted with.
func (en Entry) acceptedAs(id string) (uint64, bool) {
	if en.Revision > 0 && en.ID == id {
		return en.Revision, true
	}
	for _, ea := range en.Earlier {
		if ea.ID == id {
			return ea.Revision, true
		}
	}
	return 0, false
}

// remembersSince tells whether every publication that was accepted with the given
// revision or a later one is still known to the register.
func (en Entry) remembersSince(revision uint64) bool {
	return len(en.Earlier) < maxEarlier || en.Earlier[0].Revision <= revision
}

func (en Entry) size() int {
	return len(en.Key) + len(en.Value) + (1+len(en.Earlier))*(MaxID+40)
}

// Marshal writes a record as the log keeps it.
func Marshal(rec Record) ([]byte, error) {
	env := envelope{Version: formatVersion}
	switch rec := rec.(type) {
	case Publish:
		env.Publish = &rec
	case Restate:
		env.Restate = &rec
	case RestateRequest:
		env.Request = &rec
	case Recover:
		env.Recover = &rec
	default:
		return nil, fmt.Errorf("marshal a record of type %T", rec)
	}
	data, err := json.Marshal(env)
	if err != nil {
		return nil, fmt.Errorf("marshal a record: %w", err)
	}
	return data, nil
}

// Parse reads a record. Its result depends on nothing but the data, so all
// VMs pass over the same records; the error is a *RecordError.
func Parse(offset uint64, data []byte) (Record, error) {
	var env envelope
	if err := json.Unmarshal(data, &env); err != nil {
		return nil, &RecordError{Offset: offset, Detail: "not JSON of a record", Err: err}
	}
	rec, err := env.record(offset)
	if err != nil {
		return nil, &RecordError{Offset: offset, Detail: "content", Err: err}
	}
	return rec, nil
}

// record returns the one record of the envelope, checked.
func (env envelope) record(offset uint64) (Record, error) {
	if env.Version != formatVersion {
		return nil, fmt.Errorf("version %d is not known", env.Version)
	}
	var found []Record
	var err error
	if env.Publish != nil {
		var pub Publish
		pub, err = env.Publish.checked()
		found = append(found, pub)
	}
	if env.Restate != nil {
		err = checkBucket(env.Restate.AsOf, offset, env.Restate.Bucket, env.Restate.Buckets, env.Restate.Entries)
		found = append(found, *env.Restate)
	}
	if env.Request != nil {
		found = append(found, *env.Request)
	}
	if env.Recover != nil {
		err = checkBucket(env.Recover.AsOf, offset, env.Recover.Bucket, env.Recover.Buckets, env.Recover.Entries)
		found = append(found, *env.Recover)
	}
	if len(found) != 1 {
		return nil, fmt.Errorf("%d records in one", len(found))
	}
	return found[0], err
}

func (pub Publish) checked() (Publish, error) {
	switch {
	case pub.ID == "" || len(pub.ID) > MaxID:
		return pub, fmt.Errorf("ID of %d bytes; write 1 to %d", len(pub.ID), MaxID)
	case pub.Key == "" || len(pub.Key) > MaxKey:
		return pub, fmt.Errorf("key of %d bytes; write 1 to %d", len(pub.Key), MaxKey)
	}
	value, err := canonical(pub.Value)
	if len(value) > MaxValue {
		return pub, fmt.Errorf("value of %d bytes; write up to %d", len(value), MaxValue)
	}
	pub.Value = value
	return pub, err
}

func checkBucket(asOf, offset uint64, bucket, buckets int, ens []Entry) error {
	if asOf > offset {
		return fmt.Errorf("as of %d, which lies after it", asOf)
	}
	if buckets < 1 || bucket < 0 || bucket >= buckets {
		return fmt.Errorf("bucket %d of %d", bucket, buckets)
	}
	return checkEntries(ens, asOf)
}

// checkEntries holds for restatements and snapshots: sorted, unique and no
// newer than they claim to be.
func checkEntries(ens []Entry, asOf uint64) error {
	for ix := range ens {
		en := &ens[ix]
		switch {
		case en.Key == "" || ix > 0 && en.Key <= ens[ix-1].Key:
			return fmt.Errorf("entry %d is out of order", ix)
		case en.Revision == 0 || en.Revision > asOf:
			return fmt.Errorf("entry %d has revision %d as of %d", ix, en.Revision, asOf)
		case len(en.Earlier) > maxEarlier:
			return fmt.Errorf("entry %d remembers %d publications", ix, len(en.Earlier))
		}
		value, err := canonical(en.Value)
		if err != nil {
			return fmt.Errorf("entry %d: %w", ix, err)
		}
		en.Value = value
	}
	return nil
}

// canonical makes equal values equal bytes, in the form that Marshal writes;
// null is no value.
func canonical(value json.RawMessage) (json.RawMessage, error) {
	if len(value) == 0 || bytes.Equal(value, []byte("null")) {
		return nil, nil
	}
	var short, safe bytes.Buffer
	if err := json.Compact(&short, value); err != nil {
		return nil, errors.New("value is not JSON")
	}
	json.HTMLEscape(&safe, short.Bytes())
	return safe.Bytes(), nil
}
