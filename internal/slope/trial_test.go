package slope

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, sd := range Studies() {
		if !strings.Contains(os.Getenv("S"), sd.Name) {
			continue
		}
		rp := &Report{}
		b := time.Now()
		if err := sd.Run(context.Background(), rp); err != nil {
			t.Error(sd.Name, err)
		}
		fmt.Println("==", sd.Name, time.Since(b))
		for _, s := range rp.Series {
			f := s.Fit()
			fmt.Printf("%s [%s] %v a=%.3g b=%.3g R2=%.3f worst=%.2f at%v=%.4g\n", s.Name, s.Unit, s.Points, f.Intercept, f.Slope, f.RSquared, f.Worst, s.Target, f.AtTarget)
		}
		for _, f := range rp.Facts {
			fmt.Println(f)
		}
	}
}
