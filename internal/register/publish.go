package register

import (
	"encoding/json"
	"strings"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// pending is a publish request that awaits its verdict.
type pending struct {
	key           string
	base          uint64
	data          []byte
	until         clock.Millis // when the operator gets a verdict at the latest
	open          bool         // an append is in progress
	mayBeAppended bool         // the log may have accepted it, from this VM or another
	retryAt       clock.Millis // earliest time of the next append
	tries         int
}

// handlePublish handles an operator's request. A verdict that is already certain is returned at once.
func (fo *Follower) handlePublish(now clock.Millis, ev PublishRequest) {
	if pe := fo.pending[ev.ID]; pe != nil {
		pe.until = now + fo.Settings.PublishWithin
		pe.mayBeAppended = pe.mayBeAppended || ev.Repeated
		return
	}
	rec, ok := newPublish(ev)
	var data []byte
	if ok {
		var err error
		data, err = Marshal(rec)
		ok = err == nil
	}
	if !ok {
		fo.emit(Verdict{ID: ev.ID, Result: unappendedResult(ev.Repeated), Reason: BadRecord})
		return
	}
	if fo.resolveWithoutAppend(rec) {
		return
	}
	if reason := fo.rejectReason(ev); reason != "" {
		cur, _ := fo.state.Entry(ev.Customer)
		fo.emit(Verdict{ID: ev.ID, Result: unappendedResult(ev.Repeated), Current: cur.Revision, Reason: reason})
		return
	}
	fo.pending[ev.ID] = &pending{
		key: rec.Key, base: rec.Base, data: data, until: now + fo.Settings.PublishWithin, retryAt: now,
		mayBeAppended: ev.Repeated,
	}
}

// unappendedResult returns the result of a request for which this VM appended nothing; doubt
// says that an earlier append is possible.
func unappendedResult(doubt bool) Result {
	if doubt {
		return Unknown
	}
	return NotPublished
}

// newPublish returns the publication for a request; false if it is invalid or exceeds a limit.
func newPublish(ev PublishRequest) (Publish, bool) {
	pub := Publish{ID: ev.ID, Key: ev.Customer, Base: ev.Base}
	if ev.Template != nil {
		value, err := json.Marshal(ev.Template)
		if err != nil {
			return pub, false
		}
		pub.Value = value
	}
	pub, err := pub.checked()
	if strings.HasPrefix(pub.ID, restatePrefix) {
		return pub, false // reserved for the IDs of this VM's own appends
	}
	if err == nil && pub.Value != nil {
		err = Templates.check(pub.Key, pub.Value)
	}
	return pub, err == nil
}

// resolveWithoutAppend emits the verdict on a publication that needs no append, because it
// was already accepted or a newer revision than its base is current. It reports whether it did.
func (fo *Follower) resolveWithoutAppend(pub Publish) bool {
	cur, _ := fo.state.Entry(pub.Key)
	if rev, ok := cur.acceptedAs(pub.ID); ok {
		fo.emit(Verdict{ID: pub.ID, Result: Published, Revision: rev, Current: cur.Revision})
		return true
	}
	if pub.Base >= cur.Revision {
		return false
	}
	// It can no longer be accepted. Whether it was accepted earlier is known only
	// if the register remembers every publication since its base.
	result, reason := Conflict, BaseMismatch
	if !cur.remembersSince(pub.Base + 1) {
		result, reason = Unknown, InDoubt
	}
	fo.emit(Verdict{ID: pub.ID, Result: result, Current: cur.Revision, Reason: reason})
	return true
}

// rejectReason returns why a publication is not appended; empty if it may be.
func (fo *Follower) rejectReason(ev PublishRequest) Reason {
	switch {
	case !fo.Ready():
		return NotReady
	case len(fo.pending) >= fo.Settings.MaxPending:
		return TooMany
	case ev.Template != nil && fo.keyHashTaken(*ev.Template):
		return KeyHashTaken
	}
	return ""
}

// keyHashTaken reports whether an API key of the template belongs to another customer.
func (fo *Follower) keyHashTaken(tpl template.Template) bool {
	for _, hash := range tpl.KeyHashes {
		if owner, ok := fo.activeTemplates.ByKeyHash[hash]; ok && owner != tpl.Customer {
			return true
		}
	}
	return false
}

// planPending appends and retries publications, and ends those that timed out.
func (fo *Follower) planPending(now clock.Millis) clock.Millis {
	next := never
	for _, id := range sortedKeys(fo.pending) {
		pe := fo.pending[id]
		if now >= pe.until {
			fo.expirePending(id, pe)
			continue
		}
		next = min(next, pe.until)
		if pe.open {
			continue
		}
		if now < pe.retryAt {
			next = min(next, pe.retryAt)
			continue
		}
		pe.open = true
		pe.tries++
		fo.emit(Append{ID: id, Data: pe.data})
	}
	return next
}

func (fo *Follower) expirePending(id string, pe *pending) {
	cur, _ := fo.state.Entry(pe.key)
	ve := Verdict{ID: id, Result: unappendedResult(pe.open || pe.mayBeAppended), Current: cur.Revision, Reason: LogUnreachable}
	if ve.Result == Unknown {
		ve.Reason = InDoubt
	}
	delete(fo.pending, id)
	fo.emit(ve)
}

func (fo *Follower) handleAppended(now clock.Millis, ev Appended) {
	if fo.restating.handleAppended(now, fo, ev) {
		return
	}
	pe := fo.pending[ev.ID]
	if pe == nil {
		return
	}
	pe.open = false
	// Unless the log refused it, the record may have been appended; only reading the
	// log shows whether it was. A second record with the same ID has no effect.
	pe.retryAt = now + fo.backoff(pe.tries)
	switch {
	case ev.Err == nil:
		pe.mayBeAppended, pe.retryAt = true, pe.until
	case effectOf(ev.Err) != logsvc.NotAppended:
		pe.mayBeAppended = true
		pe.retryAt += fo.Settings.ReadWait
	}
}

// resolvePending reports the ruling on a pending publication to its operator.
func (fo *Follower) resolvePending(out Outcome) {
	if fo.pending[out.ID] == nil || fo.pending[out.ID].key != out.Key {
		return
	}
	ve := Verdict{ID: out.ID, Revision: out.Revision, Current: out.Current, Reason: out.Reason}
	switch out.Ruling {
	case Accepted, AlreadyAccepted:
		ve.Result = Published
	case Refused:
		ve.Result = Conflict
	case Undetermined:
		ve.Result, ve.Reason = Unknown, InDoubt
	}
	delete(fo.pending, out.ID)
	fo.emit(ve)
}

// resolvePendingFromState resolves publications that were decided in records which this VM
// skipped because of a snapshot.
func (fo *Follower) resolvePendingFromState() {
	for _, id := range sortedKeys(fo.pending) {
		pe := fo.pending[id]
		if fo.resolveWithoutAppend(Publish{ID: id, Key: pe.key, Base: pe.base}) {
			delete(fo.pending, id)
		}
	}
}

// buildTemplates builds the active templates. An API key that two customers list
// authenticates neither.
func (fo *Follower) buildTemplates(ready bool) *board.Templates {
	tp := &board.Templates{
		ByCustomer: map[string]board.ActiveTemplate{},
		ByKeyHash:  map[string]string{},
		Ready:      ready,
		Applied:    fo.state.next,
	}
	shared := map[string]bool{}
	for _, en := range fo.state.Entries() {
		if en.Withdrawn() {
			continue
		}
		inf := fo.activeTemplates.ByCustomer[en.Key]
		if inf.Revision != en.Revision {
			inf = board.ActiveTemplate{Revision: en.Revision}
			if json.Unmarshal(en.Value, &inf.Template) != nil {
				continue // not reached: the register accepts no value that does not decode
			}
		}
		tp.ByCustomer[en.Key] = inf
		for _, hash := range inf.Template.KeyHashes {
			if owner, ok := tp.ByKeyHash[hash]; ok && owner != en.Key {
				shared[hash] = true
			}
			tp.ByKeyHash[hash] = en.Key
		}
	}
	for hash := range shared {
		delete(tp.ByKeyHash, hash)
	}
	if len(shared) > 0 {
		fo.logEvent(event.KeyHashShared, event.F("Keys", len(shared)))
	}
	return tp
}
