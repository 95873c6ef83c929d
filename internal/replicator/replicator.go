package replicator

import (
	"math/rand/v2"
	"time"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// Replicator is one VM's part in the agreement. It is not safe for concurrent use.
type Replicator struct {
	cfg     Config
	self    identity
	founder bool
	log     log
	hard    storer.HardState
	rng     *rand.Rand

	role          Role
	leader        string
	leaderHeardAt time.Time
	electionAt    time.Time
	introduceAt   time.Time
	// contacts are VMs beside Voters that may be voters by now.
	contacts []string
	// founders holds the identities that introduced themselves before the first membership is known.
	founders map[string]string

	votes map[identity]bool

	progress    map[identity]*progress
	heartbeatAt time.Time
	ledSince    time.Time
	// transferUntil ends a leadership transfer; no proposals are accepted before.
	transferUntil time.Time

	out Output
}

// New returns a Replicator that continues from what was synced.
func New(cfg Config, st storer.State) *Replicator {
	r := &Replicator{
		cfg: cfg, self: identity{cfg.Name, st.DiskID}, founder: st.Founder, log: newLog(&st), hard: st.HardState,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0)), founders: map[string]string{cfg.Name: st.DiskID},
	}
	r.role = r.restingRole()
	return r
}

// Tick advances time.
func (r *Replicator) Tick(now time.Time) Output {
	if r.electionAt.IsZero() {
		r.setElection(now)
	}
	switch {
	case r.role == Leader:
		r.tickLeader(now)
	case !r.log.lists(r.self):
		r.role = Learner
		r.introduce(now)
	case !now.Before(r.electionAt):
		r.preCampaign(now)
	}
	return r.take()
}

// Step handles a message of another VM.
func (r *Replicator) Step(now time.Time, m *wire.ConfigMessage) Output {
	from := identity{m.From, m.DiskId}
	if m.To == r.cfg.Name && from.name != r.cfg.Name {
		r.step(now, from, m)
	}
	return r.take()
}

// Propose appends a change. ok is false when this VM does not lead or is handing its leadership over; index and term
// identify the entry otherwise.
func (r *Replicator) Propose(now time.Time, c *wire.Change) (out Output, index, term uint64, ok bool) {
	if r.role != Leader || now.Before(r.transferUntil) {
		return r.take(), 0, 0, false
	}
	r.appendEntry(now, &wire.ConfigEntry{Change: c})
	return r.take(), r.log.last(), r.hard.Term, true
}

// Transfer asks the most advanced voter to take over, for a planned stop. ok is false when there is none.
func (r *Replicator) Transfer(now time.Time) (out Output, ok bool) {
	if r.role != Leader {
		return r.take(), false
	}
	var best *progress
	for _, p := range r.progress {
		if !r.log.lists(p.id) || now.Sub(p.heardAt) > r.cfg.ElectionTimeout || p.match < r.log.last() {
			continue
		}
		if best == nil || p.id.name < best.id.name {
			best = p
		}
	}
	if best == nil {
		return r.take(), false
	}
	r.transferUntil = now.Add(r.cfg.ElectionTimeout)
	r.send(best.id.name, &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_TIMEOUT_NOW})
	return r.take(), true
}

// Compact takes over a snapshot of the applied state and drops all but the newest keep entries before it. The result
// is what the storer must hold from then on.
func (r *Replicator) Compact(s *wire.ConfigSnapshot, keep uint64) *storer.State {
	to := uint64(0)
	if s.Index > keep {
		to = s.Index - keep
	}
	r.log.compact(s, to)
	return r.Stored()
}

// Stored returns all that a voter must have on disk.
func (r *Replicator) Stored() *storer.State {
	return &storer.State{
		Identity: storer.Identity{DiskID: r.self.disk, Founder: r.founder}, HardState: r.hard, Commit: r.log.commit,
		Snapshot: r.log.snapshot, BaseIndex: r.log.baseIndex, BaseTerm: r.log.baseTerm, Entries: r.log.entries,
	}
}

// SetContacts names VMs beside the settings' voters to which this VM introduces itself until the log lists it.
func (r *Replicator) SetContacts(names []string) { r.contacts = names }

// TermAt returns the term of the entry at index, which must be in the log.
func (r *Replicator) TermAt(index uint64) uint64 { return r.log.termAt(index) }

// Members returns the voters as of the commit index.
func (r *Replicator) Members() []*wire.ConfigMember { return r.log.committedMembers() }

// Known names the VMs whose log this leader follows beside the voters; others name none.
func (r *Replicator) Known() []string {
	if r.role != Leader {
		return nil
	}
	return r.progressNames()
}

// Status describes this VM's part in the agreement.
func (r *Replicator) Status(now time.Time) Status {
	s := Status{
		Role: r.role, Leader: r.leader, Term: r.hard.Term, Commit: r.log.commit, Last: r.log.last(),
		LeaderHeardAt: r.leaderHeardAt, Listed: membership{members: r.log.committedMembers()}.lists(r.self),
	}
	if r.role == Leader {
		s.LeaderHeardAt = now
		s.Majority = r.hearsMajority(now)
	} else {
		s.Majority = r.leader != "" && now.Sub(r.leaderHeardAt) < 2*r.cfg.ElectionTimeout
	}
	return s
}

