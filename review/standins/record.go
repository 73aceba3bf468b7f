package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: a line for each message that was sent, answered or run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// logf writes a line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// printf writes a line to the record and to standard output.
func (r *record) printf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf("%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
