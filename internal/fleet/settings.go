package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"quillrail/internal/fleet/change"
	"quillrail/internal/settings"
)

// Settings are the settings of the fleet's file (fleet.toml). The gateway sets ColdFrom and ColdFor from the site's settings.
type Settings struct {
	Enabled    bool              `toml:"enabled"`
	Fleet      string            `toml:"fleet"`       // name of the fleet
	Bind       string            `toml:"bind"`        // host:port at which this gateway receives datagrams and connections from others
	Seeds      []string          `toml:"seeds"`       // host:port of gateways to contact first; one that answers is enough
	Dir        string            `toml:"dir"`         // folder of the state that has to survive a power loss
	Via        map[string]string `toml:"via"`         // maps the address that a gateway announces to the one where it is reached
	FirstLoads int               `toml:"first_loads"` // first loads that the store of models can serve at once for a whole recovering fleet
	BootID     string            `toml:"boot_id"`     // file with the id of the machine's boot

	Agree  Agreement     `toml:"agree"`
	Change change.Limits `toml:"change"`
	Freeze Freeze        `toml:"freeze"`
	Site   Site          `toml:"site"`

	ColdFrom float64       `toml:"-"`
	ColdFor  time.Duration `toml:"-"`
}

// Agreement states which gateways vote on and store the log of what the fleet has agreed.
type Agreement struct {
	Enabled       bool     `toml:"enabled"`
	Voters        []string `toml:"voters"`          // the first voters: 1, 3 or 5 gateways
	VoterCount    int      `toml:"votes"`           // how many voters there are to be; the number of first voters by default
	ReplaceAfterS float64  `toml:"replace_after_s"` // a voter that is unavailable for this time is replaced
}

// Freeze holds the assumptions about clocks on which frozen periods rely.
type Freeze struct {
	ClockBoundMs int64   `toml:"clock_bound_ms"` // largest error of any gateway's clock
	AheadS       float64 `toml:"ahead_s"`        // a period has to be declared this long before it begins
}

// Site configures the restriction of calls to sites.
type Site struct {
	Session     string        `toml:"session"`      // what identifies a call's session: key, tenant or function
	LostAfterS  float64       `toml:"lost_after_s"` // a hall in which no worker has served for this time is agreed to be lost
	Restriction []Restriction `toml:"restriction"`  // this gateway's own restrictions, in addition to the agreed ones
}

// Restriction selects calls and lists the only halls where they may run.
type Restriction struct {
	Name      string   `toml:"name"`
	Tenants   []string `toml:"tenants"`
	Classes   []string `toml:"classes"`
	Functions []string `toml:"functions"`
	Sites     []string `toml:"sites"`
	Pin       bool     `toml:"pin"` // all calls of a session run in the same one of these halls
}

const maxSeeds = 256

// Read reads the settings from a file. If the file does not exist, the fleet is disabled.
func Read(path string) (*Settings, error) {
	return settings.ReadFile(path, Parse)
}

// Parse decodes the text of the file. The settings are checked only if the fleet is enabled.
func Parse(text string) (*Settings, error) {
	s := &Settings{FirstLoads: 16, BootID: "/proc/sys/kernel/random/boot_id", Agree: Agreement{ReplaceAfterS: 60}, Change: change.DefaultLimits,
		Freeze: Freeze{ClockBoundMs: 500, AheadS: 60}, Site: Site{Session: "key", LostAfterS: 5}}
	if err := settings.DecodeTOML(text, s); err != nil {
		return nil, err
	}
	if !s.Enabled {
		return s, nil
	}
	if s.Fleet == "" || s.Dir == "" {
		return nil, fmt.Errorf("fleet and dir must be set")
	}
	if s.FirstLoads < 1 || s.FirstLoads > 10_000 {
		return nil, fmt.Errorf("first_loads is %d, want 1 to 10000", s.FirstLoads)
	}
	if len(s.Seeds) > maxSeeds {
		return nil, fmt.Errorf("%d seeds, want %d at most", len(s.Seeds), maxSeeds)
	}
	if err := checkPrivate(s.Bind); err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	for _, a := range s.Seeds {
		if err := checkPrivate(a); err != nil {
			return nil, fmt.Errorf("seeds: %w", err)
		}
	}
	for announced, reached := range s.Via {
		if err := errors.Join(checkPrivate(announced), checkPrivate(reached)); err != nil {
			return nil, fmt.Errorf("via: %w", err)
		}
	}
	return s, s.checkSections()
}

// checkSections checks the sections agree, change, freeze and site, and sets the default of votes.
func (s *Settings) checkSections() error {
	a := &s.Agree
	if a.Enabled {
		if n := len(a.Voters); n != 1 && n != 3 && n != 5 || slices.Contains(a.Voters, "") ||
			len(slices.Compact(slices.Sorted(slices.Values(a.Voters)))) != n {
			return fmt.Errorf("agree: voters is %q, want 1, 3 or 5 different gateways", a.Voters)
		}
		if a.VoterCount == 0 {
			a.VoterCount = len(a.Voters)
		}
		if a.VoterCount != 1 && a.VoterCount != 3 && a.VoterCount != 5 || !(a.ReplaceAfterS >= 1) {
			return fmt.Errorf("agree: votes is %d (want 1, 3 or 5), replace_after_s is %v (want 1 or more)", a.VoterCount, a.ReplaceAfterS)
		}
	}
	if err := s.Change.Check(); err != nil {
		return err
	}
	if f := s.Freeze; f.ClockBoundMs < 0 || f.ClockBoundMs > 60_000 || !(f.AheadS*1000 >= float64(f.ClockBoundMs)) || !(f.AheadS <= 86_400) {
		return fmt.Errorf("freeze: clock_bound_ms is %d (want 0 to 60000), ahead_s is %v (want the clock bound to 86400)",
			f.ClockBoundMs, f.AheadS)
	}
	if site := s.Site; !slices.Contains([]string{"key", "tenant", "function"}, site.Session) || !(site.LostAfterS >= 1) {
		return fmt.Errorf("site: session is %q (want key, tenant or function), lost_after_s is %v (want 1 or more)",
			site.Session, site.LostAfterS)
	}
	return nil
}

// checkPrivate rejects addresses that can be reached from public networks, since messages between gateways are neither encrypted
// nor authenticated.
func checkPrivate(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() && !ip.IsPrivate() {
		return fmt.Errorf("%q is neither on loopback nor in a private network; messages between gateways are not secured", addr)
	}
	if port == "" || port == "0" {
		return fmt.Errorf("%q has no port", addr)
	}
	return nil
}

// bootReader returns a function that returns the id of the machine's boot, read once from the file at path ("" if that fails), and
// the time since the boot.
func bootReader(path string) func() (string, time.Duration) {
	text, err := os.ReadFile(path)
	boot := strings.TrimSpace(string(text))
	if err != nil {
		boot = ""
	}
	return func() (string, time.Duration) {
		var ts unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
			return "", 0
		}
		return boot, time.Duration(ts.Nano())
	}
}
