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
	// bufferLimit bounds the bytes that wait to be written. Lines beyond it are dropped and counted.
	bufferLimit = 256 << 10
	// writeEvery gathers lines into one write.
	writeEvery = 50 * time.Millisecond
)

// Writer buffers whole lines and writes them on a goroutine of its own. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buf     bytes.Buffer
	dropped int64
	armed   bool
	writing sync.Mutex
}

// New returns a logger of JSON lines and the writer behind it, which Flush empties at the end.
func New(out io.Writer, level slog.Level) (*slog.Logger, *Writer) {
	w := &Writer{out: out}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})), w
}

// Write takes in one line. It never fails and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buf.Len()+len(line) > bufferLimit {
		w.dropped++
		return len(line), nil
	}
	w.buf.Write(line)
	if !w.armed {
		w.armed = true
		time.AfterFunc(writeEvery, w.Flush)
	}
	return len(line), nil
}

// Flush writes what waits. An output that fails loses its lines: there is nowhere to say so.
func (w *Writer) Flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	b := append([]byte(nil), w.buf.Bytes()...)
	dropped := w.dropped
	w.buf.Reset()
	w.dropped, w.armed = 0, false
	w.mu.Unlock()
	if dropped > 0 {
		b = fmt.Appendf(b, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped.\",\"lines\":%d}\n", dropped)
	}
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
}
