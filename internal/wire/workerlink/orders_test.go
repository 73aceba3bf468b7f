package workerlink

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// Load orders and unload commands are sent as the protocol has them. An order ends with the worker's answer or with its connection.
func TestLoadOrderAndUnload(t *testing.T) {
	r := newRig(t)
	r.pool.Load(17, "wa", "00000000000000ff", 2)
	r.Run()
	p := r.peers["a:1"][0]
	if got := p.Take(); got != "LOAD load-11 path=00000000000000ff,pods=2\r\n" {
		t.Errorf("sent %q", got)
	}
	p.Write([]byte("load-11 BUSY pods=1 0\r\n\r\n"))
	r.Run()
	r.pool.Load(18, "wa", "00000000000000ff", 0)
	r.pool.Unload("wa", "00000000000000ff")
	r.Run()
	if got := p.Take(); !strings.HasSuffix(got, "UNLOAD 00000000000000ff\r\n") {
		t.Errorf("sent %q", got)
	}
	p.Close()
	r.Run()
	if want := []string{fmt.Sprint(decide.Full, 1), fmt.Sprint(decide.Reset, 0)}; !slices.Equal(r.loads, want) {
		t.Errorf("outcomes %v, want %v", r.loads, want)
	}
}

// An answer reports the worker's load if the settings include load reports. A report that cannot be parsed does not affect the answer.
func TestUnreadableLoadReportIsIgnored(t *testing.T) {
	r := newRig(t)
	set := wiretest.Site()
	set.ReportFields = []string{"queue", "inflight"}
	r.pool.site = set
	for use, want := range map[string]float64{",use=inflight:7;queue:1": 7, ",use=inflight:x": -2, "": -2,
		",use=inflight:1;inflight:1;queue:3": -1} {
		ref := r.send("wa", "")
		fmt.Fprintf(r.peers["a:1"][0], "%016x OK detail=warm%s 0\r\n\r\n", uint64(ref), use)
		r.Run()
		r.expectOutcomes(ref, decide.Good)
		got := -2.0 // no report
		if rep := r.reports[len(r.reports)-1]; rep != nil {
			got = rep.InFlight
		}
		if got != want {
			t.Errorf("%q: in flight %v, want %v", use, got, want)
		}
	}
}

// A probe ends with the worker's answer or with its connection, and not at all once it was forgotten.
func TestProbeOutcomes(t *testing.T) {
	r := newRig(t)
	r.send("wa", "")
	p := r.peers["a:1"][0]
	p.Take()
	for i, c := range []struct {
		answer string
		want   []decide.Outcome
	}{{"UP - 0\r\n\r\n", []decide.Outcome{decide.Good}}, {"DOWN - 0\r\n\r\n", []decide.Outcome{decide.Bad}}, {"", nil}} {
		ref := core.Ref(100 + i)
		r.pool.Probe(ref, "wa")
		r.Run()
		if got := p.Take(); got != fmt.Sprintf("PING probe-%x\r\n", uint64(ref)) {
			t.Errorf("sent %q", got)
		}
		if c.answer != "" {
			fmt.Fprintf(p, "probe-%x %s", uint64(ref), c.answer)
			r.Run()
		}
		r.expectOutcomes(ref, c.want...)
	}
	r.pool.Forget("wa", 102)
	p.Write([]byte("probe-66 UP - 0\r\n\r\n")) // the answer to probe 102 (0x66), which was forgotten
	r.Run()
	r.expectOutcomes(102)
	r.pool.Probe(103, "wa")
	r.Run()
	p.Close()
	r.Run()
	r.expectOutcomes(103, decide.Reset)
	r.pool.site.ReportFields = []string{"queue"}
	r.pool.Probe(104, "wb")
	r.Run()
	if got := r.peers["b:1"][0].Take(); got != "STATS probe-68\r\n" {
		t.Errorf("sent %q", got)
	}
	r.pool.Probe(105, "nobody")
	r.expectOutcomes(105, decide.NoConn)
}
