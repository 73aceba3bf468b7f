package store

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

// Groups are written completely and in order, and the callback of each is called once the group is on disk. After a restart
// removed keys are gone, and all other entries hold what was written.
func TestGroupsAreWrittenInOrder(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	var done []int
	over := make(chan bool)
	for i := range 50 {
		entries := map[string][]byte{fmt.Sprintf("%s%03d", LogPrefix, i): fmt.Append(nil, i), "last": fmt.Append(nil, i)}
		if i >= 10 {
			entries[fmt.Sprintf("%s%03d", LogPrefix, i-10)] = nil
		}
		if err := s.Write(entries, func() {
			if done = append(done, i); i == 49 {
				close(over)
			}
		}); err != nil {
			t.Error(err)
		}
	}
	<-over
	if len(done) != 50 || !slices.IsSorted(done) {
		t.Errorf("callbacks called in the order %v", done)
	}
	if err := s.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	_, found := mustOpen(t, dir)
	if len(found.Entries) != 11 || string(found.Entries["last"]) != "49" ||
		string(found.Entries[LogPrefix+"040"]) != "40" || found.Entries[LogPrefix+"039"] != nil {
		t.Errorf("found %d entries: %q", len(found.Entries), found.Entries)
	}
}

// While the disk is full, groups keep their order and no callback is called; groups beyond the limit are refused with ErrFull.
func TestFullDiskKeepsGroupOrderAndBound(t *testing.T) {
	d := &blockingDisk{fail: errors.New("no space left"), gate: make(chan struct{}), wrote: map[string][]byte{},
		writes: make(chan struct{}, 9000)}
	s := newStore(d)
	s.retry = time.Millisecond
	called, over := []string{}, make(chan bool)
	s.Write(map[string][]byte{"a": []byte("1")}, func() { called = append(called, "first") })
	go s.run()
	<-d.writes // the first write blocks
	refused := 0
	for i := range maxGroups + 5 {
		err := s.Write(map[string][]byte{"a": []byte("2")}, func() {
			if i == maxGroups-1 {
				called = append(called, "last")
				close(over)
			} else if i >= maxGroups {
				t.Errorf("callback of refused group %d called", i)
			}
		})
		if errors.Is(err, ErrFull) {
			refused++
		} else if err != nil {
			t.Error(err)
		}
	}
	d.gate <- struct{}{} // the first write fails
	<-d.writes
	if len(called) > 0 || refused != 5 {
		t.Errorf("callbacks called: %v; %d refused, want 5", called, refused)
	}
	d.mu.Lock()
	d.fail = nil
	d.mu.Unlock()
	close(d.gate)
	<-over
	if value, _, err := unseal("a", d.wrote["a"]); err != nil || string(value) != "2" || called[0] != "first" {
		t.Errorf("written: %q, %v; callbacks called: %v", value, err, called)
	}
	if err := s.Close(10 * time.Second); err != nil {
		t.Error(err)
	}
}
