package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Upper bounds of settings. They are far beyond any deployment; beyond them, times overflow or names don't fit on a protocol line.
const (
	maxSeconds = 1e7 // about four months
	maxNumber  = 1e9
	maxName    = 128 // bytes
)

// FieldError is a setting that can't be used.
type FieldError struct {
	Field string // as it is spelled in the settings, with its index in lists
	Value any
	Want  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %v, wanted %s", e.Field, e.Value, e.Want)
}

// decode parses the JSON object. The error for a value of the wrong type names the setting and its value.
func decode(text []byte) (*bootInfo, error) {
	b := &bootInfo{}
	err := json.Unmarshal(text, b)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return nil, &FieldError{wrong.Field, lastValue(string(text[:wrong.Offset])), describeType(wrong.Type)}
	}
	return b, err
}

// describeType returns a description of the values that a setting of this type may have.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Float64:
		return "a number"
	case reflect.Int:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

// lastValue returns the JSON value at the end of text. Of a list or an object that has begun there, it returns the last piece.
func lastValue(text string) string {
	if body, quoted := strings.CutSuffix(text, `"`); quoted {
		return text[strings.LastIndex(body, `"`):]
	}
	return text[strings.LastIndexAny(text, ":, \n\t[")+1:]
}

// checker remembers the first setting that can't be used.
type checker struct{ err error }

func (c *checker) fail(field string, value any, want string) {
	if c.err == nil {
		c.err = &FieldError{field, value, want}
	}
}

// inRange checks that lowest <= value <= highest.
func (c *checker) inRange(field string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		c.fail(field, value, fmt.Sprintf("%g to %g", lowest, highest))
	}
}

// positive checks a value that must be set and above 0. A missing one reads as 0.
func (c *checker) positive(field string, value, highest float64) {
	if !(value > 0 && value <= highest) {
		c.fail(field, value, fmt.Sprintf("more than 0, and %g at most (0 may mean that it is missing)", highest))
	}
}

// oneOf checks that a value is among the allowed ones.
func (c *checker) oneOf(field, value string, allowed ...string) {
	for _, one := range allowed {
		if value == one {
			return
		}
	}
	c.fail(field, fmt.Sprintf("%q", value), "one of "+strings.Join(allowed, ", "))
}

// uniqueNames checks a list of names: each must be fit to be sent to workers, and none may occur twice. field is a format for the
// index of a name.
func (c *checker) uniqueNames(field string, count int, name func(int) string) {
	seen := map[string]bool{}
	for i := range count {
		switch n := name(i); {
		case n == "" || !IsToken(n, maxName):
			c.fail(fmt.Sprintf(field, i), fmt.Sprintf("%q", n), "a name without blanks, commas and equals signs")
		case seen[n]:
			c.fail(fmt.Sprintf(field, i), fmt.Sprintf("%q", n), "a name that no other entry has")
		default:
			seen[n] = true
		}
	}
}

// check returns an error for the first setting that is missing, out of range or contradicts another.
func (b *bootInfo) check() error {
	c := &checker{}
	b.checkClasses(c)
	b.checkTenantsAndZones(c)
	contract := &b.Contract
	c.inRange("contract.answer-slack-s", contract.AnswerSlack, 0, maxSeconds)
	c.inRange("contract.drain-grace-s", contract.DrainGrace, 0, maxSeconds)
	c.inRange("contract.cold-from", contract.ColdFrom, 0, 1)
	c.inRange("contract.cold-s", contract.Cold, 0, maxSeconds)
	c.inRange("contract.fall-s", contract.Fall, 0, maxSeconds)
	c.inRange("contract.fall-multiple", contract.FallMultiple, 0, maxNumber)
	if contract.Fall > 0 {
		c.positive("contract.fall-multiple", contract.FallMultiple, maxNumber)
	}
	family := &b.Family
	c.inRange("family-info.keep-s", family.Keep, 0, maxSeconds)
	c.inRange("family-info.free-loads", family.FreeLoads, 0, maxNumber)
	c.inRange("family-info.load-share", family.LoadShare, 0, maxNumber)
	c.inRange("family-info.load-period-s", family.LoadPeriod, 0, maxSeconds)
	c.inRange("family-info.order-limit-s", family.OrderLimit, 0, maxSeconds)
	if family.Orders {
		c.positive("family-info.order-limit-s", family.OrderLimit, maxSeconds)
	}
	c.oneOf("family-info.not-loaded", family.NotLoaded, "", "load", "miss")
	c.oneOf("membership-mode", b.Mode, "", "automatic", "subscribe")
	limits := &b.Limits
	c.positive("policy-limits.try-limit", float64(limits.TryLimit), maxNumber)
	c.positive("policy-limits.conn-idle-s", limits.ConnIdle, maxSeconds)
	c.positive("policy-limits.connect-timeout-s", limits.Connect, maxSeconds)
	c.positive("policy-limits.streams-per-conn", float64(limits.Streams), maxNumber)
	c.inRange("policy-limits.max-retry-after-s", limits.MaxRetryAfter, 0, maxSeconds)
	return c.err
}

func (b *bootInfo) checkClasses(c *checker) {
	c.positive("classes", float64(len(b.Classes)), maxNumber)
	c.uniqueNames("classes[%d].name", len(b.Classes), func(i int) string { return b.Classes[i].Name })
	for i, class := range b.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		c.positive(prefix+"promise-s", class.Promise, maxSeconds)
		c.positive(prefix+"deadline-s", class.Deadline, maxSeconds)
		if class.Promise > class.Deadline {
			c.fail(prefix+"promise-s", class.Promise, fmt.Sprintf("no more than deadline-s, which is %g", class.Deadline))
		}
		c.inRange(prefix+"credit", class.Credit, 0, maxNumber)
		c.inRange(prefix+"late-worth", class.LateWorth, 0, 1)
		c.inRange(prefix+"window-s", class.Window, 0, maxSeconds)
	}
}

func (b *bootInfo) checkTenantsAndZones(c *checker) {
	c.uniqueNames("customers[%d].name", len(b.Customers), func(i int) string { return b.Customers[i].Name })
	for i, tenant := range b.Customers {
		c.inRange(fmt.Sprintf("customers[%d].share", i), tenant.Share, 0, 1)
		c.inRange(fmt.Sprintf("customers[%d].allowance-per-s", i), tenant.PerSec, 0, maxNumber)
	}
	c.positive("azs", float64(len(b.Zones)), maxNumber)
	c.positive("kinds", float64(len(b.Kinds)), maxNumber)
	c.inRange("balancers", float64(b.Balancers), 0, maxNumber)
	c.inRange("slot-no", float64(b.Slot), 0, maxNumber)
	c.inRange("zone", float64(b.Zone), 0, max(0, float64(len(b.Zones)-1)))
}
