package settings

import (
	"errors"
	"strings"
	"testing"
)

const fullSettings = `{"azs":["x","y"],"kinds":["k"],"balancers":3,"slot-no":2,"zone":1,"membership-mode":"automatic",
"classes":[{"name":"read","effect":"idempotent","promise-s":0.5,"deadline-s":4,"credit":1,"late-worth":0.3,"window-s":5},
{"name":"pay","effect":"at_most_once","promise-s":1.5,"deadline-s":6,"credit":5}],
"customers":[{"name":"a","share":0.5,"allowance-per-s":9},{"name":"b","share":0.5}],
"contract":{"drain-grace-s":2,"cold-from":0.2,"cold-s":10,"fall-multiple":2.5,"fall-s":3},
"family-info":{"keep-s":10,"free-loads":2,"load-share":0.3,"load-period-s":10,"not-loaded":"load","order-limit-s":10,"orders":true},
"policy-limits":{"try-limit":5,"conn-idle-s":30,"connect-timeout-s":0.25,"streams-per-conn":32,"max-retry-after-s":2}}`

// The error for a setting that is missing, of the wrong type, out of range or in conflict with another names the setting and its
// value.
func TestParseStrictNamesUnusableSetting(t *testing.T) {
	if _, err := ParseStrict([]byte(fullSettings)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][4]string{ // the original text, its replacement, the field and the value in the error
		{`"deadline-s":4`, `"deadline-s":"soon"`, "classes.deadline-s", `"soon"`},
		{`"deadline-s":4`, `"deadline-s":true`, "classes.deadline-s", "true"},
		{`"deadline-s":4`, `"deadline-s":-4`, "classes[0].deadline-s", "-4"},
		{`"deadline-s":4,`, ``, "classes[0].deadline-s", "0"},
		{`"deadline-s":4`, `"deadline-s":0.4`, "classes[0].promise-s", "0.5"},
		{`"deadline-s":6`, `"deadline-s":1e300`, "classes[1].deadline-s", "1e+300"},
		{`"promise-s":0.5`, `"promise-s":0`, "classes[0].promise-s", "0"},
		{`"late-worth":0.3`, `"late-worth":3`, "classes[0].late-worth", "3"},
		{`"credit":5`, `"credit":-5`, "classes[1].credit", "-5"},
		{`"window-s":5`, `"window-s":-1`, "classes[0].window-s", "-1"},
		{`"name":"pay"`, `"name":"read"`, "classes[1].name", `"read"`},
		{`"name":"pay"`, `"name":"p y"`, "classes[1].name", `"p y"`},
		{`"name":"pay",`, ``, "classes[1].name", `""`},
		{`"at_most_once"`, `"maybe"`, "classes[1].effect", `"maybe"`},
		{`"share":0.5,"allow`, `"share":2,"allow`, "customers[0].share", "2"},
		{`"allowance-per-s":9`, `"allowance-per-s":-9`, "customers[0].allowance-per-s", "-9"},
		{`"name":"b"`, `"name":"a"`, "customers[1].name", `"a"`},
		{`"azs":["x","y"]`, `"azs":[]`, "azs", "0"},
		{`"kinds":["k"],`, ``, "kinds", "0"},
		{`"zone":1`, `"zone":2`, "zone", "2"},
		{`"balancers":3`, `"balancers":-3`, "balancers", "-3"},
		{`"balancers":3`, `"balancers":1.5`, "balancers", "1.5"},
		{`"slot-no":2`, `"slot-no":-2`, "slot-no", "-2"},
		{`"automatic"`, `"by hand"`, "membership-mode", `"by hand"`},
		{`"cold-from":0.2`, `"cold-from":1.2`, "contract.cold-from", "1.2"},
		{`"fall-multiple":2.5,`, ``, "contract.fall-multiple", "0"},
		{`"drain-grace-s":2`, `"drain-grace-s":-2`, "contract.drain-grace-s", "-2"},
		{`"not-loaded":"load"`, `"not-loaded":"wait"`, "family-info.not-loaded", `"wait"`},
		{`"order-limit-s":10,`, ``, "family-info.order-limit-s", "0"},
		{`"load-share":0.3`, `"load-share":-0.3`, "family-info.load-share", "-0.3"},
		{`"try-limit":5`, `"try-limit":0`, "policy-limits.try-limit", "0"},
		{`"connect-timeout-s":0.25`, `"connect-timeout-s":-1`, "policy-limits.connect-timeout-s", "-1"},
		{`"conn-idle-s":30`, `"conn-idle-s":0`, "policy-limits.conn-idle-s", "0"},
		{`"streams-per-conn":32`, `"streams-per-conn":-1`, "policy-limits.streams-per-conn", "-1"},
		{`"max-retry-after-s":2`, `"max-retry-after-s":-2`, "policy-limits.max-retry-after-s", "-2"},
	} {
		if !strings.Contains(fullSettings, c[0]) {
			t.Fatalf("the settings have no %s to replace", c[0])
		}
		_, err := ParseStrict([]byte(strings.Replace(fullSettings, c[0], c[1], 1)))
		var field *FieldError
		if !errors.As(err, &field) || field.Field != c[2] || !strings.Contains(err.Error(), " is "+c[3]+",") ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one that names %s and %s", c[1], err, c[2], c[3])
		}
	}
}
