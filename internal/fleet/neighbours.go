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

	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/explain"
	"alderdyke/internal/limit"
	"alderdyke/internal/membership"
	"alderdyke/internal/origin"
	"alderdyke/internal/quota"
	"alderdyke/internal/registry"
	"alderdyke/internal/suspect"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// Keys of the fleet's topic.
const (
	// LeaseKey is the key of the lease on orders to engines.
	LeaseKey = "lease/roles"

	secretKey   = "secret" // key of the secret by which the VMs authenticate each other
	vmKeyPrefix = "vm/"    // followed by the ID of the VM that has the entry
)

const (
	// secretBytes is the length of the secret.
	secretBytes = 32
	// topicReadWait is how long a read of the fleet's topic waits for a change: the
	// topic changes only when VMs start and leases are taken.
	topicReadWait = 8 * clock.Second
	// topicReadPause is the pause between two reads, so that one read returns the
	// entries of all VMs that start together.
	topicReadPause = clock.Second
	// topicStandbyAfter is how long the second reader waits for an update before it
	// reads the topic too; it is longer than a read and its pause. VMs that are not
	// readers wait for topicSelfReadAfter, which is longer than that and the second
	// reader's read.
	topicStandbyAfter  = 10 * clock.Second
	topicSelfReadAfter = 12 * clock.Second
	// maxProposalDelay is the time over which VMs that start together spread their
	// proposals of a secret. The first proposal reaches all VMs after one write and
	// one read, about 10 ms, so 8 of 300 VMs write instead of all.
	maxProposalDelay = 400 * clock.Millis(1)
	// writeRetryPause is the pause before a failed write is tried again.
	writeRetryPause = 500 * clock.Millis(1)
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

	// Member makes this VM a member of the fleet: a topic of the store lists the VMs,
	// and membership detects which of them are alive. Set the exported fields before
	// Prepare.
	Member struct {
		Self          board.VM // without its incarnation
		TopicName     string   // the fleet's own topic
		Store         Store
		Log           event.Logger
		Clock         clock.Source
		LeaseDuration clock.Millis // of the lease on orders

		Ready                  func() bool // reports whether this VM accepts requests
		OnUsage                func(vm string, rp usage.Report)
		OnPlacementRequest     func(vm string, ask usage.PlacementRequest) usage.PlacementReply      // chooses engines for a request of another VM
		OnLatePlacementRequest func()                                                                // counts a placement request that was dropped; may be nil
		OnQuotaRequest         func(vm string, incarnation uint64, ask quota.Request) quota.Response // answers as a keeper of the customers' quotas
		OnOriginRequest        func(rq origin.Request) origin.Reply                                  // answers at which software version a stream began
		OnServerRequest        func(ask balance.Ask) (balance.Allocation, bool)                      // chooses a plain server for a request of another VM
		OnServerReport         func(rp balance.Report)                                               // receives the ends of other VMs' requests at plain servers
		OnMoveRequest          func(ask usage.MoveRequest)                                           // receives other VMs' requests to move a run of this VM
		OnLimit                func(vm string, nt limit.Notice)                                      // receives other VMs' notices of servers' limits
		Limits                 func() []limit.Notice                                                 // returns the limits of servers in force, for VMs that start
		OnLimitsKnown          func()                                                                // is called when another VM has sent them, or there is none; may be called again
		Removals               func() []registry.Removal                                             // returns the removals of servers' entries that this VM remembers, for VMs that start
		OnRemovals             func(list []registry.Removal)                                         // receives those that another VM remembers
		OnReport               func(re suspect.Report)                                               // receives what other VMs report about requests that crash servers
		OnSchedulersChange     func()                                                                // is called when other VMs have become the schedulers
		OnTopicUpdate          func(nw topic.Update)                                                 // receives what other VMs read of any topic
		OnWhereRequest         func(rq explain.Request) explain.Explanation                          // explains where a request would go
		OnFleetSize            func(vms int)                                                         // receives the number of serving VMs
		OnRewrite              func(kind string)                                                     // receives what this VM wrote again: Secret or Entry; may be nil

		// Topic follows the fleet's topic; Prepare sets it.
		Topic *topic.Follower

		mu            sync.Mutex
		fleet         *Fleet // nil until the secret is known
		stopFleet     func() // stops the fleet and waits until its address is free
		joinedEra     uint64 // era of the store in which the fleet was joined
		secret        []byte // as read from the topic
		listed        map[string]vmEntry
		entryRemoved  bool                    // this VM's entry was removed
		deadSince     map[string]clock.Millis // by listed VM: since when it is dead or has left
		lease         leaseView               // lease on orders to engines
		readSignal    chan struct{}           // wakes Run after a read of the topic
		rankedView    *board.Fleet            // view for which rank was computed
		rank          int
		countedView   *board.Fleet // view for which vmCount was computed
		vmCount       int
		schedulersKey string // Fleet.schedulersKey of the last view
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

// Prepare creates the follower of the fleet's topic.
func (mb *Member) Prepare() {
	mb.lease.duration = mb.LeaseDuration
	mb.listed, mb.readSignal = make(map[string]vmEntry), make(chan struct{}, 1)
	mb.Topic = &topic.Follower{Source: mb.Store, Name: mb.TopicName, Wait: topicReadWait, Pause: topicReadPause, SkipPause: mb.lacksSecret, Log: mb.Log,
		StandbyAfter: topicStandbyAfter, SelfReadAfter: topicSelfReadAfter, Rank: mb.ownTopicRank, Broadcast: mb.BroadcastUpdate,
		OnSnapshot: mb.applySnapshot, OnChange: mb.applyRecord, OnCaughtUp: mb.signalRead, OnStoreRestored: mb.storeRestored}
}

// lacksSecret reports whether this VM can't join the fleet yet because it has no secret.
func (mb *Member) lacksSecret() bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return len(mb.secret) == 0
}

func (mb *Member) applyRecord(rec topic.Record) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	var err error
	if mb.lease, err = mb.lease.WithRecord(rec); err != nil {
		mb.logUnreadable(rec.Key, err)
	}
	mb.applyEntry(rec)
}

