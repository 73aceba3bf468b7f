// Package plan works out where copies of models should stand and what share of the calls each should take. It does no
// I/O, counts in integers, and gives the same answer for the same input.
package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/BurntSushi/toml"
)

// Bounds of an input. With them no sum comes near the end of 64 bits.
const (
	maxWorkers = 512
	maxModels  = 2048
	maxCalls   = 64 // demands of one model
	maxFigure  = 1_000_000_000
	maxPrice   = 100_000
	maxName    = 256
)

// Problem is what a plan is made for.
type Problem struct {
	Workers []Worker `toml:"workers" json:"workers"`
	Models  []Model  `toml:"models" json:"models"`
	Present []Copy   `toml:"present" json:"present"` // copies that stand or are being loaded
	Limits  Limits   `toml:"limits" json:"limits"`
	Prices  Prices   `toml:"prices" json:"prices"`
}

// Worker is a place for copies.
type Worker struct {
	ID       string `toml:"id" json:"id"`
	Hall     string `toml:"hall" json:"hall"`
	State    string `toml:"state" json:"state"` // ready (or empty), draining, out
	MemoryMB int64  `toml:"memory_mb" json:"memory_mb"`
	Cores    int64  `toml:"cores" json:"cores"`
	Speed    int64  `toml:"speed_percent" json:"speed_percent"`       // of a core; 100 where not told
	Capacity int64  `toml:"capacity_percent" json:"capacity_percent"` // less while it is cold; 100 where not told
}

// Model is what is loaded and called.
type Model struct {
	ID       string   `toml:"id" json:"id"`
	MemoryMB int64    `toml:"memory_mb" json:"memory_mb"` // of a copy
	Lanes    int64    `toml:"lanes" json:"lanes"`         // calls that a copy runs at once
	LoadMs   int64    `toml:"load_ms" json:"load_ms"`
	Least    int64    `toml:"least_copies" json:"least_copies"`
	Most     int64    `toml:"most_copies" json:"most_copies"` // 0: no limit
	Halls    int64    `toml:"halls" json:"halls"`             // over which its copies are spread at least
	Pins     []string `toml:"pins" json:"pins"`               // workers that must hold it
	Excludes []string `toml:"excludes" json:"excludes"`       // workers that must not
	Calls    []Call   `toml:"calls" json:"calls"`
}

// Call is the work expected of one class from one hall.
type Call struct {
	Class  string `toml:"class" json:"class"`
	Hall   string `toml:"hall" json:"hall"`
	Mcores int64  `toml:"mcores" json:"mcores"` // work, in thousandths of a core
	Worth  int64  `toml:"worth" json:"worth"`   // points for each of them served
}

// Copy is a model at a worker.
type Copy struct {
	Model  string `toml:"model" json:"model"`
	Worker string `toml:"worker" json:"worker"`
}

// Limits bound a plan as a whole.
type Limits struct {
	Loads       *int64 `toml:"loads" json:"loads"`                       // that the ration allows; nil: no limit
	FetchMs     *int64 `toml:"fetch_ms" json:"fetch_ms"`                 // load time that the library bears; nil: no limit
	Headroom    int64  `toml:"headroom_percent" json:"headroom_percent"` // of each worker's memory, left free
	SurviveHall bool   `toml:"survive_hall" json:"survive_hall"`         // a model that is called stands in two halls
}

// Prices are in points.
type Prices struct {
	Cross  int64 `toml:"cross" json:"cross"`   // of a thousandth of a core served in another hall
	Memory int64 `toml:"memory" json:"memory"` // of 100 MB held
	Load   int64 `toml:"load" json:"load"`     // of 100 ms of load time
	Move   int64 `toml:"move" json:"move"`     // of each load and unload
}

// ReadTOML reads a problem. What it does not know is an error that names the place.
func ReadTOML(text []byte) (*Problem, error) {
	p := &Problem{}
	meta, err := toml.Decode(string(text), p)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return nil, fmt.Errorf("line %d: %s", parse.Position.Line, parse.Message)
		}
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown field", unknown[0])
	}
	return p, p.Check()
}

// ReadJSON is ReadTOML for JSON.
func ReadJSON(text []byte) (*Problem, error) {
	p := &Problem{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, fmt.Errorf("%s: %s can't be a figure of that kind", kind.Field, kind.Value)
		}
		return nil, fmt.Errorf("byte %d: %w", d.InputOffset(), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("byte %d: more than one problem", d.InputOffset())
	}
	return p, p.Check()
}

// checker gathers the first fault of an input, with its place.
type checker struct{ err error }

func (c *checker) fail(place, format string, a ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", place, fmt.Sprintf(format, a...))
	}
}

func (c *checker) figure(place string, v, least, most int64) {
	if v < least || v > most {
		c.fail(place, "%d is not from %d to %d", v, least, most)
	}
}

