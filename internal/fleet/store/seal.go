package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// SpoiltError says that a file holds what was never written there.
type SpoiltError struct {
	Place string
	Why   error
}

func (e *SpoiltError) Error() string { return fmt.Sprintf("spoilt at %s: %v", e.Place, e.Why) }

// Unwrap is why it is held to be spoilt.
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
