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

// applyTestEnvironment gives this gateway process the version, the clock and the fault that a test sets in its environment.
func applyTestEnvironment() {
	lifecycle.Version = os.Getenv("QUILLRAIL_TEST_VERSION")
	if ms, err := strconv.Atoi(os.Getenv("QUILLRAIL_TEST_CLOCK_MS")); err == nil {
		lifecycle.Clock = func() time.Duration { return core.WallClock() + time.Duration(ms)*time.Millisecond }
	}
	if file := os.Getenv("QUILLRAIL_TEST_CLOCK_FILE"); file != "" {
		lifecycle.Clock = core.NewSteadyClock(steppedReading(file)).Now
	}
	switch os.Getenv("QUILLRAIL_TEST_FAULT") {
	case "crash":
		os.Exit(3)
	case "sheds": // refuses a part of one class, as if its clients did not wait
		lifecycle.Middleware = func(t httpfront.Core) httpfront.Core { return sheddingCore{t} }
	}
}

// steppedReading returns a function that reads the system's clocks, with the wall clock shifted by the number of nanoseconds in a file.
// The file is read every 10 ms.
func steppedReading(file string) func() core.Reading {
	var step atomic.Int64
	read := func() {
		if text, err := os.ReadFile(file); err == nil {
			nanoseconds, _ := strconv.ParseInt(string(text), 10, 64)
			step.Store(nanoseconds)
		}
	}
	read() // a process that starts after a step knows only the stepped clock
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

// sheddingCore refuses 30 % of the calls of class "once", as a faulty version would.
type sheddingCore struct{ httpfront.Core }

func (s sheddingCore) Submit(call core.Call) core.Ref {
	if call.ClassName == "once" && rand.Float64() < 0.3 {
		s.Count(call.Class, "refused")
		call.Reply.Refused(0, "")
		return 0
	}
	return s.Core.Submit(call)
}
