package sender

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// notSentError is an error that occurred before the first byte of a request was written.
type notSentError struct{ error }

func (e *notSentError) Unwrap() error { return e.error }

// classify returns the verdict on a failed request. Only a failure before the first byte proves that the task did not
// start.
func classify(err error) Verdict {
	var notSent *notSentError
	if errors.As(err, &notSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return NotStarted
	}
	return MayHaveStarted
}

// writeTrackingConn tracks whether any byte of the current request was written. A connection carries one request at a
// time, so the bytes written since the last read belong to that request.
type writeTrackingConn struct {
	net.Conn
	writtenBytes int
}

// Read implements net.Conn. Bytes that arrive are those of a response, so the next write belongs to a new request.
func (c *writeTrackingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.writtenBytes = 0
	}
	return n, err
}

// Write implements net.Conn. It returns a notSentError if it fails before any byte of the request was written.
func (c *writeTrackingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.writtenBytes += n
	if err != nil && c.writtenBytes == 0 {
		return n, &notSentError{err}
	}
	return n, err
}
