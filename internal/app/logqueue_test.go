package app

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// blockingWriter is a file whose writes block until the test lets them continue.
type blockingWriter struct {
	started chan struct{}
	proceed chan struct{}
	text    bytes.Buffer
}

func (writer *blockingWriter) Write(b []byte) (int, error) {
	writer.started <- struct{}{}
	<-writer.proceed
	return writer.text.Write(b)
}

// A log file that accepts no writes must not block callers. Lines beyond the limit are dropped, and their number is logged in their
// place; the other lines are written in order.
func TestLogQueueDropsLinesInsteadOfBlocking(t *testing.T) {
	writer := &blockingWriter{started: make(chan struct{}, 1), proceed: make(chan struct{})}
	q := newLogQueue(writer, func(lines int) []byte { return fmt.Appendf(nil, "%d dropped\n", lines) })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	q.Write([]byte("first\n"))
	<-writer.started
	const room = maxQueuedBytes/1024 - 1 // next to the first line
	for range room + 40 {
		q.Write(line)
	}
	if err := q.Sync(); err == nil {
		t.Error("Sync returned no error while lines are pending")
	}
	writer.proceed <- struct{}{}
	<-writer.started // the first line is written
	writer.proceed <- struct{}{}
	<-writer.started // and one more: there is room again
	q.Write([]byte("last\n"))
	go func() {
		for range writer.started {
			writer.proceed <- struct{}{}
		}
	}()
	writer.proceed <- struct{}{}
	for q.Sync() != nil {
	}
	got := writer.text.String()
	if !strings.HasPrefix(got, "first\n") || !strings.HasSuffix(got, "40 dropped\nlast\n") || strings.Count(got, "x\n") != room {
		t.Errorf("got %d lines, which end with %q", strings.Count(got, "\n"), got[max(0, len(got)-60):])
	}
}