func (r *Replicator) take() Output {
	o := r.out
	r.out = Output{}
	return o
}

func (r *Replicator) restingRole() Role {
	if r.log.lists(r.self) {
		return Follower
	}
	return Learner
}

func (r *Replicator) resetElection(now time.Time) {
	t := r.cfg.ElectionTimeout
	r.electionAt = now.Add(t + time.Duration(r.rng.Int64N(int64(t))))
}

// setElection sets an election early, for a voter that knows of no leader: after a start, and after it asked in vain. The
// pre-vote keeps it from disturbing a leader that others hear. After a loss of power of all voters, waiting for the whole
// election time-out, at times twice, took 1.4 s, and half of it after the first question in vain, while voters connect,
// 0.6 s.
func (r *Replicator) setElection(now time.Time) {
	r.electionAt = now.Add(r.heartbeat() + time.Duration(r.rng.Int64N(int64(r.cfg.ElectionTimeout/2))))
}

func (r *Replicator) heartbeat() time.Duration { return r.cfg.ElectionTimeout / heartbeatsPerElection }

func (r *Replicator) send(to string, m *wire.ConfigMessage) {
	m.From, m.To, m.DiskId = r.self.name, to, r.self.disk
	if m.Term == 0 && !isIntroduction(m) {
		m.Term = r.hard.Term
	}
	r.out.Messages = append(r.out.Messages, m)
}

func (r *Replicator) setHard(term uint64, vote string) {
	r.hard = storer.HardState{Term: term, Vote: vote}
	h := r.hard
	r.out.Hard = &h
}

// follow returns to the resting role; leader is empty when not known.
func (r *Replicator) follow(term uint64, leader string) {
	if term > r.hard.Term {
		r.setHard(term, "")
	}
	r.role, r.leader = r.restingRole(), leader
	r.progress, r.votes, r.transferUntil = nil, nil, time.Time{}
}

func (r *Replicator) commitTo(index uint64) {
	if index <= r.log.commit {
		return
	}
	r.out.Committed = append(r.out.Committed, r.log.slice(r.log.commit, index)...)
	r.log.commit, r.out.Commit = index, index
}

// isIntroduction recognises the message by which a VM makes its identity known: a pre-vote without a term. Granted
// then says that the sender was initialised as a founder.
func isIntroduction(m *wire.ConfigMessage) bool {
	return m.Kind == wire.ConfigMessage_KIND_PRE_VOTE && m.Term == 0 && m.Round == introductionRound
}

// introductionRound marks an introduction, because term 0 is also the default of the field.
const introductionRound = 1

// introduce tells the other voters this identity, until the log lists it.
func (r *Replicator) introduce(now time.Time) {
	if now.Before(r.introduceAt) {
		return
	}
	r.introduceAt = now.Add(r.heartbeat())
	r.tryFound(now)
	told := map[string]bool{r.self.name: true}
	for _, names := range [][]string{r.cfg.Voters, r.contacts, r.voterNames()} {
		for _, v := range names {
			if !told[v] {
				told[v] = true
				r.sendIntroduction(v)
			}
		}
	}
}

func (r *Replicator) sendIntroduction(to string) {
	r.send(to, &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_PRE_VOTE, Round: introductionRound, Granted: r.founder})
}

// tryFound forms the first membership once every voter of the settings has introduced itself as a founder.
func (r *Replicator) tryFound(now time.Time) {
	if !r.founder || len(r.log.memberships) > 0 || r.log.last() > 0 {
		return
	}
	s := &wire.ConfigSnapshot{}
	for _, v := range r.cfg.Voters {
		if r.founders[v] == "" {
			return
		}
		s.Members = append(s.Members, &wire.ConfigMember{Name: v, DiskId: r.founders[v], Voter: true})
	}
	r.log.reset(s)
	r.out.Snapshot = s
	r.role = r.restingRole()
	r.resetElection(now)
	r.hastenFirstElection(now)
	for _, v := range r.cfg.Voters {
		if v != r.self.name {
			r.sendIntroduction(v)
		}
	}
}

// hastenFirstElection lets the first voter of the settings campaign at once while no term has begun, so that a new
// deployment accepts changes without waiting for an election time-out.
func (r *Replicator) hastenFirstElection(now time.Time) {
	if r.hard.Term == 0 && len(r.cfg.Voters) > 0 && r.cfg.Voters[0] == r.self.name {
		r.electionAt = now.Add(r.heartbeat() / 2)
	}
}

// introduced handles another VM's introduction.
func (r *Replicator) introduced(now time.Time, from identity, founder bool) {
	switch {
	case r.role == Leader:
		r.learn(now, from)
	case len(r.log.memberships) == 0:
		if founder {
			r.founders[from.name] = from.disk
			r.tryFound(now)
		}
	case r.founder && r.log.last() == 0 && r.log.lists(from):
		// The sender is a founder like this one and has missed this one's introduction.
		r.sendIntroduction(from.name)
	}
}
