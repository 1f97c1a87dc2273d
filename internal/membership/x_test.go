package membership

import (
	"alderdyke/internal/board"
	"fmt"
	"testing"
	"time"
)

func TestX(t *testing.T) {
	for _, size := range []int{7, 48, 380} {
		st := time.Now()
		dom := 4
		if size > 7 {
			dom = 8
		}
		tf := newFleet(size, dom, 1, without{})
		tf.loss = 0.05
		for range 10 {
			tf.run(1000)
			fmt.Println(size, tf.now, "quorate", tf.quorate(), "alive", tf.views(board.Alive), "of", size*size, "suspect", tf.views(board.Suspect), "strangers", tf.vms[0].dt.Counters)
		}
		tf.settle = tf.now
		tf.resetTraffic()
		tf.startPauses(30000)
		tf.run(300000)
		b, m, mx := tf.perVM(300000)
		fmt.Println(size, "bytes", b, m, mx, "false susp", tf.falseSuspicions, "deaths", tf.falseDeaths, "quorate", tf.quorate(), tf.vms[0].dt.Counters, "largest", tf.largest, time.Since(st))
		tf.kill(tf.vms[3])
		tf.run(30000)
		id := tf.vms[3].self.ID
		fmt.Println("detected", len(tf.detected[id]), quantile(tf.suspected[id], .5), quantile(tf.detected[id], .5), quantile(tf.detected[id], .99))
	}
}
