package integration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Revisions are published through each VM in turn; each is in force at every
// VM in time, and no VM ever goes back.
func TestRevisionsComeInForceEverywhere(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, usual())
	fl.watchRevisions()
	base := uint64(1)
	for ix := range 12 {
		through := fl.vms[ix%len(fl.vms)]
		tpl := fl.tpl
		tpl.PrefillWeight = float64(ix) / 100
		reply := fl.publish(through, fmt.Sprintf("revision-%d", ix), base, tpl)
		assert.Assert(t, reply.Accepted, "%+v", reply)
		base = reply.Revision
		fl.accepted(base, fl.vms...)
		results.span("a revision is in force at every VM", fl.inForce(base, fl.vms...))
	}
	fl.check()
}
