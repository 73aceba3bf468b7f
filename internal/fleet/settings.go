package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"golang.org/x/sys/unix"
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

	ColdFrom float64       `toml:"-"`
	ColdFor  time.Duration `toml:"-"`
}

const maxSeeds = 256

// Read reads the file; one that does not exist turns the fleet off.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return &Settings{}, nil
	}
	if err != nil {
		return nil, err
	}
	s, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads the file's text and checks it if it is enabled.
func Parse(text string) (*Settings, error) {
	s := &Settings{Loads: 16, BootID: "/proc/sys/kernel/random/boot_id"}
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("unknown key %s", unknown[0])
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
	return s, nil
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
