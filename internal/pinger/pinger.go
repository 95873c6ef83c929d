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
	ringSize = 1024
	// macBytes is the length of the truncated HMAC-SHA256 before each message.
	macBytes = 16
	// maxDatagram keeps a message within one Ethernet frame.
	maxDatagram = 1400
)

// Config constructs a Pinger.
type Config struct {
	// Bind is the IP:port to receive on.
	Bind string
	// Peers maps entry VM names to IP:port.
	Peers map[string]string
	Token string
	// Handle runs on the goroutine of Run.
	Handle func(*wire.Datagram)
	Log    *slog.Logger
}

// Pinger sends and receives datagrams. Send is safe for concurrent use.
type Pinger struct {
	gnet.BuiltinEventEngine
	cfg   Config
	conn  *net.UDPConn
	addrs map[string]*net.UDPAddr
	ring  chan *wire.Datagram
	eng   gnet.Engine
	boot  chan struct{}

	sentBytes, receivedBytes, rejected, dropped atomic.Int64
}

// Stats counts bytes and messages since the start.
type Stats struct {
	SentBytes, ReceivedBytes int64
	// Rejected datagrams had a wrong MAC or did not decode; Dropped ones found the ring full.
	Rejected, Dropped int64
}

// New resolves the peers' addresses.
func New(cfg Config) (*Pinger, error) {
	p := &Pinger{
		cfg: cfg, addrs: map[string]*net.UDPAddr{}, ring: make(chan *wire.Datagram, ringSize), boot: make(chan struct{}),
	}
	for name, address := range cfg.Peers {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, eris.Wrapf(err, "address of %s", name)
		}
		p.addrs[name] = a
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4zero})
	if err != nil {
		return nil, eris.Wrap(err, "open the sending socket")
	}
	p.conn = conn
	return p, nil
}

// Run receives until the context ends.
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
			<-p.boot
			return p.eng.Stop(context.Background())
		case d := <-p.ring:
			p.cfg.Handle(d)
		}
	}
}

// OnBoot keeps the engine for the stop.
func (p *Pinger) OnBoot(eng gnet.Engine) gnet.Action {
	p.eng = eng
	close(p.boot)
	return gnet.None
}

// OnTraffic decodes one datagram.
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
	case p.ring <- d:
	default:
		p.dropped.Add(1)
	}
	return gnet.None
}

// Send sends one datagram; losses are the receiver's to notice.
func (p *Pinger) Send(peer string, d *wire.Datagram) {
	a := p.addrs[peer]
	if a == nil {
		return
	}
	body, err := proto.Marshal(d)
	if err != nil || len(body)+macBytes > maxDatagram {
		p.rejected.Add(1)
		return
	}
	n, err := p.conn.WriteToUDP(append(p.mac(body), body...), a)
	if err == nil {
		p.sentBytes.Add(int64(n))
	}
}

// Stats returns the counters.
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
