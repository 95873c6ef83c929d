package listener

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read after the last answer. A connection that is closed with unread
	// bytes is reset, and the reset can overtake the answer that says why, for example a 413.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
)

// lingerListener accepts connections that deliver their last answer before they close.
type lingerListener struct{ net.Listener }

// Accept wraps TCP connections.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		return &lingerConn{TCPConn: t}, nil
	}
	return c, nil
}

type lingerConn struct{ *net.TCPConn }

// Close ends the sending side at once and reads the rest on a goroutine of its own, for at most lingerTime.
func (c *lingerConn) Close() error {
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	go func() {
		defer func() { _ = c.TCPConn.Close() }()
		if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}()
	return nil
}

// Listen binds an address (IP:port) for a server of this package.
func Listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return lingerListener{ln}, nil
}
