package logger

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the buffered bytes. Lines that don't fit are dropped and counted.
	maxBufferBytes = 256 << 10
	// flushDelay is the time between the first buffered line and its write, so that one write takes many lines.
	flushDelay = 50 * time.Millisecond
)

// Writer buffers whole lines and writes them to its output from another goroutine. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	// mu guards buf, dropped and flushScheduled.
	mu  sync.Mutex
	buf bytes.Buffer
	// dropped counts the lines dropped since the last flush.
	dropped        int64
	flushScheduled bool
	// outMu is held while a flush writes to out. It is locked before mu.
	outMu sync.Mutex
}

// New returns a logger that writes JSON lines to out, and its Writer, which must be flushed before the process exits.
func New(out io.Writer, level slog.Level) (*slog.Logger, *Writer) {
	w := &Writer{out: out}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})), w
}

// Write buffers one line, or drops it when the buffer is full. It never fails and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buf.Len()+len(line) > maxBufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.buf.Write(line)
	if !w.flushScheduled {
		w.flushScheduled = true
		time.AfterFunc(flushDelay, w.Flush)
	}
	return len(line), nil
}

// Flush writes the buffered lines and the number of dropped ones. Lines whose write fails are lost without a report,
// because the log is the only place for one.
func (w *Writer) Flush() {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	b := append([]byte(nil), w.buf.Bytes()...)
	dropped := w.dropped
	w.buf.Reset()
	w.dropped, w.flushScheduled = 0, false
	w.mu.Unlock()
	if dropped > 0 {
		b = fmt.Appendf(b, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped.\",\"lines\":%d}\n", dropped)
	}
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
}
