package replicator

import (
	"time"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	// maxEntriesPerMessage bounds one append; a task file may reach the body limit of 1 MiB.
	maxEntriesPerMessage = 32
	// heartbeatsPerElection is how many heartbeats may be lost before a follower campaigns.
	heartbeatsPerElection = 5
)

// Role is what a VM is in the agreement.
type Role int

// The roles. A learner receives the log without a vote.
const (
	Learner Role = iota
	Follower
	PreCandidate
	Candidate
	Leader
)

// Config constructs a Replicator.
type Config struct {
	Name string
	// Voters names the VMs that the settings list as voters, in the same order everywhere.
	Voters []string
	// ElectionTimeout is the shortest time without a leader before an election; the longest is twice that.
	ElectionTimeout time.Duration
	// Seed drives the random part of the election time-outs.
	Seed uint64
	// Wanted is the number of voters to reach where voters are discovered: a learner that Voters does not list is added
	// while there are fewer, and replaces one that has been silent for ReplaceAfter. 0 keeps to the names in Voters.
	Wanted       int
	ReplaceAfter time.Duration
}

// Output is what one call asks of its caller, in this order: install Snapshot, sync Hard, Entries and Commit, send
// Messages, apply Committed.
type Output struct {
	// Snapshot replaces log and state up to its index.
	Snapshot *wire.ConfigSnapshot
	Hard     *storer.HardState
	// Entries replace the stored entry of the same index and everything after it.
	Entries []*wire.ConfigEntry
	// Commit is the new commit index; 0 when it did not move.
	Commit    uint64
	Messages  []*wire.ConfigMessage
	Committed []*wire.ConfigEntry
}

// Merge appends what a later call returned, so that both are synced at once. o must not hold a snapshot's successor:
// an output with a Snapshot starts a new batch.
func (o *Output) Merge(n Output) {
	if n.Hard != nil {
		o.Hard = n.Hard
	}
	if len(n.Entries) > 0 {
		for len(o.Entries) > 0 && o.Entries[len(o.Entries)-1].Index >= n.Entries[0].Index {
			o.Entries = o.Entries[:len(o.Entries)-1]
		}
		o.Entries = append(o.Entries, n.Entries...)
	}
	o.Commit = max(o.Commit, n.Commit)
	o.Messages = append(o.Messages, n.Messages...)
	o.Committed = append(o.Committed, n.Committed...)
}

// Status is what the status page shows of the agreement.
type Status struct {
	Role   Role
	Leader string
	Term   uint64
	Commit uint64
	Last   uint64
	// Majority is true while a leader with a majority is known here.
	Majority bool
	// Listed is true when a membership known to be committed lists this VM as a voter. From then on the agreement
	// survives the loss of another VM; while a replacement is not known to be committed it may not.
	Listed bool
	// LeaderHeardAt is when the leader's last message arrived; zero when none did.
	LeaderHeardAt time.Time
}

// identity names one life of a voter's disk.
type identity struct{ name, disk string }

func (i identity) String() string { return i.name + "/" + i.disk }

// membership is the set of voters from one log index on.
type membership struct {
	index   uint64
	members []*wire.ConfigMember
}

func (m membership) lists(id identity) bool {
	for _, v := range m.members {
		if v.Voter && v.Name == id.name && v.DiskId == id.disk {
			return true
		}
	}
	return false
}

func (m membership) majority(has func(identity) bool) bool {
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

// progress is what a leader knows of one identity's log.
type progress struct {
	id identity
	// match is the last index known to be synced there; next is the first to send.
	match, next uint64
	heardAt     time.Time
	// resendAt ends the wait for the reply to what was sent last.
	resendAt time.Time
	// sentCommit is the commit index that was sent last; installing is true while a snapshot is on its way.
	sentCommit uint64
	installing bool
}
