package main

// Settings of the two deployments, with the figures of their site files, for a small fleet.

type obj = map[string]any

var (
	rigaHalls   = []string{"hall-a", "hall-b", "hall-c"}
	larderHalls = []string{"hall-a", "hall-b"}
)

func commonSettings(halls []string, gateways, slot, zone int) obj {
	return obj{"azs": halls, "balancers": gateways, "slot-no": slot, "zone": zone, "tick-s": 0.004, "tier": 0,
		"tiers": []string{"model-workers"}, "weight-kind": "nominal", "worth-by": "work", "kind-of-service": "warm",
		"membership-mode": "automatic", "over-share-worth": 0.05, "callers": obj{"marks-retry": true},
		"result-mix": obj{"whole": 0.55, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.15},
		"prices":     obj{"connection": 0.0, "cross-zone": 0.04, "handshake": 0.0, "late-fail": 0.056, "membership-mode": 0.0, "moves": 0.0, "origin": 0.12, "peer": 0.0, "probe": 0.01, "waste": 0.05}}
}

func rigaSettings(gateways, slot, zone int) obj {
	s := commonSettings(rigaHalls, gateways, slot, zone)
	s["classes"] = []obj{
		{"credit": 1.0, "deadline-s": 5.0, "effect": "idempotent", "key-scope": "all", "late-worth": 0.3, "name": "status-read", "promise-s": 0.75, "streaming": false, "window-s": 5.0},
		{"credit": 5.0, "deadline-s": 4.0, "effect": "deduplicated", "key-scope": "zone", "late-worth": 0.2, "name": "remote-command", "promise-s": 0.3, "streaming": false, "window-s": 8.0}}
	s["contract"] = obj{"answer-slack-s": 0.016, "ask-every-s": 10.0, "cold-from": 0.18, "cold-s": 14.0, "drain-grace-s": 2.0, "fall-multiple": 2.5, "fall-s": 3.0}
	s["customers"] = []obj{{"allowance-per-s": 84.0, "name": "daugava-lifts", "share": 0.46}, {"allowance-per-s": 71.0, "name": "kurzeme-service", "share": 0.39}, {"allowance-per-s": 27.0, "name": "vidzeme-kapnes", "share": 0.15}}
	s["family-info"] = obj{"free-loads": 2.0, "keep-s": 10.0, "load-period-s": 10.0, "load-share": 0.3, "marks-cold": true, "memory-mb-by-kind": []float64{34880, 51776}, "memory-price": 0.1, "not-loaded": "load", "order-limit-s": 10.0, "orders": true, "report-x0": "share of memory that is at work or loading", "report-x1": "loads under way or waiting", "tells-crowd": false}
	s["kinds"] = []string{"std-2c", "wide-3c"}
	s["policy-limits"] = obj{"cancelling": true, "conn-idle-s": 30.0, "connect-timeout-s": 0.25, "cpu-us-per-request": 0.0, "cpu-us-per-s": 134234, "max-open": 26846, "max-retry-after-s": 2.0, "may-tell": false, "parallel-tries": true, "probing": false, "retry-after": true, "streams-per-conn": 32, "try-limit": 5}
	s["stats"] = obj{"fields": []string{}, "how": "off"}
	return s
}

func larderSettings(gateways, slot, zone int) obj {
	s := commonSettings(larderHalls, gateways, slot, zone)
	s["classes"] = []obj{
		{"credit": 3.0, "deadline-s": 5.0, "effect": "idempotent", "key-scope": "all", "late-worth": 0.2, "name": "swap-suggest", "promise-s": 0.8, "streaming": false, "window-s": 5.0},
		{"credit": 3.0, "deadline-s": 4.0, "effect": "deduplicated", "key-scope": "zone", "late-worth": 0.1, "name": "slot-hold", "promise-s": 0.5, "streaming": false, "window-s": 8.0},
		{"credit": 5.0, "deadline-s": 6.0, "effect": "at_most_once", "key-scope": "all", "late-worth": 0.2, "name": "order-confirm", "promise-s": 1.5, "streaming": false, "window-s": 6.0}}
	s["contract"] = obj{"answer-slack-s": 0.016, "ask-every-s": 10.0, "cold-from": 0.15, "cold-s": 16.0, "drain-grace-s": 0.25, "fall-multiple": 3.0, "fall-s": 2.0}
	s["customers"] = []obj{{"allowance-per-s": 60.0, "name": "glenmuir-foods", "share": 0.3}, {"allowance-per-s": 60.0, "name": "kinbrae-grocers", "share": 0.3}, {"allowance-per-s": 38.0, "name": "ardlow-larder", "share": 0.19}, {"allowance-per-s": 32.0, "name": "corran-store", "share": 0.16}, {"allowance-per-s": 10.0, "name": "balfie-basket", "share": 0.05}}
	s["family-info"] = obj{"free-loads": 6.0, "keep-s": 10.0, "load-period-s": 5.0, "load-share": 0.15, "marks-cold": true, "memory-mb-by-kind": []float64{40000, 40000}, "memory-price": 0.0, "not-loaded": "load", "order-limit-s": 10.0, "orders": true, "report-x0": "share of memory that is at work or loading", "report-x1": "loads under way or waiting", "tells-crowd": false}
	s["kinds"] = []string{"quick-3c", "plain-3c"}
	s["policy-limits"] = obj{"cancelling": true, "conn-idle-s": 30.0, "connect-timeout-s": 0.25, "cpu-us-per-request": 0.0, "cpu-us-per-s": 134234, "max-open": 26846, "max-retry-after-s": 0.5, "may-tell": false, "parallel-tries": false, "probing": true, "retry-after": true, "streams-per-conn": 100, "try-limit": 6}
	s["stats"] = obj{"fields": []string{"pending", "busy_reqs", "x1", "x0"}, "how": "inline"}
	return s
}
