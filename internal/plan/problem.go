// Package plan computes on which workers copies of models should be loaded and which share of the calls each copy should
// serve. It does no I/O, calculates in integers, and returns the same plan for the same input.
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

// Limits of the input. They keep every sum well within 64 bits.
const (
	maxWorkers   = 512
	maxModels    = 2048
	maxCalls     = 64 // per model
	maxValue     = 1_000_000_000
	maxPrice     = 100_000
	maxNameBytes = 256
)

// Problem is the input for which a plan is computed.
type Problem struct {
	Workers []Worker `toml:"workers" json:"workers"`
	Models  []Model  `toml:"models" json:"models"`
	Present []Copy   `toml:"present" json:"present"` // copies that are loaded or being loaded
	Limits  Limits   `toml:"limits" json:"limits"`
	Prices  Prices   `toml:"prices" json:"prices"`
}

// Worker is a worker on which copies can be loaded.
type Worker struct {
	ID              string `toml:"id" json:"id"`
	Hall            string `toml:"hall" json:"hall"`
	State           string `toml:"state" json:"state"` // ready (also if empty), draining, or out for unavailable
	MemoryMB        int64  `toml:"memory_mb" json:"memory_mb"`
	Cores           int64  `toml:"cores" json:"cores"`
	SpeedPercent    int64  `toml:"speed_percent" json:"speed_percent"`       // relative to a reference core; 100 if omitted
	CapacityPercent int64  `toml:"capacity_percent" json:"capacity_percent"` // usable part, below 100 while it is cold; 100 if omitted
}

// Model is a model that workers load and clients call.
type Model struct {
	ID        string   `toml:"id" json:"id"`
	MemoryMB  int64    `toml:"memory_mb" json:"memory_mb"` // of one copy
	Lanes     int64    `toml:"lanes" json:"lanes"`         // calls that one copy runs at a time
	LoadMs    int64    `toml:"load_ms" json:"load_ms"`
	MinCopies int64    `toml:"least_copies" json:"least_copies"`
	MaxCopies int64    `toml:"most_copies" json:"most_copies"` // 0 for no limit
	MinHalls  int64    `toml:"halls" json:"halls"`             // least number of halls in which it has copies
	Pins      []string `toml:"pins" json:"pins"`               // workers that must have a copy
	Excludes  []string `toml:"excludes" json:"excludes"`       // workers that must not have a copy
	Calls     []Call   `toml:"calls" json:"calls"`
}

// Call is the expected demand for a model by the calls of one class from one hall.
type Call struct {
	Class  string `toml:"class" json:"class"`
	Hall   string `toml:"hall" json:"hall"`
	Mcores int64  `toml:"mcores" json:"mcores"` // work, in thousandths of a core
	Worth  int64  `toml:"worth" json:"worth"`   // points per mcore served
}

// Copy is a copy of a model on a worker.
type Copy struct {
	Model  string `toml:"model" json:"model"`
	Worker string `toml:"worker" json:"worker"`
}

// Limits are the limits that apply to a plan as a whole.
type Limits struct {
	Loads           *int64 `toml:"loads" json:"loads"`                       // number of loads that the load ration allows; nil for no limit
	FetchMs         *int64 `toml:"fetch_ms" json:"fetch_ms"`                 // load time that the model store can serve; nil for no limit
	HeadroomPercent int64  `toml:"headroom_percent" json:"headroom_percent"` // part of each worker's memory that stays free
	SurviveHall     bool   `toml:"survive_hall" json:"survive_hall"`         // each model with calls has copies in at least two halls
}

// Prices are the costs, in points, that are subtracted from the worth of the work served.
type Prices struct {
	Cross  int64 `toml:"cross" json:"cross"`   // per mcore served in a hall other than the caller's
	Memory int64 `toml:"memory" json:"memory"` // per 100 MB of copies
	Load   int64 `toml:"load" json:"load"`     // per 100 ms of load time
	Move   int64 `toml:"move" json:"move"`     // per load or unload
}

// ReadTOML parses and checks a problem. Errors name the line or the field; an unknown field is an error.
func ReadTOML(text []byte) (*Problem, error) {
	problem := &Problem{}
	meta, err := toml.Decode(string(text), problem)
	if err != nil {
		var parseError toml.ParseError
		if errors.As(err, &parseError) {
			return nil, fmt.Errorf("line %d: %s", parseError.Position.Line, parseError.Message)
		}
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown field", unknown[0])
	}
	return problem, problem.Check()
}

// ReadJSON parses and checks a problem like ReadTOML, but from JSON.
func ReadJSON(text []byte) (*Problem, error) {
	problem := &Problem{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(problem); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: cannot hold a JSON %s", typeError.Field, typeError.Value)
		}
		return nil, fmt.Errorf("byte %d: %w", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("byte %d: unexpected data after the problem", decoder.InputOffset())
	}
	return problem, problem.Check()
}

// checker records the first error of an input, prefixed with the field.
type checker struct{ err error }

func (c *checker) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

func (c *checker) checkRange(field string, value, least, most int64) {
	if value < least || value > most {
		c.fail(field, "%d is not from %d to %d", value, least, most)
	}
}

