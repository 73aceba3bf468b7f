package store

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

func (s *Store) run() {
	defer close(s.done)
	for {
		last := false
		select {
		case <-s.quit:
			last = true
		case <-s.wake:
		}
		if !last && !s.urgent() {
			select {
			case <-time.After(together):
			case <-s.quit:
				last = true
			}
		}
		if err := s.commit(); err != nil && !last {
			select {
			case <-time.After(s.retry):
			case <-s.quit:
				return
			}
			select {
			case s.wake <- struct{}{}:
			default:
			}
		}
		if last {
			return
		}
	}
}

// urgent reports whether somebody waits for the sync.
func (s *Store) urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.group) > 0
}

// commit writes what waits. What can't be written is tried again, unless something newer has come; what can't be encoded
// never will be.
func (s *Store) commit() error {
	s.mu.Lock()
	work := s.next
	s.next = map[string]func() ([]byte, error){}
	groups := s.group
	s.group = nil
	seq := s.seq
	s.seq += uint64(len(work))
	for _, g := range groups {
		s.seq += uint64(len(g.entries))
	}
	s.busy = s.now()
	s.mu.Unlock()
	var bad, failed error
	entries := map[string][]byte{}
	for _, g := range groups {
		for _, key := range slices.Sorted(maps.Keys(g.entries)) {
			if seq++; g.entries[key] == nil {
				entries[key] = nil
			} else {
				entries[key] = seal(key, seq, g.entries[key])
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(work)) {
		value, err := work[key]()
		if err == nil && len(value) > maxValue {
			err = fmt.Errorf("entry %s has %d bytes", key, len(value))
		}
		if err != nil {
			bad = errors.Join(bad, err)
			continue
		}
		seq++
		entries[key] = seal(key, seq, value)
	}
	if len(entries) > 0 {
		failed = s.d.write(entries)
	}
	if failed == nil {
		for _, g := range groups {
			g.done(nil)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = time.Time{}
	if s.stat.Err = ""; bad != nil || failed != nil {
		s.stat.Err = errors.Join(bad, failed).Error()
		s.stat.Lost++
	}
	if failed == nil {
		s.stat.Saved += uint64(len(entries))
		return nil
	}
	for key := range work {
		if _, newer := s.next[key]; !newer && entries[key] != nil {
			s.next[key] = work[key]
		}
	}
	s.group = append(groups, s.group...)
	return failed
}
