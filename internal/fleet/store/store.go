// Package store stores on disk the state that a gateway needs after a power loss: a small number of entries by key, the newest
// value of each. It writes on its own goroutine, several entries with one sync, and never blocks a caller. The file is a bbolt
// database. Each entry carries a checksum and a version of its own, since bbolt has no checksums on its data pages.
package store

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// File is the name of the file in the store's folder.
const File = "fleet.db"

const (
	bucket      = "entries"
	logBucket   = "log"
	version     = 1
	maxValue    = 4 << 20  // bytes of an entry's value
	maxKeys     = 64       // entries outside the log
	maxLogKeys  = 1 << 16  // entries of the log
	maxGroups   = 1024     // groups that may be pending
	maxFile     = 64 << 20 // bytes; a larger file was not written by this program
	lockTimeout = 300 * time.Millisecond
	batchWindow = 20 * time.Millisecond // entries put within this time are written with one sync
	retryDelay  = time.Second           // after a failed write
	headerBytes = 2 + 1 + 8 + 4 + 4
)

// Found is what Open found on disk.
type Found struct {
	Entries map[string][]byte
	Refused []string // for each corrupt part of the file, its location and what is wrong; none of it is in Entries
	MovedTo string   // the new path of a file that could not be used at all; "" if it was usable
}

// Stats counts the writes of a store.
type Stats struct {
	Saved    uint64        // entries written and synced
	Replaced uint64        // entries replaced by a newer one of their key before they were written
	Lost     uint64        // failed writes; their entries are written again, together with newer ones
	Busy     time.Duration // how long the write in progress has taken so far
	Err      string        // error of the last write, "" if it succeeded
}

// disk is the database as the store uses it; tests replace it.
type disk interface {
	load() (map[string][]byte, error)
	write(entries map[string][]byte) error
	close() error
}

// group is a set of entries that is written in one transaction.
type group struct {
	entries map[string][]byte // a nil value removes the key
	done    func()
}

// ErrFull is the error of a group that is refused since too many groups are pending.
var ErrFull = errors.New("store: too many groups are waiting to be written")

// LogPrefix is the prefix of the keys of log entries, which have a bucket of their own with a higher limit on keys.
const LogPrefix = "log/"

// Store is an open store. Its methods may be called from any goroutine.
type Store struct {
	disk       disk
	now        func() time.Time
	retry      time.Duration
	mu         sync.Mutex
	pending    map[string]func() ([]byte, error)
	groups     []group // written in this order, before pending
	seq        uint64
	stats      Stats
	writeBegan time.Time
	wake       chan struct{}
	quit       chan struct{}
	done       chan struct{}
}

// Open opens the store in a folder, which has to exist, and creates the file if there is none. A file that can't be read is
// renamed, and the store is then empty; Found holds the new path and what is wrong. Open returns an error if there can be no
// store at all: the folder is missing, read-only or full, or another process has the file open.
func Open(dir string) (*Store, Found, error) {
	path := filepath.Join(dir, File)
	var found Found
	d, err := openBolt(path)
	var entries map[string][]byte
	if err == nil {
		if entries, err = d.load(); err != nil {
			d.close()
		}
	}
	if corrupt := (*CorruptError)(nil); errors.As(err, &corrupt) {
		found.Refused = append(found.Refused, corrupt.Error())
		found.MovedTo = path + ".spoilt"
		if err := os.Rename(path, found.MovedTo); err != nil {
			return nil, found, fmt.Errorf("store: %w", err)
		}
		if d, err = openBolt(path); err == nil {
			entries, err = d.load()
		}
	}
	if err != nil {
		return nil, found, fmt.Errorf("store: %w", err)
	}
	s := newStore(d)
	found.Entries = map[string][]byte{}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		value, seq, err := unseal(key, entries[key])
		if err != nil {
			found.Refused = append(found.Refused, err.Error())
			continue
		}
		found.Entries[key] = value
		s.seq = max(s.seq, seq)
	}
	if len(found.Entries) > 0 { // pages have no checksums and may be damaged: valid entries are copied to a new file
		if fresh, err := rewriteFile(path, d, found.Entries, entries); err == nil {
			s.disk = fresh
		}
	}
	go s.run()
	return s, found, nil
}

func newStore(d disk) *Store {
	return &Store{disk: d, now: time.Now, retry: retryDelay, pending: map[string]func() ([]byte, error){}, wake: make(chan struct{}, 1),
		quit: make(chan struct{}), done: make(chan struct{})}
}

// Put queues an entry, which replaces the value of its key. encode is called later, on the store's goroutine; it must not
// access data that other goroutines change.
func (s *Store) Put(key string, encode func() ([]byte, error)) {
	s.mu.Lock()
	if _, replaced := s.pending[key]; replaced {
		s.stats.Replaced++
	}
	if len(s.pending) < maxKeys {
		s.pending[key] = encode
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Write queues a group of entries, to be written with one sync, after all groups queued before; no entry of a group is skipped
// for a newer one. A nil value removes a key. done is called on the store's goroutine once the group is on disk, which may be
// later if the disk fails for a while, and never if the store is closed before. When too many groups are pending, Write refuses
// the group with ErrFull, and done is not called.
func (s *Store) Write(entries map[string][]byte, done func()) error {
	s.mu.Lock()
	full := len(s.groups) >= maxGroups
	if !full {
		s.groups = append(s.groups, group{entries, done})
	}
	s.mu.Unlock()
	if full {
		return ErrFull
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// Stats returns the counters so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	if !s.writeBegan.IsZero() {
		st.Busy = s.now().Sub(s.writeBegan)
	}
	return st
}

// Close writes what is pending, if the disk accepts it, and closes the file. It waits at most limit for the write.
func (s *Store) Close(limit time.Duration) error {
	close(s.quit)
	select {
	case <-s.done:
		return s.disk.close()
	case <-time.After(limit):
		return errors.New("store: the last write did not end within the time limit")
	}
}
