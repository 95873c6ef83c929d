package detector

import (
	"sort"
	"time"

	"clementineyard/wire"
)

// lostPings is how many ping intervals may pass without a reply before a VM counts as unreachable.
const lostPings = 3

// Config constructs a Detector.
type Config struct {
	Name        string
	Incarnation uint64
	Peers       []string
	PingEvery   time.Duration
	// Describe fills in what this VM says of itself.
	Describe func(*wire.Ping)
}

// Detector is an aggregate without goroutines, clocks or I/O. It is not safe for concurrent use.
type Detector struct {
	cfg      Config
	peers    map[string]*peer
	sequence uint64
	nextPing time.Time
}

type peer struct {
	last      *wire.Ping
	repliedAt time.Time
	heardAt   time.Time
	asked     uint64
}

// Peer is what is known of another entry VM.
type Peer struct {
	Name string
	// Reachable means that it answered a ping lately, so both directions work.
	Reachable bool
	// HeardAt is when its last datagram arrived; zero when none did.
	HeardAt time.Time
	// Last is what it said last; nil when nothing was heard.
	Last *wire.Ping
}

// Message is a datagram to send.
type Message struct {
	To   string
	Ping *wire.Ping
}

// New returns a Detector that knows nothing of its peers.
func New(cfg Config) *Detector {
	d := &Detector{cfg: cfg, peers: map[string]*peer{}}
	for _, p := range cfg.Peers {
		if p != cfg.Name {
			d.peers[p] = &peer{}
		}
	}
	return d
}

// Tick returns the pings that are due.
func (d *Detector) Tick(now time.Time) []Message {
	if now.Before(d.nextPing) {
		return nil
	}
	d.nextPing = now.Add(d.cfg.PingEvery)
	d.sequence++
	var out []Message
	for name, p := range d.peers {
		p.asked = d.sequence
		out = append(out, Message{To: name, Ping: d.ping(d.sequence, false)})
	}
	return out
}

// Step handles a datagram and returns the reply to a ping. Datagrams of an older incarnation are ignored.
func (d *Detector) Step(now time.Time, m *wire.Ping) []Message {
	p := d.peers[m.From]
	if p == nil || (p.last != nil && m.Incarnation < p.last.Incarnation) {
		return nil
	}
	p.last, p.heardAt = m, now
	if !m.Reply {
		return []Message{{To: m.From, Ping: d.ping(m.Sequence, true)}}
	}
	// A sequence that was not asked yet answers an earlier run of this process.
	if m.Sequence <= p.asked && m.Sequence+lostPings > p.asked {
		p.repliedAt = now
	}
	return nil
}

// Peers returns what is known of all others, by name.
func (d *Detector) Peers(now time.Time) []Peer {
	var out []Peer
	for name, p := range d.peers {
		out = append(out, Peer{Name: name, Reachable: d.reachable(p, now), HeardAt: p.heardAt, Last: p.last})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Owner returns the owner of a failure domain that the newest epoch names, of what reachable VMs said last. It is asked
// for each relayed submission, so it builds no list.
func (d *Detector) Owner(now time.Time, failureDomain string) (name string, ok bool) {
	var best *wire.Ping
	for _, p := range d.peers {
		if d.reachable(p, now) && p.last.FailureDomain == failureDomain && p.last.Owner != "" && (best == nil || p.last.Epoch > best.Epoch) {
			best = p.last
		}
	}
	if best == nil {
		return "", false
	}
	return best.Owner, true
}

func (d *Detector) reachable(p *peer, now time.Time) bool {
	return !p.repliedAt.IsZero() && now.Sub(p.repliedAt) < lostPings*d.cfg.PingEvery
}

func (d *Detector) ping(sequence uint64, reply bool) *wire.Ping {
	m := &wire.Ping{From: d.cfg.Name, Incarnation: d.cfg.Incarnation, Sequence: sequence, Reply: reply}
	if d.cfg.Describe != nil {
		d.cfg.Describe(m)
	}
	return m
}
