package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports that a file or an entry holds data that this program did not write.
type CorruptError struct {
	Location string
	Err      error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt data in %s: %v", e.Location, e.Err)
}

// Unwrap returns the reason for which the data is considered corrupt.
func (e *CorruptError) Unwrap() error { return e.Err }

// seal prepends a header to a value: magic bytes (2), version (1), sequence number of the write (8), length (4), and a checksum
// (4) of these fields, the key and the value. Numbers are big-endian.
func seal(key string, seq uint64, value []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(value))
	b[0], b[1], b[2] = 'q', 'r', version
	binary.BigEndian.PutUint64(b[3:], seq)
	binary.BigEndian.PutUint32(b[11:], uint32(len(value)))
	binary.BigEndian.PutUint32(b[15:], checksum(key, b[:15], value))
	return append(b, value...)
}

func checksum(key string, head, value []byte) uint32 {
	c := crc32.Update(0, castagnoli, []byte(key))
	return crc32.Update(crc32.Update(c, castagnoli, head), castagnoli, value)
}

// unseal checks the header of a sealed value and returns the value and its sequence number.
func unseal(key string, b []byte) (value []byte, seq uint64, err error) {
	corrupt := func(format string, a ...any) error { return &CorruptError{"entry " + key, fmt.Errorf(format, a...)} }
	switch {
	case len(b) < headerBytes || b[0] != 'q' || b[1] != 'r':
		return nil, 0, corrupt("no valid header in %d bytes", len(b))
	case int64(binary.BigEndian.Uint32(b[11:])) != int64(len(b)-headerBytes):
		return nil, 0, corrupt("value of %d bytes, want %d", len(b)-headerBytes, binary.BigEndian.Uint32(b[11:]))
	case binary.BigEndian.Uint32(b[15:]) != checksum(key, b[:15], b[headerBytes:]):
		return nil, 0, corrupt("checksum")
	case b[2] != version: // intact, but written by another version of the program
		return nil, 0, corrupt("version %d, want %d", b[2], version)
	}
	return slices.Clone(b[headerBytes:]), binary.BigEndian.Uint64(b[3:]), nil
}
