package lifecycle

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/ipfix"
	"quillrail/internal/wire/mqtt"
	"quillrail/internal/wire/workerlink"
)

// Extensions is the part of the configuration that is ours: the MQTT front and the export of flows, from
// deploy/mqtt.toml. Both are off unless it says otherwise.
type Extensions struct {
	Enabled bool `toml:"enabled"`
	Calls   struct {
		Broker        string   `toml:"broker"`
		ClientID      string   `toml:"client_id"`
		Listen        []string `toml:"listen"`
		SessionExpiry int      `toml:"session_expiry_s"`
		KeepAlive     int      `toml:"keep_alive_s"`
	} `toml:"calls"`
	Workers struct {
		Broker    string `toml:"broker"`
		ClientID  string `toml:"client_id"`
		Replies   string `toml:"replies"`
		KeepAlive int    `toml:"keep_alive_s"`
		Worker    []struct {
			Name   string  `toml:"name"`
			Topic  string  `toml:"topic"`
			Status string  `toml:"status"`
			Zone   string  `toml:"zone"`
			Cell   int     `toml:"cell"`
			Weight float64 `toml:"weight"`
		} `toml:"worker"`
	} `toml:"workers"`
	Export struct {
		Enabled    bool   `toml:"enabled"`
		Collector  string `toml:"collector"`
		Domain     uint32 `toml:"domain"`
		Enterprise uint32 `toml:"enterprise"`
		Queue      int    `toml:"queue"`
	} `toml:"export"`
}

// ReadExtensions reads the file; one that does not exist turns everything off.
func ReadExtensions(path string) (*Extensions, error) {
	return settings.ReadFile(path, ParseExtensions)
}

// ParseExtensions reads the file's text and checks what is enabled.
func ParseExtensions(text string) (*Extensions, error) {
	s := &Extensions{}
	if err := settings.DecodeTOML(text, s); err != nil {
		return nil, err
	}
	if s.Enabled {
		if err := s.checkMQTT(); err != nil {
			return nil, err
		}
	}
	if e := &s.Export; e.Enabled {
		if err := loopback(e.Collector); err != nil {
			return nil, fmt.Errorf("export: collector: %w", err)
		}
		if e.Queue < 1 || e.Queue > 1<<16 {
			return nil, fmt.Errorf("export: queue is %d, 1 to 65536 wanted", e.Queue)
		}
	}
	return s, nil
}

func (s *Extensions) checkMQTT() error {
	if c := &s.Calls; c.Broker != "" {
		if err := loopback(c.Broker); err != nil {
			return fmt.Errorf("calls: broker: %w", err)
		}
		if c.ClientID == "" || len(c.Listen) == 0 || slices.Contains(c.Listen, "") {
			return fmt.Errorf("calls: client_id and listen are needed")
		}
		if c.SessionExpiry < 1 || c.SessionExpiry > 86400 || c.KeepAlive < 1 || c.KeepAlive > 65535 {
			return fmt.Errorf("calls: session_expiry_s is %d, keep_alive_s is %d", c.SessionExpiry, c.KeepAlive)
		}
	}
	w := &s.Workers
	if w.Broker == "" {
		return nil
	}
	if err := loopback(w.Broker); err != nil {
		return fmt.Errorf("workers: broker: %w", err)
	}
	if w.ClientID == "" || w.Replies == "" || strings.ContainsAny(w.Replies, "+#") || w.KeepAlive < 1 || w.KeepAlive > 65535 {
		return fmt.Errorf("workers: client_id, a replies topic and keep_alive_s are needed")
	}
	for i, x := range w.Worker {
		if x.Name == "" || x.Topic == "" || x.Status == "" || strings.ContainsAny(x.Topic+x.Status, "+#") {
			return fmt.Errorf("workers: worker %d needs a name and the topics topic and status", i+1)
		}
	}
	return nil
}

// loopback refuses addresses that are not on this machine.
func loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is not a loopback address", addr)
	}
	return nil
}

