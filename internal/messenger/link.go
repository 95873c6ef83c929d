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

// link is the client side of the connection to one peer: it dials the peer, sends requests and reads their replies.
type link struct {
	m    *Messenger
	peer Peer

	mu      sync.Mutex
	session *session
}

// session is one established connection to a peer and the calls that are pending on it.
type session struct {
	conn   *monitoredConn
	now    func() time.Time
	queues [streamCount]*sendQueue
	closed chan struct{}
	once   sync.Once

	mu     sync.Mutex
	ended  bool
	lastID uint64
	calls  map[uint64]*call
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
	ss.conn.oneWaySent.Store(true)
	return true
}

func (l *link) call(s Stream, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
	ss := l.current()
	if ss == nil {
		done(nil, ErrNotSent)
		return
	}
	ss.call(s, e, deadline, done)
}

// run keeps one session open until the context ends, and redials with an exponential backoff.
func (l *link) run(ctx context.Context) {
	for pause := minRedialBackoff; ctx.Err() == nil; pause = min(2*pause, maxRedialBackoff) {
		wasOpen, err := l.serve(ctx)
		if err != nil && ctx.Err() == nil {
			l.m.cfg.Log.Debug("Peer connection ended.", "peer", l.peer.Name, "error", err)
		}
		if wasOpen {
			pause = minRedialBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// serve opens a session and waits for its end. open reports whether the peer had confirmed the session.
func (l *link) serve(ctx context.Context) (open bool, err error) {
	conn, err := l.m.dial(ctx, l.peer.Address)
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
	p.mux.Store(mux)
	defer p.closeSession()
	ss := newSession(p, l.m.cfg.Now)
	defer ss.close()
	dropRequest := func(e *wire.Envelope, err error) {
		l.m.logDropped(l.peer.Address, e, err)
		ss.finish(e.Id, nil, ErrNotSent)
	}
	confirmed := make(chan struct{}, streamCount)
	for s := ControlStream; s < streamCount; s++ {
		opened, err := mux.OpenStream()
		if err != nil {
			return false, err
		}
		stream := p.addStream(opened)
		hello, err := encodeFrame(nil, []*wire.Envelope{l.m.hello(s)})
		if err != nil {
			return false, err
		}
		if err := write(stream, hello); err != nil {
			return false, err
		}
		go func() { ss.signalClosed(writeQueue(stream, ss.queues[s], ss.closed, dropRequest)) }()
		go func() { ss.signalClosed(ss.readReplies(stream, confirmed)) }()
	}
	// Until the peer has answered on both streams it may be unreachable: a proxy or a listen backlog can accept the
	// connection in its place, and calls on it would fail as lost instead of unsent.
	timeout := time.NewTimer(l.m.timeouts.dialTimeout)
	defer timeout.Stop()
	for range streamCount {
		select {
		case <-confirmed:
		case <-ctx.Done():
			return false, nil
		case <-ss.closed:
			return false, eris.New("open session: connection closed before the peer confirmed it")
		case <-timeout.C:
			return false, eris.New("open session: peer did not confirm it in time")
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

func newSession(c *monitoredConn, now func() time.Time) *session {
	ss := &session{conn: c, now: now, closed: make(chan struct{}), calls: map[uint64]*call{}}
	for i := range ss.queues {
		ss.queues[i] = newSendQueue(requestQueueSize)
	}
	return ss
}

func (ss *session) put(s Stream, e *wire.Envelope) bool {
	select {
	case <-ss.closed:
		return false
	default:
	}
	return ss.queues[s].put(e)
}

// call queues a request under a new id and starts the timer of its deadline.
func (ss *session) call(s Stream, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
	c := &call{done: done, stream: s}
	ss.mu.Lock()
	if ss.ended {
		ss.mu.Unlock()
		done(nil, ErrNotSent)
		return
	}
	ss.lastID++
	id := ss.lastID
	ss.calls[id] = c
	if s == RelayStream {
		ss.conn.pendingReplies.Add(1)
	}
	c.timer = time.AfterFunc(deadline.Sub(ss.now()), func() {
		// The connection may be unresponsive.
		ss.conn.probeRequested.Store(true)
		ss.finish(id, nil, ErrNoReply)
	})
	ss.mu.Unlock()
	e.Id = id
	if !ss.put(s, e) {
		ss.finish(id, nil, ErrNotSent)
	}
}

// finish ends a call and calls its done function. A later reply with the same id is dropped.
func (ss *session) finish(id uint64, e *wire.Envelope, err error) {
	ss.mu.Lock()
	c := ss.calls[id]
	delete(ss.calls, id)
	ss.mu.Unlock()
	if c == nil {
		return
	}
	c.timer.Stop()
	if c.stream == RelayStream {
		ss.conn.pendingReplies.Add(-1)
	}
	c.done(e, err)
}

func (ss *session) readReplies(stream net.Conn, confirmed chan<- struct{}) error {
	return readFrames(stream, func(e *wire.Envelope) error {
		if e.GetHello() != nil {
			select {
			case confirmed <- struct{}{}:
			default: // A repeated hello has no effect.
			}
			return nil
		}
		if e.Body == nil {
			// The peer could not encode its reply.
			ss.finish(e.Id, nil, ErrNoReply)
			return nil
		}
		ss.finish(e.Id, e, nil)
		return nil
	})
}

func (ss *session) signalClosed(error) { ss.once.Do(func() { close(ss.closed) }) }

// close ends the session and fails every pending call with ErrNoReply: the peer may have handled it.
func (ss *session) close() {
	ss.signalClosed(nil)
	ss.mu.Lock()
	ss.ended = true
	pending := ss.calls
	ss.calls = map[uint64]*call{}
	ss.mu.Unlock()
	for _, c := range pending {
		c.timer.Stop()
		c.done(nil, ErrNoReply)
	}
}
