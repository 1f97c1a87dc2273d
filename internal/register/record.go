package register

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// formatVersion is the version of the format of records and snapshots.
const formatVersion = 1

type (
	// Record is a record of a stream: a Publish, a Restate, a RestateRequest
	// or a Recover.
	Record interface{ record() }

	// Publish changes one register, or withdraws it if Value is empty.
	Publish struct {
		ID    string // of the publication; a repeat has the same ID
		Key   string
		Base  uint64          // revision that the change is based on; 0 if none
		Value json.RawMessage `json:",omitempty"`
	}

	// Restate holds the complete content of one bucket after all records below
	// the offset AsOf.
	Restate struct {
		AsOf    uint64
		Bucket  int
		Buckets int
		Entries []Entry `json:",omitempty"` // sorted by key
	}

	// RestateRequest asks every VM that has complete buckets to restate them.
	RestateRequest struct {
		VM string // the requesting VM; for humans who read the log
		// KnownTo is the highest offset up to which the VM knew a bucket that
		// is now incomplete. VMs with a higher offset repeat the request with
		// theirs, and the VM with the highest recovers first.
		KnownTo uint64
	}

	// Recover makes the last known content of a bucket current again, with a
	// new revision. It counts only if no VM has restated the bucket since the
	// newest request. Then the log dropped records that no VM has read, and
	// no VM has newer content.
	Recover struct {
		Request uint64 // offset of the unanswered RestateRequest
		AsOf    uint64 // offset up to which the content is known
		Bucket  int
		Buckets int
		Entries []Entry `json:",omitempty"` // sorted by key
	}

	// Entry is one register. A withdrawn register keeps its revision and has
	// no value.
	Entry struct {
		Key      string
		Revision uint64
		ID       string
		Value    json.RawMessage `json:",omitempty"`
		Earlier  []Earlier       `json:",omitempty"` // publications accepted before it, oldest first
	}

	// Earlier is an accepted publication that was replaced since.
	Earlier struct {
		ID       string
		Revision uint64
	}

	// RecordError reports why a record is skipped.
	RecordError struct {
		Offset uint64
		Detail string
		Err    error
	}

	// envelope is the encoded form of a record. Exactly one field besides
	// Version is set.
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

// Error returns a message with the offset, the detail and the cause.
func (re *RecordError) Error() string {
	if re.Err != nil {
		return fmt.Sprintf("record at offset %d: %s: %v", re.Offset, re.Detail, re.Err)
	}
	return fmt.Sprintf("record at offset %d: %s", re.Offset, re.Detail)
}

// Unwrap returns the cause, which may be nil.
func (re *RecordError) Unwrap() error { return re.Err }

// Withdrawn reports whether the register was published and then withdrawn.
func (en Entry) Withdrawn() bool { return en.Revision > 0 && len(en.Value) == 0 }

// acceptedAs returns the revision with which a publication was accepted.
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

// remembersSince reports whether the register still remembers every publication that was
// accepted with the given revision or a later one.
func (en Entry) remembersSince(revision uint64) bool {
	return len(en.Earlier) < maxEarlier || en.Earlier[0].Revision <= revision
}

// size returns the bytes that the register counts towards MaxBucket. Each publication that
// it remembers counts with the longest ID and 40 bytes for its revision and the JSON.
func (en Entry) size() int {
	return len(en.Key) + len(en.Value) + (1+len(en.Earlier))*(MaxID+40)
}

// Marshal encodes a record for the log.
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
		return nil, fmt.Errorf("marshal a record: unknown type %T", rec)
	}
	data, err := json.Marshal(env)
	if err != nil {
		return nil, fmt.Errorf("marshal a record: %w", err)
	}
	return data, nil
}

// Parse decodes and checks a record. The result depends on nothing but the
// arguments, so all VMs skip the same records; the error is a *RecordError.
func Parse(offset uint64, data []byte) (Record, error) {
	var env envelope
	if err := json.Unmarshal(data, &env); err != nil {
		return nil, &RecordError{Offset: offset, Detail: "invalid JSON", Err: err}
	}
	rec, err := env.record(offset)
	if err != nil {
		return nil, &RecordError{Offset: offset, Detail: "content", Err: err}
	}
	return rec, nil
}

// record returns the checked record of the envelope, which must hold exactly one.
func (env envelope) record(offset uint64) (Record, error) {
	if env.Version != formatVersion {
		return nil, fmt.Errorf("unsupported version %d", env.Version)
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
		return nil, fmt.Errorf("envelope holds %d records, must hold one", len(found))
	}
	return found[0], err
}

// checked returns the publication with its value in canonical form, and an error if it is
// invalid or exceeds a limit.
func (pub Publish) checked() (Publish, error) {
	switch {
	case pub.ID == "" || len(pub.ID) > MaxID:
		return pub, fmt.Errorf("ID has %d bytes, must have 1 to %d", len(pub.ID), MaxID)
	case pub.Key == "" || len(pub.Key) > MaxKey:
		return pub, fmt.Errorf("key has %d bytes, must have 1 to %d", len(pub.Key), MaxKey)
	}
	value, err := canonical(pub.Value)
	if len(value) > MaxValue {
		return pub, fmt.Errorf("value has %d bytes, must have at most %d", len(value), MaxValue)
	}
	pub.Value = value
	return pub, err
}

// checkBucket checks the content of a Restate or Recover that was read at an offset.
func checkBucket(asOf, offset uint64, bucket, buckets int, ens []Entry) error {
	if asOf > offset {
		return fmt.Errorf("content as of offset %d, after its own record", asOf)
	}
	if buckets < 1 || bucket < 0 || bucket >= buckets {
		return fmt.Errorf("bucket %d of %d does not exist", bucket, buckets)
	}
	return checkEntries(ens, asOf)
}

// checkEntries checks the entries of a restatement or snapshot: they must be sorted by
// key, unique, and no newer than asOf.
func checkEntries(ens []Entry, asOf uint64) error {
	for ix := range ens {
		en := &ens[ix]
		switch {
		case en.Key == "" || ix > 0 && en.Key <= ens[ix-1].Key:
			return fmt.Errorf("entry %d is out of order", ix)
		case en.Revision == 0 || en.Revision > asOf:
			return fmt.Errorf("entry %d has revision %d, must have 1 to %d", ix, en.Revision, asOf)
		case len(en.Earlier) > maxEarlier:
			return fmt.Errorf("entry %d has too many earlier publications: %d", ix, len(en.Earlier))
		}
		value, err := canonical(en.Value)
		if err != nil {
			return fmt.Errorf("entry %d: %w", ix, err)
		}
		en.Value = value
	}
	return nil
}

// canonical returns equal bytes for equal values, in the form that Marshal writes.
// A null counts as no value.
func canonical(value json.RawMessage) (json.RawMessage, error) {
	if len(value) == 0 || bytes.Equal(value, []byte("null")) {
		return nil, nil
	}
	var short, safe bytes.Buffer
	if err := json.Compact(&short, value); err != nil {
		return nil, errors.New("value is not valid JSON")
	}
	json.HTMLEscape(&safe, short.Bytes())
	return safe.Bytes(), nil
}
