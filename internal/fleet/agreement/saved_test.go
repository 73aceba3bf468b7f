package agreement

import (
	"encoding/hex"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/member"
)

// The incarnations of other gateways keep their encoding on disk, whatever the types in the program are called, so that
// files of earlier versions can still be read.
func TestSavedIncarnationsKeepTheirEncoding(t *testing.T) {
	const want = "81a2673183a14ecf0000000000000007a3546167cf0000000000000000a64265666f7265cf0000000000000006"
	records := map[string]incarnationRecord{"g1": {member.Incarnation{Number: 7}, 6}}
	encoded, err := msgpack.Marshal(records)
	if got := hex.EncodeToString(encoded); err != nil || got != want {
		t.Errorf("%s, %v, want %s", got, err, want)
	}
}
