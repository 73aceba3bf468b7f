package sock

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// A line that repeats itself hundreds of times a second does not fill the log.
func TestRepeatedLinesAreSampled(t *testing.T) {
	core, seen := observer.New(zapcore.DebugLevel)
	log := quiet{sampled(zap.New(core)).Sugar()}
	for range linesThen {
		log.Error("Accept failed: %v", "too many open files")
	}
	if n := seen.Len(); n < 1 || n > 3*linesFirst { // a second may begin meanwhile
		t.Errorf("%d lines", n)
	}
}
