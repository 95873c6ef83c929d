package messenger

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// monitorEvery is how often all connections are looked at. One look at all costs an idle process less than a timer each.
const monitorEvery = 100 * time.Millisecond

// monitoredConn finds out whether a connection has gone silent without an end. A probe is sent only where nothing was read
// for a while: for a short one while somebody waits for a reply on the connection, else for a long one. Probes at a fixed
// interval took most of the processor time of an idle fleet of 50 VMs.
type monitoredConn struct {
	net.Conn
	// heard is set with each read, sent with each message that expects no reply, and due asks for a probe at once.
	heard, sent, due atomic.Bool
	// waiting counts the replies that are waited for or owed on the relay stream.
	waiting atomic.Int64
	mux     atomic.Pointer[yamux.Session]
	probing atomic.Bool
	// quiet is for how long nothing was read, as of the last look.
	quiet time.Duration
	// head holds a frame's head until its body is written.
	head []byte
}

// Read notes that the peer was heard.
func (c *monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// Write joins the head of a frame, which yamux writes by itself, with the body that follows it. Apart they take two system
// calls here, and two packets and wake-ups of the peer. Only yamux's sending thread calls it.
func (c *monitoredConn) Write(b []byte) (int, error) {
	if len(c.head) == 0 {
		if !announcesBody(b) {
			return c.Conn.Write(b)
		}
		c.head = append(c.head, b...)
		return len(b), nil
	}
	before := len(c.head)
	joined := append(c.head, b...)
	n, err := c.Conn.Write(joined)
	c.head = joined[:0]
	if cap(c.head) > writeBuffer {
		c.head = nil
	}
	return max(n-before, 0), err
}

// announcesBody reports whether b is the head of a frame with a body: version, type (0 for data), flags, stream, length.
func announcesBody(b []byte) bool {
	const typeAt, lengthAt, headBytes, typeData = 1, 8, 12, 0
	return len(b) == headBytes && b[typeAt] == typeData && binary.BigEndian.Uint32(b[lengthAt:]) > 0
}

// look advances the time for which nothing was read, and reports whether a probe is due.
func (c *monitoredConn) look(t timing) bool {
	limit := t.idle
	if c.sent.Swap(false) || c.waiting.Load() > 0 {
		limit = t.keepAlive
	}
	due := c.due.Swap(false)
	if c.heard.Swap(false) {
		c.quiet = 0
		return false
	}
	c.quiet += monitorEvery
	return due || c.quiet >= limit
}

// probe ends the connection where the peer does not answer.
func (c *monitoredConn) probe() {
	mux := c.mux.Load()
	if mux == nil || !c.probing.CompareAndSwap(false, true) {
		return
	}
	defer c.probing.Store(false)
	if _, err := mux.Ping(); err != nil {
		// The session ends with its connection.
		_ = c.Close()
	}
}

// monitorConnections looks at all connections until the context ends.
func (m *Messenger) monitorConnections(ctx context.Context) {
	t := time.NewTicker(monitorEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		m.mu.Lock()
		for c := range m.open {
			if c.look(m.timing) {
				go c.probe()
			}
		}
		m.mu.Unlock()
	}
}
