package logger

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// TestBounded guards against logging that waits or grows without limit while the output takes nothing.
func TestBounded(t *testing.T) {
	var out bytes.Buffer
	log, w := New(&out, slog.LevelInfo)
	w.writing.Lock() // the output is stuck
	for range 10000 {
		log.Info(strings.Repeat("x", 100))
	}
	if w.buf.Len() > bufferLimit || w.dropped == 0 {
		t.Fatalf("%d bytes wait, %d lines dropped", w.buf.Len(), w.dropped)
	}
	w.writing.Unlock()
	w.Flush()
	if !strings.Contains(out.String(), "Log lines were dropped.") {
		t.Fatal("the loss is not said")
	}
}
