// Package settings reads the settings of a gateway's site: from the simulator's first message or from the configuration file of a
// real gateway, which have the same format.
package settings

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quillrail/decide"
)

// bootInfo is the JSON form of the settings, named after the simulator's first message. Keys without a field here are ignored.
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

// Site holds the module's settings and those that only the fronts and links need.
type Site struct {
	Decide       decide.Settings
	Classes      []string
	Tenants      []string
	Zones        []string
	Kinds        []string
	ReportFields []string // the values in a worker's load report, empty where workers send none
	Unknown      []string // the settings that are not understood; the gateway serves calls all the same

	ConnIdle       time.Duration // time after which an idle connection to a worker is closed
	ConnectTimeout time.Duration // a connection attempt that takes longer has failed
	StreamsPerConn int           // attempts in flight on one connection at most
}

// Parse reads the settings. Missing ones are left at their zero values.
func Parse(text []byte) (*Site, error) {
	b, err := decode(text)
	if err != nil {
		return nil, err
	}
	return b.site()
}

// ParseStrict is Parse for a gateway that is to serve: a setting that is missing, out of range or contradictory is an error that
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
		ConnectTimeout: seconds(b.Limits.Connect), StreamsPerConn: b.Limits.Streams}
	s := &site.Decide
	for i, class := range b.Classes {
		site.Classes = append(site.Classes, class.Name)
		effect, effectOK := effects[class.Effect]
		scope, scopeOK := scopes[class.KeyScope]
		if !effectOK {
			return nil, &FieldError{fmt.Sprintf("classes[%d].effect", i), fmt.Sprintf("%q", class.Effect),
				"idempotent, deduplicated or at_most_once"}
		}
		if !scopeOK {
			return nil, &FieldError{fmt.Sprintf("classes[%d].key-scope", i), fmt.Sprintf("%q", class.KeyScope), "all, zone or cell"}
		}
		s.Classes = append(s.Classes, decide.Class{Deadline: seconds(class.Deadline), Effect: effect, KeyScope: scope,
			Window: seconds(class.Window), Streaming: class.Streaming})
	}
	for _, tenant := range b.Customers {
		site.Tenants = append(site.Tenants, tenant.Name)
		s.Tenants = append(s.Tenants, decide.Tenant{Share: tenant.Share, PerSec: tenant.PerSec})
	}
	s.Self = b.Slot
	s.Gateways, s.Zone, s.Subscribe = b.Balancers, b.Zone, b.Mode == "subscribe"
	limits := b.Limits
	s.MaxAttempts, s.Parallel, s.Cancelling, s.Probing = limits.TryLimit, limits.Parallel, limits.Cancelling, limits.Probing
	s.Peers, s.SendDelay = limits.MayTell, seconds(limits.Connect)
	if limits.RetryAfter {
		s.MaxRetryAfter = seconds(limits.MaxRetryAfter)
	}
	contract := b.Contract
	s.AnswerSlack, s.DrainGrace = seconds(contract.AnswerSlack), seconds(contract.DrainGrace)
	s.ColdFrom, s.ColdFor = contract.ColdFrom, seconds(contract.Cold)
	s.CollapseMultiple, s.CollapseAfter = contract.FallMultiple, seconds(contract.Fall)
	family := b.Family
	s.KeepAlive, s.Orders, s.LoadsOnMiss = seconds(family.Keep), family.Orders, family.NotLoaded != "miss"
	s.MarksCold, s.ReportsContention, s.FreeOrders = family.MarksCold, family.TellsCrowd, family.FreeLoads
	s.OrderShare, s.OrderWindow = family.LoadShare, seconds(family.LoadPeriod)
	s.OrderTimeout = time.Duration(family.OrderLimit * float64(time.Second))
	site.readStats(b.Stats.How, b.Stats.Fields)
	return site, nil
}

func seconds(x float64) time.Duration { return time.Duration(math.Round(x*1e6)) * time.Microsecond }

// Class returns the index of a class, and whether the site has it.
func (s *Site) Class(name string) (int, bool) { return index(s.Classes, name) }

// Tenant returns the index of a tenant, and whether the site has it. A site without tenants accepts any name as index 0.
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

// Hex16 reports whether s is 16 lower-case hex digits, the form of functions and request IDs.
func Hex16(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}

// IsToken reports whether s can be a value in the line protocol to workers: at most maxLength printable ASCII characters, without
// blanks, commas and equals signs, which are separators there.
func IsToken(s string, maxLength int) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return len(s) <= maxLength
}
