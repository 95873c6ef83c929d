package listener

import (
	"io"
	"net"
	"time"

	"clementineyard/internal/acceptor"
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
	switch t := c.(type) {
	case *net.TCPConn:
		return &lingeringTCPConn{t}, nil
	case *acceptor.Conn:
		return &lingeringConn{t}, nil
	default:
		return c, nil
	}
}

// lingeringTCPConn is a TCP connection with a lingering close.
type lingeringTCPConn struct{ *net.TCPConn }

// Close closes lingeringly.
func (c *lingeringTCPConn) Close() error { return closeLingering(c.TCPConn) }

// lingeringConn is a connection under a budget with a lingering close. It counts as an idle connection while it lingers.
type lingeringConn struct{ *acceptor.Conn }

// Close closes lingeringly.
func (c *lingeringConn) Close() error { return closeLingering(c.Conn) }

// halfCloser is a connection whose sending side can be shut down on its own.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// closeLingering shuts down the sending side at once. A goroutine then discards received bytes until the client closes, for at
// most lingerTimeout, and closes the connection.
func closeLingering(c halfCloser) error {
	if err := c.CloseWrite(); err != nil {
		return c.Close()
	}
	go func() {
		defer func() { _ = c.Close() }()
		if err := c.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, c, maxLingerBytes)
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

// ListenUnderBudget is Listen with connections that the acceptor admits.
func ListenUnderBudget(address string, a *acceptor.Acceptor, kind acceptor.Kind) (net.Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return lingeringListener{a.Listen(ln, kind)}, nil
}