func (s *Extensions) callOptions(node string) (mqtt.Options, time.Duration) {
	c := &s.Calls
	o := mqtt.Options{Broker: c.Broker, ClientID: c.ClientID + "-" + node, Subscribe: c.Listen,
		SessionExpiry: time.Duration(c.SessionExpiry) * time.Second, KeepAlive: time.Duration(c.KeepAlive) * time.Second}
	// The broker may deliver a call again until its session expires; answers are kept for longer.
	return o, o.SessionExpiry + 2*time.Minute
}

func (s *Extensions) workerOptions(node string, site *settings.Site) (mqtt.Options, string, []mqtt.Worker, error) {
	w := &s.Workers
	var list []mqtt.Worker
	for _, x := range w.Worker {
		zone := slices.Index(site.Zones, x.Zone)
		if zone < 0 {
			return mqtt.Options{}, "", nil, fmt.Errorf("workers: worker %s: zone %q is unknown", x.Name, x.Zone)
		}
		list = append(list, mqtt.Worker{Name: mqtt.Prefix + x.Name, Topic: x.Topic, StatusTopic: x.Status, Zone: zone,
			Cell: x.Cell, Weight: x.Weight})
	}
	return mqtt.Options{Broker: w.Broker, ClientID: w.ClientID + "-" + node,
		KeepAlive: time.Duration(w.KeepAlive) * time.Second}, w.Replies + "/" + node, list, nil
}

func (s *Extensions) exportOptions(site *settings.Site) ipfix.Options {
	e := &s.Export
	return ipfix.Options{Collector: e.Collector, Domain: e.Domain, Enterprise: e.Enterprise, Queue: e.Queue,
		Tenants: site.Tenants}
}

// bothKinds is the workers of both kinds. Those of MQTT have names of their own, and are added to every whole list
// of the bulletin, which knows nothing of them.
type bothKinds struct {
	*workerlink.Pool
	mqtt *mqtt.Link
}

func (f *bothKinds) link(host string) core.Workers {
	if strings.HasPrefix(host, mqtt.Prefix) {
		return f.mqtt
	}
	return f.Pool
}

func (f *bothKinds) Send(a core.Attempt)              { f.link(a.Host).Send(a) }
func (f *bothKinds) Cancel(host string, ref core.Ref) { f.link(host).Cancel(host, ref) }
func (f *bothKinds) WithdrawAttempt(host string, ref core.Ref) bool {
	return f.link(host).WithdrawAttempt(host, ref)
}
func (f *bothKinds) Probe(ref core.Ref, host string)  { f.link(host).Probe(ref, host) }
func (f *bothKinds) Forget(host string, ref core.Ref) { f.link(host).Forget(host, ref) }
func (f *bothKinds) Unload(host, function string)     { f.link(host).Unload(host, function) }
func (f *bothKinds) Release(host string)              { f.link(host).Release(host) }
func (f *bothKinds) Load(ref core.Ref, host, function string, copies int) {
	f.link(host).Load(ref, host, function, copies)
}

// WithdrawUnwritten takes back what is unwritten on both.
func (f *bothKinds) WithdrawUnwritten(mayGet func(string) bool) {
	f.Pool.WithdrawUnwritten(mayGet)
	f.mqtt.WithdrawUnwritten(mayGet)
}

// ApplyList passes on the workers that are not of MQTT.
func (f *bothKinds) ApplyList(whole bool, members []core.Member) {
	f.Pool.ApplyList(whole, slices.DeleteFunc(slices.Clone(members), func(m core.Member) bool {
		return strings.HasPrefix(m.Name, mqtt.Prefix)
	}))
}

// bulletin passes on what the bulletin tells.
func (f *bothKinds) bulletin(tell func(bool, []core.Member)) func(bool, []core.Member) {
	return func(whole bool, members []core.Member) {
		if whole {
			members = append(slices.Clip(members), f.mqtt.Members()...)
		}
		tell(whole, members)
	}
}
