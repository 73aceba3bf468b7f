package app

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// deploymentNames matches the names of sites, tenants, classes, halls and worker kinds of the deployments that quillrail serves. With
// them, a program or a deploy file could treat one deployment differently from another.
var deploymentNames = regexp.MustCompile(`(?i)\b(riga-telemetry|riga|larder-hq|larder|latvian|braeside|daugava\w*|kurzeme\w*|vidzeme\w*|` +
	`glenmuir\w*|kinbrae\w*|ardlow\w*|corran\w*|balfie\w*|status-read|remote-command|swap-suggest|slot-hold|order-confirm|` +
	`hall-[abc]|std-2c|wide-3c|quick-3c|plain-3c)\b`)

// No code and no deploy file may be specific to one deployment: deployments differ only in their settings. This file is the only one
// in which the names may occur.
func TestNoDeploymentNamesInSources(t *testing.T) {
	read := 0
	for _, top := range []string{"cmd", "decide", "deploy", "internal", "tools", ".ci"} {
		err := filepath.WalkDir(filepath.Join("..", "..", top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Base(path) == "names_test.go" || strings.Contains(path, "testdata") {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			read++
			for i, line := range strings.Split(string(text), "\n") {
				if name := deploymentNames.FindString(line); name != "" {
					t.Errorf("%s:%d names %q", path, i+1, name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if read < 100 || !deploymentNames.MatchString(`zone = "hall-a"`) {
		t.Errorf("%d files were searched, want at least 100 and a pattern that matches", read)
	}
}
