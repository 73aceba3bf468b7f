package fleettest

import (
	"math/rand/v2"
	"os"
	"strconv"
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
	switch os.Getenv("QUILLRAIL_TEST_FAULT") {
	case "crash":
		os.Exit(3)
	case "sheds": // one class in part, as if its callers did not wait
		lifecycle.Before = func(t httpfront.Taker) httpfront.Taker { return sheds{t} }
	}
}

type sheds struct{ httpfront.Taker }

func (s sheds) Take(c core.Call) core.Ref {
	if c.ClassName == "once" && rand.Float64() < 0.3 {
		s.Count(c.Class, "refused")
		c.Reply.Refused(0, "")
		return 0
	}
	return s.Taker.Take(c)
}
