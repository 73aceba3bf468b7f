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

// Open fails if the folder is missing, or if the file is already open.
func TestOpenFailsOnMissingOrLockedFolder(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := Open(filepath.Join(dir, "none")); err == nil {
		t.Error("a missing folder was opened")
	}
	s, _ := mustOpen(t, dir)
	defer s.Close(time.Second)
	if _, _, err := Open(dir); err == nil {
		t.Error("a store was opened twice")
	}
}

// blockingDisk is a disk whose writes block until gate is received from or closed, and fail with the error in fail. Each write
// is announced on writes.
type blockingDisk struct {
	mu     sync.Mutex
	fail   error
	gate   chan struct{}
	wrote  map[string][]byte
	writes chan struct{}
}

func (d *blockingDisk) load() (map[string][]byte, error) { return nil, nil }

func (d *blockingDisk) close() error { return nil }

func (d *blockingDisk) write(entries map[string][]byte) error {
	d.writes <- struct{}{}
	<-d.gate
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail == nil {
		maps.Copy(d.wrote, entries)
	}
	return d.fail
}

// A blocked or full disk blocks no caller: newer entries replace older ones, failed writes are counted, and the newest entry is
// written once the disk has room again.
func TestBlockedAndFullDiskKeepsNewestEntry(t *testing.T) {
	d := &blockingDisk{fail: errors.New("no space left"), gate: make(chan struct{}), wrote: map[string][]byte{}, writes: make(chan struct{}, 9)}
	s := newStore(d)
	s.retry = time.Millisecond
	now := time.Now()
	s.now = func() time.Time { return now }
	go s.run()
	put(s, "a", "1")
	<-d.writes // the first write blocks
	for i := range 100 {
		put(s, "a", fmt.Sprint(i))
	}
	now = now.Add(3 * time.Second)
	if st := s.Stats(); st.Busy != 3*time.Second || st.Replaced != 99 {
		t.Errorf("while the disk blocks: %+v", st)
	}
	d.gate <- struct{}{}
	<-d.writes // the first write has failed, and the newest entry is being written
	if st := s.Stats(); st.Lost != 1 || st.Err == "" {
		t.Errorf("after the disk was full: %+v", st)
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
		t.Errorf("after closing: %+v", st)
	}
}
