package app

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"quillrail/internal/plan"
)

// The plan commands print the expected text and exit with the expected code, for the example of the operators' documentation.
func TestPlanCommands(t *testing.T) {
	text, err := os.ReadFile("../../docs/plan-example.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	run := func(args ...string) (string, int) {
		var out bytes.Buffer
		c := command()
		c.Writer, c.ErrWriter, c.ExitErrHandler = &out, &out, func(context.Context, *cli.Command, error) {}
		err := c.Run(context.Background(), append([]string{"quillrail", "plan"}, args...))
		var exit cli.ExitCoder
		switch {
		case err == nil:
			return out.String(), 0
		case errors.As(err, &exit):
			return out.String(), exit.ExitCode()
		}
		return err.Error(), 1
	}
	good := write("good.toml", string(text))
	tight := write("tight.toml", strings.Replace(string(text), "headroom_percent = 10", "headroom_percent = 95", 1))
	bad := write("bad.toml", strings.Replace(string(text), "lanes = 4", "lanes = -4", 1))
	p, err := plan.ReadTOML(text)
	if err != nil {
		t.Fatal(err)
	}
	asJSON, _ := json.Marshal(p)
	for _, test := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", good}, 0, "4 workers, 3 models, 2 copies present"},
		{[]string{"check", write("good.json", string(asJSON))}, 0, "4 workers"},
		{[]string{"check", bad}, 1, "models[0].lanes: -4 is not from 1"},
		{[]string{"check"}, 1, "a file is needed"},
		{[]string{"solve", "--steps", "1000000", good}, 0, "verdict  optimal"},
		{[]string{"solve", "--json", good}, 0, `"verdict": "optimal"`},
		{[]string{"solve", "--steps", "1", good}, exitTimeout, "none found in time"},
		{[]string{"explain", good}, 0, "worth of the work served"},
		{[]string{"explain", tight}, exitNoPlan, "conflict  memory of worker"},
		{[]string{"diff", good}, exitDifferent, "load "},
	} {
		if got, code := run(test.args...); code != test.code || !strings.Contains(got, test.want) {
			t.Errorf("%q: exit code %d, want %d, with the output:\n%s", test.args, code, test.code, got)
		}
	}
}
