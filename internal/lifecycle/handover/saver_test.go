package handover

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A state that cannot be written, since the folder does not exist yet, is written once the folder does, without another call of
// Save. A newer state that arrives meanwhile is written instead.
func TestSaverRetriesFailedWrite(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	savedBans := func(retryDelay time.Duration, newer int) int {
		failures := make(chan error)
		s := newSaver(dir, retryDelay, func(err error) { failures <- err })
		s.Save(testState(3))
		<-failures
		if newer > 0 {
			s.next <- testState(newer)
			<-failures
		}
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		go func() {
			for range failures { // drops those of further attempts
			}
		}()
		for {
			if got, err := Load(dir, testIdentity); err == nil {
				s.Close()
				close(failures)
				return len(got.Roster.Bans)
			}
		}
	}
	if bans := savedBans(time.Millisecond, 0); bans != 3 {
		t.Errorf("the file holds %d bans, want 3", bans)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if bans := savedBans(time.Millisecond, 5); bans != 5 {
		t.Errorf("the file holds %d bans, want the 5 of the newer state", bans)
	}
}
