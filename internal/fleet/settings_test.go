package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `enabled = true
fleet = "f"
bind = "10.0.0.1:7946"
seeds = ["127.0.0.1:7946", "192.168.1.9:7946"]
dir = "/var/lib/quillrail"
first_loads = 3
`

// The delivered file disables the fleet, as does a missing file. A wrong setting is reported by its name, a file that can't be
// parsed by its path.
func TestSettingsAreReadAndChecked(t *testing.T) {
	s, err := Read("../../deploy/fleet.toml")
	if err != nil || s.Enabled || s.FirstLoads != 16 {
		t.Errorf("delivered file: %+v, %v", s, err)
	}
	if s, err := Read(filepath.Join(t.TempDir(), "none")); err != nil || s.Enabled {
		t.Errorf("missing file: %+v, %v", s, err)
	}
	if s, err := Parse(validSettings); err != nil || s.FirstLoads != 3 || len(s.Seeds) != 2 {
		t.Errorf("valid settings: %+v, %v", s, err)
	}
	for change, want := range map[string]string{
		`dir = "/var/lib/quillrail"|`:                        "dir",
		`fleet = "f"|`:                                       "fleet",
		`first_loads = 3|first_loads = 0`:                    "first_loads",
		`bind = "10.0.0.1:7946"|bind = "8.8.8.8:7946"`:       "bind",
		`bind = "10.0.0.1:7946"|bind = "10.0.0.1:0"`:         "bind",
		`bind = "10.0.0.1:7946"|bind = "10.0.0.1"`:           "bind",
		`seeds = ["127.0.0.1:7946"|seeds = ["8.8.8.8:7946"`:  "seeds",
		`enabled = true|enabled = true` + "\nsomething = 1":  "something",
		`seeds = ["127.0.0.1:7946"|seeds = ["gateway1:7946"`: "seeds",
	} {
		from, to, _ := strings.Cut(change, "|")
		text := strings.Replace(validSettings, from, to, 1)
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", change, err)
		}
	}
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte("enabled = tru"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("truncated file: %v", err)
	}
}
