package main

import (
	"bufio"
	"strings"
	"testing"
)

const bootInfo = `{"azs":["a"],"balancers":1,"classes":[{"credit":1.0,"deadline-s":4.0,"effect":"idempotent",` +
	`"key-scope":"all","late-worth":0.3,"name":"c","promise-s":1.2,"streaming":false,"window-s":5.0}],` +
	`"contract":{"answer-slack-s":0.016,"cold-from":0.16,"cold-s":18.0,"drain-grace-s":1.0,"fall-multiple":2.0,` +
	`"fall-s":1.5},"customers":[],"family-info":{"keep-s":9.5,"marks-cold":true,"not-loaded":"load","orders":true},` +
	`"membership-mode":"automatic","policy-limits":{"cancelling":true,"parallel-tries":true,"try-limit":4},"zone":0}`

// openBatch opens instance 3 and reports a list of one ready worker.
const openBatch = "tick sim-time-s=8.5\nopen_instance i=3 prng=42 novelty=1 boot-info=" + bootInfo + "\n" +
	"announce i=3 stamp=1 scope=disk hosts=1\nitem host=host-abc dc=0 model=0 bay=0 condition=ready capacity-hint=1\n" +
	"over_to_you\n"

const ingressLine = "ingress i=3 handle=77 kind=0 realm=0 model=0000007c55d20a01 ttl-s=2 work-s=0.012 mem-mb=384 " +
	"at-once=2 flags=1 fresh-key=9\n"

// runAdapter returns the output for an input and the error of run.
func runAdapter(t *testing.T, text string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := run(strings.NewReader(text), &out)
	return out.String(), err
}

func TestEmptyBatch(t *testing.T) {
	out, err := runAdapter(t, "tick sim-time-s=8.41225\nover_to_you\n\n")
	if err != nil || out != "done\n" {
		t.Errorf("reply %q, error %v, want only done", out, err)
	}
}

func TestRequestIsRoutedAndServed(t *testing.T) {
	out, err := runAdapter(t, openBatch+"tick sim-time-s=8.6\n"+ingressLine+"over_to_you\n"+
		"tick sim-time-s=8.7\nverdict i=3 handle=77 shot=0 host=host-abc disposition=GOOD time-taken-s=0.1 final=1 "+
		"note=2 report=busy_reqs:7,pending:3\nwake i=3 token=sweep\nover_to_you\n")
	if err != nil {
		t.Fatal(err)
	}
	want := "wake_at i=3 after-s=0.01 token=sweep\ndone\nroute i=3 handle=77 host=host-abc\ndone\n" +
		"wake_at i=3 after-s=0.01 token=sweep\ndone\n"
	if out != want {
		t.Errorf("got\n%s\nwant\n%s", out, want)
	}
}

func TestStopAndStartInOneBatch(t *testing.T) {
	again := strings.TrimPrefix(openBatch, "tick sim-time-s=8.5\n")
	out, err := runAdapter(t, openBatch+"tick sim-time-s=9\nshutdown i=3\n"+again+
		"tick sim-time-s=9.1\n"+ingressLine+"over_to_you\n")
	if err != nil || strings.Count(out, "route i=3 handle=77") != 1 {
		t.Errorf("reply %q, error %v, want one route action", out, err)
	}
}

func TestBadInputNamesLineAndFault(t *testing.T) {
	for text, want := range map[string]string{
		"hello\n":                               `line 1: a batch begins with tick, not "hello"`,
		"tick sim-time-s=abc\nover_to_you\n":    "line 1: tick: sim-time-s is not a number: abc",
		"tick sim-time-s=1\nwake i=9 token=x\n": "line 2: wake for instance 9, which is not open",
		openBatch + "tick sim-time-s=9\nfrobnicate i=3\nover_to_you\n":         `line 7: unknown message "frobnicate"`,
		openBatch + "tick sim-time-s=9\nwake i=3 token\nover_to_you\n":         `line 7: "token" is not name=value`,
		openBatch + "tick sim-time-s=9\nverdict i=3 handle=-4 shot=0 host=a\n": "line 7: verdict: handle is not a request id: -4",
		openBatch + "tick sim-time-s=9\nwake i=3 token=sweep\n":                "line 7: unexpected EOF",
		"tick sim-time-s=1\nopen_instance i=1 prng=4 boot-info={\nover_to_you": "boot-info: unexpected end of JSON input",
		openBatch + "tick sim-time-s=9\nannounce i=3 scope=diff hosts=1\nover_to_you\n": "line 8: announce: item expected, not " +
			`"over_to_you"`,
	} {
		if _, err := runAdapter(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error is %v, want %q", err, want)
		}
	}
}

func TestInvalidSettingIsNamed(t *testing.T) {
	_, err := runAdapter(t, strings.Replace(openBatch, `"try-limit":4`, `"try-limit":0`, 1))
	if err == nil || !strings.Contains(err.Error(), "MaxAttempts") {
		t.Errorf("error is %v, want one that names MaxAttempts", err)
	}
}

func TestPanicIsReported(t *testing.T) {
	var out strings.Builder
	s := &session{}
	in := &instance{id: 3, session: s} // has no router, so Handle panics
	s.instances = map[int]*instance{3: in}
	s.out = bufio.NewWriter(&out)
	var m message
	if err := m.parse("wake i=3 token=x"); err != nil {
		t.Fatal(err)
	}
	if err := s.handleEvent(&m); err != nil {
		t.Fatal(err)
	}
	s.out.Flush()
	if !strings.HasPrefix(out.String(), "internal_error i=3 reason-text=") {
		t.Errorf("got %q, want an internal_error line", out.String())
	}
}
