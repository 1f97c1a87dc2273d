package membership

import (
	"alderdyke/internal/board"
	"fmt"
	"testing"
)

func (tf *testFleet) show(what string) {
	fmt.Println(what, tf.now, "quorate", tf.quorate(), "of", len(tf.live()), "alive", tf.views(board.Alive), "susp", tf.views(board.Suspect), "dead", tf.views(board.Dead), "falsedead", tf.falseDeaths, "unfenced", tf.unfenced, "refuted", func() int {
		n := 0
		for _, vm := range tf.vms {
			n += vm.refuted
		}
		return n
	}())
}
func TestIso(t *testing.T) {
	for _, c := range []struct{ size, dom int }{{7, 4}, {48, 8}, {200, 8}} {
		tf := newFleet(c.size, c.dom, 1, without{})
		tf.run(20000)
		tf.loss = .05
		tf.settle = tf.now
		tf.show("start")
		x := tf.vms[2]
		tf.cut = func(a, b *testVM) bool { return (a == x) != (b == x) }
		for range 15 {
			tf.run(2000)
			tf.show("isolated")
			fmt.Println(x.fleet.Quorate)
		}
		tf.cut = nil
		for range 10 {
			tf.run(2000)
			tf.show("healed")
		}
	}
}
func TestPart(t *testing.T) {
	for _, c := range []struct{ size, dom int }{{7, 4}, {200, 8}} {
		tf := newFleet(c.size, c.dom, 1, without{})
		tf.run(20000)
		tf.loss = .05
		tf.settle = tf.now
		tf.show("start")
		tf.resetTraffic()
		tf.cut = func(a, b *testVM) bool { return (a.self.Region == "region-2") != (b.self.Region == "region-2") }
		for range 15 {
			tf.run(2000)
			tf.show("partition")
			n := 0
			for _, v := range tf.vms {
				if v.self.Region == "region-2" && v.until > tf.now {
					n++
				}
			}
			fmt.Println("minority quorate", n)
		}
		fmt.Println(tf.perVM(30000))
		tf.resetTraffic()
		tf.cut = nil
		for range 20 {
			tf.run(2000)
			tf.show("healed")
		}
		fmt.Println(tf.perVM(40000))
	}
}
func TestDomain(t *testing.T) {
	tf := newFleet(200, 8, 1, without{})
	tf.run(20000)
	tf.loss = .05
	tf.settle = tf.now
	for _, v := range tf.vms {
		if v.self.FailureDomain == "domain-3" {
			tf.kill(v)
		}
	}
	tf.resetTraffic()
	for range 15 {
		tf.run(2000)
		tf.show("lost")
	}
	fmt.Println(tf.perVM(30000))
	for id := range tf.killed {
		fmt.Println(id, len(tf.detected[id]), quantile(tf.suspected[id], .5), quantile(tf.detected[id], .5), quantile(tf.detected[id], .99))
	}
	for _, v := range tf.vms {
		if v.self.FailureDomain == "domain-3" {
			tf.restart(v, 5)
		}
	}
	for range 15 {
		tf.run(2000)
		tf.show("restarted")
	}
}
