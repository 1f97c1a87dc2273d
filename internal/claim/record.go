package claim

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	// expiryBucket is the granularity at which records expire.
	expiryBucket = 4 * clock.Second
	// maxRecheckDelay bounds how long a record outlives an expiry that was moved to an
	// earlier time.
	maxRecheckDelay = clock.Minute
	// maxInterned bounds the table of interned strings.
	maxInterned = 8192
)

type (
	// name is a request key within its customer.
	name struct{ customer, key string }

	// record is one claim as stored by a seat.
	record struct {
		claim       uint64
		fingerprint uint64
		runner      board.VMRef
		decode      *resumableDecode // where the request may still run; nil if unknown
		superseded  *record          // the claim that this one replaced at this seat
		expires     clock.Millis
		keep        clock.Millis // how long the record is kept after the request has ended
		attempt     uint32
		state       State
		idempotent  bool
	}

	// resumableDecode is a decode that may still be running.
	resumableDecode struct {
		server      string
		incarnation uint64
		request     string
	}

	// decodeMessage is a message that names a decode.
	decodeMessage interface {
		GetDecodeServer() string
		GetDecodeIncarnation() uint64
		GetEngineRequest() string
	}

	// records is a store of records that expire.
	records struct {
		byName     map[name]*record
		buckets    map[clock.Millis][]name // names to check, by the number of their expiryBucket
		interned   map[string]string       // customer names and VM IDs, each stored once
		nextBucket clock.Millis            // earlier buckets are empty
	}
)

func (rs *records) find(nm name, now clock.Millis) *record {
	rc := rs.byName[nm]
	if rc == nil || rc.expires <= now {
		return nil
	}
	return rc
}

// put stores the record and schedules its expiry.
func (rs *records) put(now clock.Millis, nm name, rc *record) {
	if rs.byName == nil {
		rs.byName = map[name]*record{}
		rs.buckets = map[clock.Millis][]name{}
	}
	old := rs.byName[nm]
	nm.customer, rc.runner.ID = rs.intern(nm.customer), rs.intern(rc.runner.ID)
	rs.byName[nm] = rc
	if old == nil {
		rs.schedule(nm, min(rc.expires, now+maxRecheckDelay))
	}
}

// intern returns a shared copy of a string that many records hold. The table is reset
// when it exceeds what a fleet and its customers need.
func (rs *records) intern(word string) string {
	if one, ok := rs.interned[word]; ok {
		return one
	}
	if rs.interned == nil || len(rs.interned) >= maxInterned {
		rs.interned = map[string]string{}
	}
	rs.interned[word] = word
	return word
}

func (rs *records) schedule(nm name, at clock.Millis) {
	bucket := at/expiryBucket + 1
	rs.buckets[bucket] = append(rs.buckets[bucket], nm)
}

// sweep deletes expired records. Each record is in one bucket at a time and is checked
// about once a minute.
func (rs *records) sweep(now clock.Millis) {
	due := now / expiryBucket
	if rs.nextBucket == 0 {
		rs.nextBucket = due
	}
	if len(rs.buckets) == 0 {
		rs.nextBucket = due
		return
	}
	for ; rs.nextBucket <= due; rs.nextBucket++ {
		for _, nm := range rs.buckets[rs.nextBucket] {
			rc := rs.byName[nm]
			if rc.expires <= now {
				delete(rs.byName, nm)
				continue
			}
			rs.schedule(nm, min(rc.expires, now+maxRecheckDelay))
		}
		delete(rs.buckets, rs.nextBucket)
	}
}

func hashFingerprint(fingerprint []byte) uint64 { return xxhash.Sum64(fingerprint) }

// merge combines two records of one key. The result does not depend on their order.
func merge(ra, rb record) record {
	if ra.claim == rb.claim {
		return mergeSameClaim(ra, rb)
	}
	if outranksRecord(rb, ra) {
		ra, rb = rb, ra
	}
	doubt := !ra.state.dispatched() && !ra.state.freesKey() && !rb.state.freesKey() && !ra.idempotent
	if doubt {
		ra.state = Doubtful
	}
	ra.expires = max(ra.expires, rb.expires)
	return ra
}

func mergeSameClaim(ra, rb record) record {
	if ra.state.rank() < rb.state.rank() {
		ra, rb = rb, ra
	}
	if ra.decode == nil {
		ra.decode = rb.decode
	}
	ra.attempt = max(ra.attempt, rb.attempt)
	ra.expires = max(ra.expires, rb.expires)
	return ra
}

// outranksRecord orders the records of different claims: first those known to have had
// a majority, then those that may have had one, then those of later attempts.
func outranksRecord(ra, rb record) bool {
	weight := func(rc record) int {
		switch {
		case rc.state.dispatched():
			return 2
		case rc.state.freesKey():
			return 0
		default:
			return 1
		}
	}
	return cmp.Or(
		cmp.Compare(weight(ra), weight(rb)),
		cmp.Compare(ra.attempt, rb.attempt),
		cmp.Compare(ra.state.rank(), rb.state.rank()),
		cmp.Compare(ra.claim, rb.claim),
	) > 0
}

func (rc *record) toMessage(nm name, now clock.Millis) *peerpb.ClaimRecord {
	out := &peerpb.ClaimRecord{
		Key: nm.key, Customer: nm.customer, Fingerprint: rc.fingerprint,
		RunnerID: rc.runner.ID, RunnerIncarnation: rc.runner.Incarnation,
		Attempt: rc.attempt, State: string(rc.state), Idempotent: rc.idempotent,
		Left: int64(rc.expires - now), Claim: rc.claim, Keep: int64(rc.keep),
	}
	if rc.decode != nil {
		out.DecodeServer, out.DecodeIncarnation, out.EngineRequest = rc.decode.server, rc.decode.incarnation, rc.decode.request
	}
	return out
}

// recordFromMessage decodes a record and reports whether it is valid.
func recordFromMessage(cr *peerpb.ClaimRecord, now, life clock.Millis) (name, record, bool) {
	nm := name{cr.GetCustomer(), cr.GetKey()}
	rc := record{
		claim: cr.GetClaim(), fingerprint: cr.GetFingerprint(),
		runner:  board.VMRef{ID: cr.GetRunnerID(), Incarnation: cr.GetRunnerIncarnation()},
		keep:    min(max(clock.Millis(cr.GetKeep()), 0), life),
		attempt: cr.GetAttempt(), state: State(cr.GetState()), idempotent: cr.GetIdempotent(),
		expires: now + min(max(clock.Millis(cr.GetLeft()), 0), 2*life),
	}
	rc.decode = resumableDecodeOf(cr)
	ok := validNames(nm, rc.runner.ID) && rc.claim != 0 && rc.state.rank() > 0 &&
		len(cr.GetDecodeServer()) <= maxNameBytes && len(cr.GetEngineRequest()) <= maxNameBytes
	return nm, rc, ok
}

func resumableDecodeOf(msg decodeMessage) *resumableDecode {
	if msg.GetDecodeServer() == "" || msg.GetEngineRequest() == "" {
		return nil
	}
	return &resumableDecode{msg.GetDecodeServer(), msg.GetDecodeIncarnation(), msg.GetEngineRequest()}
}

func validNames(nm name, runner string) bool {
	return nm.key != "" && len(nm.key) <= maxKeyBytes && len(nm.customer) <= maxNameBytes &&
		runner != "" && len(runner) <= maxNameBytes
}
