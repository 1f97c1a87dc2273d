package quota

import (
	"maps"

	"alderdyke/pkg/clock"
)

const (
	// minServerRate is the least rate, in calls per second, at which a server is called.
	minServerRate = 0.1
	// serverBurst is the number of permits that a shard of a server's limit holds at
	// most: one for a call, and as many as calls leave for others that go first.
	serverBurst = 2
	// spentSpan is how long before and after a limit begins the calls that VMs made
	// without a permit count against it.
	spentSpan = 3 * clock.Second
	// serverIdle is how long the bucket of a server without requests is kept.
	serverIdle = 10 * clock.Second
	// grantedCells and grantedCell divide the time over which granted permits are counted.
	grantedCells = 8
	grantedCell  = 150 * clock.Millis(1)
)

// serverBucket holds the permits for calls to one server. It never grants what has not
// accrued, and begins empty, because nobody knows what was granted before.
type serverBucket struct {
	bucket
	spent   float64      // calls without a permit
	spentAt clock.Millis // when they were last reported
	usedAt  clock.Millis // last request

	granted [grantedCells]float64 // permits of the last 1.05 to 1.2 s
	cell    int64                 // number of the newest one
}

// handleServer handles a request for a permit, the return of one, or a report of calls
// without permits. The rate is that of a shard.
func (ke *Keeper) handleServer(now clock.Millis, vms int, vm string, incarnation uint64, req Request, rsp Response) Response {
	lim := Limit{Rate: max(req.Rate, minServerRate), Burst: serverBurst}
	sb := ke.serverBucketOf(req.Server)
	sb.countGranted(now, 0)
	if earlier := sb.rate; lim.Rate < earlier {
		sb.lower(now, ke.pooledTime, earlier, lim.Rate)
	}
	sb.fill(ke.pooledTime, lim, 1)
	sb.usedAt = now
	sb.addSpent(now, req.Spent, lim.Rate)
	if req.Returned > 0 && ke.acceptReturn(vm, incarnation, req) {
		sb.level = min(sb.level+req.Returned, lim.Burst)
	}
	rsp.Known = true
	if wanted := req.Need + req.Reserve; sb.level < wanted {
		part, _ := ke.heldParts(vms)
		rsp.Wait = waitFor(wanted-sb.level, lim.Rate*part)
		return rsp
	}
	rsp.Granted = true
	sb.level -= req.Need
	sb.countGranted(now, req.Need)
	return rsp
}

// lower applies a lower limit. What has accrued is worth less under it. The permits of the
// last second count like calls without permits, because their calls may arrive after the
// server began to name the lower limit: at a limit of zero these, those that had accrued, and
// the call in five seconds were up to 7 in 4 s, of 5 that are allowed.
func (sb *serverBucket) lower(now clock.Millis, at, earlier, rate float64) {
	sb.fill(at, Limit{Rate: earlier, Burst: serverBurst}, 1)
	if sb.level > 0 {
		sb.level *= rate / earlier
	}
	granted := 0.0
	for _, permits := range sb.granted {
		granted += permits
	}
	sb.addSpent(now, granted, rate)
}

// countGranted counts granted permits.
func (sb *serverBucket) countGranted(now clock.Millis, permits float64) {
	for cell := int64(now / grantedCell); sb.cell < cell; sb.cell++ {
		sb.cell = max(sb.cell, cell-grantedCells)
		sb.granted[(sb.cell+1)%grantedCells] = 0
	}
	sb.granted[sb.cell%grantedCells] += permits
}

// addSpent puts the bucket in debt for calls without permits, as far as they exceed what
// the limit allows in spentSpan, and for no longer than that.
func (sb *serverBucket) addSpent(now clock.Millis, calls, rate float64) {
	if calls <= 0 {
		return
	}
	if now-sb.spentAt > spentSpan {
		sb.spent = 0
	}
	allowed := rate * float64(spentSpan) / float64(clock.Second)
	debt := func() float64 { return min(max(0, sb.spent-allowed), allowed) }
	before := debt()
	sb.spent, sb.spentAt = sb.spent+calls, now
	sb.level -= debt() - before
}

func (ke *Keeper) serverBucketOf(server string) *serverBucket {
	sb := ke.servers[server]
	if sb == nil {
		sb = &serverBucket{bucket: bucket{at: ke.pooledTime}}
		ke.servers[server] = sb
	}
	return sb
}

// evictServers drops the buckets of servers that were not requested for a while.
func (ke *Keeper) evictServers() {
	for server, sb := range ke.servers {
		if ke.now-sb.usedAt > serverIdle {
			delete(ke.servers, server)
		}
	}
}

// ServerRequest returns a request to a keeper for a permit to call a server, whose limit
// has the given rate in this shard. The reserve is what must be left in the bucket for
// calls that go first.
func (ac *Account) ServerRequest(now clock.Millis, vms int, vm, server string, rate, reserve float64) Request {
	req := ac.LeaseRequest(now, vms, vm)
	req.Server, req.Rate, req.Need, req.Reserve = server, rate, 1, reserve
	return req
}

// SpentReport returns a request that reports calls to a server without permits.
func (ac *Account) SpentReport(now clock.Millis, vms int, vm, server string, rate, calls float64) Request {
	req := ac.LeaseRequest(now, vms, vm)
	req.Server, req.Rate, req.Spent = server, rate, calls
	return req
}

// HolderProcess returns the process that holds the lease on this VM's part, or zero.
func (ac *Account) HolderProcess(now clock.Millis) uint64 {
	if now < ac.lent.until {
		return ac.lent.id
	}
	return 0
}

// PreviewServer returns what Handle would answer to a request for a server's permit, and
// changes nothing.
func (ke *Keeper) PreviewServer(now clock.Millis, vms int, vm string, req Request) Response {
	out := *ke
	out.leases, out.buckets, out.servers = maps.Clone(ke.leases), nil, make(map[string]*serverBucket)
	if sb := ke.servers[req.Server]; sb != nil {
		copied := *sb
		out.servers[req.Server] = &copied
	}
	return out.Handle(now, vms, vm, 0, req, nil)
}