func (c *checker) checkName(field, name string) {
	if name == "" || len(name) > maxNameBytes {
		c.fail(field, "a name of 1 to %d bytes is needed", maxNameBytes)
	}
}

// Check sets omitted fields to their defaults and returns an error for the first invalid field.
func (p *Problem) Check() error {
	check := &checker{}
	if len(p.Workers) > maxWorkers || len(p.Models) > maxModels {
		check.fail("workers, models", "got %d and %d, at most %d and %d are allowed", len(p.Workers), len(p.Models), maxWorkers, maxModels)
		return check.err
	}
	halls, workers, models := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range p.Workers {
		worker, field := &p.Workers[i], fmt.Sprintf("workers[%d]", i)
		check.checkName(field+".id", worker.ID)
		check.checkName(field+".hall", worker.Hall)
		if workers[worker.ID] {
			check.fail(field+".id", "%q appears twice", worker.ID)
		}
		workers[worker.ID], halls[worker.Hall] = true, true
		if worker.State == "" {
			worker.State = "ready"
		}
		if !slices.Contains([]string{"ready", "draining", "out"}, worker.State) {
			check.fail(field+".state", "%q is not ready, draining or out", worker.State)
		}
		worker.SpeedPercent, worker.CapacityPercent = orElse(worker.SpeedPercent, 100), orElse(worker.CapacityPercent, 100)
		check.checkRange(field+".memory_mb", worker.MemoryMB, 0, maxValue)
		check.checkRange(field+".cores", worker.Cores, 0, 1024)
		check.checkRange(field+".speed_percent", worker.SpeedPercent, 1, 1000)
		check.checkRange(field+".capacity_percent", worker.CapacityPercent, 1, 100)
	}
	for i := range p.Models {
		model, field := &p.Models[i], fmt.Sprintf("models[%d]", i)
		check.checkName(field+".id", model.ID)
		if models[model.ID] {
			check.fail(field+".id", "%q appears twice", model.ID)
		}
		models[model.ID] = true
		check.checkRange(field+".memory_mb", model.MemoryMB, 0, maxValue)
		check.checkRange(field+".lanes", model.Lanes, 1, 1024)
		check.checkRange(field+".load_ms", model.LoadMs, 0, maxValue)
		check.checkRange(field+".least_copies", model.MinCopies, 0, maxWorkers)
		check.checkRange(field+".most_copies", model.MaxCopies, 0, maxWorkers)
		check.checkRange(field+".halls", model.MinHalls, 0, maxWorkers)
		for j, id := range model.Pins {
			if !workers[id] || slices.Contains(model.Pins[:j], id) {
				check.fail(fmt.Sprintf("%s.pins[%d]", field, j), "%q is unknown or appears twice", id)
			}
		}
		for j, id := range model.Excludes {
			if !workers[id] || slices.Contains(model.Excludes[:j], id) {
				check.fail(fmt.Sprintf("%s.excludes[%d]", field, j), "%q is unknown or appears twice", id)
			}
		}
		if len(model.Calls) > maxCalls {
			check.fail(field+".calls", "got %d, at most %d are allowed", len(model.Calls), maxCalls)
		}
		for j, call := range model.Calls {
			field := fmt.Sprintf("%s.calls[%d]", field, j)
			check.checkName(field+".class", call.Class)
			if slices.ContainsFunc(model.Calls[:j], func(other Call) bool { return other.Class == call.Class && other.Hall == call.Hall }) {
				check.fail(field, "class %q from hall %q appears twice", call.Class, call.Hall)
			}
			if !halls[call.Hall] {
				check.fail(field+".hall", "no worker is in hall %q", call.Hall)
			}
			check.checkRange(field+".mcores", call.Mcores, 0, maxValue)
			check.checkRange(field+".worth", call.Worth, 0, maxPrice)
		}
	}
	seen := map[Copy]bool{}
	for i, loaded := range p.Present {
		if field := fmt.Sprintf("present[%d]", i); !models[loaded.Model] || !workers[loaded.Worker] || seen[loaded] {
			check.fail(field, "model %q at worker %q is unknown or appears twice", loaded.Model, loaded.Worker)
		}
		seen[loaded] = true
	}
	if p.Limits.Loads != nil {
		check.checkRange("limits.loads", *p.Limits.Loads, 0, maxValue)
	}
	if p.Limits.FetchMs != nil {
		check.checkRange("limits.fetch_ms", *p.Limits.FetchMs, 0, maxValue*1000)
	}
	check.checkRange("limits.headroom_percent", p.Limits.HeadroomPercent, 0, 99)
	check.checkRange("prices.cross", p.Prices.Cross, 0, maxPrice)
	check.checkRange("prices.memory", p.Prices.Memory, 0, maxPrice)
	check.checkRange("prices.load", p.Prices.Load, 0, maxPrice)
	check.checkRange("prices.move", p.Prices.Move, 0, maxPrice)
	return check.err
}

func orElse(value, fallback int64) int64 {
	if value == 0 {
		return fallback
	}
	return value
}
