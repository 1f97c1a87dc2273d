package quota_test

import (
	"fmt"
	"testing"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// BenchmarkKeeperHandle measures one request to a keeper to which all VMs of a fleet
// lend their parts.
func BenchmarkKeeperHandle(b *testing.B) {
	for _, vms := range []int{7, 69, 300} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			ke := quota.Keeper{ID: 1, Settings: simSettings}
			names := make([]string, vms)
			for ix := range names {
				names[ix] = fmt.Sprintf("vm-%d", ix)
			}
			now := clock.Millis(0)
			for ix := 0; b.Loop(); ix++ {
				if ix%4 == 0 {
					now++
				}
				ke.Handle(now, vms, names[ix%vms], 1, quota.Request{Sequence: uint64(ix), KeeperID: 1, KeeperTime: max(0, now-5), Customer: customer, Need: simSmall}, &simLimit)
			}
		})
	}
}
