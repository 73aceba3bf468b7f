package lifecycle

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet/change"
	"quillrail/internal/wire/opfront"
)

var (
	errNotReady         = errors.New("not ready")
	errEnding           = errors.New("the process is ending")
	errTooManyArguments = errors.New("too many words")
)

// operatorAPI is the Gateway as the operator listener uses it: it executes the calls of operators.
type operatorAPI Gateway

// Do executes an operator's call and calls done with the answer. Drains and bans need a permit of the fleet where the agreement is
// enabled, except in emergencies.
func (a *operatorAPI) Do(call opfront.Call, done func(text string, err error)) {
	g := (*Gateway)(a)
	if !g.requiresPermits() && (call.Emergency || len(call.Options) > 0) {
		done("", errTooManyArguments)
		return
	}
	switch call.Name {
	case "ready":
		done("", a.Ready())
	case "show-stat":
		done(a.Metrics()+"EOT\n", nil)
	case "disable-server":
		if !g.requiresPermits() || call.Emergency {
			err := a.Disable(call.ID)
			if err == nil && call.Emergency {
				g.agreement.ReportEmergency(change.NewSubject(change.Worker, call.ID), "", requester(call), call.Options["why"])
			}
			done("", err)
			return
		}
		g.requestPermit(call, change.NewSubject(change.Worker, call.ID), "", done)
	case "enable-server":
		a.enableServer(call, done)
	case "drain":
		if !g.requiresPermits() || call.Emergency {
			err := a.Drain()
			if call.Emergency {
				g.agreement.ReportEmergency(g.self(), g.conf.Name, requester(call), call.Options["why"])
			}
			done("", err)
			return
		}
		g.requestPermit(call, g.self(), g.conf.Name, done)
	case "resume":
		err := a.Resume()
		if err == nil && g.requiresPermits() {
			g.agreement.CancelDrain()
		}
		done("", err)
	default:
		g.agreementCall(call, done)
	}
}

// requester returns the name that a call gives in its option "by", or "an operator" if it gives none.
func requester(call opfront.Call) string {
	if name := call.Options["by"]; name != "" {
		return name
	}
	return "an operator"
}

// requestPermit requests a permit to take a worker or a gateway out of service.
func (g *Gateway) requestPermit(call opfront.Call, subject change.Subject, holder string, done func(string, error)) {
	if subject.Kind() == change.Worker && g.core != nil && !g.core.Listed(subject.Name()) {
		done("", errors.New("no such worker"))
		return
	}
	except, err := exceptionID(call)
	if err != nil {
		done("", err)
		return
	}
	g.agreement.RequestPermit(subject, holder, requester(call), call.Options["why"], except, false, done)
}

// exceptionID returns the number of the freeze exception that a call names in its option "except", 0 if it names none.
func exceptionID(call opfront.Call) (id uint64, err error) {
	if text := call.Options["except"]; text != "" {
		if _, err := fmt.Sscanf(text, "%d", &id); err != nil {
			return 0, fmt.Errorf("except=%s is no number", text)
		}
	}
	return id, nil
}

// enableServer puts a worker back into service. If it is out of service by a permit, the permit is returned and all gateways use
// the worker again; otherwise its ban is lifted. A request of this gateway that may still be agreed is withdrawn.
func (a *operatorAPI) enableServer(call opfront.Call, done func(string, error)) {
	g := (*Gateway)(a)
	withdrawn := false
	if g.requiresPermits() {
		subject := change.NewSubject(change.Worker, call.ID)
		withdrawn = g.agreement.WithdrawRequests(subject)
		if p := g.agreement.PermitOf(subject); p != nil {
			g.agreement.ReturnPermit(p, requester(call), done)
			return
		}
	}
	err := a.Enable(call.ID)
	if withdrawn { // its ban may not be in use yet
		err = nil
	}
	done("", err)
}

// agreementCall executes the calls that need the agreement part.
func (g *Gateway) agreementCall(call opfront.Call, done func(string, error)) {
	if !g.requiresPermits() {
		done("", errNoAgreement)
		return
	}
	switch call.Name {
	case "agreed":
		done(g.agreement.Show()+"EOT\n", nil)
	case "wanted":
		done(g.wanted(call.ID)+"EOT\n", nil)
	case "declare":
		g.agreement.Declare(call.ID, call.Options, done)
	}
}

// wanted returns the step of a release that the supervisor of a gateway has to carry out now, empty for none. The gateway is this one
// if the name is empty. For the name "workers" it lists the workers to restart, a line each.
func (g *Gateway) wanted(gateway string) string {
	if gateway == "" {
		gateway = g.conf.Name
	}
	if gateway == "workers" {
		text := ""
		for _, id := range g.agreement.WorkersToRestart() {
			text += "worker " + id + "\n"
		}
		return text
	}
	if what, to, permit := g.agreement.Wanted(gateway); what != "" {
		return fmt.Sprintf("%s %s permit %d\n", what, to, permit)
	}
	return ""
}

// Ready returns nil while the gateway serves and /check answers yes, and otherwise the reason why not.
func (a *operatorAPI) Ready() error {
	switch {
	case a.terminating:
		return errEnding
	case !a.front.Ready():
		return (*Gateway)(a).notReadyError()
	}
	return nil
}

// Disable bans a worker at this process, at the gateway's other process if there is one, and in the fleet.
func (a *operatorAPI) Disable(id string) error { return a.changeBan(id, (*core.Core).Disable) }

// Enable lifts the ban of a worker at the same processes and in the fleet.
func (a *operatorAPI) Enable(id string) error { return a.changeBan(id, (*core.Core).Enable) }

func (a *operatorAPI) changeBan(id string, do func(*core.Core, string) error) error {
	if a.core == nil {
		return (*Gateway)(a).notReadyError()
	}
	err := do(a.core, id)
	if err == nil && a.upgrade != nil {
		a.upgrade.sendBan(id)
	}
	if err == nil && a.node != nil {
		ban, banned := a.core.Banned(id)
		a.recovery.BroadcastBan(id, banned, ban.Since)
	}
	return err
}

// Drain sends clients away on every front. Calls in flight are still answered.
func (a *operatorAPI) Drain() error { (*Gateway)(a).drainClients(); return nil }

func (g *Gateway) drainClients() {
	g.front.Drain()
	if g.mqttFront != nil {
		g.mqttFront.Drain()
	}
	open := 0
	if g.core != nil {
		open = g.core.InFlight()
	}
	g.log.Info("clients are sent away", zap.Int("open", open), zap.Int("clients", g.front.Conns()))
}

// Resume accepts clients again after Drain. It fails in a process that is ending.
func (a *operatorAPI) Resume() error {
	if a.terminating {
		return errEnding
	}
	(*Gateway)(a).resumeClients()
	return nil
}

func (g *Gateway) resumeClients() {
	g.front.Resume()
	if g.mqttFront != nil {
		g.mqttFront.Resume()
	}
	g.log.Info("clients are taken again")
}
