package plan

import (
	"encoding/json"
	"strings"
	"testing"
)

// Invalid input is rejected with an error that names the field, line or byte.
func TestReadRejectsBadInput(t *testing.T) {
	good := `{"workers":[{"id":"w","hall":"h","memory_mb":1,"cores":1}],"models":[{"id":"m","memory_mb":1,"lanes":1,"calls":[{"class":"c","hall":"h","mcores":5,"worth":1}]}],"present":[{"model":"m","worker":"w"}]}`
	if _, err := ReadJSON([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for before, replacement := range map[string][2]string{
		`"memory_mb":1,"cores"`:     {`"memory_mb":-1,"cores"`, "workers[0].memory_mb"},
		`"cores":1`:                 {`"cores":1e99`, "workers.cores"},
		`"lanes":1`:                 {`"lanes":0`, "models[0].lanes"},
		`"mcores":5`:                {`"mcores":99999999999`, "models[0].calls[0].mcores"},
		`"hall":"h","mcores"`:       {`"hall":"q","mcores"`, "models[0].calls[0].hall"},
		`{"model":"m","worker":"w"`: {`{"model":"m","worker":"v"`, "present[0]"},
		`"cores":1}`:                {`"cores":1},{"id":"w","hall":"h"}`, "workers[1].id"},
		`"worth":1`:                 {`"worth":NaN`, "byte"},
		`"id":"m"`:                  {`"id":"m","odd":1`, "odd"},
		`]}]`:                       {`]}]}{`, "byte"},
	} {
		text := strings.Replace(good, before, replacement[0], 1)
		if _, err := ReadJSON([]byte(text)); err == nil || !strings.Contains(err.Error(), replacement[1]) {
			t.Errorf("%s: got error %v, want one with %q", replacement[0], err, replacement[1])
		}
	}
	for text, want := range map[string]string{"[[workers]]\nid = 3": "line 2", "[[workers]]\nodd = 3": "workers.odd", "x": "line 1",
		"[[workers]]\nid = 'w'\nhall = 'h'\nmemory_mb = nan": "line 4"} {
		if _, err := ReadTOML([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one with %q", text, err, want)
		}
	}
}

// FuzzReadAndSolve checks that any input is either rejected or gives a plan that Verify accepts.
func FuzzReadAndSolve(f *testing.F) {
	f.Add([]byte(`{"workers":[{"id":"w","hall":"h","memory_mb":5,"cores":1}],"models":[{"id":"m","memory_mb":1,"lanes":1,"least_copies":1}]}`))
	f.Add([]byte(`{"models":[{"id":"m","memory_mb":1000000000,"lanes":1024,"least_copies":512}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := ReadJSON(b)
		if err != nil {
			return
		}
		if r := Solve(p, Options{MaxSteps: 100_000}); Verify(p, r) != nil {
			text, _ := json.Marshal(p)
			t.Errorf("%s: %v", text, Verify(p, r))
		}
	})
}
