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

func opened(t *testing.T, dir string) (*Store, Found) {
	t.Helper()
	s, found, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s, found
}

// written has entries written in a new folder, one commit, and returns the file as it was before and after.
func written(t *testing.T, first, second map[string]string) (before, after []byte) {
	t.Helper()
	dir := t.TempDir()
	for i, entries := range []map[string]string{first, second} {
		s, _ := opened(t, dir)
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

// load opens a file with this text and returns what the store makes of it.
func load(t *testing.T, dir string, text []byte) (Found, error) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, File), text, 0o600); err != nil {
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

// Power is lost at any write of a commit, and any byte of it. bbolt writes the pages of data, syncs, writes one of the two
// meta pages and syncs: what lies on disk is the former file with any of the data pages, whole or torn, or all of them and
// a part of the meta page. Either the former entries are there or the new ones, whole.
func TestPowerLossAtAnyByte(t *testing.T) {
	before, after := written(t, old, newer)
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
	grown := func() []byte { // the file is made longer before a page is written
		image := make([]byte, max(len(before), len(after)))
		copy(image, before)
		return image
	}
	for range 60 { // any of the data pages, one of them torn
		image := grown()
		for _, p := range data {
			if rng.IntN(2) == 0 {
				copy(image[p*page:(p+1)*page], after[p*page:])
			}
		}
		p, cut := data[rng.IntN(len(data))], rng.IntN(page)
		copy(image[p*page:p*page+cut], after[p*page:])
		check(fmt.Sprintf("page %d torn at %d", p, cut), image)
	}
	for _, m := range meta {
		for cut := 0; cut <= 128; cut++ { // a meta page says all in its first bytes
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

// What is spoilt in the middle is refused and located, never believed: an entry is as it was written, or missing and
// named. Without the entries' own checksums this fails, since bbolt has none on its pages.
func TestSpoiltIsNeverBelieved(t *testing.T) {
	_, after := written(t, old, newer)
	rng := rand.New(rand.NewPCG(2, 1))
	dir := t.TempDir()
	refused, aside := 0, 0
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
			what = fmt.Sprint("cut at ", at)
		}
		found, err := load(t, dir, image)
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
		for k, v := range values(found) {
			if v != newer[k] && v != old[k] {
				t.Errorf("%s: %s is believed: %q", what, k, v[:min(len(v), 40)])
			}
		}
		if len(found.Refused) > 0 {
			refused++
		}
		if found.Aside != "" {
			aside++
			if _, err := os.Stat(found.Aside); err != nil {
				t.Errorf("%s: %v", what, err)
			}
		}
	}
	t.Logf("of 300 spoilt files %d were refused in part or as a whole, %d moved aside", refused, aside)
	if refused == 0 || aside == 0 {
		t.Error("nothing was refused")
	}
}
