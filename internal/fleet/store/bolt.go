package store

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

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
	if spoilt := (*SpoiltError)(nil); err != nil && !errors.Is(err, berrors.ErrTimeout) && !errors.As(err, &no) && !errors.As(err, &spoilt) {
		return nil, &SpoiltError{path, err} // neither the lock nor the system: the file itself
	}
	return b, err
}

// buckets are those of the file and how many keys each may have.
var buckets = map[string]int{bucket: maxKeys, logBucket: maxLog}

// bucketOf is the bucket of a key.
func bucketOf(key string) []byte {
	if strings.HasPrefix(key, Log) {
		return []byte(logBucket)
	}
	return []byte(bucket)
}

func (b *bolt) load() (entries map[string][]byte, err error) {
	entries = map[string][]byte{}
	path := b.db.Path()
	err = guarded(path, func() error {
		return b.db.View(func(tx *bbolt.Tx) error {
			for name, most := range buckets {
				t, n := tx.Bucket([]byte(name)), 0
				if t == nil {
					continue
				}
				err := t.ForEach(func(k, v []byte) error {
					if n++; n > most {
						return &SpoiltError{path, fmt.Errorf("more than %d entries", most)}
					}
					entries[string(k)] = slices.Clone(v)
					return nil
				})
				if err != nil {
					return err
				}
			}
			return nil
		})
	})
	return entries, err
}

func (b *bolt) write(entries map[string][]byte) error {
	return guarded(b.db.Path(), func() error {
		return b.db.Update(func(tx *bbolt.Tx) error {
			for _, key := range slices.Sorted(maps.Keys(entries)) {
				t, err := tx.CreateBucketIfNotExists(bucketOf(key))
				if err != nil {
					return err
				}
				if entries[key] == nil {
					err = t.Delete([]byte(key))
				} else {
					err = t.Put([]byte(key), entries[key])
				}
				if err != nil {
					return err
				}
			}
			return nil
		})
	})
}

func (b *bolt) close() error { return guarded(b.db.Path(), b.db.Close) }
