package app

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of lines with the same message so many are logged in a second, and then each so-many-th.
const (
	sampleFirst = 100
	sampleThen  = 100
)

// newLogger returns the program's log: JSON lines that are written beside its work.
func newLogger(out io.Writer, level zapcore.Level, node string) *zap.Logger {
	form := zap.NewProductionEncoderConfig()
	form.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	form.TimeKey = "time"
	queue := newLogQueue(out, func(lines int) []byte {
		return fmt.Appendf(nil, `{"level":"warn","time":"%s","msg":"log lines dropped","node":%q,"lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), node, lines)
	})
	lines := zapcore.NewCore(zapcore.NewJSONEncoder(form), queue, level)
	return zap.New(zapcore.NewSamplerWithOptions(lines, time.Second, sampleFirst, sampleThen), zap.Fields(zap.String("node", node)))
}
