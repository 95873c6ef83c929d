package messenger

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"clementineyard/internal/recoverer"
	"clementineyard/wire"
)

func (m *Messenger) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	// The messenger probes connections itself; see monitoredConn.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = m.timeouts.probeTimeout
	c.MaxStreamWindowSize = 4 << 20
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = time.Second
	return c
}

// accept accepts and serves the connections from peers until the context ends.
func (m *Messenger) accept(ctx context.Context, ln net.Listener) {
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(maxRedialBackoff):
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
	p.mux.Store(mux)
	defer p.closeSession()
	for streams := 1; ; streams++ {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		if streams > int(streamCount) && !p.authenticated.Load() {
			m.cfg.Log.Debug("This VM refused a connection with many streams and no hello.", "address", mux.RemoteAddr().String())
			return
		}
		go m.serveStream(p, mux, p.addStream(stream))
	}
}

// noteAuthenticated ends the accounting of package acceptor for a connection, as its sender is known.
func (c *monitoredConn) noteAuthenticated() {
	if c.authenticated.Swap(true) {
		return
	}
	if admitted, ok := c.Conn.(interface{ Release() }); ok {
		admitted.Release()
	}
}

// serveStream reads the requests of one stream, after a hello that authenticates the peer, and writes the replies to
// the same stream.
func (m *Messenger) serveStream(p *monitoredConn, mux *yamux.Session, stream *muxStream) {
	defer func() { _ = stream.Close() }()
	from, isRelay := "", false
	replies := newSendQueue(replyQueueSize)
	dropReply := func(e *wire.Envelope, err error) {
		m.logDropped(mux.RemoteAddr().String(), e, err)
		// A reply without a body ends the peer's call.
		replies.put(&wire.Envelope{Id: e.Id, Reply: true})
	}
	go func() {
		if err := writeQueue(stream, replies, mux.CloseChan(), dropReply); err != nil {
			p.closeSession()
		}
	}()
	limit := func() uint32 {
		if from == "" {
			return maxHelloBytes
		}
		return maxFrameBytes
	}
	err := readLimitedFrames(stream, limit, func(e *wire.Envelope) error {
		if from == "" {
			h, err := m.authenticate(e)
			if err != nil {
				return err
			}
			from, isRelay = h.Name, h.Stream == streamNames[RelayStream]
			p.noteAuthenticated()
			m.countInbound(from, 1)
			if isRelay && m.cfg.PeerConnected != nil {
				m.cfg.PeerConnected(from, h.Incarnation)
			}
			replies.put(&wire.Envelope{Reply: true, Body: &wire.Envelope_Hello{Hello: &wire.Hello{Name: m.cfg.Name}}})
			return nil
		}
		reply := replier(e.Id, replies, p, isRelay)
		return recoverer.Call(m.cfg.Log, "a message of a peer", func() { m.cfg.Handle(from, e, reply) })
	})
	if from != "" {
		m.countInbound(from, -1)
	}
	if err != nil && from == "" {
		m.logRefused(mux.RemoteAddr().String(), err)
		p.closeSession()
	}
}

// logRefused logs a refused connection, at most once in refusalLogInterval, as any sender can cause it.
func (m *Messenger) logRefused(address string, err error) {
	now := time.Now()
	m.mu.Lock()
	m.refused++
	times, due := m.refused, now.Sub(m.refusalLoggedAt) >= refusalLogInterval
	if due {
		m.refused, m.refusalLoggedAt = 0, now
	}
	m.mu.Unlock()
	if due {
		m.cfg.Log.Warn("This VM refused a peer connection.", "address", address, "error", err, "times", times)
	}
}

// replier returns the function that sends one reply. A full queue means that the peer does not read its replies: the
// connection is closed, and the peer treats its calls as lost. Where countReply is true, the reply counts as pending on
// the connection until it is queued.
func replier(id uint64, replies *sendQueue, p *monitoredConn, countReply bool) func(*wire.Envelope) {
	if id == 0 {
		return func(*wire.Envelope) {}
	}
	var replyOwed atomic.Bool
	if countReply {
		replyOwed.Store(true)
		p.pendingReplies.Add(1)
	}
	return func(r *wire.Envelope) {
		if replyOwed.Swap(false) {
			p.pendingReplies.Add(-1)
		}
		r.Id, r.Reply = id, true
		if !replies.put(r) {
			p.closeSession()
		}
	}
}
