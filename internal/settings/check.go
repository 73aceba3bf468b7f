package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Bounds of what settings may hold. They are far beyond any deployment; past them times overflow or words don't fit a line.
const (
	maxSeconds = 1e7 // four months
	maxNumber  = 1e9
	maxName    = 128
)

// FieldError is a setting that can't be used.
type FieldError struct {
	Field string // as the settings spell it, with its place in lists
	Value any
	Want  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %v, wanted %s", e.Field, e.Value, e.Want)
}

// decode reads the object. A value of the wrong type is named with what stands there.
func decode(text []byte) (*bootInfo, error) {
	b := &bootInfo{}
	err := json.Unmarshal(text, b)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return nil, &FieldError{wrong.Field, lastValue(string(text[:wrong.Offset])), kindOf(wrong.Type)}
	}
	return b, err
}

// kindOf words what a setting of this type is.
func kindOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Float64:
		return "a number"
	case reflect.Int:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

// lastValue is the JSON value that a text ends with, or what is left of a list or an object that begins there.
func lastValue(text string) string {
	if body, quoted := strings.CutSuffix(text, `"`); quoted {
		return text[strings.LastIndex(body, `"`):]
	}
	return text[strings.LastIndexAny(text, ":, \n\t[")+1:]
}

// checker collects the first field that can't be used.
type checker struct{ err error }

func (c *checker) fail(field string, value any, want string) {
	if c.err == nil {
		c.err = &FieldError{field, value, want}
	}
}

// number checks that least <= value <= most.
func (c *checker) number(field string, value, least, most float64) {
	if !(value >= least && value <= most) {
		c.fail(field, value, fmt.Sprintf("%g to %g", least, most))
	}
}

// positive checks a value that has to be told: a missing one reads as 0.
func (c *checker) positive(field string, value, most float64) {
	if !(value > 0 && value <= most) {
		c.fail(field, value, fmt.Sprintf("more than 0, and %g at most (0 may mean that it is missing)", most))
	}
}

func (c *checker) word(field, value string, among ...string) {
	for _, w := range among {
		if value == w {
			return
		}
	}
	c.fail(field, fmt.Sprintf("%q", value), "one of "+strings.Join(among, ", "))
}

// names checks a list of names that may be spoken to workers and are told apart.
func (c *checker) names(field string, count int, name func(int) string) {
	seen := map[string]bool{}
	for i := range count {
		switch n := name(i); {
		case n == "" || !Word(n, maxName):
			c.fail(fmt.Sprintf(field, i), fmt.Sprintf("%q", n), "a name without blanks, commas and equals signs")
		case seen[n]:
			c.fail(fmt.Sprintf(field, i), fmt.Sprintf("%q", n), "a name that is not used twice")
		default:
			seen[n] = true
		}
	}
}

// check reports the first field that is missing, out of range or contradicts another.
func (b *bootInfo) check() error {
	c := &checker{}
	b.checkClasses(c)
	b.checkPlaces(c)
	t := &b.Contract
	c.number("contract.answer-slack-s", t.AnswerSlack, 0, maxSeconds)
	c.number("contract.drain-grace-s", t.DrainGrace, 0, maxSeconds)
	c.number("contract.cold-from", t.ColdFrom, 0, 1)
	c.number("contract.cold-s", t.Cold, 0, maxSeconds)
	c.number("contract.fall-s", t.Fall, 0, maxSeconds)
	c.number("contract.fall-multiple", t.FallMultiple, 0, maxNumber)
	if t.Fall > 0 {
		c.positive("contract.fall-multiple", t.FallMultiple, maxNumber)
	}
	f := &b.Family
	c.number("family-info.keep-s", f.Keep, 0, maxSeconds)
	c.number("family-info.free-loads", f.FreeLoads, 0, maxNumber)
	c.number("family-info.load-share", f.LoadShare, 0, maxNumber)
	c.number("family-info.load-period-s", f.LoadPeriod, 0, maxSeconds)
	c.number("family-info.order-limit-s", f.OrderLimit, 0, maxSeconds)
	if f.Orders {
		c.positive("family-info.order-limit-s", f.OrderLimit, maxSeconds)
	}
	c.word("family-info.not-loaded", f.NotLoaded, "", "load", "miss")
	c.word("membership-mode", b.Mode, "", "automatic", "subscribe")
	l := &b.Limits
	c.positive("policy-limits.try-limit", float64(l.TryLimit), maxNumber)
	c.positive("policy-limits.conn-idle-s", l.ConnIdle, maxSeconds)
	c.positive("policy-limits.connect-timeout-s", l.Connect, maxSeconds)
	c.positive("policy-limits.streams-per-conn", float64(l.Streams), maxNumber)
	c.number("policy-limits.max-retry-after-s", l.MaxRetryAfter, 0, maxSeconds)
	return c.err
}

func (b *bootInfo) checkClasses(c *checker) {
	c.positive("classes", float64(len(b.Classes)), maxNumber)
	c.names("classes[%d].name", len(b.Classes), func(i int) string { return b.Classes[i].Name })
	for i, k := range b.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		c.positive(at+"promise-s", k.Promise, maxSeconds)
		c.positive(at+"deadline-s", k.Deadline, maxSeconds)
		if k.Promise > k.Deadline {
			c.fail(at+"promise-s", k.Promise, fmt.Sprintf("no more than deadline-s, which is %g", k.Deadline))
		}
		c.number(at+"credit", k.Credit, 0, maxNumber)
		c.number(at+"late-worth", k.LateWorth, 0, 1)
		c.number(at+"window-s", k.Window, 0, maxSeconds)
	}
}

func (b *bootInfo) checkPlaces(c *checker) {
	c.names("customers[%d].name", len(b.Customers), func(i int) string { return b.Customers[i].Name })
	for i, t := range b.Customers {
		c.number(fmt.Sprintf("customers[%d].share", i), t.Share, 0, 1)
		c.number(fmt.Sprintf("customers[%d].allowance-per-s", i), t.PerSec, 0, maxNumber)
	}
	c.positive("azs", float64(len(b.Zones)), maxNumber)
	c.positive("kinds", float64(len(b.Kinds)), maxNumber)
	c.number("balancers", float64(b.Balancers), 0, maxNumber)
	c.number("slot-no", float64(b.Slot), 0, maxNumber)
	c.number("zone", float64(b.Zone), 0, max(0, float64(len(b.Zones)-1)))
}
