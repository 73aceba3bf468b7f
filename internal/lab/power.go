package lab

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	kept "quillrail/internal/fleet/store"
)

// joinFleet writes the file by which a gateway knows of the others, and its machine's boot.
func (g *Gateway) joinFleet() error {
	loads := 16
	if g.lab.StoreAt > 0 {
		loads = max(1, g.lab.StoreAt/2)
	}
	text := fmt.Sprintf("enabled = true\nfleet = \"lab\"\nbind = %q\ndir = %q\nboot_id = %q\nfirst_loads = %d\nseeds = [", g.peer, g.disk(),
		g.boot(), loads)
	via := "]\n[via]\n"
	agree := ""
	for i := range g.lab.Voters {
		agree += fmt.Sprintf("%q, ", g.lab.Gateways[i].Name)
	}
	if agree != "" {
		agree = "[agree]\nenabled = true\nreplace_after_s = 4.0\nvoters = [" + agree + "]\n" + g.lab.Settings
	}
	for _, o := range g.lab.Gateways {
		text += fmt.Sprintf("%q, ", o.peer)
		if o != g && g.lab.Paths {
			via += fmt.Sprintf("%q = %q\n", o.peer, g.lab.paths[g.n][o.n].tcp.Addr())
		}
	}
	err := errors.Join(os.MkdirAll(g.disk(), 0o700), os.WriteFile(filepath.Join(g.dir, "fleet.toml"), []byte(text+via+agree), 0o600))
	if _, missing := os.Stat(g.boot()); missing != nil {
		err = errors.Join(err, os.WriteFile(g.boot(), []byte("first boot\n"), 0o600))
	}
	return err
}

func (g *Gateway) disk() string { return filepath.Join(g.dir, "disk") }
func (g *Gateway) boot() string { return filepath.Join(g.dir, "boot") }

// PowerLoss ends gateways and workers at once, as a loss of power does: nobody is told, and the machines boot anew.
func (l *Lab) PowerLoss(gateways []*Gateway, workers []*Worker) {
	l.Logf("power is lost by %d gateways and %d workers", len(gateways), len(workers))
	l.count(func(c *Counts) { c.Kills += len(gateways) })
	for _, w := range workers {
		w.stop(true)
	}
	each(gateways, func(g *Gateway) error {
		p := g.Process()
		if p == nil {
			return nil
		}
		g.unwilling.Store(time.Now().UnixNano())
		g.lost.Store(time.Now().UnixNano())
		p.End(syscall.SIGKILL)
		return os.WriteFile(g.boot(), []byte(fmt.Sprintln("boot of", time.Now().UnixNano())), 0o600)
	})
}

// PowerBack starts workers, empty and cold, and gateways. It does not wait for these to take calls.
func (l *Lab) PowerBack(gateways []*Gateway, workers []*Worker) error {
	l.Logf("power is back for %d gateways and %d workers", len(gateways), len(workers))
	err := each(workers, (*Worker).Restart)
	return errors.Join(err, each(gateways, func(g *Gateway) error {
		err := g.begin()
		g.unwilling.Store(0)
		return err
	}))
}

// Disk does something to the state that a gateway has on disk: keep (a copy to come back to), old (back to that copy),
// empty, torn (cut at a byte), spoilt (bytes changed in the middle).
func (g *Gateway) Disk(what string) error {
	g.lab.Logf("%s's disk: %s", g.Name, what)
	path := filepath.Join(g.disk(), kept.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	g.lab.mu.Lock()
	at := g.lab.rng.IntN(len(text))
	g.lab.mu.Unlock()
	switch what {
	case "keep":
		return os.WriteFile(path+".kept", text, 0o600)
	case "old":
		return os.Rename(path+".kept", path)
	case "empty":
		return os.Remove(path)
	case "torn":
		return os.Truncate(path, int64(at))
	case "spoilt":
		for i := at; i < min(len(text), at+4096); i++ {
			text[i] ^= 0x5a
		}
		return os.WriteFile(path, text, 0o600)
	}
	return fmt.Errorf("lab: nothing known as %q can be done to a disk", what)
}
