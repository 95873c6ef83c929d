package elector

import (
	"math/rand/v2"
	"time"

	"clementineyard/wire"
)

const (
	// epochStep is the distance between successive epochs of one member. An epoch modulo epochStep is the member's
	// position in the group, so that no two members ever use the same epoch, even after restarts that lose memory. It
	// bounds the number of members of a group.
	epochStep = 64
	// maxTrackedRenewals is the number of latest renewals whose send times are kept; acknowledgements of older ones are
	// ignored.
	maxTrackedRenewals = 64
	// resignationRepeats is how many times the resignation is sent, one renewal interval apart, because datagrams get
	// lost.
	resignationRepeats = 3
	// maxRefusedLeases is for how many leases an owner tolerates the refusals of a member that has promised a newer
	// epoch and can therefore never follow the owner again. Then the owner steps down, so that the member can follow
	// the next owner, whose epoch is larger.
	maxRefusedLeases = 4
)

// Member is one entry VM of a group.
type Member struct {
	Name string
	// Witness members store records and vote but never become the owner.
	Witness bool
}

// Config holds the parameters of an Elector.
type Config struct {
	Name        string
	Group       string
	Members     []Member
	Incarnation uint64
	// Started is when this process started. It makes no promise before one lease has passed since, because promises of
	// its predecessor may still be in force.
	Started time.Time
	// Lease is how long an ownership and a promise last. RenewInterval is the interval at which an owner renews them.
	Lease         time.Duration
	RenewInterval time.Duration
	Seed          uint64
}

// role is the state of a member in the election protocol.
type role int

const (
	follower role = iota
	preCandidate
	candidate
	owner
)

// Elector is the state machine of one member in the election of an owner. It has no goroutines, clocks or I/O and is
// not safe for concurrent use.
//
// A vote and the acknowledgement of a renewal are promises not to vote for another member for one lease. The owner's
// lease starts at the send time of the vote request or renewal, so that it expires before the promises do. An expired
// lease is never resumed: the owner has to be elected again with a larger epoch.
type Elector struct {
	cfg Config
	// position is the index of this member in cfg.Members. member is false if it is not among them.
	position uint64
	member   bool
	witness  bool
	rand     *rand.Rand
	complete bool
	resigned bool

	role role
	// maxSeenEpoch is the largest epoch of any message. promisedEpoch is the largest epoch that this member has voted
	// for or followed; promisedTo is the member that it belongs to, or "" if unknown.
	maxSeenEpoch  uint64
	promisedEpoch uint64
	promisedTo    string
	promiseEnd    time.Time
	// owner is the last known owner. It is assumed to hold its lease until ownerBelievedUntil.
	owner              string
	ownerEpoch         uint64
	ownerBelievedUntil time.Time

	// nextCandidacy is when the next candidacy may start, candidacyEnd is when the current one fails.
	nextCandidacy, candidacyEnd time.Time

	// epoch, sequence and the following fields describe the candidacy or ownership of this member.
	epoch            uint64
	sequence         uint64
	votesRequestedAt time.Time
	votes            map[string]bool
	sentAt           [maxTrackedRenewals]time.Time
	// ackedSequences holds the sequence of the newest renewal that each member has acknowledged.
	ackedSequences map[string]uint64
	peers          map[string]Peer
	leaseEnd       time.Time
	nextRenewal    time.Time
	// refusedSince is when a member with a newer epoch first refused a renewal; zero if none has.
	refusedSince time.Time

	resignationsLeft int
	nextResignation  time.Time
}

// Peer is what the owner knows about another member from its latest acknowledgement.
type Peer struct {
	Incarnation uint64
	// Complete is true when the member holds every record that it has acknowledged since the group was created.
	Complete bool
}

// Ownership is what an Elector knows about the owner.
type Ownership struct {
	// Owner is empty while no owner is known.
	Owner string
	Epoch uint64
	// HeldHere is true on the owner itself while its lease lasts.
	HeldHere bool
	// LeaseEnd is when the lease expires. It is set on the owner only.
	LeaseEnd time.Time
}

