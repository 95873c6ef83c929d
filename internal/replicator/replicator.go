package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// Replicator is one member of the consensus group. It is not safe for concurrent use.
type Replicator struct {
	cfg       Config
	self      identity
	founder   bool
	log       log
	hardState storer.HardState
	rng       *rand.Rand

	role            Role
	leader          string
	leaderContactAt time.Time
	// leaderCommitIndex is the highest commit index that a leader has stated.
	leaderCommitIndex  uint64
	electionDeadline   time.Time
	nextIntroductionAt time.Time
	// contacts names VMs that are not in Config.Voters and may have become voters.
	contacts []string
	// namedVoters is the newest membership that other VMs have named in their answers to this VM's introductions.
	namedVoters membership
	// founderDisks holds the disk ID by VM name of the founders that have introduced themselves before the first
	// membership is known.
	founderDisks map[string]string

	votes map[identity]bool

	progress        map[identity]*progress
	nextHeartbeatAt time.Time
	leaderSince     time.Time
	// transferDeadline ends a leadership transfer; no proposals are accepted before it.
	transferDeadline time.Time

	output Output
}

// New returns a Replicator that resumes from the durable state st.
func New(cfg Config, st storer.State) *Replicator {
	r := &Replicator{
		cfg: cfg, self: identity{cfg.Name, st.DiskID}, founder: st.Founder, log: newLog(&st), hardState: st.HardState,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0)), founderDisks: map[string]string{cfg.Name: st.DiskID},
	}
	r.role = r.followerOrLearner()
	return r
}

// Tick advances the time to now: it sends heartbeats and introductions and starts elections that are due.
func (r *Replicator) Tick(now time.Time) Output {
	if r.electionDeadline.IsZero() {
		r.setEarlyElectionTimer(now)
	}
	switch {
	case r.role == Leader:
		r.tickLeader(now)
	case !r.log.hasVoter(r.self):
		r.role = Learner
		r.sendIntroductions(now)
	case !now.Before(r.electionDeadline):
		r.startPreVote(now)
	}
	return r.takeOutput()
}

// CheckMessage returns an error for a message that no replicator sends.
func CheckMessage(m *wire.ConfigMessage) error {
	for i, e := range m.Entries {
		if want := m.LogIndex + uint64(i) + 1; e.Index != want {
			return eris.Errorf("replicator message: entries[%d] has index %d, want %d", i, e.Index, want)
		}
		if e.Term > m.Term {
			return eris.Errorf("replicator message: entries[%d] has term %d, after that of the message, %d", i, e.Term, m.Term)
		}
	}
	if m.Kind == wire.ConfigMessage_KIND_SNAPSHOT && len(m.Snapshot.GetMembers()) == 0 {
		return eris.New("replicator message: snapshot without voters")
	}
	return nil
}

// Step handles a message from another VM. It ignores one that is addressed to another VM, or that CheckMessage rejects.
func (r *Replicator) Step(now time.Time, m *wire.ConfigMessage) Output {
	from := identity{m.From, m.DiskId}
	if m.To == r.cfg.Name && from.name != r.cfg.Name && CheckMessage(m) == nil {
		r.step(now, from, m)
	}
	return r.takeOutput()
}

// Propose appends an entry with the change c to the log; index and term identify the entry. ok is false when this VM is
// not the leader, is transferring its leadership, or has proposed as much already as may wait for a majority.
func (r *Replicator) Propose(now time.Time, c *wire.Change) (out Output, index, term uint64, ok bool) {
	if r.role != Leader || now.Before(r.transferDeadline) || !r.mayWait(proto.Size(c)) {
		return r.takeOutput(), 0, 0, false
	}
	r.appendEntry(now, &wire.ConfigEntry{Change: c})
	return r.takeOutput(), r.log.lastIndex(), r.hardState.Term, true
}

// mayWait reports whether an entry of the given size may be added to those that are not committed.
func (r *Replicator) mayWait(size int) bool {
	waiting := r.log.sizeAfter(r.log.commitIndex)
	return waiting == 0 || waiting+size <= maxUncommittedBytes
}

// TransferLeadership hands the leadership to a voter that holds the whole log, before a planned stop. ok is false when
// this VM is not the leader or there is no such voter.
func (r *Replicator) TransferLeadership(now time.Time) (out Output, ok bool) {
	if r.role != Leader {
		return r.takeOutput(), false
	}
	var best *progress
	for _, p := range r.progress {
		if !r.log.hasVoter(p.id) || now.Sub(p.lastContactAt) > r.cfg.ElectionTimeout || p.matchIndex < r.log.lastIndex() {
			continue
		}
		if best == nil || p.id.name < best.id.name {
			best = p
		}
	}
	if best == nil {
		return r.takeOutput(), false
	}
	r.transferDeadline = now.Add(r.cfg.ElectionTimeout)
	r.send(best.id.name, &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_TIMEOUT_NOW})
	return r.takeOutput(), true
}

