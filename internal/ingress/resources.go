package ingress

import (
	"cmp"
	"fmt"
	"math"
	"syscall"
)

const (
	// fileDescriptors are kept for files; the rest is for sockets.
	fileDescriptors = 200
	// connectionBytes is what a connection counts for: the buffers of net/http, its
	// goroutines, and a request whose head is ordinary.
	connectionBytes = 32 << 10
	// ownMemory is what the process takes by itself.
	ownMemory = 24 << 20
	// connectionMemory and headMemory are the parts of the memory that an address would
	// have for its connections, with ownMemory, and for its heads if its share were the
	// whole. With the bodies and answers of requests they must leave the garbage
	// collector room to keep pace below its soft limit.
	connectionMemory = 0.55
	headMemory       = 1.0 / 8
	// leastConnectionMemory is that part, without ownMemory, on a very small machine.
	leastConnectionMemory = 1.0 / 16
	// assumedMemory bounds the heads of a process that has no memory limit.
	assumedMemory = 512 << 20
)

// Resources are what a process may take of its machine.
type Resources struct {
	Descriptors int   // zero: no limit
	Memory      int64 // in bytes; zero: no limit
}

// Descriptors returns how many descriptors this process may have open.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("get the limit of descriptors: %w", err)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// Connections returns how many connections an address may have that gets a share of what
// there is. The shares of all addresses must leave room for the connections that the process
// opens itself.
func (rs Resources) Connections(share float64) int {
	most := math.MaxInt32 * share
	if rs.Descriptors > 0 {
		most = float64(rs.Descriptors-fileDescriptors) * share
	}
	if rs.Memory > 0 {
		memory := float64(rs.Memory)
		most = min(most, max(memory*connectionMemory-ownMemory, memory*leastConnectionMemory)*share/connectionBytes)
	}
	return max(1, int(most))
}

// HeadMemory returns the bytes that may be charged for the heads of an address with a share.
func (rs Resources) HeadMemory(share float64) int64 {
	return int64(float64(cmp.Or(rs.Memory, assumedMemory)) * headMemory * share)
}
