package agreement

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/replog"
)

const (
	reportTicks    = 5               // ticks between the reports of a gateway
	loadWindow     = 5 * time.Second // time over which the load is averaged
	maxReportItems = 4096            // gateways and workers in a report
)

// Report is what a gateway sends to the leader. A gateway or worker that a report does not mention is observed in its
// agreed state.
type Report struct {
	Name            string
	Incarnation     uint64 `msgpack:"Life"`
	ID              uint64 // voter ID
	Hall            string
	Serving, Warm   bool
	Left            bool // unused
	Version, Config string
	Level           int            // replog.Level of the gateway's program
	Index           uint64         // index of the last entry that the gateway has applied
	Load            float64        // calls/s
	Classes         []change.Tally // answers by class
	CallRates       []float64      `msgpack:"Uses"` // calls/s, indexed by tenant * classes + class
	Gateways        []GatewayObservation
	Workers         []WorkerObservation
	Copies          []WorkerCopies
	AnsweredHalls   []string `msgpack:"Halls"` // halls in which a worker has answered recently
	UnansweredHalls []string `msgpack:"Dark"`  // halls in which none has, and the gateway avoids a ready worker
}

// GatewayObservation is what a gateway observes of another gateway.
type GatewayObservation struct {
	Name        string
	Incarnation uint64 `msgpack:"Life"`
	Serving     bool
}

// WorkerObservation is what a gateway observes of a worker.
type WorkerObservation struct {
	ID, Hall string
	Start    uint64 // start of the worker according to the worker list, Unix ms
	Health   change.Health
	ByList   bool // it is unavailable because of the worker list or because of a ban
}

// WorkerCopies is what a gateway believes about the functions of a worker: those that are loaded there, and those of
// them that are also loaded elsewhere.
type WorkerCopies struct {
	Worker           string
	There, Elsewhere []string
}

// sendReport sends the leader what this gateway observes.
func (a *Agent) sendReport(now time.Duration) {
	a.observed.measure(now)
	report := a.buildReport(now)
	if a.group != nil && a.group.Leads() {
		a.lead.addReport(a, report)
		return
	}
	body, err := msgpack.Marshal(&report)
	if err != nil {
		a.log.Error("report cannot be encoded", zap.Error(err))
		return
	}
	to := a.leaderName()
	if a.group == nil && a.source != "" { // followers report through the voter that they follow, to spare the leader connections
		to = a.source
	}
	if to != "" && to != a.options.Name {
		a.send(to, message{Kind: messageReport, Body: body})
	}
}

// handleReport records a report, or passes it on to the leader.
func (a *Agent) handleReport(from string, msg message) {
	if a.group == nil {
		return
	}
	if !a.group.Leads() {
		if to := a.leaderName(); to != "" && to != a.options.Name && to != from {
			a.send(to, message{Kind: messageReport, Body: msg.Body})
		}
		return
	}
	var report Report
	if err := msgpack.Unmarshal(msg.Body, &report); err != nil || report.Name == "" ||
		len(report.Gateways)+len(report.Workers) > maxReportItems {
		a.log.Warn("report of a gateway is invalid", zap.String("gateway", from), zap.Error(err))
		return
	}
	a.lead.addReport(a, report)
}

// buildReport returns this gateway's report.
func (a *Agent) buildReport(now time.Duration) Report {
	state := a.State()
	report := Report{Name: a.options.Name, Incarnation: a.host.Incarnation().Number, ID: a.voterID, Hall: a.options.Hall,
		Serving: a.gateway.Serving(), Warm: a.gateway.Warm(), Version: a.options.Version, Config: a.options.Config,
		Level: replog.Level, Load: a.observed.load, Classes: append([]change.Tally(nil), a.observed.tallies...),
		CallRates: append([]float64(nil), a.observed.callRates...)}
	if state == nil {
		return report
	}
	report.Index = state.Index
	for _, peer := range a.host.View().Peers() {
		subject := change.NewSubject(change.Gateway, peer.Metadata.Name)
		known, serving := state.Change.Subjects[subject], peer.State == member.Serving
		if known == nil || known.Health != change.Healthy || !serving || known.Incarnation != peer.Metadata.Incarnation.Number ||
			state.Change.PermitOf(subject) != nil {
			report.Gateways = append(report.Gateways, GatewayObservation{peer.Metadata.Name, peer.Metadata.Incarnation.Number, serving})
		}
	}
	answered, unanswered := map[string]bool{}, map[string]bool{}
	for name, listing := range a.observed.members {
		subject := change.NewSubject(change.Worker, name)
		worker := a.observeWorker(name, listing, now)
		if at, ok := a.observed.answeredAt[name]; ok && now-at < a.options.HallLostAfter {
			answered[worker.Hall] = true
		} else if isReady(listing) && a.gateway.Avoids(name) {
			unanswered[worker.Hall] = true
		}
		if known := state.Change.Subjects[subject]; known == nil || known.Health != worker.Health ||
			known.Incarnation != worker.Start || state.Change.PermitOf(subject) != nil {
			report.Workers = append(report.Workers, worker)
		}
	}
	for subject, known := range state.Change.Subjects {
		if _, listed := a.observed.members[subject.Name()]; subject.Kind() == change.Worker && !listed && known.Health != change.Unavailable {
			report.Workers = append(report.Workers, WorkerObservation{ID: subject.Name(), Hall: known.Hall, Start: known.Incarnation, ByList: true})
		}
	}
	for _, hall := range a.options.Halls {
		if answered[hall] {
			report.AnsweredHalls = append(report.AnsweredHalls, hall)
		} else if unanswered[hall] {
			report.UnansweredHalls = append(report.UnansweredHalls, hall)
		}
	}
	for _, permit := range state.Change.Permits {
		for _, subject := range permit.Subjects {
			if permit.Phase == change.Requested && subject.Kind() == change.Worker && len(report.Copies) < 4 {
				copies := WorkerCopies{Worker: subject.Name()}
				copies.There, copies.Elsewhere = a.gateway.Copies(subject.Name())
				report.Copies = append(report.Copies, copies)
			}
		}
	}
	return report
}

// observeWorker returns how this gateway observes a worker: unavailable because of the worker list, a ban or failures;
// cold during ColdFor after its start, and after a restart until it has answered; otherwise healthy.
func (a *Agent) observeWorker(name string, listing core.Member, now time.Duration) WorkerObservation {
	observed := WorkerObservation{ID: name, Hall: a.hallName(listing.Zone),
		Start: uint64(max(0, listing.Since.Milliseconds())), Health: change.Healthy}
	at, answered := a.observed.answeredAt[name]
	switch {
	case listing.State != decide.Ready || a.permits.banned[name]:
		observed.Health, observed.ByList = change.Unavailable, true
	case a.gateway.Avoids(name):
		observed.Health = change.Unavailable
	case listing.Since > 0 && now-listing.Since < a.options.ColdFor:
		observed.Health = change.Cold
	case listing.Since > 0 && (!answered || at < listing.Since):
		observed.Health = change.Cold                                                // it has not answered since its start
		a.gateway.Probe(name, func() { a.observed.answeredAt[name] = a.host.Now() }) // there may be no calls for it
	}
	return observed
}
