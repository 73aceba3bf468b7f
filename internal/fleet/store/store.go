// Package store keeps on disk what a gateway has to know after a power loss: a few entries by key, the newest of each. It
// writes on a goroutine of its own, many entries with one sync, and never makes a caller wait. The file is a bbolt
// database; each entry carries its own checksum and version besides, since bbolt has none on its pages.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
)

// File is the name of the file in the store's folder.
const File = "fleet.db"

const (
	bucket    = "entries"
	version   = 1
	maxValue  = 4 << 20 // bytes of an entry
	maxKeys   = 64
	maxFile   = 64 << 20 // bytes; a larger file is none of ours
	lockLimit = 300 * time.Millisecond
	group     = 20 * time.Millisecond // what comes within it is written with one sync
	retryPace = time.Second           // after a write that failed
	headBytes = 2 + 1 + 8 + 4 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

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

// Store is an open store. Its methods may be called from any goroutine.
type Store struct {
	d     disk
	now   func() time.Time
	retry time.Duration
	mu    sync.Mutex
	next  map[string]func() ([]byte, error)
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

// renew writes entries into a new file in place of the old one, which is kept where that fails.
func renew(path string, old *bolt, good, sealed map[string][]byte) (*bolt, error) {
	os.Remove(path + ".new")
	fresh, err := openBolt(path + ".new")
	if err != nil {
		return nil, err
	}
	sealed = maps.Clone(sealed)
	maps.DeleteFunc(sealed, func(key string, _ []byte) bool { _, ok := good[key]; return !ok })
	if err = fresh.write(sealed); err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		fresh.close()
		return nil, err
	}
	old.close()
	return fresh, nil
}

func newStore(d disk) *Store {
	return &Store{d: d, now: time.Now, retry: retryPace, next: map[string]func() ([]byte, error){}, wake: make(chan struct{}, 1),
		quit: make(chan struct{}), done: make(chan struct{})}
}

// SpoiltError says that a file holds what was never written there.
type SpoiltError struct {
	Place string
	Why   error
}

func (e *SpoiltError) Error() string { return fmt.Sprintf("spoilt at %s: %v", e.Place, e.Why) }
func (e *SpoiltError) Unwrap() error { return e.Why }

// seal wraps a value: magic, version, number of the write, length, checksum of all of that with the key, value.
func seal(key string, seq uint64, value []byte) []byte {
	b := make([]byte, headBytes, headBytes+len(value))
	b[0], b[1], b[2] = 'q', 'r', version
	binary.BigEndian.PutUint64(b[3:], seq)
	binary.BigEndian.PutUint32(b[11:], uint32(len(value)))
	binary.BigEndian.PutUint32(b[15:], sum(key, b[:15], value))
	return append(b, value...)
}

func sum(key string, head, value []byte) uint32 {
	c := crc32.Update(0, castagnoli, []byte(key))
	return crc32.Update(crc32.Update(c, castagnoli, head), castagnoli, value)
}

func unseal(key string, b []byte) (value []byte, seq uint64, err error) {
	spoilt := func(format string, a ...any) error { return &SpoiltError{"entry " + key, fmt.Errorf(format, a...)} }
	switch {
	case len(b) < headBytes || b[0] != 'q' || b[1] != 'r':
		return nil, 0, spoilt("no entry in %d bytes", len(b))
	case int64(binary.BigEndian.Uint32(b[11:])) != int64(len(b)-headBytes):
		return nil, 0, spoilt("%d bytes, not %d", len(b)-headBytes, binary.BigEndian.Uint32(b[11:]))
	case binary.BigEndian.Uint32(b[15:]) != sum(key, b[:15], b[headBytes:]):
		return nil, 0, spoilt("checksum")
	case b[2] != version: // sound, and of another program
		return nil, 0, spoilt("version %d, not %d", b[2], version)
	}
	return slices.Clone(b[headBytes:]), binary.BigEndian.Uint64(b[3:]), nil
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

func (s *Store) run() {
	defer close(s.done)
	for {
		last := false
		select {
		case <-s.quit:
			last = true
		case <-s.wake:
		}
		if !last {
			select {
			case <-time.After(group):
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

// commit writes what waits. What can't be written is tried again, unless something newer has come; what can't be encoded
// never will be.
func (s *Store) commit() error {
	s.mu.Lock()
	work := s.next
	s.next = map[string]func() ([]byte, error){}
	seq := s.seq
	s.seq += uint64(len(work))
	s.busy = s.now()
	s.mu.Unlock()
	var bad, failed error
	entries := map[string][]byte{}
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
	for key := range entries {
		if _, newer := s.next[key]; !newer {
			s.next[key] = work[key]
		}
	}
	return failed
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

// bolt is the database on disk.
type bolt struct{ db *bbolt.DB }

// guarded calls f, and makes an error of what bbolt panics with when its pages hold nonsense, also of a page that the
// kernel can't read. Entries are read and written on one goroutine at a time, so that the setting is its own.
func guarded(place string, f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &SpoiltError{place, fmt.Errorf("%v", p)}
		}
	}()
	return f()
}

func openBolt(path string) (*bolt, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > maxFile {
		return nil, &SpoiltError{path, fmt.Errorf("%d bytes", info.Size())}
	}
	b := &bolt{}
	err := guarded(path, func() (err error) {
		b.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockLimit, FreelistType: bbolt.FreelistMapType})
		return err
	})
	var no syscall.Errno
	if spoilt := (*SpoiltError)(nil); err != nil && !errors.Is(err, bbolt.ErrTimeout) && !errors.As(err, &no) && !errors.As(err, &spoilt) {
		return nil, &SpoiltError{path, err} // neither the lock nor the system: the file itself
	}
	return b, err
}

func (b *bolt) load() (entries map[string][]byte, err error) {
	entries = map[string][]byte{}
	path := b.db.Path()
	err = guarded(path, func() error {
		return b.db.View(func(tx *bbolt.Tx) error {
			t := tx.Bucket([]byte(bucket))
			if t == nil {
				return nil
			}
			return t.ForEach(func(k, v []byte) error {
				if len(entries) >= maxKeys {
					return &SpoiltError{path, fmt.Errorf("more than %d entries", maxKeys)}
				}
				entries[string(k)] = slices.Clone(v)
				return nil
			})
		})
	})
	return entries, err
}

func (b *bolt) write(entries map[string][]byte) error {
	return guarded(b.db.Path(), func() error {
		return b.db.Update(func(tx *bbolt.Tx) error {
			t, err := tx.CreateBucketIfNotExists([]byte(bucket))
			for _, key := range slices.Sorted(maps.Keys(entries)) {
				if err == nil {
					err = t.Put([]byte(key), entries[key])
				}
			}
			return err
		})
	})
}

func (b *bolt) close() error { return guarded(b.db.Path(), b.db.Close) }
