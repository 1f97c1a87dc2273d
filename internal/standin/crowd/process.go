package crowd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is between two counts of a process's sockets.
const sampleInterval = 10 * time.Millisecond

var errNoPeak = errors.New("the status has no peak")

// PeakMemory returns the most memory that a process has had resident, in bytes, from
// /proc/PID/status.
func PeakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read the status of a process: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			size, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			if err != nil {
				return 0, fmt.Errorf("parse the peak of a process: %w", err)
			}
			return size << 10, nil
		}
	}
	return 0, errNoPeak
}

// Sockets returns how many sockets a process has open, from /proc/PID/fd.
func Sockets(pid int) (int, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, fmt.Errorf("list the descriptors of a process: %w", err)
	}
	count := 0
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err == nil && strings.HasPrefix(target, "socket:") { // an error: it was closed meanwhile
			count++
		}
	}
	return count, nil
}

// Watch runs the crowd against a process until the context ends, and returns the most sockets
// that the process had open meanwhile.
func (cr Crowd) Watch(ctx context.Context, pid int) int {
	var running sync.WaitGroup
	running.Go(func() { cr.Run(ctx) })
	most := 0
	for ctx.Err() == nil {
		count, _ := Sockets(pid) // an error means that the process has ended, which its test sees
		most = max(most, count)
		wait(ctx, sampleInterval)
	}
	running.Wait()
	return most
}
