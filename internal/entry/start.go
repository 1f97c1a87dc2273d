package entry

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/phuslu/log"

	"alderdyke/internal/event"
	"alderdyke/internal/metrics"
	"alderdyke/internal/settings"
	"alderdyke/pkg/clock"
)

var levels = map[settings.Level]log.Level{
	settings.LevelInfo:  log.InfoLevel,
	settings.LevelWarn:  log.WarnLevel,
	settings.LevelError: log.ErrorLevel,
}

// Run runs one entry VM as a process of its own. It logs to standard error and uses the
// wall clock at the start as the incarnation. Requests do not block on a slow reader of
// the log.
func Run(ctx context.Context, set settings.Settings) error {
	out := event.NewBoundedWriter(os.Stderr, event.DefaultBacklog)
	defer out.Close() // the error is ignored, because there is no other place to report it
	mt := metrics.New(set.ID)
	defer mt.Close()
	vm := &VM{
		Settings:    set,
		Incarnation: uint64(time.Now().UnixMilli()),
		Clock:       clock.Boottime{},
		Scope:       mt.Scope,
		Metrics:     mt.Handler(),
		Log: event.Logger{Out: &log.Logger{
			Level:      levels[set.Logging.Level],
			TimeFormat: time.RFC3339Nano,
			Writer:     out,
		}},
	}
	go out.ReportDropped(ctx, vm.Log)
	if err := vm.Run(ctx); err != nil {
		return fmt.Errorf("run VM %s: %w", set.ID, err)
	}
	return nil
}
