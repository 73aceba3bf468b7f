package change

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// The encoded field names of a release, on disk and between gateways, must not change with its Go field names: earlier versions
// read them, and the hash of the state must be the same there.
func TestReleaseEncodingKeepsOuterFieldNames(t *testing.T) {
	r := Release{Batches: [][]Subject{{NewSubject(Gateway, "g1")}}, Batch: 3}
	text, err := json.Marshal(&r)
	if err != nil || !strings.Contains(string(text), `"Waves":[["gateway:g1"]]`) || !strings.Contains(string(text), `"Wave":3`) {
		t.Errorf("JSON: got %s, error %v; want the field names Waves and Wave", text, err)
	}
	packed, err := msgpack.Marshal(&r)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := msgpack.Unmarshal(packed, &fields); err != nil || fields["Wave"] == nil || fields["Waves"] == nil || fields["Batch"] != nil {
		t.Errorf("MessagePack: got %v, error %v; want the field names Wave and Waves, and no Batch", fields, err)
	}
}
