package app

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// siteNames are the words by which a program or a deploy file could know one deployment from another: names of sites,
// tenants, classes, halls and kinds of worker of the deployments that quillrail serves.
var siteNames = regexp.MustCompile(`(?i)\b(riga-telemetry|riga|larder-hq|larder|latvian|braeside|daugava\w*|kurzeme\w*|vidzeme\w*|` +
	`glenmuir\w*|kinbrae\w*|ardlow\w*|corran\w*|balfie\w*|status-read|remote-command|swap-suggest|slot-hold|order-confirm|` +
	`hall-[abc]|std-2c|wide-3c|quick-3c|plain-3c)\b`)

// Nothing in the code or the deploy files is fitted to one deployment: a difference between them is told by their settings
// alone. The words themselves stand in this file only.
func TestNothingKnowsADeployment(t *testing.T) {
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
				if name := siteNames.FindString(line); name != "" {
					t.Errorf("%s:%d names %q", path, i+1, name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if read < 100 || !siteNames.MatchString(`zone = "hall-a"`) {
		t.Errorf("%d files were read", read)
	}
}
