package detector

import (
	"sort"
	"time"

	"clementineyard/wire"
)

// maxUnansweredPings is the number of ping intervals without a reply after which an entry VM counts as unreachable.
const maxUnansweredPings = 3

// Config configures a Detector.
type Config struct {
	// Name is the name of this entry VM.
	Name string
	// Incarnation distinguishes the runs of a process; a later run has a larger one.
	Incarnation uint64
	// Peers lists the entry VMs to ping. This VM's own name is skipped.
	Peers []string
	// PingEvery is the interval between two pings to the same peer.
	PingEvery time.Duration
	// Describe fills in the state that this VM reports with each ping and reply. It may be nil.
	Describe func(*wire.Ping)
}

// Detector is a state machine without goroutines, clocks or I/O: the caller passes in the time and sends the
// messages that it returns. It is not safe for concurrent use.
type Detector struct {
	cfg      Config
	peers    map[string]*peer
	sequence uint64
	nextPing time.Time
}

// peer is the state kept for another entry VM.
type peer struct {
	last      *wire.Ping
	repliedAt time.Time
	heardAt   time.Time
	// lastPingSequence is the sequence number of the last ping to the peer.
	lastPingSequence uint64
}

// Peer is what is known about another entry VM.
type Peer struct {
	Name string
	// Reachable is true when it replied to a recent ping, so both directions work.
	Reachable bool
	// HeardAt is the time at which its last datagram arrived; zero when none did.
	HeardAt time.Time
	// Last is the last datagram received from it; nil when there was none.
	Last *wire.Ping
}

// Message is a datagram to send to a peer.
type Message struct {
	To   string
	Ping *wire.Ping
}

// New returns a Detector that has not heard from its peers yet.
func New(cfg Config) *Detector {
	d := &Detector{cfg: cfg, peers: map[string]*peer{}}
	for _, p := range cfg.Peers {
		if p != cfg.Name {
			d.peers[p] = &peer{}
		}
	}
	return d
}

// Tick returns the pings to all peers when they are due.
func (d *Detector) Tick(now time.Time) []Message {
	if now.Before(d.nextPing) {
		return nil
	}
	d.nextPing = now.Add(d.cfg.PingEvery)
	d.sequence++
	var out []Message
	for name, p := range d.peers {
		p.lastPingSequence = d.sequence
		out = append(out, Message{To: name, Ping: d.ping(d.sequence, false)})
	}
	return out
}

// Step handles a datagram and returns the reply if it is a ping. Datagrams from unknown peers and of an older
// incarnation are ignored.
func (d *Detector) Step(now time.Time, m *wire.Ping) []Message {
	p := d.peers[m.From]
	if p == nil || (p.last != nil && m.Incarnation < p.last.Incarnation) {
		return nil
	}
	p.last, p.heardAt = m, now
	if !m.Reply {
		return []Message{{To: m.From, Ping: d.ping(m.Sequence, true)}}
	}
	// A sequence number that has not been sent yet is a reply to an earlier run of this process.
	if m.Sequence <= p.lastPingSequence && m.Sequence+maxUnansweredPings > p.lastPingSequence {
		p.repliedAt = now
	}
	return nil
}

// Peers returns what is known about all other entry VMs, sorted by name.
func (d *Detector) Peers(now time.Time) []Peer {
	var out []Peer
	for name, p := range d.peers {
		out = append(out, Peer{Name: name, Reachable: d.reachable(p, now), HeardAt: p.heardAt, Last: p.last})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Owner returns the owner of a failure domain: of the owners that reachable VMs last reported for it, the one with
// the newest epoch. It is called for each relayed submission, so it builds no list.
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

// reachable reports whether the peer replied to a recent ping.
func (d *Detector) reachable(p *peer, now time.Time) bool {
	return !p.repliedAt.IsZero() && now.Sub(p.repliedAt) < maxUnansweredPings*d.cfg.PingEvery
}

// ping returns a ping or a reply with this VM's state.
func (d *Detector) ping(sequence uint64, reply bool) *wire.Ping {
	m := &wire.Ping{From: d.cfg.Name, Incarnation: d.cfg.Incarnation, Sequence: sequence, Reply: reply}
	if d.cfg.Describe != nil {
		d.cfg.Describe(m)
	}
	return m
}
