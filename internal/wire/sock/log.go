package sock

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of nbio's lines with the same text, the first sampleFirst of each second are logged, and then every sampleThereafter-th. While the
// system has no free descriptor, nbio writes a line every 5 ms.
const (
	sampleFirst      = 3
	sampleThereafter = 100
)

// nbioLogger writes nbio's log lines to the gateway's log. Errors are logged as warnings and information at debug level, since most of
// what nbio reports as an error is a peer that closed its connection.
type nbioLogger struct{ *zap.SugaredLogger }

// sampled returns a logger that omits repeated lines.
func sampled(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, sampleFirst, sampleThereafter)
	}))
}

func (l nbioLogger) SetLevel(int)                  {}
func (l nbioLogger) Debug(format string, v ...any) { l.Debugf(format, v...) }
func (l nbioLogger) Info(format string, v ...any)  { l.Debugf(format, v...) }
func (l nbioLogger) Warn(format string, v ...any)  { l.Warnf(format, v...) }
func (l nbioLogger) Error(format string, v ...any) { l.Warnf(format, v...) }
