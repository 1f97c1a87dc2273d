package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootStart is the reading of the boot clock at the start of the process.
var bootStart = bootNow()

// Boottime is a monotonic clock that also counts the time during which the machine
// is suspended. It counts from the start of the process, so its points mean
// nothing to another process.
//
// Use it for everything that is compared with what others do in the meantime:
// leases, the age of information about others, evidence, budgets that refill with
// time, and the deadlines of requests. Timers do not advance while the machine is
// suspended, so code that sleeps for more than a few seconds must check the clock at
// intervals, as [WithDeadline] does.
type Boottime struct{}

// Now returns the time since the process started.
func (Boottime) Now() Millis { return Of(bootNow() - bootStart) }

// bootNow returns the time since the machine booted.
func bootNow() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) // fails only for unknown clocks
	return time.Duration(ts.Nano())
}
