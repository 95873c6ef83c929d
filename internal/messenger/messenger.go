package messenger

import (
	"context"
	"crypto/subtle"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/wire"
)

// Stream identifies one of the streams to a peer.
type Stream int

// The streams of one direction.
const (
	ControlStream Stream = iota
	RelayStream
	streamCount
)

var streamNames = [streamCount]string{"control", "relay"}

const (
	// requestQueueSize bounds the messages that wait for one outgoing stream.
	requestQueueSize = 4096
	// replyQueueSize bounds the replies that wait for one stream. It is larger, because replies are bounded by the
	// pending requests and a full queue ends the connection.
	replyQueueSize = 16384
	// maxQueueBytes bounds the memory of one stream's queue when bodies are large.
	maxQueueBytes = 32 << 20
	// targetBatchBytes is the size from which a batch takes no further messages, so that a large body does not delay the
	// small messages behind it for long.
	targetBatchBytes = 256 << 10
	// maxFrameBytes bounds one frame: the largest body, its growth by base64, and the batch around it.
	maxFrameBytes = 64 << 20
	// maxHelloBytes bounds the first frame of a stream, which holds a name and a token of some hundred bytes.
	maxHelloBytes = 16 << 10

	// refusalLogInterval is the least time between two log lines on refused connections.
	refusalLogInterval = 10 * time.Second

	// minRedialBackoff and maxRedialBackoff bound the exponential backoff between attempts to connect. It starts low,
	// because VMs that start together find each other's ports closed for some milliseconds.
	minRedialBackoff = 20 * time.Millisecond
	maxRedialBackoff = 100 * time.Millisecond
	// writeTimeout ends a connection whose peer reads nothing; a partition that drops packets leaves such connections
	// open.
	writeTimeout = 2 * time.Second
)

// connectionTimeouts sets how soon an unresponsive connection is detected and replaced.
type connectionTimeouts struct {
	// A connection is probed when nothing has been read from it for waitingIdle while a reply is awaited, and otherwise for
	// idle. probeTimeout bounds the wait for the answer to a probe, and yamux writes; dialTimeout bounds one attempt to
	// connect.
	waitingIdle, idle, probeTimeout, dialTimeout time.Duration
}

var (
	listedPeerTimeouts = connectionTimeouts{waitingIdle: time.Second, idle: time.Second, probeTimeout: writeTimeout, dialTimeout: time.Second}
	// discoveredPeerTimeouts detect an unresponsive connection within 0.8 s while a job is pending on it: a fleet's client
	// retries 1.3 s after it has lost its entry VM, and by then the owner must have dropped the job. idle is long, because
	// an entry VM of a large fleet has a connection to each owner, most of which are idle.
	discoveredPeerTimeouts = connectionTimeouts{
		waitingIdle: 200 * time.Millisecond, idle: 3 * time.Second, probeTimeout: 500 * time.Millisecond, dialTimeout: 400 * time.Millisecond,
	}
)

// ErrNotSent means that the message was certainly not sent to the peer.
var ErrNotSent = eris.New("message was not sent")

// ErrNoReply means that the connection ended, or the deadline passed, before the reply; the peer may have handled the
// message.
var ErrNoReply = eris.New("connection lost before the reply")

// Peer names another entry VM and its address (IP:port).
type Peer struct {
	Name, Address string
}

// Handler handles a message from a peer. It runs on the goroutine that reads the stream and must not block. reply may be
// called later, from any goroutine, at most once; it does nothing when the sender expects no reply.
type Handler func(from string, m *wire.Envelope, reply func(*wire.Envelope))

// Config holds the parameters of a Messenger.
type Config struct {
	Name        string
	Incarnation uint64
	Token       string
	Peers       []Peer
	Handle      Handler
	Log         *slog.Logger
	// Resolve returns the address (IP:port) of a peer that Peers does not list. Where it is set, peers are discovered:
	// any process that knows the token may connect, and this VM dials a peer from its first use on.
	Resolve func(name string) string
	// Now tells the time that the deadlines of calls refer to; time.Now where it is nil.
	Now func() time.Time
	// Count adds delta to the counter with the given name; it may be nil.
	Count func(name string, delta int64)
	// PeerConnected is called when a peer has opened its relay stream to this VM, also while a former one still counts as
	// open; it may be nil.
	PeerConnected func(from string, incarnation uint64)
	// PeerDisconnected is called when the last stream that a peer had opened to this VM ends; it may be nil.
	PeerDisconnected func(from string)
}

// Messenger holds the connections to all peers. It is safe for concurrent use.
type Messenger struct {
	cfg      Config
	timeouts connectionTimeouts
	// dial connects to an address; tests replace it.
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu          sync.Mutex
	peers       map[string]*link
	connections map[*monitoredConn]struct{}
	// inboundStreams counts the open streams by the peer that opened them.
	inboundStreams map[string]int
	// refused counts the refused connections since the last log line, at refusalLoggedAt.
	refused         int
	refusalLoggedAt time.Time
	// startLink starts the goroutine of a link; nil before Run and after its end.
	startLink func(*link)
}

