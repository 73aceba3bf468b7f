package app

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Guards against a listed test that is forgotten once it passes, and against an entry that skips more than its test: CI runs each by its
// own command and seed, says how it ended, and refuses a malformed list.
func TestKnownRedTestsAreRunAndNamed(t *testing.T) {
	for _, c := range []struct{ list, want string }{
		{"TestOne | 7 | test $QUILLRAIL_FLEET_SEED = 7 | it hangs | issue 3\nTestTwo | 1 | exit 1 | lost calls | issue 41\n" +
			"TestThree|2|false|x|issue 1\nTestFour|2|false|x|issue 1",
			"known red: TestOne, seed 7: it hangs , issue 3\nknown red, PASSES now: TestOne\n" +
				"known red: TestTwo, seed 1: lost calls , issue 41\nknown red, fails: TestTwo\n" +
				"known red: TestThree, seed 2:x,issue 1\nknown red, fails: TestThree\n" +
				"known red: TestFour, seed 2:x,issue 1\nknown red, fails: TestFour\n" +
				"^(TestOne|TestTwo|TestThree|TestFour)$\n"},
		{"Test.* | 1 | true | all | issue 3\n", ""},
		{"TestOne | one | true | seed | issue 3\n", ""},
		{"TestOne | 1 | | no command | issue 3\n", ""},
		{"TestOne | 1 | true | | issue 3\n", ""},
		{"TestOne | 1 | true | no issue\n", ""},
		{"TestOne: a line of the former format\n", ""},
	} {
		file := filepath.Join(t.TempDir(), "list")
		if err := os.WriteFile(file, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command("../../.ci/known-red", file).Output()
		if refused := c.want == ""; refused != (err != nil) || !refused && string(out) != c.want {
			t.Errorf("list %q: error %v, printed\n%s\nwant\n%s", c.list, err, out, c.want)
		}
	}
}
