package fleettest

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/lifecycle"
	"quillrail/internal/wire/httpfront"
)

// versions makes this process the version that the rig wants, with what is wrong with it and with its clock.
func versions() {
	lifecycle.Version = os.Getenv("QUILLRAIL_TEST_VERSION")
	if ms, err := strconv.Atoi(os.Getenv("QUILLRAIL_TEST_CLOCK_MS")); err == nil {
		lifecycle.Clock = func() time.Duration { return core.WallClock() + time.Duration(ms)*time.Millisecond }
	}
	if file := os.Getenv("QUILLRAIL_TEST_CLOCK_FILE"); file != "" {
		lifecycle.Clock = core.NewSteadyClock(stepped(file)).Now
	}
	switch os.Getenv("QUILLRAIL_TEST_FAULT") {
	case "crash":
		os.Exit(3)
	case "sheds": // one class in part, as if its callers did not wait
		lifecycle.Middleware = func(t httpfront.Core) httpfront.Core { return sheds{t} }
	}
}

// stepped reads the system's clocks with the wall clock as far off as a file says, which is read every few ms.
func stepped(file string) func() core.Reading {
	var step atomic.Int64
	read := func() {
		if text, err := os.ReadFile(file); err == nil {
			n, _ := strconv.ParseInt(string(text), 10, 64)
			step.Store(n)
		}
	}
	read() // a process that starts after a step has no other clock
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			read()
		}
	}()
	return func() core.Reading {
		r := core.SystemReading()
		r.Unix += time.Duration(step.Load())
		return r
	}
}

type sheds struct{ httpfront.Core }

func (s sheds) Submit(c core.Call) core.Ref {
	if c.ClassName == "once" && rand.Float64() < 0.3 {
		s.Count(c.Class, "refused")
		c.Reply.Refused(0, "")
		return 0
	}
	return s.Core.Submit(c)
}
