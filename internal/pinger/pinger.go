package pinger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"log/slog"
	"net"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

const (
	receiveQueueSize = 1024
	// macBytes is the length of the truncated HMAC-SHA256 that precedes each message.
	macBytes = 16
	// maxDatagramBytes keeps a datagram within one Ethernet frame.
	maxDatagramBytes = 1400
)

// Config holds the parameters of a Pinger.
type Config struct {
	// Bind is the IP:port on which datagrams are received.
	Bind string
	// Peers holds the IP:port of each entry VM by name.
	Peers map[string]string
	Token string
	// Handle handles one received message. It is called on the goroutine of Run.
	Handle func(*wire.Datagram)
	Log    *slog.Logger
}

// Pinger sends and receives datagrams. Send is safe for concurrent use.
type Pinger struct {
	gnet.BuiltinEventEngine
	cfg       Config
	conn      *net.UDPConn
	addresses map[string]*net.UDPAddr
	received  chan *wire.Datagram
	engine    gnet.Engine
	booted    chan struct{}

	sentBytes, receivedBytes, rejected, dropped atomic.Int64
}

// Stats holds the numbers of bytes and datagrams since the start.
type Stats struct {
	SentBytes, ReceivedBytes int64
	// Rejected counts received datagrams with a wrong MAC or undecodable content, and messages that were too large or
	// could not be encoded for sending. Dropped counts those received while the queue was full.
	Rejected, Dropped int64
}

// New returns a Pinger; Run starts it. It resolves the addresses of the peers and opens the sending socket.
func New(cfg Config) (*Pinger, error) {
	p := &Pinger{
		cfg: cfg, addresses: map[string]*net.UDPAddr{}, received: make(chan *wire.Datagram, receiveQueueSize), booted: make(chan struct{}),
	}
	for name, address := range cfg.Peers {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, eris.Wrapf(err, "resolve the address of %s", name)
		}
		p.addresses[name] = a
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4zero})
	if err != nil {
		return nil, eris.Wrap(err, "open the sending socket")
	}
	p.conn = conn
	return p, nil
}

// Run receives datagrams until the context ends or receiving fails.
func (p *Pinger) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(p, "udp://"+p.cfg.Bind, gnet.WithReusePort(false), gnet.WithLogLevel(logging.FatalLevel))
	}()
	defer func() { _ = p.conn.Close() }()
	for {
		select {
		case err := <-failed:
			return eris.Wrap(err, "receive datagrams")
		case <-ctx.Done():
			<-p.booted
			return p.engine.Stop(context.Background())
		case d := <-p.received:
			p.cfg.Handle(d)
		}
	}
}

// OnBoot implements gnet.EventHandler. It keeps the engine, so that Run can stop it.
func (p *Pinger) OnBoot(eng gnet.Engine) gnet.Action {
	p.engine = eng
	close(p.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. It decodes one datagram and queues its message.
func (p *Pinger) OnTraffic(c gnet.Conn) gnet.Action {
	b, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	p.receivedBytes.Add(int64(len(b)))
	d, ok := p.decode(b)
	if !ok {
		p.rejected.Add(1)
		return gnet.None
	}
	select {
	case p.received <- d:
	default:
		p.dropped.Add(1)
	}
	return gnet.None
}

// Send sends one datagram. It is not acknowledged: a loss, an unknown peer or a failed write gives no error.
func (p *Pinger) Send(peer string, d *wire.Datagram) {
	a := p.addresses[peer]
	if a == nil {
		return
	}
	body, err := proto.Marshal(d)
	if err != nil || len(body)+macBytes > maxDatagramBytes {
		p.rejected.Add(1)
		return
	}
	n, err := p.conn.WriteToUDP(append(p.mac(body), body...), a)
	if err == nil {
		p.sentBytes.Add(int64(n))
	}
}

// Stats returns the current values of the counters.
func (p *Pinger) Stats() Stats {
	return Stats{
		SentBytes: p.sentBytes.Load(), ReceivedBytes: p.receivedBytes.Load(),
		Rejected: p.rejected.Load(), Dropped: p.dropped.Load(),
	}
}

func (p *Pinger) decode(b []byte) (*wire.Datagram, bool) {
	if len(b) < macBytes || !hmac.Equal(b[:macBytes], p.mac(b[macBytes:])) {
		return nil, false
	}
	d := &wire.Datagram{}
	if err := proto.Unmarshal(b[macBytes:], d); err != nil {
		return nil, false
	}
	return d, true
}

func (p *Pinger) mac(body []byte) []byte {
	h := hmac.New(sha256.New, []byte(p.cfg.Token))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