// Compact records the snapshot s of the applied state and drops the log entries before it, except for the newest ones: at
// most keep, and no more than retainedBytes permits. The result is what the storer must hold from then on.
func (r *Replicator) Compact(s *wire.ConfigSnapshot, keep uint64) *storer.State {
	r.log.compact(s, r.log.retentionStart(s.Index, keep))
	return r.DurableState()
}

// DurableState returns the state that a voter must have on disk.
func (r *Replicator) DurableState() *storer.State {
	return &storer.State{
		Identity: storer.Identity{DiskID: r.self.disk, Founder: r.founder}, HardState: r.hardState, CommitIndex: r.log.commitIndex,
		Snapshot: r.log.snapshot, BaseIndex: r.log.baseIndex, BaseTerm: r.log.baseTerm, Entries: r.log.entries,
	}
}

// SetContacts names further VMs, besides Config.Voters, to which this VM introduces itself until the log lists it.
func (r *Replicator) SetContacts(names []string) { r.contacts = names }

// TermAt returns the term of the entry at index, which must be in the log.
func (r *Replicator) TermAt(index uint64) uint64 { return r.log.termAt(index) }

// Members returns the voters as of the commit index.
func (r *Replicator) Members() []*wire.ConfigMember { return r.log.committedMembers() }

// TrackedVMs names the VMs of Config.Voters and, where voters are discovered, the further VMs whose progress this
// leader tracks. It returns nil on a VM that does not lead.
func (r *Replicator) TrackedVMs() []string {
	if r.role != Leader {
		return nil
	}
	return r.progressNames()
}

// Status returns this VM's state in the consensus group as of now.
func (r *Replicator) Status(now time.Time) Status {
	s := Status{
		Role: r.role, Leader: r.leader, Term: r.hardState.Term, CommitIndex: r.log.commitIndex, LastIndex: r.log.lastIndex(),
		LeaderContactAt: r.leaderContactAt, CommittedVoter: membership{members: r.log.committedMembers()}.hasVoter(r.self),
	}
	if r.role == Leader {
		s.LeaderContactAt = now
		s.MajorityReachable = r.majorityActive(now)
	} else {
		s.MajorityReachable = r.leader != "" && now.Sub(r.leaderContactAt) < 2*r.cfg.ElectionTimeout
	}
	// A new leader may not know yet what its predecessor committed. Its own first entry commits after all of that.
	s.Current = s.MajorityReachable && r.role != Learner && r.log.commitIndex >= r.leaderCommitIndex && r.log.termAt(r.log.commitIndex) == r.hardState.Term
	return s
}

func (r *Replicator) takeOutput() Output {
	o := r.output
	r.output = Output{}
	return o
}

func (r *Replicator) followerOrLearner() Role {
	if r.log.hasVoter(r.self) {
		return Follower
	}
	return Learner
}

func (r *Replicator) resetElectionTimer(now time.Time) {
	t := r.cfg.ElectionTimeout
	r.electionDeadline = now.Add(t + time.Duration(r.rng.Int64N(int64(t))))
}

// setEarlyElectionTimer sets a shorter election timer for a voter that knows of no leader: after a start, and after a
// failed pre-vote. The pre-vote keeps it from disrupting a leader that the others can reach. After a power loss of all
// voters, the first leader was elected after 1.4 s when voters waited for a whole election timeout, at times for two, and
// after 0.6 s when they waited for half of one after a first pre-vote that failed because they were still connecting.
func (r *Replicator) setEarlyElectionTimer(now time.Time) {
	r.electionDeadline = now.Add(r.heartbeatInterval() + time.Duration(r.rng.Int64N(int64(r.cfg.ElectionTimeout/2))))
}

func (r *Replicator) heartbeatInterval() time.Duration {
	return r.cfg.ElectionTimeout / heartbeatsPerElectionTimeout
}

func (r *Replicator) send(to string, m *wire.ConfigMessage) {
	m.From, m.To, m.DiskId = r.self.name, to, r.self.disk
	if m.Term == 0 && !isIntroduction(m) {
		m.Term = r.hardState.Term
	}
	r.output.Messages = append(r.output.Messages, m)
}

func (r *Replicator) setHardState(term uint64, vote string) {
	r.hardState = storer.HardState{Term: term, Vote: vote}
	h := r.hardState
	r.output.HardState = &h
}

// becomeFollower makes this VM a follower, or a learner where it has no vote, in the given term. leader is empty when
// it is not known.
func (r *Replicator) becomeFollower(term uint64, leader string) {
	if term > r.hardState.Term {
		r.setHardState(term, "")
	}
	r.role, r.leader = r.followerOrLearner(), leader
	r.progress, r.votes, r.transferDeadline = nil, nil, time.Time{}
}

