package agreement

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"quillrail/internal/fleet/change"
)

// arguments are the options of a call, each taken once: what is left over is not understood.
type arguments struct {
	left map[string]string
	err  error
}

func (w *arguments) text(name string) string {
	v := w.left[name]
	delete(w.left, name)
	return v
}

func (w *arguments) list(name string) []string {
	if v := w.text(name); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func (w *arguments) number(name string, usual float64) float64 {
	v := w.text(name)
	if v == "" {
		return usual
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= 0 && x < 1e12) {
		w.err = errors.Join(w.err, fmt.Errorf("%s=%s is no number", name, v))
	}
	return x
}

func (w *arguments) one(name string, of ...string) string {
	v := w.text(name)
	if v != "" && !slices.Contains(of, v) {
		w.err = errors.Join(w.err, fmt.Errorf("%s is one of %v, not %q", name, of, v))
	}
	return v
}

func (w *arguments) limit(name string, usual change.Limit) change.Limit {
	v := w.text(name)
	if v == "" {
		return usual
	}
	l, err := change.ParseLimit(v)
	w.err = errors.Join(w.err, err)
	return l
}

// done reports what was wrong with the options.
func (w *arguments) done() error {
	for _, name := range sorted(w.left) {
		w.err = errors.Join(w.err, fmt.Errorf("%s is not understood here", name))
	}
	if w.err != nil {
		return errors.New(strings.ReplaceAll(w.err.Error(), "\n", "; "))
	}
	return nil
}
