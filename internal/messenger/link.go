package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"clementineyard/wire"
)

// link is the outgoing side to one peer: this process dials, sends requests and reads their replies.
type link struct {
	m    *Messenger
	peer Peer

	mu      sync.Mutex
	session *session
}

// session is one connection's lifetime.
type session struct {
	conn   *monitoredConn
	rings  [streamCount]*ring
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	lost    bool
	lastID  uint64
	waiting map[uint64]*call
}

type call struct {
	done   func(*wire.Envelope, error)
	timer  *time.Timer
	stream Stream
}

func newLink(m *Messenger, p Peer) *link { return &link{m: m, peer: p} }

func (l *link) connected() bool { return l.current() != nil }

func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

func (l *link) setCurrent(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = s
}

func (l *link) enqueue(s Stream, e *wire.Envelope) bool {
	ss := l.current()
	if ss == nil || !ss.put(s, e) {
		return false
	}
	ss.conn.sent.Store(true)
	return true
}

func (l *link) call(s Stream, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
	ss := l.current()
	if ss == nil {
		done(nil, ErrUnsent)
		return
	}
	ss.call(s, e, deadline, done)
}

// run keeps one session open until the context ends.
func (l *link) run(ctx context.Context) {
	for pause := redialFirst; ctx.Err() == nil; pause = min(2*pause, redialEvery) {
		wasOpen, err := l.serve(ctx)
		if err != nil && ctx.Err() == nil {
			l.m.cfg.Log.Debug("Peer connection ended.", "peer", l.peer.Name, "error", err)
		}
		if wasOpen {
			pause = redialFirst
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// serve opens a session and waits for its end. open reports whether the peer confirmed it.
func (l *link) serve(ctx context.Context) (open bool, err error) {
	d := net.Dialer{Timeout: l.m.timing.dial}
	conn, err := d.DialContext(ctx, "tcp", l.peer.Address)
	if err != nil {
		return false, err
	}
	p := l.m.track(conn)
	defer l.m.untrack(p)
	mux, err := yamux.Client(p, l.m.muxConfig())
	if err != nil {
		_ = conn.Close()
		return false, err
	}
	defer func() { _ = mux.Close() }()
	p.mux.Store(mux)
	ss := newSession(p)
	defer ss.close()
	confirmed := make(chan struct{}, streamCount)
	for s := Control; s < streamCount; s++ {
		stream, err := mux.OpenStream()
		if err != nil {
			return false, err
		}
		if err := writeFrame(stream, nil, []*wire.Envelope{l.m.hello(s)}); err != nil {
			return false, err
		}
		go func() { ss.end(writeRing(stream, ss.rings[s], ss.closed)) }()
		go func() { ss.end(ss.readReplies(stream, confirmed)) }()
	}
	// Until the peer has answered on both streams it may be cut off: a connection can be set up without it, by a proxy
	// or a listen queue, and calls on it would be lost instead of unsent.
	timeout := time.NewTimer(l.m.timing.dial)
	defer timeout.Stop()
	for range streamCount {
		select {
		case <-confirmed:
		case <-ctx.Done():
			return false, nil
		case <-ss.closed:
			return false, eris.New("closed before the peer confirmed")
		case <-timeout.C:
			return false, eris.New("the peer did not confirm in time")
		}
	}
	l.setCurrent(ss)
	defer l.setCurrent(nil)
	select {
	case <-ctx.Done():
	case <-ss.closed:
	case <-mux.CloseChan():
	}
	return true, nil
}

func newSession(c *monitoredConn) *session {
	ss := &session{conn: c, closed: make(chan struct{}), waiting: map[uint64]*call{}}
	for i := range ss.rings {
		ss.rings[i] = newRing(ringSize)
	}
	return ss
}

func (ss *session) put(s Stream, e *wire.Envelope) bool {
	select {
	case <-ss.closed:
		return false
	default:
	}
	return ss.rings[s].put(e)
}

func (ss *session) call(s Stream, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
	c := &call{done: done, stream: s}
	ss.mu.Lock()
	if ss.lost {
		ss.mu.Unlock()
		done(nil, ErrUnsent)
		return
	}
	ss.lastID++
	id := ss.lastID
	ss.waiting[id] = c
	if s == Relay {
		ss.conn.waiting.Add(1)
	}
	c.timer = time.AfterFunc(time.Until(deadline), func() {
		// The connection may have gone silent.
		ss.conn.due.Store(true)
		ss.finish(id, nil, ErrLost)
	})
	ss.mu.Unlock()
	e.Id = id
	if !ss.put(s, e) {
		ss.finish(id, nil, ErrUnsent)
	}
}

// finish ends a call once; later replies to the same id are dropped.
func (ss *session) finish(id uint64, e *wire.Envelope, err error) {
	ss.mu.Lock()
	c := ss.waiting[id]
	delete(ss.waiting, id)
	ss.mu.Unlock()
	if c == nil {
		return
	}
	c.timer.Stop()
	if c.stream == Relay {
		ss.conn.waiting.Add(-1)
	}
	c.done(e, err)
}

func (ss *session) readReplies(stream net.Conn, confirmed chan<- struct{}) error {
	return readFrames(stream, func(e *wire.Envelope) error {
		if e.GetHello() != nil {
			select {
			case confirmed <- struct{}{}:
			default: // a repeated hello confirms nothing more
			}
			return nil
		}
		ss.finish(e.Id, e, nil)
		return nil
	})
}

func (ss *session) end(error) { ss.once.Do(func() { close(ss.closed) }) }

// close fails every call that waits. They may have been handled by the peer.
func (ss *session) close() {
	ss.end(nil)
	ss.mu.Lock()
	ss.lost = true
	left := ss.waiting
	ss.waiting = map[uint64]*call{}
	ss.mu.Unlock()
	for _, c := range left {
		c.timer.Stop()
		c.done(nil, ErrLost)
	}
}
