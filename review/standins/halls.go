package main

import (
	"sync"
	"time"
)

// keyWindow is how long the workers of one hall drop a repeat of a key.
const keyWindow = 8 * time.Second

// keyRun is one run of a keyed call.
type keyRun struct {
	at     time.Time
	hall   int
	worker string
}

// hallMemory is what the workers of each hall remember of keys. It records every run of a keyed call.
type hallMemory struct {
	mu   sync.Mutex
	runs map[string][]keyRun
}

func newHallMemory() *hallMemory { return &hallMemory{runs: map[string][]keyRun{}} }

// begin records a run and returns true. If the hall has run the key within the window it returns false: the call must not run.
func (h *hallMemory) begin(key string, hall int, worker string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs[key] {
		if r.hall == hall && time.Since(r.at) < keyWindow {
			return false
		}
	}
	h.runs[key] = append(h.runs[key], keyRun{time.Now(), hall, worker})
	return true
}

// of returns the runs of a key.
func (h *hallMemory) of(key string) []keyRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]keyRun(nil), h.runs[key]...)
}