// commitTo advances the commit index and outputs the entries that this commits.
func (r *Replicator) commitTo(index uint64) {
	if index <= r.log.commitIndex {
		return
	}
	r.output.Committed = append(r.output.Committed, r.log.slice(r.log.commitIndex, index)...)
	r.log.commitIndex, r.output.CommitIndex = index, index
}

// isIntroduction reports whether m is an introduction, by which a VM makes its identity known: a pre-vote without a
// term. Its field Granted says that the sender was initialised as a founder.
func isIntroduction(m *wire.ConfigMessage) bool {
	return m.Kind == wire.ConfigMessage_KIND_PRE_VOTE && m.Term == 0 && m.Round == introductionRound
}

// introductionRound marks an introduction, because term 0 is also the default value of the field.
const introductionRound = 1

// sendIntroductions sends this VM's identity to all possible voters, once per heartbeat interval, while the log does not
// list it.
func (r *Replicator) sendIntroductions(now time.Time) {
	if now.Before(r.nextIntroductionAt) {
		return
	}
	r.nextIntroductionAt = now.Add(r.heartbeatInterval())
	r.tryBootstrap(now)
	sent := map[string]bool{r.self.name: true}
	for _, names := range [][]string{r.cfg.Voters, r.contacts, r.voterNames(), r.namedVoters.names()} {
		for _, v := range names {
			if !sent[v] {
				sent[v] = true
				r.sendIntroduction(v)
			}
		}
	}
}

func (r *Replicator) sendIntroduction(to string) {
	r.send(to, &wire.ConfigMessage{
		Kind: wire.ConfigMessage_KIND_PRE_VOTE, Round: introductionRound, Granted: r.founder, Commit: r.log.commitIndex,
	})
}

// sendVoters answers an introduction with the newest membership that this VM knows to be committed.
func (r *Replicator) sendVoters(to string) {
	committed := r.log.committedMembership()
	r.send(to, &wire.ConfigMessage{
		Kind: wire.ConfigMessage_KIND_PRE_VOTE, Round: introductionRound, Commit: r.log.commitIndex,
		Snapshot: &wire.ConfigSnapshot{Index: committed.index, Members: committed.members},
	})
}

// tryBootstrap creates the first membership once every voter of the settings has introduced itself as a founder.
func (r *Replicator) tryBootstrap(now time.Time) {
	if !r.founder || len(r.log.memberships) > 0 || r.log.lastIndex() > 0 {
		return
	}
	s := &wire.ConfigSnapshot{}
	for _, v := range r.cfg.Voters {
		if r.founderDisks[v] == "" {
			return
		}
		s.Members = append(s.Members, &wire.ConfigMember{Name: v, DiskId: r.founderDisks[v], Voter: true})
	}
	r.log.reset(s)
	r.output.Snapshot = s
	r.role = r.followerOrLearner()
	r.resetElectionTimer(now)
	r.hastenFirstElection(now)
	for _, v := range r.cfg.Voters {
		if v != r.self.name {
			r.sendIntroduction(v)
		}
	}
}

// hastenFirstElection lets the first voter of the settings start an election almost at once while no term has begun, so
// that a new deployment accepts changes without waiting for an election timeout.
func (r *Replicator) hastenFirstElection(now time.Time) {
	if r.hardState.Term == 0 && len(r.cfg.Voters) > 0 && r.cfg.Voters[0] == r.self.name {
		r.electionDeadline = now.Add(r.heartbeatInterval() / 2)
	}
}

// stepIntroduction handles another VM's introduction, or the answer to this VM's own, which names the voters. A VM with
// an empty disk knows only the seeds, and the leader may be none of them.
func (r *Replicator) stepIntroduction(now time.Time, from identity, m *wire.ConfigMessage) {
	switch {
	case m.Snapshot != nil:
		if len(r.namedVoters.members) == 0 || m.Snapshot.Index > r.namedVoters.index {
			r.namedVoters = membership{m.Snapshot.Index, m.Snapshot.Members}
		}
	case r.role == Leader:
		r.addLearner(now, from)
	case len(r.log.memberships) == 0:
		if m.Granted {
			r.founderDisks[from.name] = from.disk
			r.tryBootstrap(now)
		}
	case r.founder && r.log.lastIndex() == 0 && r.log.hasVoter(from):
		// The sender is a founder too and has missed this VM's introduction.
		r.sendIntroduction(from.name)
	case m.Commit < r.log.commitIndex:
		// A learner that holds all commits known here has found the leader and needs no answer.
		r.sendVoters(from.name)
	}
}
