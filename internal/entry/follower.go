package entry

import (
	"context"
	"fmt"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/operator"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/register"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	followerTick  = 250 * clock.Millis(1)
	appendWithin  = 3 * clock.Second
	readGrace     = 3 * clock.Second
	publishWithin = 10 * clock.Second
	logRecords    = 256 // in one answer to a peer
)
