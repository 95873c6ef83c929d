package messenger

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"clementineyard/wire"
)

func (m *Messenger) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	// The messenger probes connections itself.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = m.timing.probe
	c.MaxStreamWindowSize = 4 << 20
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = time.Second
	return c
}

// accept serves the connections that peers open.
func (m *Messenger) accept(ctx context.Context, ln net.Listener) {
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(redialEvery):
			}
			continue
		}
		go m.serveConn(conn)
	}
}

func (m *Messenger) serveConn(conn net.Conn) {
	p := m.track(conn)
	defer m.untrack(p)
	mux, err := yamux.Server(p, m.muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer func() { _ = mux.Close() }()
	p.mux.Store(mux)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(p, mux, stream)
	}
}

// serveStream reads requests and writes their replies on the same stream.
func (m *Messenger) serveStream(p *monitoredConn, mux *yamux.Session, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	from, relays := "", false
	replies := newRing(replyRingSize)
	go func() {
		if err := writeRing(stream, replies, mux.CloseChan()); err != nil {
			_ = mux.Close()
		}
	}()
	err := readFrames(stream, func(e *wire.Envelope) error {
		if from == "" {
			h, err := m.authenticate(e)
			if err != nil {
				return err
			}
			from, relays = h.Name, h.Stream == streamNames[Relay]
			m.countInbound(from, 1)
			replies.put(&wire.Envelope{Reply: true, Body: &wire.Envelope_Hello{Hello: &wire.Hello{Name: m.cfg.Name}}})
			return nil
		}
		m.cfg.Handle(from, e, replier(e.Id, replies, mux, p, relays))
		return nil
	})
	if from != "" {
		m.countInbound(from, -1)
	}
	if err != nil && from == "" {
		m.cfg.Log.Warn("Peer refused.", "address", mux.RemoteAddr().String(), "error", err)
		_ = mux.Close()
	}
}

// replier returns the function that sends one reply. A full ring means that the peer does not read: the connection
// ends, and the peer treats its calls as lost. Where relays is true the connection counts the reply as owed.
func replier(id uint64, replies *ring, mux *yamux.Session, p *monitoredConn, relays bool) func(*wire.Envelope) {
	if id == 0 {
		return func(*wire.Envelope) {}
	}
	var owed atomic.Bool
	if relays {
		owed.Store(true)
		p.waiting.Add(1)
	}
	return func(r *wire.Envelope) {
		if owed.Swap(false) {
			p.waiting.Add(-1)
		}
		r.Id, r.Reply = id, true
		if !replies.put(r) {
			_ = mux.Close()
		}
	}
}
