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

// rewriteFile writes the sealed entries whose keys are in good into a new file and replaces the old file with it. If that fails,
// the old file stays in use.
func rewriteFile(path string, old *bolt, good, sealed map[string][]byte) (*bolt, error) {
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

// bolt is a bbolt database, the implementation of disk that is used outside tests.
type bolt struct{ db *bbolt.DB }

// catchPanics calls f and turns a panic into a CorruptError. bbolt panics when its pages hold invalid data, and a mapped page
// that the kernel can't read raises a fault, which SetPanicOnFault turns into a panic as well. That setting applies to the
// current goroutine only, which is enough since f reads and writes the file on the calling goroutine.
func catchPanics(location string, f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &CorruptError{location, fmt.Errorf("%v", p)}
		}
	}()
	return f()
}

func openBolt(path string) (*bolt, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > maxFile {
		return nil, &CorruptError{path, fmt.Errorf("file of %d bytes is larger than any store", info.Size())}
	}
	b := &bolt{}
	err := catchPanics(path, func() (err error) {
		b.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
		return err
	})
	var errno syscall.Errno
	if corrupt := (*CorruptError)(nil); err != nil && !errors.Is(err, berrors.ErrTimeout) && !errors.As(err, &errno) &&
		!errors.As(err, &corrupt) {
		return nil, &CorruptError{path, err} // neither the lock nor a system call failed: the file itself is corrupt
	}
	return b, err
}

// buckets holds the buckets of the file and the largest number of keys in each.
var buckets = map[string]int{bucket: maxKeys, logBucket: maxLogKeys}

// bucketOf returns the name of the bucket that holds a key.
func bucketOf(key string) []byte {
	if strings.HasPrefix(key, LogPrefix) {
		return []byte(logBucket)
	}
	return []byte(bucket)
}

func (b *bolt) load() (entries map[string][]byte, err error) {
	entries = map[string][]byte{}
	path := b.db.Path()
	err = catchPanics(path, func() error {
		return b.db.View(func(tx *bbolt.Tx) error {
			for name, limit := range buckets {
				t, n := tx.Bucket([]byte(name)), 0
				if t == nil {
					continue
				}
				err := t.ForEach(func(k, v []byte) error {
					if n++; n > limit {
						return &CorruptError{path, fmt.Errorf("more than %d entries", limit)}
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
	return catchPanics(b.db.Path(), func() error {
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

func (b *bolt) close() error { return catchPanics(b.db.Path(), b.db.Close) }
