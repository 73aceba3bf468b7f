package change

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// A release keeps its form on disk and between gateways, whatever its fields are called: versions before read it, and their hash
// of the state is the same.
func TestReleaseKeepsItsForm(t *testing.T) {
	r := Release{Batches: [][]Thing{{Of(Gateway, "g1")}}, Batch: 3}
	text, err := json.Marshal(&r)
	if err != nil || !strings.Contains(string(text), `"Waves":[["gateway:g1"]]`) || !strings.Contains(string(text), `"Wave":3`) {
		t.Errorf("%s, %v", text, err)
	}
	packed, err := msgpack.Marshal(&r)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := msgpack.Unmarshal(packed, &fields); err != nil || fields["Wave"] == nil || fields["Waves"] == nil || fields["Batch"] != nil {
		t.Errorf("%v, %v", fields, err)
	}
}
