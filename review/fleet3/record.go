package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the milliseconds since its start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, startAt: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f ms  %s\n", r.ms(time.Now()), fmt.Sprintf(format, args...))
}

// ms returns the milliseconds from the start of the record to t.
func (r *recorder) ms(t time.Time) float64 { return float64(t.Sub(r.startAt).Microseconds()) / 1000 }

func (r *recorder) close() { _ = r.file.Close() }
