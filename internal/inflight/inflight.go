// Package inflight bounds the bytes of request bodies that a fleet of VMs has in flight to
// one backend server, which may crash if the requests that it holds exceed its memory.
//
// Each VM has the same part of the bound, and keeps it by itself without messages. Bodies of
// two sizes are told apart:
//
//   - An ordinary body, of at most [OrdinaryBytes], fits while the ordinary ones of this VM
//     are within its part, which is [MinOrdinaryShare] at least. Large bodies take nothing
//     of that.
//   - A larger one fits while all bodies of this VM are within its part. One large body of
//     any size always fits, so that each request can be sent.
//
// A VM therefore has at most max(Limit/vms, its largest body) bytes of large bodies and
// max(Limit/vms, MinOrdinaryShare) bytes of ordinary ones in flight to a server. With
// bodies of up to 4 MB these are 426 MB for 71 VMs and 798 MB for 133, instead of the 1 GB
// that each VM could send.
//
// # Usage
//
//	var tr inflight.Tracker
//	if !tr.Claim("p1", size, vms) { ... } // another server, or later
//	defer tr.Release("p1", size)
package inflight

import "slices"

const (
	// DefaultLimit is the bound for each of the two kinds of bodies at one server. A VM
	// has up to 256 connections to a server, and in a fleet of at most six VMs all of
	// them may carry ordinary bodies: 96 MB / 6 = 256 * 64 KB.
	DefaultLimit = 96 << 20
	// OrdinaryBytes is the size of the largest ordinary body: usual ones have 800 bytes
	// to 60 KB.
	OrdinaryBytes = 64 << 10
	// MinOrdinaryShare is the least part of a VM for ordinary bodies, however many VMs
	// there are: 32 of the largest. The servers of the reference deployments hold at most
	// 30 requests (6 running, 24 queued), so that a VM does not reach it even if it sends
	// all of them.
	MinOrdinaryShare = 32 * OrdinaryBytes
)

type (
	// Tracker counts the bodies that this VM has in flight. The zero value is ready to
	// use. It is not safe for use from several goroutines.
	Tracker struct {
		Limit   int64 // zero: DefaultLimit
		servers map[string]sums
		denied  bool // a claim was denied since the last Release that reported one
	}

	// sums are the bytes in flight to one server.
	sums struct{ ordinary, large int64 }
)

// Claim counts a body as in flight to a server, unless that exceeds the part of one of the
// given number of VMs.
func (tr *Tracker) Claim(server string, bytes int64, vms int) bool {
	if !tr.fits(tr.servers[server], bytes, vms) {
		tr.denied = true
		return false
	}
	tr.Add(server, bytes)
	return true
}

// Add counts a body that is sent in any case.
func (tr *Tracker) Add(server string, bytes int64) {
	if bytes <= 0 {
		return
	}
	if tr.servers == nil {
		tr.servers = make(map[string]sums)
	}
	tr.servers[server] = tr.servers[server].with(bytes, bytes)
}

// Release ends what Claim or Add counted, and reports whether a claim was denied in the
// meantime, which may fit now.
func (tr *Tracker) Release(server string, bytes int64) (wanted bool) {
	if bytes <= 0 {
		return false
	}
	left := tr.servers[server].with(bytes, -bytes)
	if left == (sums{}) {
		delete(tr.servers, server)
	} else {
		tr.servers[server] = left
	}
	wanted, tr.denied = tr.denied, false
	return wanted
}

// Held returns the bytes in flight to a server.
func (tr *Tracker) Held(server string) int64 {
	sm := tr.servers[server]
	return sm.ordinary + sm.large
}

// Without lists the servers at which a body does not fit, in order.
func (tr *Tracker) Without(bytes int64, vms int) []string {
	var out []string
	for server, sm := range tr.servers {
		if !tr.fits(sm, bytes, vms) {
			out = append(out, server)
		}
	}
	slices.Sort(out)
	return out
}

func (tr *Tracker) fits(sm sums, bytes int64, vms int) bool {
	limit := tr.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	share := limit / int64(max(1, vms))
	if bytes <= OrdinaryBytes {
		return sm.ordinary+bytes <= max(share, MinOrdinaryShare)
	}
	return sm.large == 0 || sm.ordinary+sm.large+bytes <= share
}

// with adds a number of bytes to the sum of the bodies of a size.
func (sm sums) with(size, bytes int64) sums {
	if size <= OrdinaryBytes {
		sm.ordinary += bytes
	} else {
		sm.large += bytes
	}
	return sm
}
