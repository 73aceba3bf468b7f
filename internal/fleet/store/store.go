// Package store keeps on disk what a gateway has to know after a power loss: a few entries by key, the newest of each. It
// writes on a goroutine of its own, many entries with one sync, and never makes a caller wait. The file is a bbolt
// database; each entry carries its own checksum and version besides, since bbolt has none on its pages.
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
	bucket    = "entries"
	logBucket = "log"
	version   = 1
	maxValue  = 4 << 20  // bytes of an entry
	maxKeys   = 64       // besides those of the log
	maxLog    = 1 << 16  // entries of the log
	maxWaits  = 1024     // groups of entries that wait to be written
	maxFile   = 64 << 20 // bytes; a larger file is none of ours
	lockLimit = 300 * time.Millisecond
	together  = 20 * time.Millisecond // what comes within it is written with one sync
	retryPace = time.Second           // after a write that failed
	headBytes = 2 + 1 + 8 + 4 + 4
)

// Found is what a store held when it was opened.
type Found struct {
	Entries map[string][]byte
	Refused []string // what was spoilt, with its place; none of it is in Entries
	Aside   string   // where the file was moved that could not be used at all, "" if it could
}

// Stats are what a store has done.
type Stats struct {
	Saved    uint64        // entries written and synced
	Replaced uint64        // entries that a newer one of their key overtook before they were written
	Lost     uint64        // writes that failed; what they held is tried again with what is newer
	Busy     time.Duration // how long the write under way has taken so far
	Err      string        // of the last write, "" if it succeeded
}

// disk is what the store needs of a database.
type disk interface {
	load() (map[string][]byte, error)
	write(entries map[string][]byte) error
	close() error
}

// group is what is written whole, or not at all.
type group struct {
	entries map[string][]byte // nil values are removed
	done    func(error)
}

// ErrFull says that too much waits to be written.
var ErrFull = errors.New("store: too much waits to be written")

// Log is how keys begin that are of a log: there may be many of them.
const Log = "log/"

// Store is an open store. Its methods may be called from any goroutine.
type Store struct {
	d     disk
	now   func() time.Time
	retry time.Duration
	mu    sync.Mutex
	next  map[string]func() ([]byte, error)
	group []group // written in their order, before next
	seq   uint64
	stat  Stats
	busy  time.Time
	wake  chan struct{}
	quit  chan struct{}
	done  chan struct{}
}

// Open opens the store in a folder, which has to exist, or makes a new one. A file that can't be read is moved aside and
// named in Found, with what was wrong; the store is then empty. An error says that there is no store at all: the folder is
// missing, read-only or full, or another process has it.
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
	if spoilt := (*SpoiltError)(nil); errors.As(err, &spoilt) {
		found.Refused = append(found.Refused, spoilt.Error())
		found.Aside = path + ".spoilt"
		if err := os.Rename(path, found.Aside); err != nil {
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
	if len(found.Entries) > 0 { // pages have no checksums: what was read whole goes into a file whose pages are sound
		if fresh, err := renew(path, d, found.Entries, entries); err == nil {
			s.d = fresh
		}
	}
	go s.run()
	return s, found, nil
}

func newStore(d disk) *Store {
	return &Store{d: d, now: time.Now, retry: retryPace, next: map[string]func() ([]byte, error){}, wake: make(chan struct{}, 1),
		quit: make(chan struct{}), done: make(chan struct{})}
}

// Put has an entry written in place of what its key held. encode is called on the store's goroutine, later; it must not
// touch what others change.
func (s *Store) Put(key string, encode func() ([]byte, error)) {
	s.mu.Lock()
	if _, waits := s.next[key]; waits {
		s.stat.Replaced++
	}
	if len(s.next) < maxKeys {
		s.next[key] = encode
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Write has a group of entries written, with one sync, after all groups that were given before: nothing of it is overtaken. A
// nil value removes a key. done is called on the store's goroutine once they are on disk, also later where the disk fails for
// a while; not at all if the store is closed before.
func (s *Store) Write(entries map[string][]byte, done func(error)) {
	s.mu.Lock()
	full := len(s.group) >= maxWaits
	if !full {
		s.group = append(s.group, group{entries, done})
	}
	s.mu.Unlock()
	if full {
		done(ErrFull)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stats returns what the store has done.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stat
	if !s.busy.IsZero() {
		st.Busy = s.now().Sub(s.busy)
	}
	return st
}

// Close writes what waits, if the disk takes it, and closes the file; it waits for at most limit.
func (s *Store) Close(limit time.Duration) error {
	close(s.quit)
	select {
	case <-s.done:
		return s.d.close()
	case <-time.After(limit):
		return errors.New("store: the disk is still busy")
	}
}
