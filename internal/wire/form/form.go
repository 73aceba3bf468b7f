// Package form validates the fields of a call and converts them. Both fronts (HTTP and MQTT) use the same syntax for the fields but carry
// them in different places of a message. A call that is invalid here never reaches a worker.
package form

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/settings"
)

const (
	maxNumber        = 1e6 // milliseconds or megabytes: a cost of 17 minutes or a terabyte; more is taken for a mistake
	maxWaitDeadlines = 10  // longest wait, as a multiple of the deadline of the call's class
	maxKeySize       = 128 // characters
	maxLanes         = 1024
)

// Raw holds the fields of a call as text. Optional fields are empty if absent.
type Raw struct {
	Function, ID, Class, Tenant, Key string

	WaitMs string
	CostMs string // optional: expected work of the call
	Tags   string // optional, for instance memory_mb:512;lanes:2;load_ms:640
	Retry  string // optional: 1 if the client repeats the call, else 0
}

// ErrFunction is the error for a function name that is not valid.
var ErrFunction = errors.New("a function is 16 hex digits")

// Call validates the fields and returns the call that they describe. Its errors are sent to the client.
func (r Raw) Call(site *settings.Site) (call core.Call, err error) {
	if !settings.Hex16(r.Function) {
		return call, ErrFunction
	}
	if !settings.Hex16(r.ID) {
		return call, errors.New("the request id is not 16 hex digits")
	}
	call.Function, call.ID, call.ClassName, call.Key = r.Function, r.ID, r.Class, r.Key
	var ok bool
	if call.Class, ok = site.Class(r.Class); !ok {
		return call, errors.New("unknown class")
	}
	if call.Tenant, ok = site.Tenant(r.Tenant); !ok {
		return call, errors.New("unknown tenant")
	}
	if !settings.IsToken(r.Key, maxKeySize) {
		return call, errors.New("the key is not a word of up to 128 characters")
	}
	if r.Key == "" && site.Keyed(call.Class) {
		return call, errors.New("this class needs a key")
	}
	wait, err := parseNumber(r.WaitMs, maxWaitDeadlines*float64(site.Decide.Classes[call.Class].Deadline.Milliseconds()))
	if err != nil || wait <= 0 {
		return call, errors.New("the time to wait is not a number of milliseconds")
	}
	if r.Retry != "" && r.Retry != "0" && r.Retry != "1" {
		return call, errors.New("the mark of a retry is neither 0 nor 1")
	}
	call.Wait, call.Repeat = milliseconds(wait), r.Retry == "1"
	if r.CostMs != "" {
		cost, err := parseNumber(r.CostMs, maxNumber)
		if err != nil {
			return call, errors.New("the cost is not a number of milliseconds")
		}
		call.Work = milliseconds(cost)
	}
	return call, parseTags(r.Tags, &call)
}

// parseTags parses name:value pairs into the call's fields. Pairs with unknown names are ignored.
func parseTags(text string, call *core.Call) error {
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(strings.TrimSpace(pair), ":")
		if name != "memory_mb" && name != "lanes" && name != "load_ms" {
			continue
		}
		x, err := parseNumber(value, maxNumber)
		if err != nil {
			return errors.New("a tag is not a number: " + name)
		}
		switch name {
		case "memory_mb":
			call.MemoryMB = x
		case "lanes":
			if x < 1 || x > maxLanes || x != math.Trunc(x) {
				return errors.New("lanes is no whole number from 1 to 1024")
			}
			call.Lanes = int(x)
		case "load_ms":
			call.LoadTime = milliseconds(x)
		}
	}
	return nil
}

// parseNumber parses a number from 0 to limit.
func parseNumber(text string, limit float64) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(x) || x < 0 || x > limit) {
		err = strconv.ErrRange
	}
	return x, err
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(x float64) time.Duration {
	return time.Duration(math.Round(x * float64(time.Millisecond)))
}
