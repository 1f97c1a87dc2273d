package fleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/membership"
	"alderdyke/internal/quota"
	"alderdyke/internal/suspect"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// Keys of the fleet's topic.
const (
	// LeaseKey is the key of the lease on orders to engines.
	LeaseKey = "lease/roles"

	keySecret = "secret" // that the VMs prove themselves to each other with
	prefixVM  = "vm/"
)

const (
	// secretBytes is the length of the secret.
	secretBytes = 32
	// ownWait is how long a read of the fleet's topic waits for a
	// change: it changes when VMs start and leases are taken.
	ownWait = 8 * clock.Second
	// ownPause lets the VMs that start together be read at once.
	ownPause = clock.Second
	// ownStandby is longer than a read and its pause, and ownPatience than
	// that and the read of who is second in line.
	ownStandby  = 10 * clock.Second
	ownPatience = 12 * clock.Second
	// proposeWithin is the span over which VMs that start together spread
	// their proposals of a secret. The first is known to all after one write
	// and one read, 10 ms: of 300 VMs eight write, in place of all.
	proposeWithin = 400 * clock.Millis(1)
	// joinRetry is the pause before a write is tried again.
	joinRetry = 500 * clock.Millis(1)
)

type (
	// Store is the platform's store.
	Store interface {
		topic.Source
		// Append adds a record to a keyed topic; with at, only if the topic
		// ends there. It returns the record's offset. An error unwraps to a
		// *logsvc.AppendError.
		Append(ctx context.Context, name, key string, value []byte, at *uint64) (uint64, error)
	}

	// Neighbours joins this VM to the others: a topic of the store tells who
	// there is, and membership who lives. Set the exported fields before
	// Prepare.
	Neighbours struct {
		Self  board.VM // without its incarnation
		Name  string   // of the topic
		Store Store
		Log   event.Logger
		Clock clock.Source
		Lease clock.Millis // that the lease on orders lasts

		Ready func() bool // tells whether this VM takes requests
		Usage func(vm string, rp usage.Report)
		Place func(vm string, ask usage.PlacementRequest) usage.PlacementReply // chooses engines for a request of another VM
		Quota func(vm string, life uint64, ask quota.Request) quota.Response   // answers as the keeper of the customers' quotas
		End   func(en suspect.Crash)                                           // hears at which server's end a request was there
		Moved func()                                                           // hears that other VMs are the schedulers now
		News  func(nw topic.Update)                                            // hears what others read of any topic
		Size  func(vms int)                                                    // hears how many VMs there are
		Again func(kind string)                                                // hears what this VM wrote again: Secret or Entry; may be nil

		// Topic follows the topic; it is there from Prepare on.
		Topic *topic.Follower

		mu         sync.Mutex
		fleet      *Fleet // nil until the secret is known
		quit       func() // ends the fleet
		joinedIn   uint64 // era of the store in which the fleet was joined
		secret     []byte // in the topic
		listed     map[string]vmEntry
		dropped    bool                    // this VM's entry was removed
		gone       map[string]clock.Millis // VMs with an entry, to since when they are dead or away
		lease      leaseView               // on orders to engines
		read       chan struct{}
		ranked     *board.Fleet // the view that rank was worked out for
		rank       int
		sized      *board.Fleet // the view that size was worked out for
		size       int
		schedulers string // names of the VMs that are
	}

	// vmEntry is a VM's entry in the topic.
	vmEntry struct {
		Incarnation   uint64
		FailureDomain string
		Region        string
		Callers       string
		Peers         string
	}
)

// Prepare makes the topic's follower.
func (ne *Neighbours) Prepare() {
	ne.lease.lasts = ne.Lease
	ne.listed, ne.read = make(map[string]vmEntry), make(chan struct{}, 1)
	ne.Topic = &topic.Follower{Source: ne.Store, Name: ne.Name, Wait: ownWait, Pause: ownPause, SkipPause: ne.lacksSecret, Log: ne.Log,
		StandbyAfter: ownStandby, SelfReadAfter: ownPatience, Rank: ne.rankHere, Broadcast: ne.TellNews,
		OnSnapshot: ne.takeWhole, OnChange: ne.take, OnCaughtUp: ne.noteRead, OnStoreRestored: ne.returned}
}

