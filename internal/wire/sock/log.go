package sock

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of nbio's lines so many of a kind are logged in a second, and then each so-many-th: where the system has no descriptor left
// it has one every 5 ms.
const (
	linesFirst = 3
	linesThen  = 100
)

// quiet sends nbio's own lines to our log; what it calls errors are mostly peers that went away.
type quiet struct{ *zap.SugaredLogger }

// sampled is a logger that leaves out what repeats itself.
func sampled(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, linesFirst, linesThen)
	}))
}

func (q quiet) SetLevel(int)                  {}
func (q quiet) Debug(format string, v ...any) { q.Debugf(format, v...) }
func (q quiet) Info(format string, v ...any)  { q.Debugf(format, v...) }
func (q quiet) Warn(format string, v ...any)  { q.Warnf(format, v...) }
func (q quiet) Error(format string, v ...any) { q.Warnf(format, v...) }
