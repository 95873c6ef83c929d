package listener

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes bound what a lingering close reads after the last response. Closing a connection
	// with unread bytes resets it, and the reset can reach the client before the response that says why, such as a 413.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 8 << 20
)

// lingeringListener accepts TCP connections that close lingeringly, so that clients receive the last response.
type lingeringListener struct{ net.Listener }

// Accept waits for the next connection and returns it as a lingeringConn.
func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		return &lingeringConn{TCPConn: t}, nil
	}
	return c, nil
}

// lingeringConn is a TCP connection with a lingering close.
type lingeringConn struct{ *net.TCPConn }

// Close shuts down the sending side at once. A goroutine then discards received bytes until the client closes, for at
// most lingerTimeout, and closes the connection.
func (c *lingeringConn) Close() error {
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	go func() {
		defer func() { _ = c.TCPConn.Close() }()
		if err := c.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}()
	return nil
}

// Listen listens on an IPv4 address (IP:port) for a server of this package.
func Listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return lingeringListener{ln}, nil
}
