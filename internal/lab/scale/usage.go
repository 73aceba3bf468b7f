package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"quillrail/internal/lab"
)

// Usage is what a process has used: seconds of processor time, and memory that is resident now.
type Usage struct{ Core, MemoryMB float64 }

func (u Usage) since(before Usage) Usage { return Usage{u.Core - before.Core, u.MemoryMB} }

func (u Usage) perSecond(d time.Duration) Usage { return Usage{u.Core / d.Seconds(), u.MemoryMB} }

// usage is that of this process.
func usage() Usage {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return Usage{}
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return Usage{seconds(r.Utime) + seconds(r.Stime), resident(os.Getpid())}
}

const leaderRole = 2 // as show-stat has it

const (
	ticksPerSecond = 100 // of /proc, on every Linux
	statTimes      = 11  // place of utime among the fields behind the name
)

// usageOf is that of another process, by /proc.
func usageOf(pid int) Usage {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < statTimes+2 {
		return Usage{}
	}
	user, _ := strconv.ParseFloat(fields[statTimes], 64)
	system, _ := strconv.ParseFloat(fields[statTimes+1], 64)
	return Usage{(user + system) / ticksPerSecond, resident(pid)}
}

// resident is the memory of a process in MB.
func resident(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// role is what a real gateway has used and sent by a moment.
type role struct {
	usage     Usage
	sent, got float64
	leads     bool
}

func (r *run) roles() (out []role) {
	for _, g := range r.lab.Gateways {
		out = append(out, roleOf(g))
	}
	return out
}

func roleOf(g *lab.Gateway) role {
	show, err := g.Ask("show-stat")
	if err != nil {
		return role{}
	}
	return role{usageOf(g.Process().PID()), gauge(show, "svc.fleet.sent_bytes"), gauge(show, "svc.fleet.received_bytes"), gauge(show, "svc.fleet.agreed.role") == leaderRole}
}

// rolesSince is what the real gateways have used since.
func (r *run) rolesSince(before []role, passed time.Duration) (out []RoleResult) {
	for i, now := range r.roles() {
		u := now.usage.since(before[i].usage).perSecond(passed)
		out = append(out, RoleResult{Name: r.lab.Gateways[i].Name, Leads: now.leads, CorePart: u.Core, MemoryMB: u.MemoryMB,
			SentPerSec: (now.sent - before[i].sent) / passed.Seconds(), GotPerSec: (now.got - before[i].got) / passed.Seconds()})
	}
	return out
}

func lines(text string) []string { return strings.Split(strings.ReplaceAll(text, "\r", ""), "\n") }

// gauge reads a figure of show-stat.
func gauge(show, name string) float64 {
	for _, line := range lines(show) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			value, _, _ := strings.Cut(rest, "|")
			v, _ := strconv.ParseFloat(value, 64)
			return v
		}
	}
	return 0
}
