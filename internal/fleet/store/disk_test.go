package store

import (
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// A folder that is not there, and one that another process has.
func TestNoDisk(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := Open(filepath.Join(dir, "none")); err == nil {
		t.Error("a missing folder is opened")
	}
	s, _ := opened(t, dir)
	defer s.Close(time.Second)
	if _, _, err := Open(dir); err == nil {
		t.Error("a store is opened twice")
	}
}

// slow is a disk that blocks or fails until it is let go.
type slow struct {
	mu     sync.Mutex
	fail   error
	gate   chan struct{}
	wrote  map[string][]byte
	writes chan struct{}
}

func (d *slow) load() (map[string][]byte, error) { return nil, nil }

func (d *slow) close() error { return nil }

func (d *slow) write(entries map[string][]byte) error {
	d.writes <- struct{}{}
	<-d.gate
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail == nil {
		maps.Copy(d.wrote, entries)
	}
	return d.fail
}

// A disk that is stuck or full makes nobody wait: newer entries take the place of older ones, losses are counted, and
// what is newest is written once there is room.
func TestStuckAndFullDisk(t *testing.T) {
	d := &slow{fail: errors.New("no space left"), gate: make(chan struct{}), wrote: map[string][]byte{}, writes: make(chan struct{}, 9)}
	s := newStore(d)
	s.retry = time.Millisecond
	now := time.Now()
	s.now = func() time.Time { return now }
	go s.run()
	put(s, "a", "1")
	<-d.writes // it is stuck
	for i := range 100 {
		put(s, "a", fmt.Sprint(i))
	}
	now = now.Add(3 * time.Second)
	if st := s.Stats(); st.Busy != 3*time.Second || st.Replaced != 99 {
		t.Errorf("stuck: %+v", st)
	}
	d.gate <- struct{}{}
	<-d.writes // it fails, and is tried again with what is newest
	if st := s.Stats(); st.Lost != 1 || st.Err == "" {
		t.Errorf("full: %+v", st)
	}
	d.mu.Lock()
	d.fail = nil
	d.mu.Unlock()
	d.gate <- struct{}{}
	close(d.gate)
	if err := s.Close(10 * time.Second); err != nil {
		t.Error(err)
	}
	value, _, err := unseal("a", d.wrote["a"])
	if err != nil || string(value) != "99" {
		t.Errorf("written: %q, %v", value, err)
	}
	if st := s.Stats(); st.Saved != 1 || st.Err != "" {
		t.Errorf("in the end: %+v", st)
	}
}
