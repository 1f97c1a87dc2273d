package membership

import (
	"fmt"
	"google.golang.org/protobuf/proto"
	"testing"
	"time"
)

func TestX(t *testing.T) {
	for _, c := range []struct {
		loss  float64
		pause int
	}{{0, 0}, {0.05, 0}, {0, 30000}, {.05, 30000}} {
		size := 128
		st := time.Now()
		tf := newFleet(size, 8, 1, without{})
		tf.run(20000)
		tf.loss = c.loss
		tf.settle = tf.now
		tf.resetTraffic()
		base := map[string]int{}
		tf.cut = func(a, b *testVM) bool { return false }
		if c.pause > 0 {
			tf.startPauses(30000)
		}
		tf.hook = func(in Send) {
			k := fmt.Sprintf("%T", in.Datagram.Body)
			base[k]++
			base["r "+k] += len(in.Datagram.Rumours)
			n := 0
			for _, r := range in.Datagram.Rumours {
				n += proto.Size(r) + 3
				base[fmt.Sprint("health ", r.Health, r.Peer != "")]++
			}
			base["rb "+k] += n
			base["b "+k] += proto.Size(in.Datagram) + 28
		}
		tf.run(120000)
		b, m, mx := tf.perVM(120000)
		fmt.Println(c, "bytes", b, m, mx, "false susp", tf.falseSuspicions, "deaths", tf.falseDeaths, "quorate", tf.quorate(), tf.vms[0].dt.Counters, "largest", tf.largest, time.Since(st))
		fmt.Println(base)
	}
}
