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

// pending is a publication whose operator waits for a verdict.
type pending struct {
	key           string
	base          uint64
	data          []byte
	until         clock.Millis // when the operator is told, whatever is known
	open          bool         // an append is under way
	mayBeAppended bool         // the log may have taken it, from here or from elsewhere
	retryAt       clock.Millis // of the next append
	tries         int
}

// handlePublish takes an operator's wish. What is certain is told at once.
func (fo *Follower) handlePublish(now clock.Millis, ev PublishRequest) {
	if pe := fo.pending[ev.ID]; pe != nil {
		pe.until = now + fo.Settings.PublishTimeout
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
		key: rec.Key, base: rec.Base, data: data, until: now + fo.Settings.PublishTimeout, retryAt: now,
		mayBeAppended: ev.Repeated,
	}
}

// unappendedResult is the result of a publication that this VM appended nothing
// for.
func unappendedResult(doubt bool) Result {
	if doubt {
		return Unknown
	}
	return NotPublished
}

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
		return pub, false // the names of this VM's own appends
	}
	if err == nil && pub.Value != nil {
		err = Templates.check(pub.Key, pub.Value)
	}
	return pub, err == nil
}

// resolveWithoutAppend gives the verdict on a publication that needs no append: it was
// accepted before, or a newer revision than its base is in force.
func (fo *Follower) resolveWithoutAppend(pub Publish) bool {
	cur, _ := fo.state.Entry(pub.Key)
	if rev, ok := cur.acceptedAs(pub.ID); ok {
		fo.emit(Verdict{ID: pub.ID, Result: Published, Revision: rev, Current: cur.Revision})
		return true
	}
	if pub.Base >= cur.Revision {
		return false
	}
	// It can't be accepted any more. Whether it was once is known if the
	// register still remembers back to its base.
	result, reason := Conflict, BaseMismatch
	if !cur.remembersSince(pub.Base + 1) {
		result, reason = Unknown, InDoubt
	}
	fo.emit(Verdict{ID: pub.ID, Result: result, Current: cur.Revision, Reason: reason})
	return true
}

// rejectReason tells why a publication is not even appended.
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

func (fo *Follower) keyHashTaken(tpl template.Template) bool {
	for _, hash := range tpl.KeyHashes {
		if owner, ok := fo.activeTemplates.ByKeyHash[hash]; ok && owner != tpl.Customer {
			return true
		}
	}
	return false
}

// planPending appends, appends again and tells operators whose time is up.
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
	// Unless the log refused it, the record is there or may come: reading
	// tells. A second one with the same ID does no harm.
	pe.retryAt = now + fo.backoff(pe.tries)
	switch {
	case ev.Err == nil:
		pe.mayBeAppended, pe.retryAt = true, pe.until
	case effectOf(ev.Err) != logsvc.NotAppended:
		pe.mayBeAppended = true
		pe.retryAt += fo.Settings.ReadWait
	}
}

// resolvePending tells the operator what the fold decided.
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

// resolvePendingFromState finds publications that were decided in records which a
// snapshot took this VM past.
func (fo *Follower) resolvePendingFromState() {
	for _, id := range sortedKeys(fo.pending) {
		pe := fo.pending[id]
		if fo.resolveWithoutAppend(Publish{ID: id, Key: pe.key, Base: pe.base}) {
			delete(fo.pending, id)
		}
	}
}

// buildTemplates builds what is in force. An API key that two customers name
// speaks for neither.
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
				continue // the fold accepts no value that can't be read
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
