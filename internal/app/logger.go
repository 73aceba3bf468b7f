package app

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of the lines with the same message in one second, the first sampleFirst are logged, and then every sampleEvery-th.
const (
	sampleFirst = 100
	sampleEvery = 100
)

// newLogger returns the program's logger: it writes JSON lines through a queue, so that logging never blocks.
func newLogger(out io.Writer, level zapcore.Level, node string) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.TimeKey = "time"
	queue := newLogQueue(out, func(lines int) []byte {
		return fmt.Appendf(nil, `{"level":"warn","time":"%s","msg":"log lines dropped","node":%q,"lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), node, lines)
	})
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), queue, level)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEvery), zap.Fields(zap.String("node", node)))
}