func (c *checker) name(place, s string) {
	if s == "" || len(s) > maxName {
		c.fail(place, "a name of 1 to %d bytes is needed", maxName)
	}
}

// Check fills in what may be left out and reports the first field that can't be used.
func (p *Problem) Check() error {
	c := &checker{}
	if len(p.Workers) > maxWorkers || len(p.Models) > maxModels {
		c.fail("workers, models", "%d and %d are more than %d and %d", len(p.Workers), len(p.Models), maxWorkers, maxModels)
		return c.err
	}
	halls, workers, models := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range p.Workers {
		w, at := &p.Workers[i], fmt.Sprintf("workers[%d]", i)
		c.name(at+".id", w.ID)
		c.name(at+".hall", w.Hall)
		if workers[w.ID] {
			c.fail(at+".id", "%q stands there twice", w.ID)
		}
		workers[w.ID], halls[w.Hall] = true, true
		if w.State == "" {
			w.State = "ready"
		}
		if !slices.Contains([]string{"ready", "draining", "out"}, w.State) {
			c.fail(at+".state", "%q is not ready, draining or out", w.State)
		}
		w.Speed, w.Capacity = orElse(w.Speed, 100), orElse(w.Capacity, 100)
		c.figure(at+".memory_mb", w.MemoryMB, 0, maxFigure)
		c.figure(at+".cores", w.Cores, 0, 1024)
		c.figure(at+".speed_percent", w.Speed, 1, 1000)
		c.figure(at+".capacity_percent", w.Capacity, 1, 100)
	}
	for i := range p.Models {
		m, at := &p.Models[i], fmt.Sprintf("models[%d]", i)
		c.name(at+".id", m.ID)
		if models[m.ID] {
			c.fail(at+".id", "%q stands there twice", m.ID)
		}
		models[m.ID] = true
		c.figure(at+".memory_mb", m.MemoryMB, 0, maxFigure)
		c.figure(at+".lanes", m.Lanes, 1, 1024)
		c.figure(at+".load_ms", m.LoadMs, 0, maxFigure)
		c.figure(at+".least_copies", m.Least, 0, maxWorkers)
		c.figure(at+".most_copies", m.Most, 0, maxWorkers)
		c.figure(at+".halls", m.Halls, 0, maxWorkers)
		for j, id := range m.Pins {
			if !workers[id] || slices.Contains(m.Pins[:j], id) {
				c.fail(fmt.Sprintf("%s.pins[%d]", at, j), "%q is unknown or stands there twice", id)
			}
		}
		for j, id := range m.Excludes {
			if !workers[id] || slices.Contains(m.Excludes[:j], id) {
				c.fail(fmt.Sprintf("%s.excludes[%d]", at, j), "%q is unknown or stands there twice", id)
			}
		}
		if len(m.Calls) > maxCalls {
			c.fail(at+".calls", "%d are more than %d", len(m.Calls), maxCalls)
		}
		for j, d := range m.Calls {
			at := fmt.Sprintf("%s.calls[%d]", at, j)
			c.name(at+".class", d.Class)
			if slices.ContainsFunc(m.Calls[:j], func(o Call) bool { return o.Class == d.Class && o.Hall == d.Hall }) {
				c.fail(at, "class %q from hall %q stands there twice", d.Class, d.Hall)
			}
			if !halls[d.Hall] {
				c.fail(at+".hall", "%q has no worker", d.Hall)
			}
			c.figure(at+".mcores", d.Mcores, 0, maxFigure)
			c.figure(at+".worth", d.Worth, 0, maxPrice)
		}
	}
	seen := map[Copy]bool{}
	for i, k := range p.Present {
		if at := fmt.Sprintf("present[%d]", i); !models[k.Model] || !workers[k.Worker] || seen[k] {
			c.fail(at, "model %q at worker %q is unknown or stands there twice", k.Model, k.Worker)
		}
		seen[k] = true
	}
	if p.Limits.Loads != nil {
		c.figure("limits.loads", *p.Limits.Loads, 0, maxFigure)
	}
	if p.Limits.FetchMs != nil {
		c.figure("limits.fetch_ms", *p.Limits.FetchMs, 0, maxFigure*1000)
	}
	c.figure("limits.headroom_percent", p.Limits.Headroom, 0, 99)
	c.figure("prices.cross", p.Prices.Cross, 0, maxPrice)
	c.figure("prices.memory", p.Prices.Memory, 0, maxPrice)
	c.figure("prices.load", p.Prices.Load, 0, maxPrice)
	c.figure("prices.move", p.Prices.Move, 0, maxPrice)
	return c.err
}

func orElse(v, other int64) int64 {
	if v == 0 {
		return other
	}
	return v
}
