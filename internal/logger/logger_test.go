package logger

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// TestBounded checks that logging neither blocks nor buffers without limit while the output is blocked, and that the
// number of dropped lines is reported.
func TestBounded(t *testing.T) {
	var out bytes.Buffer
	log, w := New(&out, slog.LevelInfo)
	w.outMu.Lock() // Blocks the output.
	for range 10000 {
		log.Info(strings.Repeat("x", 100))
	}
	if w.buf.Len() > maxBufferBytes || w.dropped == 0 {
		t.Fatalf("%d bytes are buffered and %d lines dropped, want a bounded buffer and some dropped lines", w.buf.Len(), w.dropped)
	}
	w.outMu.Unlock()
	w.Flush()
	if !strings.Contains(out.String(), "Log lines were dropped.") {
		t.Fatal("dropped lines are not reported")
	}
}