// lacksSecret tells that this VM can't join the others yet.
func (ne *Neighbours) lacksSecret() bool {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return len(ne.secret) == 0
}

func (ne *Neighbours) take(rec topic.Record) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	var err error
	if ne.lease, err = ne.lease.WithRecord(rec); err != nil {
		ne.noteUnreadable(rec.Key, err)
	}
	ne.takeOne(rec)
}

func (ne *Neighbours) noteUnreadable(key string, err error) {
	ne.Log.Log(event.EntryUnreadable, event.F("Key", key), event.F("Error", err.Error()))
}

// takeOne takes one record that does not speak of the lease. The lock is held.
func (ne *Neighbours) takeOne(rec topic.Record) {
	switch name, isVM := strings.CutPrefix(rec.Key, prefixVM); {
	case rec.Key == keySecret:
		ne.secret = rec.Value
	case isVM && len(rec.Value) == 0:
		delete(ne.listed, name)
		ne.sized = nil
		ne.dropped = ne.dropped || name == ne.Self.ID
	case isVM:
		var en vmEntry
		if err := json.Unmarshal(rec.Value, &en); err != nil {
			ne.noteUnreadable(rec.Key, fmt.Errorf("read the entry at %d: %w", rec.Offset, err))
			return
		}
		ne.listed[name] = en
		ne.sized = nil
	}
}

// noteRead tells the fleet who is listed now.
func (ne *Neighbours) noteRead() {
	select {
	case ne.read <- struct{}{}:
	default:
	}
}

// Run joins the fleet and stays in it until the context ends.
func (ne *Neighbours) Run(ctx context.Context) {
	go ne.Topic.Run(ctx)
	go ne.sweep(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ne.read:
		}
		if fl := ne.join(ctx); fl != nil {
			fl.List(ctx, ne.vms())
		}
	}
}

// joining is the fleet, or the secret that it is to be joined with.
func (ne *Neighbours) joining() (*Fleet, []byte) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.fleet, ne.secret
}

// join starts membership once the secret is known, and proposes a secret if
// there is none.
func (ne *Neighbours) join(ctx context.Context) *Fleet {
	fl, secret := ne.joining()
	switch {
	case fl == nil && len(secret) == 0:
		ne.propose(ctx, newSecret())
		return nil
	case fl == nil:
	case bytes.Equal(fl.Secret, secret):
		return fl
	case len(secret) == 0 || ne.insists():
		ne.propose(ctx, fl.Secret)
		return fl
	default:
		ne.leave(fl) // another fleet was there before
	}
	fl = &Fleet{Self: ne.self(), Secret: secret, Log: ne.Log, Usage: ne.Usage, Place: ne.Place, News: ne.News, End: ne.End, Quota: ne.Quota, Changed: ne.changed,
		Settings: membership.Settings{ProbeInterval: probeVMs, ProbeTimeout: probeVMs, ProbeDeadline: probeDeadline},
		Rand:     mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))}
	fl.Prepare()
	within, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	ne.mu.Lock()
	ne.fleet, ne.joinedIn = fl, topic.EraOf(ne.lease.end)
	ne.quit = func() {
		stop()
		<-ended // its address is free then
	}
	ne.mu.Unlock()
	go func() {
		defer close(ended)
		if err := fl.Run(within); err != nil {
			ne.Log.Log(event.FleetLost, event.F("Error", err.Error()))
		}
	}()
	go ne.enlist(within, fl.Self)
	return fl
}

const (
	// probeVMs is how often one VM is probed: of six, each is probed about
	// every 300 ms by some other.
	probeVMs = 300 * clock.Millis(1)
	// probeDeadline without an acknowledgement makes a VM suspect, and takes
	// it out of the addresses for callers.
	probeDeadline = 700 * clock.Millis(1)
)

func newSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, as its documentation says
	return secret
}

