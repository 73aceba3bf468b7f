package app

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// held is a file whose writes wait until they are let go on.
type held struct {
	begun chan struct{}
	goOn  chan struct{}
	text  bytes.Buffer
}

func (h *held) Write(b []byte) (int, error) {
	h.begun <- struct{}{}
	<-h.goOn
	return h.text.Write(b)
}

// A file that takes nothing holds nobody up. What finds no room is dropped, and said in its place; the rest comes in order.
func TestLogQueueNeverWaits(t *testing.T) {
	h := &held{begun: make(chan struct{}, 1), goOn: make(chan struct{})}
	q := newLogQueue(h, func(lines int) []byte { return fmt.Appendf(nil, "%d dropped\n", lines) })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	q.Write([]byte("first\n"))
	<-h.begun
	const room = queueBytes/1024 - 1 // beside the first
	for range room + 40 {
		q.Write(line)
	}
	if err := q.Sync(); err == nil {
		t.Error("the log counts as written")
	}
	h.goOn <- struct{}{}
	<-h.begun // the first is written
	h.goOn <- struct{}{}
	<-h.begun // and another: there is room again
	q.Write([]byte("last\n"))
	go func() {
		for range h.begun {
			h.goOn <- struct{}{}
		}
	}()
	h.goOn <- struct{}{}
	for q.Sync() != nil {
	}
	got := h.text.String()
	if !strings.HasPrefix(got, "first\n") || !strings.HasSuffix(got, "40 dropped\nlast\n") || strings.Count(got, "x\n") != room {
		t.Errorf("%d lines, ends with %q", strings.Count(got, "\n"), got[max(0, len(got)-60):])
	}
}
