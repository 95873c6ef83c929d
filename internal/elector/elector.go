package elector

import (
	"math/rand/v2"
	"time"

	"clementineyard/wire"
)

const (
	// epochStep leaves the low digits of an epoch to the member's position, so that no two members ever use the same
	// epoch, also after a restart with lost memory. It bounds the members of a group.
	epochStep = 64
	// sentRing bounds the renewals whose send time is remembered; an acknowledgement of an older one is ignored.
	sentRing = 64
	// resignRepeats is how often the resignation is sent, one renewal interval apart, because datagrams get lost.
	resignRepeats = 3
	// stuckLeases is how many leases an owner bears a member that has promised a newer epoch and can never follow it
	// again. After that it steps down, so that an election with a larger epoch brings the member back.
	stuckLeases = 4
)

// Member is one entry VM of a group.
type Member struct {
	Name string
	// Witness members store and vote but never own.
	Witness bool
}

// Config constructs an Elector.
type Config struct {
	Name        string
	Group       string
	Members     []Member
	Incarnation uint64
	// Started is when this process started; it promises nothing before one lease has passed, because promises of an
	// earlier run may still be in force.
	Started time.Time
	Lease   time.Duration
	Renew   time.Duration
	Seed    uint64
}

type role int

const (
	follower role = iota
	preCandidate
	candidate
	owner
)

// Elector is an aggregate without goroutines, clocks or I/O. It is not safe for concurrent use.
//
// A vote and the acknowledgement of a renewal are promises not to vote for another member for one lease. The owner
// counts its lease from the send time of the renewal, so that it ends before the promises do. An owner whose lease has
// ended never resumes it: it has to be elected again with a larger epoch.
type Elector struct {
	cfg      Config
	index    uint64
	member   bool
	witness  bool
	rand     *rand.Rand
	complete bool
	resigned bool

	role role
	// seen is the largest epoch of any message; promised is the largest epoch this member has voted for or followed.
	seen         uint64
	promised     uint64
	promisedTo   string
	promiseUntil time.Time
	// owner is the last known owner, believed until ownerUntil.
	owner      string
	ownerEpoch uint64
	ownerUntil time.Time

	// nextTry is when the next candidacy may start, tryUntil when the current one ends.
	nextTry, tryUntil time.Time

	// epoch, sequence and the following belong to the own candidacy or ownership.
	epoch      uint64
	sequence   uint64
	voteSent   time.Time
	votes      map[string]bool
	sentAt     [sentRing]time.Time
	acked      map[string]uint64
	peers      map[string]Peer
	leaseUntil time.Time
	nextRenew  time.Time
	stuckSince time.Time

	resignsLeft int
	nextResign  time.Time
}

// Peer is what the owner knows of a member from its acknowledgements.
type Peer struct {
	Incarnation uint64
	// Complete means that the member holds every record that it has acknowledged since the group began.
	Complete bool
}

// Ownership is what an Elector knows.
type Ownership struct {
	// Owner is empty while none is known.
	Owner string
	Epoch uint64
	// Held is true on the owner itself while its lease lasts.
	Held bool
	// Until is the end of the lease; it is set on the owner only.
	Until time.Time
}

// New returns an Elector that knows no owner.
func New(cfg Config) *Elector {
	e := &Elector{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Name))))}
	for i, m := range cfg.Members {
		if m.Name == cfg.Name {
			e.index, e.member, e.witness = uint64(i), true, m.Witness
		}
	}
	e.nextTry = cfg.Started.Add(cfg.Lease + e.delay())
	if len(cfg.Members) == 1 {
		e.nextTry = cfg.Started.Add(cfg.Lease)
	}
	return e
}

// SetComplete tells whether this member holds every record that it has acknowledged.
func (e *Elector) SetComplete(complete bool) { e.complete = complete }

// Promised returns the largest epoch that this member has voted for or followed.
func (e *Elector) Promised() uint64 { return e.promised }

// MayPromise reports whether one lease has passed since the start.
func (e *Elector) MayPromise(now time.Time) bool { return !now.Before(e.cfg.Started.Add(e.cfg.Lease)) }

// Peers returns what the owner knows of the members that acknowledged its current ownership.
func (e *Elector) Peers() map[string]Peer { return e.peers }

// Majority is the number of members, the own one included, that decide.
func (e *Elector) Majority() int { return len(e.cfg.Members)/2 + 1 }

// Ownership tells who owns the failure domain.
func (e *Elector) Ownership(now time.Time) Ownership {
	if e.role == owner && now.Before(e.leaseUntil) {
		return Ownership{Owner: e.cfg.Name, Epoch: e.epoch, Held: true, Until: e.leaseUntil}
	}
	if e.owner != "" && e.owner != e.cfg.Name && now.Before(e.ownerUntil) {
		return Ownership{Owner: e.owner, Epoch: e.ownerEpoch}
	}
	return Ownership{}
}

// Observe takes in an epoch that was seen in record batches. An owner of an older epoch steps down.
func (e *Elector) Observe(now time.Time, epoch uint64) {
	e.seen = max(e.seen, epoch)
	if epoch <= e.promised {
		return
	}
	e.promised, e.promisedTo = epoch, ""
	if e.role != follower && epoch > e.epoch {
		e.stepDown(now)
	}
}

// Resign ends an ownership for a planned stop and asks the others to elect. This member is no candidate any more.
func (e *Elector) Resign(now time.Time) []*wire.ElectorMessage {
	e.resigned = true
	if e.role != owner {
		e.stepDown(now)
		return nil
	}
	e.stepDown(now)
	e.resignsLeft, e.nextResign = resignRepeats, now
	return e.resignations(now)
}

func (e *Elector) resignations(now time.Time) []*wire.ElectorMessage {
	if e.resignsLeft == 0 || now.Before(e.nextResign) {
		return nil
	}
	e.resignsLeft--
	e.nextResign = now.Add(e.cfg.Renew)
	return e.toAll(wire.ElectorMessage_KIND_RESIGN, e.epoch)
}

// stepDown ends candidacy and ownership. The own vote is free again: only this member could have used it.
func (e *Elector) stepDown(now time.Time) {
	e.role = follower
	e.nextTry = now.Add(e.delay())
}

// delay is a random pause before a candidacy, so that members do not split the votes.
func (e *Elector) delay() time.Duration {
	return e.cfg.Renew/4 + time.Duration(e.rand.Int64N(int64(e.cfg.Renew)*2))
}

// promisedToOther reports whether a promise to a member other than name is in force.
func (e *Elector) promisedToOther(now time.Time, name string) bool {
	return e.promisedTo != "" && e.promisedTo != name && now.Before(e.promiseUntil)
}

func (e *Elector) promise(now time.Time, epoch uint64, to string) {
	e.promised, e.promisedTo, e.promiseUntil = epoch, to, now.Add(e.cfg.Lease)
}

func (e *Elector) toAll(kind wire.ElectorMessage_Kind, epoch uint64) []*wire.ElectorMessage {
	var out []*wire.ElectorMessage
	for _, m := range e.cfg.Members {
		if m.Name != e.cfg.Name {
			out = append(out, e.message(kind, m.Name, epoch, e.sequence))
		}
	}
	return out
}

func (e *Elector) message(kind wire.ElectorMessage_Kind, to string, epoch, sequence uint64) *wire.ElectorMessage {
	return &wire.ElectorMessage{
		Kind: kind, Group: e.cfg.Group, From: e.cfg.Name, To: to, Incarnation: e.cfg.Incarnation, Epoch: epoch,
		Sequence: sequence, Complete: e.complete,
	}
}
