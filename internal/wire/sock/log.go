package sock

import "go.uber.org/zap"

// quiet sends nbio's own lines to our log; what it calls errors are mostly peers that went away.
type quiet struct{ *zap.SugaredLogger }

func (q quiet) SetLevel(int)                  {}
func (q quiet) Debug(format string, v ...any) { q.Debugf(format, v...) }
func (q quiet) Info(format string, v ...any)  { q.Debugf(format, v...) }
func (q quiet) Warn(format string, v ...any)  { q.Warnf(format, v...) }
func (q quiet) Error(format string, v ...any) { q.Warnf(format, v...) }
