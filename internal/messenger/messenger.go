package messenger

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/wire"
)

// Stream selects one of the streams to a peer.
type Stream int

// The streams of one direction.
const (
	Control Stream = iota
	Relay
	streamCount
)

var streamNames = [streamCount]string{"control", "relay"}

const (
	// ringSize bounds the messages that wait for one stream.
	ringSize = 4096
	// replyRingSize is larger, as replies are bounded by the requests under way and a full ring ends the connection.
	replyRingSize = 16384
	// ringBytes bounds the memory of one stream's ring when bodies are large.
	ringBytes = 32 << 20
	// batchBytes ends a batch early, so that a large body does not delay small messages behind it for long.
	batchBytes = 256 << 10
	// maxFrame bounds one frame: the largest body, base64 growth and the batch around it.
	maxFrame = 64 << 20

	// redialFirst and redialEvery bound the pause before another attempt to connect, which doubles. VMs that start together
	// find each other's ports closed for some milliseconds.
	redialFirst = 20 * time.Millisecond
	redialEvery = 100 * time.Millisecond
	// writeTimeout ends a connection whose peer takes nothing; a silent partition leaves such connections behind.
	writeTimeout = 2 * time.Second
)

// timing says how soon a connection that has gone silent is replaced.
type timing struct {
	// A connection on which nothing was read for keepAlive while a reply is waited for, or else for idle, is probed. probe
	// is how long the answer and writes may take, and dial bounds one attempt to connect.
	keepAlive, idle, probe, dial time.Duration
}

var (
	listedTiming = timing{keepAlive: time.Second, idle: time.Second, probe: writeTimeout, dial: time.Second}
	// discoveredTiming finds a silent connection within 0.8 s while a job is under way on it: a fleet's client asks again
	// 1.3 s after it lost its entry VM, and by then the owner must have dropped the job. An entry VM of a large fleet has a
	// connection to each owner, most of which are idle.
	discoveredTiming = timing{
		keepAlive: 200 * time.Millisecond, idle: 3 * time.Second, probe: 500 * time.Millisecond, dial: 400 * time.Millisecond,
	}
)

// ErrUnsent means that the message provably never left this process.
var ErrUnsent = eris.New("message was not sent")

// ErrLost means that the connection ended before the reply; the peer may have handled the message.
var ErrLost = eris.New("connection lost before the reply")

// Peer names another entry VM and its address (IP:port).
type Peer struct {
	Name, Address string
}

// Handler handles a message from a peer. It runs on the reader's goroutine and must not block. reply may be called
// later, from any goroutine, at most once; it does nothing when the sender expects no reply.
type Handler func(from string, m *wire.Envelope, reply func(*wire.Envelope))

// Config constructs a Messenger.
type Config struct {
	Name        string
	Incarnation uint64
	Token       string
	Peers       []Peer
	Handle      Handler
	Log         *slog.Logger
	// Resolve returns the address (IP:port) of a peer that Peers does not list. Where it is set, peers are discovered:
	// any process that knows the token may connect, and a peer is dialled from its first use on.
	Resolve func(name string) string
	// Lost is called when the last connection that a peer had opened ends. Nil where nobody needs it.
	Lost func(from string)
}

// Messenger holds the connections to all peers. It is safe for concurrent use.
type Messenger struct {
	cfg    Config
	timing timing

	mu    sync.Mutex
	peers map[string]*link
	open  map[*monitoredConn]struct{}
	// inbound counts the open streams of each peer that connected to this one.
	inbound map[string]int
	// start runs a link that is added later; nil until Run.
	start func(*link)
}

// New returns a Messenger; Run starts it.
func New(cfg Config) *Messenger {
	m := &Messenger{
		cfg: cfg, timing: listedTiming, peers: map[string]*link{}, open: map[*monitoredConn]struct{}{}, inbound: map[string]int{},
	}
	if cfg.Resolve != nil {
		m.timing = discoveredTiming
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
	m.start = func(l *link) { wg.Go(func() { l.run(ctx) }) }
	for _, l := range m.peers {
		m.start(l)
	}
	m.mu.Unlock()
	wg.Go(func() { m.accept(ctx, ln) })
	wg.Go(func() { m.monitorConnections(ctx) })
	<-ctx.Done()
	m.mu.Lock()
	m.start = nil
	m.mu.Unlock()
	_ = ln.Close()
	m.closeAll()
	wg.Wait()
}

// link returns the link to a peer, or nil when the peer is not known. A peer that is discovered gets its link here.
func (m *Messenger) link(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.peers[peer]
	if l != nil || m.cfg.Resolve == nil || peer == "" || peer == m.cfg.Name {
		return l
	}
	l = newLink(m, Peer{Name: peer, Address: m.cfg.Resolve(peer)})
	m.peers[peer] = l
	if m.start != nil {
		m.start(l)
	}
	return l
}

// Connected reports whether a session to the peer is open.
func (m *Messenger) Connected(peer string) bool {
	l := m.link(peer)
	return l != nil && l.connected()
}

// Send queues a message without a reply. It reports false when the peer is not connected or the ring is full.
func (m *Messenger) Send(peer string, s Stream, e *wire.Envelope) bool {
	l := m.link(peer)
	return l != nil && l.enqueue(s, e)
}

// Call queues a message and calls done once, with the reply or with ErrUnsent or ErrLost. done must not block.
// The deadline ends the wait with ErrLost.
func (m *Messenger) Call(peer string, s Stream, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
	l := m.link(peer)
	if l == nil {
		done(nil, ErrUnsent)
		return
	}
	l.call(s, e, deadline, done)
}

// Hears reports whether a connection that the peer has opened is open.
func (m *Messenger) Hears(peer string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inbound[peer] > 0
}

// countInbound counts a stream of a peer, and tells when its last one has ended.
func (m *Messenger) countInbound(peer string, delta int) {
	m.mu.Lock()
	m.inbound[peer] += delta
	ended := m.inbound[peer] == 0
	if ended {
		delete(m.inbound, peer)
	}
	m.mu.Unlock()
	if ended && m.cfg.Lost != nil {
		m.cfg.Lost(peer)
	}
}

func (m *Messenger) hello(s Stream) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{
		Name: m.cfg.Name, Incarnation: m.cfg.Incarnation, Token: m.cfg.Token, Stream: streamNames[s],
	}}}
}

// authenticate checks the first message of a stream.
func (m *Messenger) authenticate(e *wire.Envelope) (*wire.Hello, error) {
	h := e.GetHello()
	if h == nil {
		return nil, eris.New("first message is not a hello")
	}
	if m.cfg.Resolve == nil && m.peers[h.Name] == nil {
		return nil, eris.Errorf("no entry VM %q in the settings", h.Name)
	}
	if subtle.ConstantTimeCompare([]byte(h.Token), []byte(m.cfg.Token)) != 1 {
		return nil, eris.Errorf("wrong peer token from %q", h.Name)
	}
	return h, nil
}

// track returns the connection, monitored from now on.
func (m *Messenger) track(c net.Conn) *monitoredConn {
	p := &monitoredConn{Conn: c}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[p] = struct{}{}
	return p
}

func (m *Messenger) untrack(p *monitoredConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, p)
}

func (m *Messenger) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.open {
		_ = c.Close()
	}
}