// New returns a Messenger; Run starts it.
func New(cfg Config) *Messenger {
	m := &Messenger{
		cfg: cfg, timeouts: listedPeerTimeouts, peers: map[string]*link{}, connections: map[*monitoredConn]struct{}{}, inboundStreams: map[string]int{},
	}
	m.dial = func(ctx context.Context, address string) (net.Conn, error) {
		d := net.Dialer{Timeout: m.timeouts.dialTimeout}
		return d.DialContext(ctx, "tcp", address)
	}
	if cfg.Now == nil {
		m.cfg.Now = time.Now
	}
	if cfg.Resolve != nil {
		m.timeouts = discoveredPeerTimeouts
	}
	for _, p := range cfg.Peers {
		if p.Name != cfg.Name {
			m.peers[p.Name] = newLink(m, p)
		}
	}
	return m
}

// Run dials all peers and accepts theirs until the context ends.
func (m *Messenger) Run(ctx context.Context, ln net.Listener) {
	var wg sync.WaitGroup
	m.mu.Lock()
	m.startLink = func(l *link) { wg.Go(func() { l.run(ctx) }) }
	for _, l := range m.peers {
		m.startLink(l)
	}
	m.mu.Unlock()
	wg.Go(func() { m.accept(ctx, ln) })
	wg.Go(func() { m.monitorConnections(ctx) })
	<-ctx.Done()
	m.mu.Lock()
	m.startLink = nil
	m.mu.Unlock()
	_ = ln.Close()
	m.closeAll()
	wg.Wait()
}

// link returns the link to a peer, or nil when the peer is unknown. Where peers are discovered, it creates the link on
// first use.
func (m *Messenger) link(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.peers[peer]
	if l != nil || m.cfg.Resolve == nil || peer == "" || peer == m.cfg.Name {
		return l
	}
	l = newLink(m, Peer{Name: peer, Address: m.cfg.Resolve(peer)})
	m.peers[peer] = l
	if m.startLink != nil {
		m.startLink(l)
	}
	return l
}

// Connected reports whether the peer has confirmed a session that is still open.
func (m *Messenger) Connected(peer string) bool {
	l := m.link(peer)
	return l != nil && l.connected()
}

// Send queues a message that expects no reply. It returns false when the peer is not connected or the queue is full.
func (m *Messenger) Send(peer string, s Stream, e *wire.Envelope) bool {
	l := m.link(peer)
	return l != nil && l.enqueue(s, e)
}

// Call queues a message and calls done once, with the reply or with ErrNotSent or ErrNoReply. done must not block. At
// the deadline the call fails with ErrNoReply. A message that cannot be encoded fails with ErrNotSent.
func (m *Messenger) Call(peer string, s Stream, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
	l := m.link(peer)
	if l == nil {
		done(nil, ErrNotSent)
		return
	}
	l.call(s, e, deadline, done)
}

// HasInboundStream reports whether a stream that the peer has opened to this VM is open.
func (m *Messenger) HasInboundStream(peer string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inboundStreams[peer] > 0
}

// countInbound adds delta to the number of open streams from a peer, and calls Config.PeerDisconnected when the last
// one has ended.
func (m *Messenger) countInbound(peer string, delta int) {
	m.mu.Lock()
	m.inboundStreams[peer] += delta
	ended := m.inboundStreams[peer] == 0
	if ended {
		delete(m.inboundStreams, peer)
	}
	m.mu.Unlock()
	if ended && m.cfg.PeerDisconnected != nil {
		m.cfg.PeerDisconnected(peer)
	}
}

func (m *Messenger) hello(s Stream) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{
		Name: m.cfg.Name, Incarnation: m.cfg.Incarnation, Token: m.cfg.Token, Stream: streamNames[s],
	}}}
}

// authenticate checks that the first message of a stream is a hello from a known peer with the right token.
func (m *Messenger) authenticate(e *wire.Envelope) (*wire.Hello, error) {
	h := e.GetHello()
	if h == nil {
		return nil, eris.New("authenticate peer: first message is not a hello")
	}
	if m.cfg.Resolve == nil && m.peers[h.Name] == nil {
		return nil, eris.Errorf("authenticate peer: no entry VM %q in the settings", h.Name)
	}
	if subtle.ConstantTimeCompare([]byte(h.Token), []byte(m.cfg.Token)) != 1 {
		return nil, eris.Errorf("authenticate peer: wrong token from %q", h.Name)
	}
	return h, nil
}

// logDropped logs that a message to the peer at address was dropped because it cannot be encoded.
func (m *Messenger) logDropped(address string, e *wire.Envelope, err error) {
	if m.cfg.Count != nil {
		m.cfg.Count("unsendableMessages", 1)
	}
	m.cfg.Log.Error("Messenger dropped a message that cannot be encoded.", "address", address, "type", fmt.Sprintf("%T", e.Body), "error", err)
}

// track wraps a connection and adds it to those that are monitored.
func (m *Messenger) track(c net.Conn) *monitoredConn {
	p := &monitoredConn{Conn: c}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections[p] = struct{}{}
	return p
}

func (m *Messenger) untrack(p *monitoredConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.connections, p)
}

func (m *Messenger) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.connections {
		_ = c.Close()
	}
}
