package store

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// run commits pending writes until the store is closed. After a failed commit it tries again once s.retry has passed.
func (s *Store) run() {
	defer close(s.done)
	for {
		last := false
		select {
		case <-s.quit:
			last = true
		case <-s.wake:
		}
		if !last && !s.hasGroups() {
			select {
			case <-time.After(batchWindow):
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

// hasGroups reports whether groups are pending. Their callers wait for the sync, so that these are written without delay.
func (s *Store) hasGroups() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.groups) > 0
}

// commit writes all pending groups and entries with one sync. When the write fails, everything is queued again, except entries
// for whose key a newer one has been queued meanwhile. Entries that can't be encoded are dropped, since another attempt would fail too.
func (s *Store) commit() error {
	s.mu.Lock()
	work := s.pending
	s.pending = map[string]func() ([]byte, error){}
	groups := s.groups
	s.groups = nil
	seq := s.seq
	s.seq += uint64(len(work))
	for _, g := range groups {
		s.seq += uint64(len(g.entries))
	}
	s.writeBegan = s.now()
	s.mu.Unlock()
	var encodeErr, writeErr error
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
			err = fmt.Errorf("entry %s of %d bytes is too large", key, len(value))
		}
		if err != nil {
			encodeErr = errors.Join(encodeErr, err)
			continue
		}
		seq++
		entries[key] = seal(key, seq, value)
	}
	if len(entries) > 0 {
		writeErr = s.disk.write(entries)
	}
	if writeErr == nil {
		for _, g := range groups {
			g.done()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeBegan = time.Time{}
	if s.stats.Err = ""; encodeErr != nil || writeErr != nil {
		s.stats.Err = errors.Join(encodeErr, writeErr).Error()
		s.stats.Lost++
	}
	if writeErr == nil {
		s.stats.Saved += uint64(len(entries))
		return nil
	}
	for key := range work {
		if _, newer := s.pending[key]; !newer && entries[key] != nil {
			s.pending[key] = work[key]
		}
	}
	s.groups = append(groups, s.groups...)
	return writeErr
}
