package main

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"
)

// The sub-commands that need no platform, and the one line that a missing configuration gives.
func TestCommands(t *testing.T) {
	t.Setenv("NODE_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	for args, want := range map[string]string{"version": "quillrail ", "help": "check-config", "serve --help": "--mqtt"} {
		var out bytes.Buffer
		c := command()
		c.Writer = &out
		if err := c.Run(context.Background(), append([]string{"quillrail"}, strings.Fields(args)...)); err != nil ||
			!strings.Contains(out.String(), want) {
			t.Errorf("%s: %v, %q", args, err, out.String())
		}
	}
	for _, args := range []string{"serve", "check-config", "serve --log-level loud"} {
		err := command().Run(context.Background(), append([]string{"quillrail"}, strings.Fields(args)...))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", args, err)
		}
	}
}
