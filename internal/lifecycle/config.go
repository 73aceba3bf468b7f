// Package lifecycle starts and stops a gateway. It reads the configuration, starts the parts in order, and drains the gateway
// at SIGTERM.
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

// Config is the complete configuration of a gateway.
type Config struct {
	Name        string
	Listen      string
	Operator    string // address of the operator listener, empty for none
	StateDir    string // folder through which a process hands over to the next one, empty for no handover
	Seed        uint64
	Cores       float64
	MemoryMB    int
	Sockets     int
	Bulletin    string
	LastEvent   uint64
	KnownEvents []bulletin.Event
	Site        *settings.Site
	Extensions  *Extensions
	Fleet       *fleet.Settings // nil or not enabled: this gateway belongs to no fleet
	Revision    string          // as the file names it, or else a short hash of the file's text
}

// clientSockets returns how many client connections are held at most: a third of all sockets, which the platform grants to clients,
// and 8 more for connections that are being closed.
func (c *Config) clientSockets() int { return c.Sockets/3 + 8 }

// maxHeldCalls returns how many calls may wait for a worker at most. Each takes the place of a client connection. The other places are
// for calls at workers and for new clients: one that finds no place waits unseen, and is not even refused.
func (c *Config) maxHeldCalls() int { return c.clientSockets() / 2 }

// reservedSockets returns how many descriptors are reserved for the process itself and for operators.
func (c *Config) reservedSockets() int {
	if c.Operator == "" {
		return processSockets
	}
	return processSockets + opfront.Descriptors
}

type configFile struct {
	Name     string `json:"name"`
	Revision string `json:"revision"` // equal at all gateways with the same revision, although name and addresses differ
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

// FromEnv reads the configuration file that the environment variable NODE_CONFIG names, the file of the extensions and that of the
// fleet.
func FromEnv(mqttPath, fleetPath string) (*Config, error) {
	c, err := readNodeConfig()
	if err != nil {
		return nil, err
	}
	if c.Extensions, err = ReadExtensions(mqttPath); err != nil {
		return nil, err
	}
	if c.Fleet, err = fleet.Read(fleetPath); err != nil {
		return nil, err
	}
	if err := checkRestrictions(c); err != nil {
		return nil, fmt.Errorf("%s: %w", fleetPath, err)
	}
	return c, nil
}

// readNodeConfig reads the configuration file that NODE_CONFIG names, applies the other NODE_ variables, and checks the result.
func readNodeConfig() (*Config, error) {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("environment variable NODE_CONFIG is empty, expected the path of a file")
	}
	text, err := settings.ReadText(path)
	if err != nil {
		return nil, err
	}
	c, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if sum := sha256.Sum256(text); c.Revision == "" {
		c.Revision = hex.EncodeToString(sum[:4])
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
	if c.Operator != "" { // a new version is started beside the old one only if there is an operator listener
		c.StateDir = os.Getenv("TMPDIR")
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// ParseConfig parses the text of a configuration file.
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
		return nil, fmt.Errorf("revision has %d bytes, at most 64 are allowed", len(f.Revision))
	}
	c := &Config{Name: f.Name, Revision: f.Revision, Listen: f.Listen, Operator: f.Operator, Seed: seed, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Bulletin: f.Bulletin}
	if c.Site, err = settings.ParseStrict(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.Site.Decide.MaxHeld = c.maxHeldCalls()
	if c.LastEvent, c.KnownEvents, err = bulletin.ParseKnown(f.Known, c.Site); err != nil {
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
		return fmt.Errorf("limits: sockets is %d and memory_mb is %d, expected at least 64 and 32", c.Sockets, c.MemoryMB)
	}
	if !(c.Cores > 0) {
		return fmt.Errorf("limits: cores is %v, expected more than 0", c.Cores)
	}
	return nil
}
