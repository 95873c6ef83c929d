package messenger

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// pulseEvery is how often all connections are looked at. One look at all costs an idle process less than a timer each.
const pulseEvery = 100 * time.Millisecond

// pulse finds out whether a connection has gone silent without an end. A probe is sent only where nothing was read for a
// while: for a short one while somebody waits for a reply on the connection, else for a long one. Probes at a fixed
// interval took most of the processor time of an idle fleet of 50 VMs.
type pulse struct {
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
func (p *pulse) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n > 0 {
		p.heard.Store(true)
	}
	return n, err
}

// Write joins the head of a frame, which yamux writes by itself, with the body that follows it. Apart they take two system
// calls here, and two packets and wake-ups of the peer. Only yamux's sending thread calls it.
func (p *pulse) Write(b []byte) (int, error) {
	if len(p.head) == 0 {
		if !announcesBody(b) {
			return p.Conn.Write(b)
		}
		p.head = append(p.head, b...)
		return len(b), nil
	}
	before := len(p.head)
	joined := append(p.head, b...)
	n, err := p.Conn.Write(joined)
	p.head = joined[:0]
	if cap(p.head) > writeBuffer {
		p.head = nil
	}
	return max(n-before, 0), err
}

// announcesBody reports whether b is the head of a frame with a body: version, type (0 for data), flags, stream, length.
func announcesBody(b []byte) bool {
	const typeAt, lengthAt, headBytes, typeData = 1, 8, 12, 0
	return len(b) == headBytes && b[typeAt] == typeData && binary.BigEndian.Uint32(b[lengthAt:]) > 0
}

// look advances the time for which nothing was read, and reports whether a probe is due.
func (p *pulse) look(t timing) bool {
	limit := t.idle
	if p.sent.Swap(false) || p.waiting.Load() > 0 {
		limit = t.keepAlive
	}
	due := p.due.Swap(false)
	if p.heard.Swap(false) {
		p.quiet = 0
		return false
	}
	p.quiet += pulseEvery
	return due || p.quiet >= limit
}

// probe ends the connection where the peer does not answer.
func (p *pulse) probe() {
	mux := p.mux.Load()
	if mux == nil || !p.probing.CompareAndSwap(false, true) {
		return
	}
	defer p.probing.Store(false)
	if _, err := mux.Ping(); err != nil {
		// The session ends with its connection.
		_ = p.Close()
	}
}

// watchPulses looks at all connections until the context ends.
func (m *Messenger) watchPulses(ctx context.Context) {
	t := time.NewTicker(pulseEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		m.mu.Lock()
		for p := range m.open {
			if p.look(m.timing) {
				go p.probe()
			}
		}
		m.mu.Unlock()
	}
}
