package store

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

// Groups are written whole and in their order, nothing of them is overtaken, and who gave one is told once it is on disk:
// also later, where the disk fails for a while. What was removed is gone after a restart, the rest is as it was.
func TestGroups(t *testing.T) {
	dir := t.TempDir()
	s, _ := opened(t, dir)
	var done []int
	over := make(chan bool)
	for i := range 50 {
		entries := map[string][]byte{fmt.Sprintf("%s%03d", Log, i): fmt.Append(nil, i), "last": fmt.Append(nil, i)}
		if i >= 10 {
			entries[fmt.Sprintf("%s%03d", Log, i-10)] = nil
		}
		s.Write(entries, func(err error) {
			if done = append(done, i); err != nil {
				t.Error(err)
			}
			if i == 49 {
				close(over)
			}
		})
	}
	<-over
	if len(done) != 50 || !slices.IsSorted(done) {
		t.Errorf("told %v", done)
	}
	if err := s.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	_, found := opened(t, dir)
	if len(found.Entries) != 11 || string(found.Entries["last"]) != "49" || string(found.Entries[Log+"040"]) != "40" || found.Entries[Log+"039"] != nil {
		t.Errorf("found %d entries: %q", len(found.Entries), found.Entries)
	}
}

// A disk that is full keeps the order of groups and tells nobody that they are written; too many that wait are refused.
func TestGroupsOnAFullDisk(t *testing.T) {
	d := &slow{fail: errors.New("no space left"), gate: make(chan struct{}), wrote: map[string][]byte{}, writes: make(chan struct{}, 9000)}
	s := newStore(d)
	s.retry = time.Millisecond
	told, over := []string{}, make(chan bool)
	s.Write(map[string][]byte{"a": []byte("1")}, func(error) { told = append(told, "first") })
	go s.run()
	<-d.writes // it is at the disk
	refused := 0
	for i := range maxWaits + 5 {
		s.Write(map[string][]byte{"a": []byte("2")}, func(err error) {
			if errors.Is(err, ErrFull) {
				refused++
			} else if i == maxWaits-1 {
				told = append(told, "last")
				close(over)
			}
		})
	}
	d.gate <- struct{}{} // it has failed
	<-d.writes
	if len(told) > 0 || refused != 5 {
		t.Errorf("told %v, %d refused", told, refused)
	}
	d.mu.Lock()
	d.fail = nil
	d.mu.Unlock()
	close(d.gate)
	<-over
	if value, _, err := unseal("a", d.wrote["a"]); err != nil || string(value) != "2" || told[0] != "first" {
		t.Errorf("%q, %v, told %v", value, err, told)
	}
	if err := s.Close(10 * time.Second); err != nil {
		t.Error(err)
	}
}
