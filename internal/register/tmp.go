package register

import "alderdyke/internal/board"

type Event interface{ event() }
type Intent interface{ intent() }
type Verdict struct{}
type Fleet struct{ Fleet *board.Fleet }

func (Fleet) event() {}

type Tick struct{}

func (Tick) event() {}
