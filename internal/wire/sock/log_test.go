package sock

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// A line that is repeated a hundred times within a second is logged only a few times.
func TestRepeatedLinesAreSampled(t *testing.T) {
	core, lines := observer.New(zapcore.DebugLevel)
	log := nbioLogger{sampled(zap.New(core)).Sugar()}
	for range sampleThereafter {
		log.Error("Accept failed: %v", "too many open files")
	}
	if n := lines.Len(); n < 1 || n > 3*sampleFirst { // more than sampleFirst if the next second begins meanwhile
		t.Errorf("got %d lines, want 1 to %d", n, 3*sampleFirst)
	}
}
