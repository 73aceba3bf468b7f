package main

import (
	"encoding/json"
	"fmt"
	"time"

	"quillrail/decide"
)

// bootInfo is the part of the start message that the module acts on; other keys are disregarded.
type bootInfo struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		Credit    float64 `json:"credit"`
		Deadline  float64 `json:"deadline-s"`
		Effect    string  `json:"effect"`
		KeyScope  string  `json:"key-scope"`
		LateWorth float64 `json:"late-worth"`
		Promise   float64 `json:"promise-s"`
		Streaming bool    `json:"streaming"`
		Window    float64 `json:"window-s"`
	} `json:"classes"`
	Contract struct {
		AnswerSlack  float64 `json:"answer-slack-s"`
		ColdFrom     float64 `json:"cold-from"`
		Cold         float64 `json:"cold-s"`
		DrainGrace   float64 `json:"drain-grace-s"`
		FallMultiple float64 `json:"fall-multiple"`
		Fall         float64 `json:"fall-s"`
	} `json:"contract"`
	Customers []struct {
		Share  float64 `json:"share"`
		PerSec float64 `json:"allowance-per-s"`
	} `json:"customers"`
	Family struct {
		FreeLoads  float64 `json:"free-loads"`
		Keep       float64 `json:"keep-s"`
		LoadPeriod float64 `json:"load-period-s"`
		LoadShare  float64 `json:"load-share"`
		MarksCold  bool    `json:"marks-cold"`
		TellsCrowd bool    `json:"tells-crowd"`
		NotLoaded  string  `json:"not-loaded"`
		OrderLimit float64 `json:"order-limit-s"`
		Orders     bool    `json:"orders"`
	} `json:"family-info"`
	Mode   string `json:"membership-mode"`
	Limits struct {
		Cancelling    bool    `json:"cancelling"`
		MaxRetryAfter float64 `json:"max-retry-after-s"`
		MayTell       bool    `json:"may-tell"`
		Parallel      bool    `json:"parallel-tries"`
		Probing       bool    `json:"probing"`
		RetryAfter    bool    `json:"retry-after"`
		TryLimit      int     `json:"try-limit"`
	} `json:"policy-limits"`
	Slot int `json:"slot-no"`
	Zone int `json:"zone"`
}

var effects = map[string]decide.Effect{"idempotent": decide.Safe, "deduplicated": decide.Keyed,
	"at_most_once": decide.Unsafe}
var scopes = map[string]decide.Scope{"": decide.AllWorkers, "all": decide.AllWorkers, "zone": decide.SameZone,
	"cell": decide.SameCell}

// settings reads the start message into the module's terms.
func settings(text string) (decide.Settings, error) {
	var b bootInfo
	var s decide.Settings
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		return s, err
	}
	for i, c := range b.Classes {
		effect, ok := effects[c.Effect]
		group, ok2 := scopes[c.KeyScope]
		if !ok || !ok2 {
			return s, fmt.Errorf("class %d: effect %q or key-scope %q is unknown", i, c.Effect, c.KeyScope)
		}
		s.Classes = append(s.Classes, decide.Class{Aim: seconds(c.Promise), Deadline: seconds(c.Deadline),
			Worth: c.Credit, LateWorth: c.LateWorth, Effect: effect, Group: group, Window: seconds(c.Window),
			Streaming: c.Streaming})
	}
	for _, t := range b.Customers {
		s.Tenants = append(s.Tenants, decide.Tenant{Share: t.Share, PerSec: t.PerSec})
	}
	s.Self = b.Slot
	s.Gateways, s.Zone, s.Subscribe = b.Balancers, b.Zone, b.Mode == "subscribe"
	l := b.Limits
	s.MaxAttempts, s.Parallel, s.Cancelling, s.Probing = l.TryLimit, l.Parallel, l.Cancelling, l.Probing
	s.Peers = l.MayTell
	if l.RetryAfter {
		s.MaxRetryAfter = seconds(l.MaxRetryAfter)
	}
	c := b.Contract
	s.AnswerSlack, s.DrainGrace = seconds(c.AnswerSlack), seconds(c.DrainGrace)
	s.ColdFrom, s.ColdFor = c.ColdFrom, seconds(c.Cold)
	s.FallMultiple, s.FallFor = c.FallMultiple, seconds(c.Fall)
	f := b.Family
	s.KeepAlive, s.Orders, s.LoadsOnMiss = seconds(f.Keep), f.Orders, f.NotLoaded != "miss"
	s.MarksCold, s.TellsCrowd, s.FreeOrders = f.MarksCold, f.TellsCrowd, f.FreeLoads
	s.OrderShare, s.OrderWindow = f.LoadShare, seconds(f.LoadPeriod)
	s.OrderTimeout = time.Duration(f.OrderLimit * float64(time.Second))
	return s, nil
}
