package agreement

import (
	"encoding/hex"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/member"
)

// What is kept on disk of other gateways' incarnations keeps its form, whatever its types are called: a file of an earlier version
// is read.
func TestSavedIncarnationsKeepTheirForm(t *testing.T) {
	const form = "81a2673183a14ecf0000000000000007a3546167cf0000000000000000a64265666f7265cf0000000000000006"
	x := map[string]incarnations{"g1": {member.Incarnation{Number: 7}, 6}}
	b, err := msgpack.Marshal(x)
	if got := hex.EncodeToString(b); err != nil || got != form {
		t.Errorf("%s, %v, want %s", got, err, form)
	}
}
