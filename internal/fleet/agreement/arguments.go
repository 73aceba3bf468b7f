package agreement

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"quillrail/internal/fleet/change"
)

// arguments are the options of a declaration. Each is removed when it is read, so those that remain at the end are
// unknown.
type arguments struct {
	remaining map[string]string
	err       error
}

func (args *arguments) text(name string) string {
	v := args.remaining[name]
	delete(args.remaining, name)
	return v
}

func (args *arguments) list(name string) []string {
	if v := args.text(name); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func (args *arguments) number(name string, fallback float64) float64 {
	v := args.text(name)
	if v == "" {
		return fallback
	}
	number, err := strconv.ParseFloat(v, 64)
	if err != nil || !(number >= 0 && number < 1e12) {
		args.err = errors.Join(args.err, fmt.Errorf("%s=%s is no number", name, v))
	}
	return number
}

// choice returns an option that must have one of the given values if it is set.
func (args *arguments) choice(name string, allowed ...string) string {
	v := args.text(name)
	if v != "" && !slices.Contains(allowed, v) {
		args.err = errors.Join(args.err, fmt.Errorf("%s is one of %v, not %q", name, allowed, v))
	}
	return v
}

func (args *arguments) limit(name string, fallback change.Limit) change.Limit {
	v := args.text(name)
	if v == "" {
		return fallback
	}
	l, err := change.ParseLimit(v)
	args.err = errors.Join(args.err, err)
	return l
}

// finish returns all errors found in the options, as one line.
func (args *arguments) finish() error {
	for _, name := range sortedKeys(args.remaining) {
		args.err = errors.Join(args.err, fmt.Errorf("%s is not understood here", name))
	}
	if args.err != nil {
		return errors.New(strings.ReplaceAll(args.err.Error(), "\n", "; "))
	}
	return nil
}
