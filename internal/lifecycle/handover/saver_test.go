package handover

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A folder that cannot be written for a while loses no state: the last one is written once the folder works again, and nobody
// has to give it anew. A newer one goes in its place at once.
func TestSaverTriesAgain(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	written := func(pause time.Duration, more int) int {
		failures := make(chan error)
		s := newSaver(dir, pause, func(err error) { failures <- err })
		s.Save(state(3))
		<-failures
		if more > 0 {
			s.next <- state(more)
			<-failures
		}
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		go func() {
			for range failures { // of the tries in between
			}
		}()
		for {
			if got, err := Load(dir, me); err == nil {
				s.Close()
				close(failures)
				return len(got.Roster.Bans)
			}
		}
	}
	if bans := written(time.Millisecond, 0); bans != 3 {
		t.Errorf("%d bans", bans)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if bans := written(time.Millisecond, 5); bans != 5 {
		t.Errorf("%d bans, where a newer state came", bans)
	}
}
