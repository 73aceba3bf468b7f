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

// Settings are the file's. ColdFrom and ColdFor are the site's, put in by the gateway.
type Settings struct {
	Enabled bool              `toml:"enabled"`
	Fleet   string            `toml:"fleet"`       // its name
	Bind    string            `toml:"bind"`        // where the others reach this gateway, host:port, datagrams and connections
	Seeds   []string          `toml:"seeds"`       // of those to ask first; one of them is enough
	Dir     string            `toml:"dir"`         // what outlives a power loss
	Via     map[string]string `toml:"via"`         // where gateways are reached that are not at the address they name: that address, the other one
	Loads   int               `toml:"first_loads"` // that the store of models bears at once from the whole fleet that comes back
	BootID  string            `toml:"boot_id"`     // the file that names the machine's boot

	Agree  Agree         `toml:"agree"`
	Change change.Limits `toml:"change"`
	Freeze Freeze        `toml:"freeze"`
	Site   Site          `toml:"site"`

	ColdFrom float64       `toml:"-"`
	ColdFor  time.Duration `toml:"-"`
}

// Agree is who holds the log of what the fleet has agreed.
type Agree struct {
	Enabled bool     `toml:"enabled"`
	Voters  []string `toml:"voters"`          // the gateways that hold it at first, 1, 3 or 5 of them
	Votes   int      `toml:"votes"`           // how many are to hold it; as many as voters where it is left out
	Replace float64  `toml:"replace_after_s"` // one that is out for so long is replaced
}

// Freeze is what all that is said of times relies on.
type Freeze struct {
	ClockBoundMs int64   `toml:"clock_bound_ms"` // no gateway's clock is off by more
	AheadS       float64 `toml:"ahead_s"`        // a period is declared so long before it begins
}

// Site is how calls are kept to sites.
type Site struct {
	Session     string        `toml:"session"`      // what names a call's session: key, tenant or function
	Lost        float64       `toml:"lost_after_s"` // a hall in which no worker serves for so long is agreed to be lost
	Restriction []Restriction `toml:"restriction"`  // this gateway's own; agreed ones come besides
}

// Restriction names calls and the halls where alone they may run.
type Restriction struct {
	Name      string   `toml:"name"`
	Tenants   []string `toml:"tenants"`
	Classes   []string `toml:"classes"`
	Functions []string `toml:"functions"`
	Sites     []string `toml:"sites"`
	Pin       bool     `toml:"pin"` // a session stays at one of them
}

const maxSeeds = 256

// Read reads the file; one that does not exist turns the fleet off.
func Read(path string) (*Settings, error) {
	return settings.ReadFile(path, Parse)
}

// Parse reads the file's text and checks it if it is enabled.
func Parse(text string) (*Settings, error) {
	s := &Settings{Loads: 16, BootID: "/proc/sys/kernel/random/boot_id", Agree: Agree{Replace: 60}, Change: change.Defaults,
		Freeze: Freeze{ClockBoundMs: 500, AheadS: 60}, Site: Site{Session: "key", Lost: 5}}
	if err := settings.DecodeTOML(text, s); err != nil {
		return nil, err
	}
	if !s.Enabled {
		return s, nil
	}
	if s.Fleet == "" || s.Dir == "" {
		return nil, fmt.Errorf("fleet and dir are needed")
	}
	if s.Loads < 1 || s.Loads > 10_000 {
		return nil, fmt.Errorf("first_loads is %d, 1 to 10000 wanted", s.Loads)
	}
	if len(s.Seeds) > maxSeeds {
		return nil, fmt.Errorf("%d seeds, %d at most", len(s.Seeds), maxSeeds)
	}
	if err := private(s.Bind); err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	for _, a := range s.Seeds {
		if err := private(a); err != nil {
			return nil, fmt.Errorf("seeds: %w", err)
		}
	}
	for named, at := range s.Via {
		if err := errors.Join(private(named), private(at)); err != nil {
			return nil, fmt.Errorf("via: %w", err)
		}
	}
	return s, s.agreed()
}

// agreed checks the settings of what is agreed.
func (s *Settings) agreed() error {
	a := &s.Agree
	if a.Enabled {
		if n := len(a.Voters); n != 1 && n != 3 && n != 5 || slices.Contains(a.Voters, "") || len(slices.Compact(slices.Sorted(slices.Values(a.Voters)))) != n {
			return fmt.Errorf("agree: voters names 1, 3 or 5 different gateways: %q", a.Voters)
		}
		if a.Votes == 0 {
			a.Votes = len(a.Voters)
		}
		if a.Votes != 1 && a.Votes != 3 && a.Votes != 5 || !(a.Replace >= 1) {
			return fmt.Errorf("agree: votes is %d (1, 3 or 5), replace_after_s %v (1 or more)", a.Votes, a.Replace)
		}
	}
	if err := s.Change.Check(); err != nil {
		return err
	}
	if f := s.Freeze; f.ClockBoundMs < 0 || f.ClockBoundMs > 60_000 || !(f.AheadS*1000 >= float64(f.ClockBoundMs)) || !(f.AheadS <= 86_400) {
		return fmt.Errorf("freeze: clock_bound_ms is %d (0 to 60000), ahead_s %v", f.ClockBoundMs, f.AheadS)
	}
	if x := s.Site; !slices.Contains([]string{"key", "tenant", "function"}, x.Session) || !(x.Lost >= 1) {
		return fmt.Errorf("site: session is %q (key, tenant or function), lost_after_s %v (1 or more)", x.Session, x.Lost)
	}
	return nil
}

// private refuses addresses that strangers could reach: what gateways tell each other is neither secret nor signed.
func private(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() && !ip.IsPrivate() {
		return fmt.Errorf("%q is neither on loopback nor in a private net; gateways talk unsecured", addr)
	}
	if port == "" || port == "0" {
		return fmt.Errorf("%q names no port", addr)
	}
	return nil
}

// bootOf returns what reads the machine's boot and the time since.
func bootOf(path string) func() (string, time.Duration) {
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
