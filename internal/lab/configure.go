package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// reserve returns an address on loopback that stays reserved until the lab is closed, while processes that listen on it come and
// go: a socket that is bound to it but never listens keeps the kernel from giving the port away.
func (l *Lab) reserve(ip string) (string, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	l.onClose(func() { unix.Close(fd) })
	addr := [4]byte(net.ParseIP(ip).To4())
	if err := errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1),
		unix.Bind(fd, &unix.SockaddrInet4{Addr: addr})); err != nil {
		return "", err
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s:%d", ip, at.(*unix.SockaddrInet4).Port), nil
}

// configure writes a gateway's configuration file, with the worker list of this moment.
func (l *Lab) configure(g *Gateway) error {
	last := g.bulletin.last()
	var members []any
	for _, w := range l.Workers {
		phase, started := w.listed()
		members = append(members, map[string]any{"id": w.Name(), "host_port": g.links[w.index].Addr(), "locality": hallName(w.Hall),
			"flavor": "std", "cell": 0, "phase": phase, "size": 1, "up_since_ms": started})
	}
	var halls []string
	for i := range l.Halls {
		halls = append(halls, hallName(i))
	}
	class := func(name, effect, scope string, credit int) any {
		return map[string]any{"name": name, "effect": effect, "key-scope": scope, "credit": credit, "promise-s": 0.5,
			"deadline-s": deadline.Seconds(), "late-worth": 0.2, "window-s": keyWindow.Seconds()}
	}
	g.mu.Lock()
	bulletinAddr, revision := g.bulletinAddr, g.revision
	g.mu.Unlock()
	if bulletinAddr == "" {
		bulletinAddr = g.bulletinLink.Addr()
	}
	config := map[string]any{"name": g.Name, "revision": revision, "listen": g.Addr,
		"seed":   fmt.Sprintf("%016x", l.Seed+uint64(g.index)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "bulletin": bulletinAddr,
		"known": map[string]any{"no": last, "items": []any{map[string]any{"no": last, "roster": map[string]any{"revision": 1,
			"complete": true, "members": members}}}},
		"settings": map[string]any{"azs": halls, "kinds": []string{"std"}, "balancers": len(l.Gateways) + 1, "slot-no": g.index,
			"zone": g.Hall, "classes": []any{class("read", "idempotent", "all", 1), class("command", "deduplicated", "zone", 3),
				class("once", "at_most_once", "all", 5)},
			"contract": map[string]any{"drain-grace-s": drainGrace.Seconds(), "cold-from": l.ColdFrom, "cold-s": l.ColdFor.Seconds(),
				"fall-multiple": collapseMultiple, "fall-s": collapseWindow.Seconds()},
			"customers": []any{map[string]any{"name": "demo", "share": 1}},
			"family-info": map[string]any{"keep-s": l.KeepAlive.Seconds(), "marks-cold": true, "not-loaded": "load", "orders": true,
				"free-loads": 4, "load-share": 0.3, "load-period-s": 10, "order-limit-s": 10},
			"membership-mode": "automatic",
			"policy-limits": map[string]any{"cancelling": true, "conn-idle-s": 30, "connect-timeout-s": 0.25, "max-retry-after-s": 2,
				"parallel-tries": true, "probing": !l.ProbesOff, "retry-after": true, "streams-per-conn": 32, "try-limit": 5},
			"stats": map[string]any{"how": "inline", "fields": []string{"queue", "inflight", "x1", "x0"}}}}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(g.configPath, text, 0o600)
}

// hallName returns the name of a hall; halls count from 0.
func hallName(i int) string { return fmt.Sprint("hall", i+1) }

// folder creates a folder in the lab's directory and returns its path.
func (l *Lab) folder(name string) (string, error) {
	dir := filepath.Join(l.Dir, name)
	return dir, os.MkdirAll(dir, 0o700)
}
