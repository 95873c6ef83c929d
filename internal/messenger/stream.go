package messenger

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// muxStream is a stream of a monitoredConn. After endStreams its reads return the buffered data and then io.EOF, and its
// writes fail.
type muxStream struct {
	*yamux.Stream
	conn *monitoredConn
}

func (s *muxStream) Read(b []byte) (int, error) {
	n, err := s.Stream.Read(b)
	if errors.Is(err, yamux.ErrTimeout) {
		// Data may have arrived between yamux's check of its buffer and the deadline.
		n, err = s.Stream.Read(b)
	}
	if errors.Is(err, yamux.ErrTimeout) {
		err = io.EOF
	}
	return n, err
}

// SetWriteDeadline fails after endStreams, whose deadline must stay.
func (s *muxStream) SetWriteDeadline(t time.Time) error {
	s.conn.streamsMu.Lock()
	defer s.conn.streamsMu.Unlock()
	if s.conn.streamsEnded {
		return net.ErrClosed
	}
	return s.Stream.SetWriteDeadline(t)
}

func (s *muxStream) Close() error {
	s.conn.streamsMu.Lock()
	delete(s.conn.streams, s)
	s.conn.streamsMu.Unlock()
	return s.Stream.Close()
}

// addStream registers a new stream of the connection's session.
func (c *monitoredConn) addStream(stream *yamux.Stream) *muxStream {
	s := &muxStream{Stream: stream, conn: c}
	c.streamsMu.Lock()
	defer c.streamsMu.Unlock()
	if c.streams == nil {
		c.streams = map[*muxStream]struct{}{}
	}
	c.streams[s] = struct{}{}
	if c.streamsEnded {
		s.expire()
	}
	return s
}

// endStreams makes all reads and writes of the streams return, also later ones. It must come before the end of the
// session: yamux closes the session first and its streams later, and a reader or writer in between loops without
// blocking.
func (c *monitoredConn) endStreams() {
	c.streamsMu.Lock()
	defer c.streamsMu.Unlock()
	if c.streamsEnded {
		return
	}
	c.streamsEnded = true
	for s := range c.streams {
		s.expire()
	}
}

// expire lets the deadlines pass. A yamux stream returns no error for that.
func (s *muxStream) expire() { _ = s.SetDeadline(time.Unix(1, 0)) }

// closeSession closes the session and the connection.
func (c *monitoredConn) closeSession() {
	c.endStreams()
	_ = c.mux.Load().Close()
}