func (mb *Member) logUnreadable(key string, err error) {
	mb.Log.Log(event.EntryUnreadable, event.F("Key", key), event.F("Error", err.Error()))
}

// applyEntry applies one record to all state but the lease. The lock is held.
func (mb *Member) applyEntry(rec topic.Record) {
	switch name, isVM := strings.CutPrefix(rec.Key, vmKeyPrefix); {
	case rec.Key == secretKey:
		mb.secret = rec.Value
	case isVM && len(rec.Value) == 0:
		delete(mb.listed, name)
		mb.countedView = nil
		mb.entryRemoved = mb.entryRemoved || name == mb.Self.ID
	case isVM:
		var en vmEntry
		if err := json.Unmarshal(rec.Value, &en); err != nil {
			mb.logUnreadable(rec.Key, fmt.Errorf("decode the entry at position %d: %w", rec.Offset, err))
			return
		}
		if en.Incarnation < mb.listed[name].Incarnation {
			// An earlier process of the VM wrote it, and the store carried that out late. VMs
			// that list the topic next know no better, unless the VM writes its entry again.
			mb.entryRemoved = mb.entryRemoved || name == mb.Self.ID
			return
		}
		mb.listed[name] = en
		mb.countedView = nil
	}
}

// signalRead makes Run pass the listed VMs to the fleet.
func (mb *Member) signalRead() {
	select {
	case mb.readSignal <- struct{}{}:
	default:
	}
}

// Run joins the fleet and stays in it until the context ends.
func (mb *Member) Run(ctx context.Context) {
	go mb.Topic.Run(ctx)
	go mb.sweepEntries(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-mb.readSignal:
		}
		if fl := mb.join(ctx); fl != nil {
			fl.SetListed(ctx, mb.listedVMs())
		}
	}
}

