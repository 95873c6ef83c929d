package messenger

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// monitorInterval is how often all connections are checked. One check of all costs an idle process less than one timer
// per connection.
const monitorInterval = 100 * time.Millisecond

// monitoredConn detects a connection that has become unresponsive without being closed. It is probed only when nothing
// has been read for a while: a short while where a reply is awaited, a long one otherwise. Probes at a fixed interval
// would take most of the CPU time of an idle fleet of 50 VMs.
type monitoredConn struct {
	net.Conn
	// bytesRead is set by each read, oneWaySent by each message that expects no reply; probeRequested asks for a probe
	// at the next check.
	bytesRead, oneWaySent, probeRequested atomic.Bool
	// pendingReplies counts the replies of the relay stream that this VM awaits or has not queued yet.
	pendingReplies atomic.Int64
	mux            atomic.Pointer[yamux.Session]
	probing        atomic.Bool
	// authenticated is true once one stream has had a valid hello.
	authenticated atomic.Bool
	// idleTime is for how long nothing had been read at the last check.
	idleTime time.Duration
	// heldHeader holds the header of a yamux frame until its body is written.
	heldHeader []byte

	// streams holds the session's streams; streamsEnded is set by endStreams.
	streamsMu    sync.Mutex
	streams      map[*muxStream]struct{}
	streamsEnded bool
}

// Read reads from the connection and records that bytes have arrived. An error ends the session.
func (c *monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.bytesRead.Store(true)
	}
	if err != nil {
		c.endStreams()
	}
	return n, err
}

// Close closes the connection, which ends the session. yamux calls it as well, where it ends a session by itself.
func (c *monitoredConn) Close() error {
	c.endStreams()
	return c.Conn.Close()
}

// Write joins the header of a yamux frame, which yamux writes separately, with the body that follows it. Separate writes
// take two system calls here, and two packets and wake-ups at the peer. Only yamux's send goroutine calls it. An
// error ends the session.
func (c *monitoredConn) Write(b []byte) (int, error) {
	n, err := c.joinAndWrite(b)
	if err != nil {
		c.endStreams()
	}
	return n, err
}

func (c *monitoredConn) joinAndWrite(b []byte) (int, error) {
	if len(c.heldHeader) == 0 {
		if !isHeaderWithBody(b) {
			return c.Conn.Write(b)
		}
		c.heldHeader = append(c.heldHeader, b...)
		return len(b), nil
	}
	before := len(c.heldHeader)
	joined := append(c.heldHeader, b...)
	n, err := c.Conn.Write(joined)
	c.heldHeader = joined[:0]
	if cap(c.heldHeader) > writeBufferBytes {
		c.heldHeader = nil
	}
	return max(n-before, 0), err
}

// isHeaderWithBody reports whether b is the header of a yamux data frame with a body. The header consists of version,
// type (0 for data), flags, stream and length.
func isHeaderWithBody(b []byte) bool {
	const typeOffset, lengthOffset, headerBytes, typeData = 1, 8, 12, 0
	return len(b) == headerBytes && b[typeOffset] == typeData && binary.BigEndian.Uint32(b[lengthOffset:]) > 0
}

// probeDue adds one monitorInterval to the idle time, unless bytes have been read, and reports whether a probe is due.
func (c *monitoredConn) probeDue(t connectionTimeouts) bool {
	limit := t.idle
	if c.oneWaySent.Swap(false) || c.pendingReplies.Load() > 0 {
		limit = t.waitingIdle
	}
	due := c.probeRequested.Swap(false)
	if c.bytesRead.Swap(false) {
		c.idleTime = 0
		return false
	}
	c.idleTime += monitorInterval
	return due || c.idleTime >= limit
}

// probe pings the peer and closes the connection if it does not answer in time.
func (c *monitoredConn) probe() {
	mux := c.mux.Load()
	if mux == nil || !c.probing.CompareAndSwap(false, true) {
		return
	}
	defer c.probing.Store(false)
	if _, err := mux.Ping(); err != nil {
		// Closing the connection ends the session.
		_ = c.Close()
	}
}

// monitorConnections checks all connections every monitorInterval until the context ends.
func (m *Messenger) monitorConnections(ctx context.Context) {
	t := time.NewTicker(monitorInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		m.mu.Lock()
		for c := range m.connections {
			if c.probeDue(m.timeouts) {
				go c.probe()
			}
		}
		m.mu.Unlock()
	}
}
