// Package scale measures the cost of controlling a large fleet. It measures single routers with many workers and functions, and fleets
// of hollow gateways. A hollow gateway runs the real packages for membership, the replicated log and its reports, but has no clients
// or workers, so that one process can hold many. Real gateways run beside them, serve calls and are the log's voters. Results are
// valid only for the machine on which they were measured.
package scale

import "time"

// Target is the fleet that the design has to support in about two years, as the operators have specified it.
var Target = struct {
	Gateways, Workers, Functions, Regions, Zones int
	CallsPerSec, ChangesPerDay                   float64
	InForce                                      time.Duration // until a change of the configuration is in force everywhere, at most
	CorePart                                     float64       // of a core, the most that a gateway may use for controlling the fleet
	MemoryMB                                     float64
	BytesPerSec                                  float64
	ReplacedPerDay                               float64 // machines
}{1200, 81_000, 41_000, 6, 15, 220_000, 4300, 6 * time.Second, 0.022, 32, 9000, 110}

// CallsPerGateway returns the calls per second of a gateway of the target.
func CallsPerGateway() float64 { return Target.CallsPerSec / float64(Target.Gateways) }

// Options state what is measured. Sizes are measured in their order.
type Options struct {
	Program      []string // the command that starts a real gateway
	Env          []string // added to its environment
	Dir          string   // for the real gateways' files
	Seed         uint64
	Gateways     []int         // sizes of the fleet, growing, the real gateways included
	Workers      []int         // sizes of a router's worker list
	Functions    []int         // numbers of functions of a router
	Settle       time.Duration // pause before a measurement, since updates about gateways that have joined spread for a while
	Window       time.Duration // length of each measurement of a fleet
	Changes      int           // changes of the configuration in each window
	PartitionFor time.Duration // length of a region's partition at the largest size, 0 for none
	Calls        int           // calls of each router
	Log          func(format string, args ...any)
}

// Defaults are the sizes up to the target.
var Defaults = Options{Seed: 1, Gateways: []int{75, 150, 300, 600, 1200}, Workers: []int{1000, 10_000, 81_000},
	Functions: []int{1000, 10_000, 41_000}, Settle: 15 * time.Second, Window: 10 * time.Second, Changes: 10,
	PartitionFor: time.Minute, Calls: 5000}

// Result contains all measurements of a run.
type Result struct {
	Machine string         `json:"machine"`
	Routers []RouterResult `json:"routers"`
	Fleets  []FleetResult  `json:"fleets"`
	Events  []EventResult  `json:"events"`
	Limits  []string       `json:"limits"` // where the machine, and not the program, was the limit
}

// RouterResult is the cost of one router. Times are microseconds that the router itself takes, memory is in bytes of heap.
type RouterResult struct {
	Workers       int     `json:"workers"`
	Functions     int     `json:"functions"`
	ListUs        float64 `json:"list_us"`        // to take the whole worker list
	ListBytes     uint64  `json:"list_bytes"`     // heap for the worker list
	FirstUs       float64 `json:"first_us"`       // the first call of a function, median
	NextUs        float64 `json:"next_us"`        // the next call of a function, median
	CallUs        float64 `json:"call_us"`        // a call with the target's skew, its answer and timers included, mean
	AfterUs       float64 `json:"after_us"`       // the first call of a function after a change of the list, median
	ChangeUs      float64 `json:"change_us"`      // one change of the list, median
	TimerUs       float64 `json:"timer_us"`       // one run of the timer, median
	FunctionBytes uint64  `json:"function_bytes"` // heap for a function that is called
	CorePart      float64 `json:"core_part"`      // of a core, at the target's rates of calls and list changes
}

// FleetResult is the cost of a fleet of one size.
type FleetResult struct {
	Gateways        int                 `json:"gateways"`
	JoinMs          float64             `json:"join_ms"`      // from the start of the last gateway until each knows all others
	CorePart        float64             `json:"core_part"`    // of a core, mean of the hollow gateways
	MemoryMB        float64             `json:"memory_mb"`    // mean of the hollow gateways
	SentPerSec      float64             `json:"sent_per_sec"` // bytes, mean of the hollow gateways
	ReceivedPerSec  float64             `json:"got_per_sec"`  // bytes, mean of the hollow gateways
	Voters          []RealGatewayResult `json:"voters"`       // the real gateways, of which the leader has the highest cost
	InForceMs       [3]float64          `json:"in_force_ms"`  // until a change is in force at 50, 99 and 100 % of the gateways, medians
	LateChanges     int                 `json:"changes_late"` // changes that were not in force everywhere within the target's time
	WrongSuspicions int                 `json:"wrong_suspicions"`
	MessagesLost    int                 `json:"messages_lost"` // dropped since they did not fit
}

// RealGatewayResult is the cost of a real gateway, the calls that it serves included.
type RealGatewayResult struct {
	Name           string  `json:"name"`
	Leads          bool    `json:"leads"`
	CorePart       float64 `json:"core_part"`
	MemoryMB       float64 `json:"memory_mb"`
	SentPerSec     float64 `json:"sent_per_sec"`
	ReceivedPerSec float64 `json:"got_per_sec"`
}

// EventResult is the cost of one event that has to be expected in an ordinary year, such as a restart or the loss of a zone.
type EventResult struct {
	What            string  `json:"what"`
	Gateways        int     `json:"gateways"`
	NoticedMs       float64 `json:"ms"`      // until the others have noticed it
	HealedMs        float64 `json:"heal_ms"` // from its end until all gateways consider each other alive again
	Bytes           float64 `json:"bytes"`   // sent by the hollow gateways during the event
	WrongSuspicions int     `json:"wrong_suspicions"`
}
