package replicator

import (
	"time"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	// maxEntriesPerMessage and maxAppendBytes bound one append message. An entry that is larger than maxAppendBytes is sent
	// alone.
	maxEntriesPerMessage = 32
	maxAppendBytes       = 1 << 20
	// maxUncommittedBytes bounds the entries that a leader has proposed and that are not committed, which no snapshot can
	// replace yet. One larger entry is accepted where there are no others.
	maxUncommittedBytes = 16 << 20
	// retainedBytes bounds the entries that stay in the log behind a snapshot. A voter that misses more gets the snapshot,
	// which is smaller than a few entries of a large configuration.
	retainedBytes = 4 << 20
	// largeAppendBytes is the size from which an append is sent again only when its reply is overdue, rather than with the
	// next heartbeat.
	largeAppendBytes = 64 << 10
	// heartbeatsPerElectionTimeout is how many heartbeats a leader sends within one election timeout, and so about how
	// many may be lost before a follower starts an election.
	heartbeatsPerElectionTimeout = 5
)

// Role is the role of a VM in the consensus group.
type Role int

// The roles. A learner receives the log and has no vote; a pre-candidate asks whether it could win an election.
const (
	Learner Role = iota
	Follower
	PreCandidate
	Candidate
	Leader
)

// Config holds the parameters of a Replicator.
type Config struct {
	Name string
	// Voters names the VMs that the settings list as voters, in the same order on every VM.
	Voters []string
	// ElectionTimeout is the minimum time without a leader before an election; the maximum is twice that.
	ElectionTimeout time.Duration
	// Seed seeds the random part of the election timeouts.
	Seed uint64
	// TargetVoters is the target number of voters where voters are discovered: a learner that Voters does not list becomes
	// a voter while there are fewer than TargetVoters, and otherwise replaces a voter that has been silent for
	// ReplaceAfter. 0 restricts the voters to the names in Voters.
	TargetVoters int
	ReplaceAfter time.Duration
}

// Output is the work that a call leaves to its caller, in this order: install Snapshot; make HardState, Entries and
// CommitIndex durable; send Messages; apply Committed.
type Output struct {
	// Snapshot replaces the log and the state up to its index; nil when there is none.
	Snapshot  *wire.ConfigSnapshot
	HardState *storer.HardState
	// Entries replace the stored entries from the index of the first one on.
	Entries []*wire.ConfigEntry
	// CommitIndex is the new commit index; 0 when it did not advance.
	CommitIndex uint64
	Messages    []*wire.ConfigMessage
	Committed   []*wire.ConfigEntry
}

// Merge appends the output n of a later call to o, so that one sync covers both. n must not have a Snapshot: an output
// with a Snapshot starts a new batch.
func (o *Output) Merge(n Output) {
	if n.HardState != nil {
		o.HardState = n.HardState
	}
	if len(n.Entries) > 0 {
		for len(o.Entries) > 0 && o.Entries[len(o.Entries)-1].Index >= n.Entries[0].Index {
			o.Entries = o.Entries[:len(o.Entries)-1]
		}
		o.Entries = append(o.Entries, n.Entries...)
	}
	o.CommitIndex = max(o.CommitIndex, n.CommitIndex)
	o.Messages = append(o.Messages, n.Messages...)
	o.Committed = append(o.Committed, n.Committed...)
}

// Status describes a VM's state in the consensus group, as the status page shows it.
type Status struct {
	Role        Role
	Leader      string
	Term        uint64
	CommitIndex uint64
	LastIndex   uint64
	// MajorityReachable is true while this VM knows of a leader that reaches a majority.
	MajorityReachable bool
	// Current is true while, in addition, this VM knows to be committed every entry that was when the leader sent its last
	// message. It is false on a learner.
	Current bool
	// CommittedVoter is true when a membership known here to be committed lists this VM as a voter. Only from then on does
	// the consensus group survive the loss of another VM; while a replacement is not known to be committed, it may not.
	CommittedVoter bool
	// LeaderContactAt is when the leader's last message arrived; zero when none has.
	LeaderContactAt time.Time
}

// identity identifies a voter by VM name and disk ID. A VM whose disk was emptied gets a new disk ID and is then another
// voter, because it has lost its log and its votes.
type identity struct{ name, disk string }

func (i identity) String() string { return i.name + "/" + i.disk }

// membership is the set of voters in effect from a log index on.
type membership struct {
	index   uint64
	members []*wire.ConfigMember
}

func (m membership) hasVoter(id identity) bool {
	for _, v := range m.members {
		if v.Voter && v.Name == id.name && v.DiskId == id.disk {
			return true
		}
	}
	return false
}

// names returns the names of the members.
func (m membership) names() []string {
	out := make([]string, len(m.members))
	for i, v := range m.members {
		out[i] = v.Name
	}
	return out
}

func (m membership) hasMajority(has func(identity) bool) bool {
	voters, count := 0, 0
	for _, v := range m.members {
		if !v.Voter {
			continue
		}
		voters++
		if has(identity{v.Name, v.DiskId}) {
			count++
		}
	}
	return voters > 0 && count > voters/2
}

// progress is what a leader knows about the log of one voter or learner.
type progress struct {
	id identity
	// matchIndex is the last index known to be durable there; nextIndex is the next one to send.
	matchIndex, nextIndex uint64
	lastContactAt         time.Time
	// resendAt is when the last message is sent again unless a reply has arrived.
	resendAt time.Time
	// sentCommitIndex is the commit index sent last; largePending is true while a snapshot or a large append awaits its
	// reply.
	sentCommitIndex uint64
	largePending    bool
}
