package messenger

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"clementineyard/wire"
)

func (m *Messenger) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = m.timing.keepAlive
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
	m.track(conn)
	defer m.untrack(conn)
	mux, err := yamux.Server(conn, m.muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer func() { _ = mux.Close() }()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(mux, stream)
	}
}

// serveStream reads requests and writes their replies on the same stream.
func (m *Messenger) serveStream(mux *yamux.Session, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	from := ""
	replies := newRing(replyRingSize)
	go func() {
		if err := writeRing(stream, replies, mux.CloseChan()); err != nil {
			_ = mux.Close()
		}
	}()
	err := readFrames(stream, func(e *wire.Envelope) error {
		if from == "" {
			name, err := m.authenticate(e)
			if err != nil {
				return err
			}
			from = name
			m.countInbound(from, 1)
			replies.put(&wire.Envelope{Reply: true, Body: &wire.Envelope_Hello{Hello: &wire.Hello{Name: m.cfg.Name}}})
			return nil
		}
		m.cfg.Handle(from, e, replier(e.Id, replies, mux))
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
// ends, and the peer treats its calls as lost.
func replier(id uint64, replies *ring, mux *yamux.Session) func(*wire.Envelope) {
	if id == 0 {
		return func(*wire.Envelope) {}
	}
	return func(r *wire.Envelope) {
		r.Id, r.Reply = id, true
		if !replies.put(r) {
			_ = mux.Close()
		}
	}
}
