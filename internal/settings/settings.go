// Package settings reads the object that tells a gateway its site: from the simulator's first message or from
// the configuration of a real gateway, both in the same words.
package settings

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quillrail/decide"
)

// bootInfo is the part of the start message that the module acts on; other keys are disregarded.
type bootInfo struct {
	Zones     []string `json:"azs"`
	Kinds     []string `json:"kinds"`
	Balancers int      `json:"balancers"`
	Classes   []struct {
		Credit    float64 `json:"credit"`
		Deadline  float64 `json:"deadline-s"`
		Effect    string  `json:"effect"`
		Name      string  `json:"name"`
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
		Name   string  `json:"name"`
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
		ConnIdle      float64 `json:"conn-idle-s"`
		Connect       float64 `json:"connect-timeout-s"`
		Streams       int     `json:"streams-per-conn"`
	} `json:"policy-limits"`
	Slot  int `json:"slot-no"`
	Stats struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"stats"`
	Zone int `json:"zone"`
}

var effects = map[string]decide.Effect{"idempotent": decide.Safe, "deduplicated": decide.Keyed,
	"at_most_once": decide.Unsafe}
var scopes = map[string]decide.Scope{"": decide.AllWorkers, "all": decide.AllWorkers, "zone": decide.SameZone,
	"cell": decide.SameCell}

// Site is the module's settings and what the fronts and links need besides.
type Site struct {
	Decide  decide.Settings
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string
	Reports []string // the values that load reports hold, empty where there are none
	Unknown []string // what the settings hold that is not understood; calls are taken all the same

	ConnIdle       time.Duration // an idle connection to a worker is closed after
	ConnectTimeout time.Duration // a connection not up by then has failed
	Streams        int           // attempts that one connection carries at once
}

// Parse reads the settings as far as they are there.
func Parse(text []byte) (*Site, error) {
	b, err := decode(text)
	if err != nil {
		return nil, err
	}
	return b.site()
}

// ParseStrict is Parse for a gateway that is to serve: whatever is missing, out of range or contradictory is an error that
// names it.
func ParseStrict(text []byte) (*Site, error) {
	b, err := decode(text)
	if err != nil {
		return nil, err
	}
	if err := b.check(); err != nil {
		return nil, err
	}
	return b.site()
}

func (b *bootInfo) site() (*Site, error) {
	site := &Site{Zones: b.Zones, Kinds: b.Kinds, ConnIdle: seconds(b.Limits.ConnIdle),
		ConnectTimeout: seconds(b.Limits.Connect), Streams: b.Limits.Streams}
	s := &site.Decide
	for i, c := range b.Classes {
		site.Classes = append(site.Classes, c.Name)
		effect, ok := effects[c.Effect]
		group, ok2 := scopes[c.KeyScope]
		if !ok {
			return nil, &FieldError{fmt.Sprintf("classes[%d].effect", i), fmt.Sprintf("%q", c.Effect), "idempotent, deduplicated or at_most_once"}
		}
		if !ok2 {
			return nil, &FieldError{fmt.Sprintf("classes[%d].key-scope", i), fmt.Sprintf("%q", c.KeyScope), "all, zone or cell"}
		}
		s.Classes = append(s.Classes, decide.Class{Aim: seconds(c.Promise), Deadline: seconds(c.Deadline),
			Worth: c.Credit, LateWorth: c.LateWorth, Effect: effect, Group: group, Window: seconds(c.Window),
			Streaming: c.Streaming})
	}
	for _, t := range b.Customers {
		site.Tenants = append(site.Tenants, t.Name)
		s.Tenants = append(s.Tenants, decide.Tenant{Share: t.Share, PerSec: t.PerSec})
	}
	s.Self = b.Slot
	s.Gateways, s.Zone, s.Subscribe = b.Balancers, b.Zone, b.Mode == "subscribe"
	l := b.Limits
	s.MaxAttempts, s.Parallel, s.Cancelling, s.Probing = l.TryLimit, l.Parallel, l.Cancelling, l.Probing
	s.Peers, s.SendDelay = l.MayTell, seconds(l.Connect)
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
	site.readStats(b.Stats.How, b.Stats.Fields)
	return site, nil
}

func seconds(x float64) time.Duration { return time.Duration(math.Round(x*1e6)) * time.Microsecond }

// Class returns the index of a class.
func (s *Site) Class(name string) (int, bool) { return index(s.Classes, name) }

// Tenant returns the index of a tenant. A site without tenants takes any name as its one.
func (s *Site) Tenant(name string) (int, bool) {
	if len(s.Tenants) == 0 {
		return 0, true
	}
	return index(s.Tenants, name)
}

// Keyed reports whether calls of a class carry an idempotency key.
func (s *Site) Keyed(class int) bool { return s.Decide.Classes[class].Effect == decide.Keyed }

func index(list []string, name string) (int, bool) {
	i := slices.Index(list, name)
	return max(0, i), i >= 0 && name != ""
}

// Hex16 reports whether s is 16 lower-case hex digits, as functions and request ids are.
func Hex16(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}

// Word reports whether s may stand as a value on the lines spoken to workers: printable, at most so long, and
// without blanks, commas and equals signs, which would read as something else there.
func Word(s string, most int) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return len(s) <= most
}