// propose writes a secret, a new one or that of this VM's fleet, if the topic still ends
// where it was read. The VM whose write comes first wins, and each waits for a span of
// chance in which the topic may bring another's. A write that fails is tried again at the
// next reading; that the store is away is told by the topic's follower.
func (ne *Neighbours) propose(ctx context.Context, secret []byte) {
	wait := clock.Millis(mathrand.Int64N(int64(proposeWithin)))
	if !clock.Sleep(ctx, wait) || !ne.wants(secret) {
		return
	}
	at := ne.Topic.Next()
	_, err := ne.Store.Append(ctx, ne.Name, keySecret, secret, &at)
	switch {
	case err != nil && ctx.Err() == nil:
		time.AfterFunc(joinRetry.Std(), ne.noteRead)
	case err == nil && ne.joined() != nil:
		ne.noteAgain("Secret")
	}
}

// self is this VM, with an incarnation above any earlier one.
func (ne *Neighbours) self() board.VM {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	// The time of day may jump back between two starts.
	vm := ne.Self
	vm.Incarnation = max(uint64(time.Now().UnixMilli()), ne.listed[vm.ID].Incarnation+1)
	return vm
}

// vms are the listed VMs.
func (ne *Neighbours) vms() []board.VM {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	var out []board.VM
	for name, en := range ne.listed {
		out = append(out, board.VM{VMRef: board.VMRef{ID: name, Incarnation: en.Incarnation}, FailureDomain: en.FailureDomain,
			Region: en.Region, Caller: en.Callers, Peer: en.Peers, Listed: true})
	}
	return out
}

// View is the fleet as this VM sees it; without a fleet, itself alone.
func (ne *Neighbours) View() *board.Fleet {
	if fl := ne.joined(); fl != nil {
		return fl.View()
	}
	return &board.Fleet{}
}

// joined is the fleet; nil before the secret is known.
func (ne *Neighbours) joined() *Fleet {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.fleet
}

// Leave announces a planned stop to the others.
func (ne *Neighbours) Leave(ctx context.Context) {
	if fl := ne.joined(); fl != nil {
		fl.Leave(ctx)
	}
}

// TellNews passes on to the others what was read of a topic.
func (ne *Neighbours) TellNews(nw topic.Update) {
	if fl := ne.joined(); fl != nil {
		fl.TellNews(nw)
	}
}

// TellEnd tells the others at which server's end a request was there.
func (ne *Neighbours) TellEnd(en suspect.Crash) {
	if fl := ne.joined(); fl != nil {
		fl.TellEnd(en)
	}
}

// Secret is what the VMs of the fleet share; empty before it is known.
func (ne *Neighbours) Secret() []byte {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.fleet != nil {
		return ne.fleet.Secret
	}
	return ne.secret
}

// TellUsage tells the others what this VM has at the engines.
func (ne *Neighbours) TellUsage(rp usage.Report) {
	if fl := ne.joined(); fl != nil {
		fl.TellUsage(rp)
	}
}

// changed takes a new view of the fleet. VMs that become schedulers are told at
// once what this one has at the engines.
func (ne *Neighbours) changed(view *board.Fleet) {
	ne.Size(len(view.Serving()))
	key := ""
	if fl := ne.joined(); fl != nil {
		key = fl.schedulersKey()
	}
	ne.mu.Lock()
	moved := key != ne.schedulers
	ne.schedulers = key
	ne.mu.Unlock()
	if moved {
		ne.Log.Log(event.SchedulersChanged, event.F("VMs", key))
		ne.Moved()
	}
}

// Others are the VMs that live besides this one, as it sees them. Whole is
// false while it sees less than half of the fleet live: then those that it
// takes for dead may be, and it may be the one that is cut off.
func (ne *Neighbours) Others() (ids []string, whole bool) {
	view := ne.View()
	if len(view.VMs) == 0 {
		return nil, false // it has not joined them yet
	}
	all := 0
	for _, vm := range view.VMs {
		if vm.ID == ne.Self.ID || vm.Incarnation == 0 || vm.Health == board.Left {
			continue
		}
		all++
		if vm.Health == board.Alive {
			ids = append(ids, vm.ID)
		}
	}
	return ids, 2*(len(ids)+1) >= all
}
