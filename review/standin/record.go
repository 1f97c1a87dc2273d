package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	text  []string
	times []time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, began: time.Now()}, nil
}

// add adds a line with the time since the start.
func (rec *record) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
	rec.text, rec.times = append(rec.text, line), append(rec.times, time.Now())
	_, _ = rec.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (rec *record) close() { _ = rec.file.Close() }

// lines returns the lines so far.
func (rec *record) lines() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append([]string(nil), rec.text...)
}

// count returns how many lines contain a text and were added after a time.
func (rec *record) count(text string, after time.Time) (out int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for ix, line := range rec.text {
		if strings.Contains(line, text) && rec.times[ix].After(after) {
			out++
		}
	}
	return out
}
