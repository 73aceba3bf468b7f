package store

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func put(s *Store, key, value string) {
	s.Put(key, func() ([]byte, error) { return []byte(value), nil })
}

func mustOpen(t *testing.T, dir string) (*Store, Found) {
	t.Helper()
	s, found, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s, found
}

// filesBeforeAfter writes the entries of first and then of second into a new folder, and returns the content of the file
// before and after the second write.
func filesBeforeAfter(t *testing.T, first, second map[string]string) (before, after []byte) {
	t.Helper()
	dir := t.TempDir()
	for i, entries := range []map[string]string{first, second} {
		s, _ := mustOpen(t, dir)
		if i == 1 {
			before = read(t, dir)
		}
		for k, v := range entries {
			put(s, k, v)
		}
		if err := s.Close(10 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	return before, read(t, dir)
}

func read(t *testing.T, dir string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, File))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// load opens a store on a file with this content and returns what it found.
func load(t *testing.T, dir string, content []byte) (Found, error) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, File), content, 0o600); err != nil {
		t.Fatal(err)
	}
	s, found, err := Open(dir)
	if err == nil {
		s.Close(10 * time.Second)
	}
	os.Remove(filepath.Join(dir, File))
	return found, err
}

func values(found Found) map[string]string {
	out := map[string]string{}
	for k, v := range found.Entries {
		out[k] = string(v)
	}
	return out
}

var (
	old   = map[string]string{"incarnation": "7", "state": string(bytes.Repeat([]byte("old state "), 900))}
	newer = map[string]string{"incarnation": "8", "state": string(bytes.Repeat([]byte("new state "), 1000))}
)

const page = 4096

// Power is lost at any byte of any write of a commit. bbolt writes the data pages, syncs, writes one of the two meta pages and
// syncs again. The file is then the former one with any of the new data pages, complete or torn, or with all of them and a part
// of the meta page. Open must find either all former entries or all new ones.
func TestPowerLossAtAnyByteKeepsOldOrNewEntries(t *testing.T) {
	before, after := filesBeforeAfter(t, old, newer)
	rng := rand.New(rand.NewPCG(1, 1))
	var data, meta []int
	for p := 0; p < len(after)/page; p++ {
		if p*page >= len(before) || !bytes.Equal(before[p*page:(p+1)*page], after[p*page:(p+1)*page]) {
			if p < 2 {
				meta = append(meta, p)
			} else {
				data = append(data, p)
			}
		}
	}
	if len(data) == 0 || len(meta) == 0 {
		t.Fatalf("pages changed: %v, %v", data, meta)
	}
	dir := t.TempDir()
	seen := map[string]int{}
	check := func(what string, image []byte) {
		t.Helper()
		found, err := load(t, dir, image)
		got := values(found)
		switch {
		case err != nil || len(found.Refused) > 0:
			t.Errorf("%s: %v, %v", what, err, found.Refused)
		case maps.Equal(got, old):
			seen["former"]++
		case maps.Equal(got, newer):
			seen["new"]++
		default:
			t.Errorf("%s: neither the former entries nor the new ones", what)
		}
	}
	grown := func() []byte { // the file is extended before a page is written
		image := make([]byte, max(len(before), len(after)))
		copy(image, before)
		return image
	}
	for range 60 { // any subset of the data pages, one of them torn
		image := grown()
		for _, p := range data {
			if rng.IntN(2) == 0 {
				copy(image[p*page:(p+1)*page], after[p*page:])
			}
		}
		p, written := data[rng.IntN(len(data))], rng.IntN(page)
		copy(image[p*page:p*page+written], after[p*page:])
		check(fmt.Sprintf("page %d torn at %d", p, written), image)
	}
	for _, m := range meta {
		for cut := 0; cut <= 128; cut++ { // a meta page holds its content in the first 128 bytes
			image := grown()
			for _, p := range data {
				copy(image[p*page:(p+1)*page], after[p*page:])
			}
			if cut == 128 {
				cut = page
			}
			copy(image[m*page:m*page+cut], after[m*page:])
			check(fmt.Sprintf("meta page %d torn at %d", m, cut), image)
		}
	}
	if seen["former"] == 0 || seen["new"] == 0 {
		t.Errorf("seen: %v", seen)
	}
}

// Corrupt data is refused with its location: each entry is found as it was written, or is missing and reported. This fails
// without the checksums of the entries, since bbolt has none on its data pages.
func TestCorruptEntriesAreRefused(t *testing.T) {
	_, after := filesBeforeAfter(t, old, newer)
	rng := rand.New(rand.NewPCG(2, 1))
	dir := t.TempDir()
	refused, renamed := 0, 0
	for i := range 300 {
		image := bytes.Clone(after)
		what := ""
		switch at := rng.IntN(len(image)); i % 3 {
		case 0:
			image[at] ^= byte(1 + rng.IntN(255))
			what = fmt.Sprint("byte ", at)
		case 1:
			for k := at; k < min(len(image), at+700); k++ {
				image[k] = byte(rng.IntN(256))
			}
			what = fmt.Sprint("700 bytes from ", at)
		case 2:
			image = image[:at]
			what = fmt.Sprint("truncated at ", at)
		}
		found, err := load(t, dir, image)
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
		for k, v := range values(found) {
			if v != newer[k] && v != old[k] {
				t.Errorf("%s: corrupt entry %s was accepted: %q", what, k, v[:min(len(v), 40)])
			}
		}
		if len(found.Refused) > 0 {
			refused++
		}
		if found.MovedTo != "" {
			renamed++
			if _, err := os.Stat(found.MovedTo); err != nil {
				t.Errorf("%s: %v", what, err)
			}
		}
	}
	t.Logf("of 300 corrupt files %d were refused in part or completely, %d of these renamed", refused, renamed)
	if refused == 0 || renamed == 0 {
		t.Error("no corrupt file was refused, or none was renamed")
	}
}
