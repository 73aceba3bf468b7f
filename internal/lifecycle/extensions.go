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

// Extensions is the configuration of the MQTT front, of workers reached by MQTT, and of the export of flow records. It is read from
// deploy/mqtt.toml, a file of this program rather than of the platform. All are off unless the file enables them.
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

// ReadExtensions reads the file of the extensions. If it does not exist, all are off.
func ReadExtensions(path string) (*Extensions, error) {
	return settings.ReadFile(path, ParseExtensions)
}

// ParseExtensions parses the text of the file and checks the parts that are enabled.
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
		if err := checkLoopback(e.Collector); err != nil {
			return nil, fmt.Errorf("export: collector: %w", err)
		}
		if e.Queue < 1 || e.Queue > 1<<16 {
			return nil, fmt.Errorf("export: queue is %d, expected 1 to 65536", e.Queue)
		}
	}
	return s, nil
}

func (s *Extensions) checkMQTT() error {
	if c := &s.Calls; c.Broker != "" {
		if err := checkLoopback(c.Broker); err != nil {
			return fmt.Errorf("calls: broker: %w", err)
		}
		if c.ClientID == "" || len(c.Listen) == 0 || slices.Contains(c.Listen, "") {
			return fmt.Errorf("calls: client_id and at least one topic in listen must be set")
		}
		if c.SessionExpiry < 1 || c.SessionExpiry > 86400 || c.KeepAlive < 1 || c.KeepAlive > 65535 {
			return fmt.Errorf("calls: session_expiry_s is %d, expected 1 to 86400; keep_alive_s is %d, expected 1 to 65535",
				c.SessionExpiry, c.KeepAlive)
		}
	}
	workers := &s.Workers
	if workers.Broker == "" {
		return nil
	}
	if err := checkLoopback(workers.Broker); err != nil {
		return fmt.Errorf("workers: broker: %w", err)
	}
	if workers.ClientID == "" || workers.Replies == "" || strings.ContainsAny(workers.Replies, "+#") ||
		workers.KeepAlive < 1 || workers.KeepAlive > 65535 {
		return fmt.Errorf("workers: client_id, replies (a topic without wildcards) and keep_alive_s (1 to 65535) must be set")
	}
	for i, worker := range workers.Worker {
		if worker.Name == "" || worker.Topic == "" || worker.Status == "" || strings.ContainsAny(worker.Topic+worker.Status, "+#") {
			return fmt.Errorf("workers: worker %d: name, topic and status must be set, the topics without wildcards", i+1)
		}
	}
	return nil
}

// checkLoopback returns an error unless addr is a port of a loopback IP address.
func checkLoopback(addr string) error {
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
	options := mqtt.Options{Broker: c.Broker, ClientID: c.ClientID + "-" + node, Subscribe: c.Listen,
		SessionExpiry: time.Duration(c.SessionExpiry) * time.Second, KeepAlive: time.Duration(c.KeepAlive) * time.Second}
	// The broker may deliver a call again until the session expires, so answers are stored for two minutes longer.
	return options, options.SessionExpiry + 2*time.Minute
}

func (s *Extensions) workerOptions(node string, site *settings.Site) (mqtt.Options, string, []mqtt.Worker, error) {
	workers := &s.Workers
	var list []mqtt.Worker
	for _, worker := range workers.Worker {
		zone := slices.Index(site.Zones, worker.Zone)
		if zone < 0 {
			return mqtt.Options{}, "", nil, fmt.Errorf("workers: worker %s: zone %q is unknown", worker.Name, worker.Zone)
		}
		list = append(list, mqtt.Worker{Name: mqtt.Prefix + worker.Name, Topic: worker.Topic, StatusTopic: worker.Status, Zone: zone,
			Cell: worker.Cell, Weight: worker.Weight})
	}
	return mqtt.Options{Broker: workers.Broker, ClientID: workers.ClientID + "-" + node,
		KeepAlive: time.Duration(workers.KeepAlive) * time.Second}, workers.Replies + "/" + node, list, nil
}

func (s *Extensions) exportOptions(site *settings.Site) ipfix.Options {
	e := &s.Export
	return ipfix.Options{Collector: e.Collector, Domain: e.Domain, Enterprise: e.Enterprise, Queue: e.Queue,
		Tenants: site.Tenants}
}

// workerRouter implements core.Workers for workers that are reached directly and for those that are reached by MQTT. It tells them
// apart by the prefix of their names. The bulletin does not list MQTT workers, so they are added to each complete list.
type workerRouter struct {
	*workerlink.Pool
	mqtt *mqtt.Link
}

func (r *workerRouter) workersFor(host string) core.Workers {
	if strings.HasPrefix(host, mqtt.Prefix) {
		return r.mqtt
	}
	return r.Pool
}

func (r *workerRouter) Send(a core.Attempt)              { r.workersFor(a.Host).Send(a) }
func (r *workerRouter) Cancel(host string, ref core.Ref) { r.workersFor(host).Cancel(host, ref) }
func (r *workerRouter) WithdrawAttempt(host string, ref core.Ref) bool {
	return r.workersFor(host).WithdrawAttempt(host, ref)
}
func (r *workerRouter) Probe(ref core.Ref, host string)  { r.workersFor(host).Probe(ref, host) }
func (r *workerRouter) Forget(host string, ref core.Ref) { r.workersFor(host).Forget(host, ref) }
func (r *workerRouter) Unload(host, function string)     { r.workersFor(host).Unload(host, function) }
func (r *workerRouter) Release(host string)              { r.workersFor(host).Release(host) }
func (r *workerRouter) Load(ref core.Ref, host, function string, copies int) {
	r.workersFor(host).Load(ref, host, function, copies)
}

// WithdrawUnwritten withdraws, on both links, the calls that are not written yet.
func (r *workerRouter) WithdrawUnwritten(mayGet func(string) bool) {
	r.Pool.WithdrawUnwritten(mayGet)
	r.mqtt.WithdrawUnwritten(mayGet)
}

// ApplyList passes the workers that are not reached by MQTT to the pool.
func (r *workerRouter) ApplyList(whole bool, members []core.Member) {
	r.Pool.ApplyList(whole, slices.DeleteFunc(slices.Clone(members), func(m core.Member) bool {
		return strings.HasPrefix(m.Name, mqtt.Prefix)
	}))
}

// addMQTTMembers returns a function that adds the MQTT workers to complete lists and passes all lists on to update.
func (r *workerRouter) addMQTTMembers(update func(bool, []core.Member)) func(bool, []core.Member) {
	return func(whole bool, members []core.Member) {
		if whole {
			members = append(slices.Clip(members), r.mqtt.Members()...)
		}
		update(whole, members)
	}
}
