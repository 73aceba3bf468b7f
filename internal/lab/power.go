package lab

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	fleetstore "quillrail/internal/fleet/store"
)

// writeFleetConfig writes a gateway's fleet.toml, which lists its peers, and creates the file with its machine's boot identity.
func (g *Gateway) writeFleetConfig() error {
	firstLoads := 16
	if g.lab.StoreLimit > 0 {
		firstLoads = max(1, g.lab.StoreLimit/2)
	}
	text := fmt.Sprintf("enabled = true\nfleet = \"lab\"\nbind = %q\ndir = %q\nboot_id = %q\nfirst_loads = %d\nseeds = [",
		g.peerAddr, g.diskDir(), g.bootFile(), firstLoads)
	via := "]\n[via]\n"
	agreement := ""
	for i := range g.lab.Voters {
		agreement += fmt.Sprintf("%q, ", g.lab.Gateways[i].Name)
	}
	if agreement != "" {
		agreement = "[agree]\nenabled = true\nreplace_after_s = 4.0\nvoters = [" + agreement + "]\n" + g.lab.FleetSettings
	}
	for _, other := range g.lab.Gateways {
		text += fmt.Sprintf("%q, ", other.peerAddr)
		if other != g && g.lab.PeerRelays {
			via += fmt.Sprintf("%q = %q\n", other.peerAddr, g.lab.paths[g.index][other.index].tcp.Addr())
		}
	}
	err := errors.Join(os.MkdirAll(g.diskDir(), 0o700), os.WriteFile(filepath.Join(g.dir, "fleet.toml"), []byte(text+via+agreement), 0o600))
	if _, missing := os.Stat(g.bootFile()); missing != nil {
		err = errors.Join(err, os.WriteFile(g.bootFile(), []byte("first boot\n"), 0o600))
	}
	return err
}

func (g *Gateway) diskDir() string  { return filepath.Join(g.dir, "disk") }
func (g *Gateway) bootFile() string { return filepath.Join(g.dir, "boot") }

// PowerLoss ends gateways and workers at once without a notice to anybody, as a loss of power does. The gateways' boot identities
// change, since their machines boot anew.
func (l *Lab) PowerLoss(gateways []*Gateway, workers []*Worker) {
	l.Logf("%d gateways and %d workers lose power", len(gateways), len(workers))
	l.count(func(c *Counts) { c.Kills += len(gateways) })
	for _, w := range workers {
		w.stop(true)
	}
	each(gateways, func(g *Gateway) error {
		p := g.Process()
		if p == nil {
			return nil
		}
		g.downSince.Store(time.Now().UnixNano())
		g.interruptedAt.Store(time.Now().UnixNano())
		p.End(syscall.SIGKILL)
		return os.WriteFile(g.bootFile(), []byte(fmt.Sprintln("boot of", time.Now().UnixNano())), 0o600)
	})
}

// PowerRestore starts workers, empty and cold, and gateways. It doesn't wait until the gateways accept calls.
func (l *Lab) PowerRestore(gateways []*Gateway, workers []*Worker) error {
	l.Logf("%d gateways and %d workers get power again", len(gateways), len(workers))
	err := each(workers, (*Worker).Restart)
	return errors.Join(err, each(gateways, func(g *Gateway) error {
		err := g.startProcess()
		g.downSince.Store(0)
		return err
	}))
}

// AlterDisk changes the state that a gateway has on disk. change is keep (store a copy for old), old (restore that copy), empty
// (remove the state), torn (truncate it at a random byte) or spoilt (invert bits of up to 4 KiB from a random byte on).
func (g *Gateway) AlterDisk(change string) error {
	g.lab.Logf("state on the disk of %s is altered: %s", g.Name, change)
	path := filepath.Join(g.diskDir(), fleetstore.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	g.lab.mu.Lock()
	offset := g.lab.rng.IntN(len(text))
	g.lab.mu.Unlock()
	switch change {
	case "keep":
		return os.WriteFile(path+".kept", text, 0o600)
	case "old":
		return os.Rename(path+".kept", path)
	case "empty":
		return os.Remove(path)
	case "torn":
		return os.Truncate(path, int64(offset))
	case "spoilt":
		for i := offset; i < min(len(text), offset+4096); i++ {
			text[i] ^= 0x5a
		}
		return os.WriteFile(path, text, 0o600)
	}
	return fmt.Errorf("lab: unknown change of a disk: %q, want keep, old, empty, torn or spoilt", change)
}
