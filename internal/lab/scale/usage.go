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

// Usage is the seconds of processor time that a process has used, and its resident memory now.
type Usage struct{ CoreSeconds, MemoryMB float64 }

func (u Usage) since(before Usage) Usage {
	return Usage{u.CoreSeconds - before.CoreSeconds, u.MemoryMB}
}

func (u Usage) perSecond(d time.Duration) Usage {
	return Usage{u.CoreSeconds / d.Seconds(), u.MemoryMB}
}

// ownUsage returns the usage of this process.
func ownUsage() Usage {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return Usage{}
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return Usage{seconds(r.Utime) + seconds(r.Stime), residentMB(os.Getpid())}
}

const leaderRole = 2 // value of svc.fleet.agreed.role in the reply to show-stat

const (
	ticksPerSecond    = 100 // unit of the times in /proc/PID/stat, on every Linux
	statUserTimeField = 11  // index of utime among the fields after the process's name
)

// processUsage returns the usage of another process, read from /proc.
func processUsage(pid int) Usage {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < statUserTimeField+2 {
		return Usage{}
	}
	user, _ := strconv.ParseFloat(fields[statUserTimeField], 64)
	system, _ := strconv.ParseFloat(fields[statUserTimeField+1], 64)
	return Usage{(user + system) / ticksPerSecond, residentMB(pid)}
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) float64 {
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

// gatewayUsage is what a real gateway has used, sent and received (in bytes) so far, and whether it is the leader now.
type gatewayUsage struct {
	usage          Usage
	sent, received float64
	leads          bool
}

func (r *run) gatewayUsages() (out []gatewayUsage) {
	for _, g := range r.lab.Gateways {
		out = append(out, gatewayUsageOf(g))
	}
	return out
}

func gatewayUsageOf(g *lab.Gateway) gatewayUsage {
	show, err := g.SendCommand("show-stat")
	if err != nil {
		return gatewayUsage{}
	}
	return gatewayUsage{processUsage(g.Process().PID()), readGauge(show, "svc.fleet.sent_bytes"),
		readGauge(show, "svc.fleet.received_bytes"), readGauge(show, "svc.fleet.agreed.role") == leaderRole}
}

// usageSince returns what the real gateways have used since before, which is passed ago.
func (r *run) usageSince(before []gatewayUsage, passed time.Duration) (out []RealGatewayResult) {
	for i, now := range r.gatewayUsages() {
		spent := now.usage.since(before[i].usage).perSecond(passed)
		out = append(out, RealGatewayResult{Name: r.lab.Gateways[i].Name, Leads: now.leads, CorePart: spent.CoreSeconds, MemoryMB: spent.MemoryMB,
			SentPerSec: (now.sent - before[i].sent) / passed.Seconds(), ReceivedPerSec: (now.received - before[i].received) / passed.Seconds()})
	}
	return out
}

func splitLines(text string) []string { return strings.Split(strings.ReplaceAll(text, "\r", ""), "\n") }

// readGauge returns the value of a metric in the reply to show-stat, 0 if it is not there.
func readGauge(show, name string) float64 {
	for _, line := range splitLines(show) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			value, _, _ := strings.Cut(rest, "|")
			number, _ := strconv.ParseFloat(value, 64)
			return number
		}
	}
	return 0
}
