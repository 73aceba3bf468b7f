// Package lifecycle starts and stops a gateway: its configuration, the order in which its parts come up, what
// SIGTERM does.
package lifecycle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"quillrail/internal/fleet"
	"quillrail/internal/settings"
	"quillrail/internal/wire/bulletin"
	"quillrail/internal/wire/opfront"
)

// Config is all that a gateway is told.
type Config struct {
	Name       string
	Listen     string
	Operator   string // where operators call, empty if nowhere
	StateDir   string // where a new process finds what the old one hands on, empty if nowhere
	Seed       uint64
	Cores      float64
	MemoryMB   int
	Sockets    int
	Bulletin   string
	Last       uint64
	Known      []bulletin.Event
	Site       *settings.Site
	Extensions *Extensions
	Fleet      *fleet.Settings // nil or not enabled: this gateway knows of no other
	ID         string          // its revision, or what is left of its text
}

// clients is the number of clients' connections that are held: the third that the platform allows them, and a
// few that are on their way out.
func (c *Config) clients() int { return c.Sockets/3 + 8 }

// own is the number of descriptors kept for the process itself and for operators.
func (c *Config) own() int {
	if c.Operator == "" {
		return ownSockets
	}
	return ownSockets + opfront.Descriptors
}

type configFile struct {
	Name     string `json:"name"`
	Revision string `json:"revision"` // the same at all gateways that have the same one, whatever else differs among them
	Listen   string `json:"listen"`
	Operator string `json:"operator"`
	Seed     string `json:"seed"`
	Limits   struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Bulletin string          `json:"bulletin"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// FromEnv reads the configuration that the platform names in the environment, the file of the MQTT front and that of the
// fleet.
func FromEnv(side, peers string) (*Config, error) {
	c, err := nodeConfig()
	if err != nil {
		return nil, err
	}
	if c.Extensions, err = ReadExtensions(side); err != nil {
		return nil, err
	}
	if c.Fleet, err = fleet.Read(peers); err != nil {
		return nil, err
	}
	if err := checkRestrictions(c); err != nil {
		return nil, fmt.Errorf("%s: %w", peers, err)
	}
	return c, nil
}

// nodeConfig reads and checks the configuration that the platform names in the environment.
func nodeConfig() (*Config, error) {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG names no file")
	}
	text, err := settings.ReadText(path)
	if err != nil {
		return nil, err
	}
	c, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if sum := sha256.Sum256(text); c.ID == "" {
		c.ID = hex.EncodeToString(sum[:4])
	}
	if name := os.Getenv("NODE_NAME"); name != "" {
		c.Name = name
	}
	if listen := os.Getenv("NODE_LISTEN"); listen != "" {
		c.Listen = listen
	}
	if operator := os.Getenv("NODE_OPERATOR"); operator != "" {
		c.Operator = operator
	}
	if c.Operator != "" { // a new version is started beside the old one only where operators are
		c.StateDir = os.Getenv("TMPDIR")
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// ParseConfig reads a configuration.
func ParseConfig(text []byte) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q is not 16 hex digits", f.Seed)
	}
	if len(f.Revision) > 64 {
		return nil, fmt.Errorf("revision has %d bytes, 64 at most", len(f.Revision))
	}
	c := &Config{Name: f.Name, ID: f.Revision, Listen: f.Listen, Operator: f.Operator, Seed: seed, Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		Sockets: f.Limits.Sockets, Bulletin: f.Bulletin}
	if c.Site, err = settings.ParseStrict(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Last, c.Known, err = bulletin.ParseKnown(f.Known, c.Site); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return c, nil
}

func (c *Config) check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.Operator != "" {
		if _, _, err := net.SplitHostPort(c.Operator); err != nil {
			return fmt.Errorf("operator: %w", err)
		}
	}
	if _, _, err := net.SplitHostPort(c.Bulletin); err != nil {
		return fmt.Errorf("bulletin: %w", err)
	}
	if c.Sockets < 64 || c.MemoryMB < 32 {
		return fmt.Errorf("limits: %d sockets and %d MB are too few", c.Sockets, c.MemoryMB)
	}
	if !(c.Cores > 0) {
		return fmt.Errorf("limits: cores is %v, wanted more than 0", c.Cores)
	}
	return nil
}