// New returns an Elector that knows no owner.
func New(cfg Config) *Elector {
	e := &Elector{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Name))))}
	for i, m := range cfg.Members {
		if m.Name == cfg.Name {
			e.position, e.member, e.witness = uint64(i), true, m.Witness
		}
	}
	e.nextCandidacy = cfg.Started.Add(cfg.Lease + e.randomDelay())
	if len(cfg.Members) == 1 {
		e.nextCandidacy = cfg.Started.Add(cfg.Lease)
	}
	return e
}

// SetComplete sets whether this member holds every record that it has acknowledged. Messages carry it to the owner.
func (e *Elector) SetComplete(complete bool) { e.complete = complete }

// PromisedEpoch returns the largest epoch that this member has voted for or followed.
func (e *Elector) PromisedEpoch() uint64 { return e.promisedEpoch }

// MayPromise reports whether one lease has passed since the process started, so that this member may make promises.
func (e *Elector) MayPromise(now time.Time) bool { return !now.Before(e.cfg.Started.Add(e.cfg.Lease)) }

// Peers returns the members that have acknowledged a renewal of the current ownership, by name. The caller must not
// change the map.
func (e *Elector) Peers() map[string]Peer { return e.peers }

// Majority returns the number of members, including this one, that form a majority.
func (e *Elector) Majority() int { return len(e.cfg.Members)/2 + 1 }

// Ownership returns the owner of the failure domain, or the zero value if none is known.
func (e *Elector) Ownership(now time.Time) Ownership {
	if e.role == owner && now.Before(e.leaseEnd) {
		return Ownership{Owner: e.cfg.Name, Epoch: e.epoch, HeldHere: true, LeaseEnd: e.leaseEnd}
	}
	if e.owner != "" && e.owner != e.cfg.Name && now.Before(e.ownerBelievedUntil) {
		return Ownership{Owner: e.owner, Epoch: e.ownerEpoch}
	}
	return Ownership{}
}

// ObserveEpoch handles the epoch of a record message. An owner or candidate of an older epoch steps down.
func (e *Elector) ObserveEpoch(now time.Time, epoch uint64) {
	e.maxSeenEpoch = max(e.maxSeenEpoch, epoch)
	if epoch <= e.promisedEpoch {
		return
	}
	e.promisedEpoch, e.promisedTo = epoch, ""
	if e.role != follower && epoch > e.epoch {
		e.stepDown(now)
	}
}

// Resign ends an ownership for a planned stop and returns the messages that ask the other members to elect. This member
// never becomes a candidate again.
func (e *Elector) Resign(now time.Time) []*wire.ElectorMessage {
	e.resigned = true
	if e.role != owner {
		e.stepDown(now)
		return nil
	}
	e.stepDown(now)
	e.resignationsLeft, e.nextResignation = resignationRepeats, now
	return e.dueResignations(now)
}

// dueResignations returns the next copy of the resignation if it is due.
func (e *Elector) dueResignations(now time.Time) []*wire.ElectorMessage {
	if e.resignationsLeft == 0 || now.Before(e.nextResignation) {
		return nil
	}
	e.resignationsLeft--
	e.nextResignation = now.Add(e.cfg.RenewInterval)
	return e.broadcast(wire.ElectorMessage_KIND_RESIGN, e.epoch)
}

// stepDown ends a candidacy or ownership. The promise that this member made to itself no longer binds it, because only
// this member could have used it.
func (e *Elector) stepDown(now time.Time) {
	e.role = follower
	e.nextCandidacy = now.Add(e.randomDelay())
}

// randomDelay returns a random delay before a candidacy, so that members do not split the votes.
func (e *Elector) randomDelay() time.Duration {
	return e.cfg.RenewInterval/4 + time.Duration(e.rand.Int64N(int64(e.cfg.RenewInterval)*2))
}

// promisedToOther reports whether a promise to a member other than name is in force.
func (e *Elector) promisedToOther(now time.Time, name string) bool {
	return e.promisedTo != "" && e.promisedTo != name && now.Before(e.promiseEnd)
}

// promise records a promise to a member for one lease.
func (e *Elector) promise(now time.Time, epoch uint64, to string) {
	e.promisedEpoch, e.promisedTo, e.promiseEnd = epoch, to, now.Add(e.cfg.Lease)
}

func (e *Elector) broadcast(kind wire.ElectorMessage_Kind, epoch uint64) []*wire.ElectorMessage {
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
