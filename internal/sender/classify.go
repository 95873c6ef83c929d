package sender

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// unsentError marks failures before the first byte of a request was written.
type unsentError struct{ error }

func (e *unsentError) Unwrap() error { return e.error }

// classify decides whether the work may have started. Only a failure before the first byte proves that it did not.
func classify(err error) Verdict {
	var unsent *unsentError
	if errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return NotStarted
	}
	return MayHaveStarted
}

// countingConn knows whether any byte of the current request was written. One request is on a connection at a time,
// so the bytes written since the last read belong to it.
type countingConn struct {
	net.Conn
	written int
}

// Read marks the end of the previous request once its answer arrives.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.written = 0
	}
	return n, err
}

// Write returns an unsentError when the request's first write fails without a byte.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	if err != nil && c.written == 0 {
		return n, &unsentError{err}
	}
	return n, err
}