// fleetAndSecret returns the fleet, nil before this VM joins it, and the secret as read
// from the topic.
func (mb *Member) fleetAndSecret() (*Fleet, []byte) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.fleet, mb.secret
}

// join joins the fleet once the secret is known, proposes a secret if there is none, and
// returns the fleet that this VM is in, or nil.
func (mb *Member) join(ctx context.Context) *Fleet {
	fl, secret := mb.fleetAndSecret()
	switch {
	case fl == nil && len(secret) == 0:
		mb.proposeSecret(ctx, newSecret())
		return nil
	case fl == nil:
	case bytes.Equal(fl.Secret, secret):
		return fl
	case len(secret) == 0 || mb.joinedBeforeRestore():
		mb.proposeSecret(ctx, fl.Secret)
		return fl
	default:
		mb.leaveFleet(fl) // another fleet existed before this one
	}
	fl = &Fleet{Self: mb.nextSelf(), Secret: secret, Log: mb.Log, OnUsage: mb.OnUsage, OnPlacementRequest: mb.OnPlacementRequest, OnLatePlacementRequest: mb.OnLatePlacementRequest, OnTopicUpdate: mb.OnTopicUpdate, OnReport: mb.OnReport, OnLimit: mb.OnLimit, Limits: mb.Limits, OnLimitsKnown: mb.OnLimitsKnown, Removals: mb.Removals, OnRemovals: mb.OnRemovals, OnQuotaRequest: mb.OnQuotaRequest, OnOriginRequest: mb.OnOriginRequest, OnServerRequest: mb.OnServerRequest, OnServerReport: mb.OnServerReport, OnMoveRequest: mb.OnMoveRequest, OnWhereRequest: mb.OnWhereRequest, OnViewChange: mb.handleViewChange,
		Settings: membership.Settings{ProbeInterval: probeInterval, ProbeTimeout: probeInterval, ProbeDeadline: probeDeadline},
		Rand:     mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))}
	fl.Prepare()
	within, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	mb.mu.Lock()
	mb.fleet, mb.joinedEra = fl, topic.EraOf(mb.lease.end)
	mb.stopFleet = func() {
		stop()
		<-ended // its address is free after that
	}
	mb.mu.Unlock()
	go func() {
		defer close(ended)
		if err := fl.Run(within); err != nil {
			mb.Log.Log(event.FleetLost, event.F("Error", err.Error()))
		}
	}()
	go mb.maintainEntry(within, fl.Self)
	return fl
}

const (
	// probeInterval is how often a VM probes another one: in a fleet of six, each is
	// probed about every 300 ms by some other.
	probeInterval = 300 * clock.Millis(1)
	// probeDeadline is the time without an acknowledgement after which a VM becomes
	// suspect and is no longer listed in the addresses for callers.
	probeDeadline = 700 * clock.Millis(1)
)

func newSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never returns an error, as its documentation says
	return secret
}

// proposeSecret writes a secret, a new one or that of this VM's fleet, if the topic still
// ends where this VM last read it. The first write wins; each VM first waits for a random
// time, in which another VM's secret may arrive. A failed write is tried again after
// writeRetryPause, or at the next read if that comes first. The topic's follower logs that
// the store is unreachable.
func (mb *Member) proposeSecret(ctx context.Context, secret []byte) {
	wait := clock.Millis(mathrand.Int64N(int64(maxProposalDelay)))
	if !clock.Sleep(ctx, wait) || !mb.secretNeedsWrite(secret) {
		return
	}
	at := mb.Topic.Next()
	_, err := mb.Store.Append(ctx, mb.TopicName, secretKey, secret, &at)
	switch {
	case err != nil && ctx.Err() == nil:
		time.AfterFunc(writeRetryPause.Std(), mb.signalRead)
	case err == nil && mb.currentFleet() != nil:
		mb.reportRewrite("Secret")
	}
}

