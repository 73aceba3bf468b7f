package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["operator-at-start"] = operatorAtStart }

// operatorAtStart: a gateway of a fleet dies and comes back, while an operator repeats a call at its door until it is answered with yes.
func operatorAtStart(r *rig) (string, error) {
	f := newFleet(r, 12, 3)
	var binds []string
	for range 3 {
		binds = append(binds, freeAddr())
	}
	var gs []*gateway
	var ps []*process
	var addrs []string
	var err error
	for i := range 3 {
		b := newBulletin(r, fmt.Sprint(i))
		dir := filepath.Join(r.tmp, fmt.Sprint("disk", i))
		os.MkdirAll(dir, 0o755)
		file := filepath.Join(r.tmp, fmt.Sprint("fleet", i, ".toml"))
		text := fmt.Sprintf("enabled = true\nfleet = \"example\"\nbind = %q\nseeds = [\"%s\"]\ndir = %q\nfirst_loads = 16\nboot_id = \"/proc/sys/kernel/random/boot_id\"\n",
			binds[i], strings.Join(binds, `", "`), dir)
		os.WriteFile(file, []byte(text), 0o644)
		s := rigaSettings(3, i, i)
		g := &gateway{name: fmt.Sprint("n", i), listen: freeAddr(), operator: freeAddr(), bulletin: b.addr, dir: filepath.Join(r.tmp, fmt.Sprint("n", i)), settings: s,
			known: f.known(rigaHalls, s["kinds"].([]string)), flags: " --fleet " + file}
		p, err := r.beginGateway(g)
		if err != nil {
			return "", err
		}
		gs, ps, addrs = append(gs, g), append(ps, p), append(addrs, g.listen)
	}
	for i, g := range gs {
		if err := r.awaitGateway(g, ps[i]); err != nil {
			return "", err
		}
	}
	l := rigaLoad(r, 60, addrs...)
	l.begin()
	time.Sleep(5 * time.Second)
	crashes := 0
	for round := range 3 {
		g := gs[0]
		r.logf("n0 is killed")
		ps[0].signal(sigkill)
		<-ps[0].exited
		time.Sleep(2 * time.Second)
		os.RemoveAll(g.dir)
		if ps[0], err = r.beginGateway(g); err != nil {
			return "", err
		}
		began := time.Now()
		answer := ""
		if r.trouble {
			for time.Since(began) < 10*time.Second && answer != "SUCCESS" {
				select {
				case <-ps[0].exited:
					crashes++
					r.breakRule("round %d: n0 ended by itself %.2f s after its start: %s", round, time.Since(began).Seconds(), lastPanic(r.gatewayLog("n0")))
					answer = "SUCCESS"
				default:
					answer = operatorCall(g.operator, "disable-server s-00000001")
					r.logf("operator: disable-server s-00000001: %q, %.3f s after the start", answer, time.Since(began).Seconds())
					time.Sleep(100 * time.Millisecond)
				}
			}
		}
		select {
		case <-ps[0].exited:
			if ps[0], err = r.beginGateway(g); err != nil {
				return "", err
			}
		case <-time.After(50 * time.Millisecond):
		}
		if err := r.awaitGateway(g, ps[0]); err != nil {
			return "", err
		}
		r.logf("n0 is ready %.2f s after its start", time.Since(began).Seconds())
		operatorCall(g.operator, "enable-server s-00000001")
		time.Sleep(2 * time.Second)
	}
	return fmt.Sprintf("%s; n0 ended by itself after %d of 3 starts", l.end(), crashes), nil
}

func lastPanic(log string) string {
	for _, line := range strings.Split(log, "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return line
		}
	}
	return "no panic"
}
