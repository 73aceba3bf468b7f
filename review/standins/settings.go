package main

import "time"

// class is a class of calls.
type class struct {
	name, effect, scope              string
	promise, deadline, window, worth float64 // times in seconds
}

// The site of all cases: the settings of the example in WIRE-quillrail.md, which are those of riga-telemetry.
var (
	zones      = []string{"hall-a", "hall-b", "hall-c"}
	tenants    = []string{"daugava-lifts", "kurzeme-service", "vidzeme-kapnes"}
	shares     = []float64{0.46, 0.39, 0.15}
	allowances = []float64{84, 71, 27}
	statusRead = class{"status-read", "idempotent", "all", 0.75, 5, 5, 1}
	command    = class{"remote-command", "deduplicated", "zone", 0.3, 4, 8, 5}
	classes    = []class{statusRead, command}
)

const (
	drainGrace = 2 * time.Second
	coldFor    = 14 * time.Second
	limitSlack = 50 * time.Millisecond // every time limit is this much longer on sockets
)

func settings() map[string]any {
	var classList, customers []any
	for _, c := range classes {
		classList = append(classList, map[string]any{"credit": c.worth, "deadline-s": c.deadline, "effect": c.effect, "key-scope": c.scope,
			"late-worth": 0.2, "name": c.name, "promise-s": c.promise, "streaming": false, "window-s": c.window})
	}
	for i, name := range tenants {
		customers = append(customers, map[string]any{"name": name, "share": shares[i], "allowance-per-s": allowances[i]})
	}
	return map[string]any{"azs": zones, "balancers": 3, "callers": map[string]any{"marks-retry": true}, "classes": classList,
		"contract": map[string]any{"answer-slack-s": 0.016, "ask-every-s": 10, "cold-from": 0.18, "cold-s": coldFor.Seconds(),
			"drain-grace-s": drainGrace.Seconds(), "fall-multiple": 2.5, "fall-s": 3},
		"customers": customers,
		"family-info": map[string]any{"free-loads": 2, "keep-s": 10, "load-period-s": 10, "load-share": 0.3, "marks-cold": true,
			"memory-mb-by-kind": []float64{34880, 51776}, "memory-price": 0.1, "not-loaded": "load", "order-limit-s": 10, "orders": true,
			"tells-crowd": false},
		"kind-of-service": "warm", "kinds": []string{"std-2c", "wide-3c"}, "membership-mode": "automatic", "over-share-worth": 0.05,
		"policy-limits": map[string]any{"cancelling": true, "conn-idle-s": 30, "connect-timeout-s": 0.25, "max-open": 26846,
			"max-retry-after-s": 2, "may-tell": false, "parallel-tries": true, "probing": false, "retry-after": true,
			"streams-per-conn": 32, "try-limit": 5},
		"slot-no": 0, "stats": map[string]any{"fields": []string{}, "how": "off"}, "tick-s": 0.004, "tier": 0,
		"tiers": []string{"model-workers"}, "weight-kind": "nominal", "worth-by": "work", "zone": 0}
}