// nextSelf returns this VM with an incarnation above any earlier one.
func (mb *Member) nextSelf() board.VM {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	// The wall clock may jump back between two starts.
	vm := mb.Self
	vm.Incarnation = max(uint64(time.Now().UnixMilli()), mb.listed[vm.ID].Incarnation+1)
	return vm
}

// listedVMs returns the VMs that the topic lists.
func (mb *Member) listedVMs() []board.VM {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	var out []board.VM
	for name, en := range mb.listed {
		out = append(out, board.VM{VMRef: board.VMRef{ID: name, Incarnation: en.Incarnation}, FailureDomain: en.FailureDomain,
			Region: en.Region, Caller: en.Callers, Peer: en.Peers, Listed: true})
	}
	return out
}

// View returns the fleet as this VM sees it; an empty one before it has joined.
func (mb *Member) View() *board.Fleet {
	if fl := mb.currentFleet(); fl != nil {
		return fl.View()
	}
	return &board.Fleet{}
}

// currentFleet returns the fleet; nil before the secret is known.
func (mb *Member) currentFleet() *Fleet {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.fleet
}

// Leave announces a planned stop to the others.
func (mb *Member) Leave(ctx context.Context) {
	if fl := mb.currentFleet(); fl != nil {
		fl.Leave(ctx)
	}
}

// BroadcastUpdate forwards to the other VMs what was read of a topic.
func (mb *Member) BroadcastUpdate(nw topic.Update) {
	if fl := mb.currentFleet(); fl != nil {
		fl.BroadcastUpdate(nw)
	}
}

// BroadcastReport sends the other VMs what this VM reports about requests that crash
// servers.
func (mb *Member) BroadcastReport(re suspect.Report) {
	if fl := mb.currentFleet(); fl != nil {
		fl.BroadcastReport(re)
	}
}

// BroadcastLimit sends the other VMs a notice of a server's limit.
func (mb *Member) BroadcastLimit(nt limit.Notice) {
	if fl := mb.currentFleet(); fl != nil {
		fl.BroadcastLimit(nt)
	}
}

// Secret returns the secret that the VMs of the fleet share; empty before it is known.
func (mb *Member) Secret() []byte {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.fleet != nil {
		return mb.fleet.Secret
	}
	return mb.secret
}

// ReportUsage reports to the other VMs this VM's runs and requests at the engines.
func (mb *Member) ReportUsage(rp usage.Report) {
	if fl := mb.currentFleet(); fl != nil {
		fl.ReportUsage(rp)
	}
}

// handleViewChange processes a new view of the fleet. VMs that become schedulers get this
// VM's usage report at once.
func (mb *Member) handleViewChange(view *board.Fleet) {
	mb.OnFleetSize(len(view.Serving()))
	key := ""
	if fl := mb.currentFleet(); fl != nil {
		key = fl.schedulersKey()
	}
	mb.mu.Lock()
	moved := key != mb.schedulersKey
	mb.schedulersKey = key
	mb.mu.Unlock()
	if moved {
		mb.Log.Log(event.SchedulersChanged, event.F("VMs", key))
		mb.OnSchedulersChange()
	}
}

// Others returns the IDs of the other VMs that this one sees alive. The result whole is
// false while it sees less than half of the fleet alive: then the VMs that it considers dead
// may be alive, and this VM may be the one that is partitioned.
func (mb *Member) Others() (ids []string, whole bool) {
	view := mb.View()
	if len(view.VMs) == 0 {
		return nil, false // this VM has not joined the fleet yet
	}
	all := 0
	for _, vm := range view.VMs {
		if vm.ID == mb.Self.ID || vm.Incarnation == 0 || vm.Health == board.Left {
			continue
		}
		all++
		if vm.Health == board.Alive {
			ids = append(ids, vm.ID)
		}
	}
	return ids, 2*(len(ids)+1) >= all
}
