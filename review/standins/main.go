// Command standins plays one case of the review. It starts gateways among stand-ins of clients, workers and the platform, writes down
// what was sent, answered and run, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// setup is what every case gets.
type setup struct {
	record  *record
	root    string // folder of the repository, in which the program was started
	dir     string // a temporary folder
	trouble bool   // whether the disruption takes place
}

// A testCase plays a case and returns the ways in which the rule was broken. An error means that the case could not run.
type testCase func(*setup) (violations []string, err error)

var cases = map[string]testCase{"redelivery": redeliveryAfterUpgrade, "long-answers": longAnswers, "bans": banDuringUpgrade}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD, with a case of: redelivery, long-answers, bans")
		return couldNotRun
	}
	s, err := newSetup(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return couldNotRun
	}
	defer os.RemoveAll(s.dir)
	violations, err := cases[os.Args[1]](s)
	if err != nil {
		s.record.printf("the case could not run: %v", err)
		return couldNotRun
	}
	for _, v := range violations {
		s.record.printf("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		return ruleBroken
	}
	s.record.printf("the rule held")
	return ruleHeld
}

func newSetup(recordPath string) (*setup, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	return &setup{record: rec, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}, err
}
