package replicator_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// largeChange is the size of a configuration with some ten thousand queues.
const largeChange = 2_900_000

// newLeader returns the leader of three voters, whose log holds a number of large entries that are committed, and the time at
// which it became that.
func newLeader(t *testing.T, entries int) (*replicator.Replicator, time.Time) {
	t.Helper()
	st := storer.State{Identity: storer.Identity{DiskID: "a-0"}, HardState: storer.HardState{Term: 1}}
	first := &wire.ConfigEntry{Index: 1, Term: 1}
	for _, name := range []string{"a", "b", "c"} {
		first.Members = append(first.Members, &wire.ConfigMember{Name: name, DiskId: name + "-0", Voter: true})
	}
	st.Entries = append(st.Entries, first)
	for i := range entries {
		st.Entries = append(st.Entries, &wire.ConfigEntry{Index: uint64(i + 2), Term: 1, Change: change(i, largeChange)})
	}
	st.CommitIndex = uint64(len(st.Entries))
	r := replicator.New(replicator.Config{Name: "a", Voters: []string{"a", "b", "c"}, ElectionTimeout: electionTimeout, Seed: 1}, st)
	return r, elect(r, electionTimeout)
}

func appendReply(r *replicator.Replicator, now time.Time, from string, match uint64) *wire.ConfigMessage {
	return &wire.ConfigMessage{
		Kind: wire.ConfigMessage_KIND_APPEND_REPLY, From: from, To: "a", DiskId: from + "-0", Term: r.Status(now).Term, Granted: true, MatchIndex: match,
	}
}

// TestRetainedEntriesAreBounded guards against a log whose entries take more memory than the state that they lead to.
func TestRetainedEntriesAreBounded(t *testing.T) {
	r, now := newLeader(t, 50)
	r.Step(now, appendReply(r, now, "b", r.Status(now).LastIndex))
	st := r.Status(now)
	kept := r.Compact(&wire.ConfigSnapshot{Index: st.CommitIndex, Term: st.Term}, 50).Entries
	size := 0
	for _, e := range kept {
		size += proto.Size(e)
	}
	if size > 8<<20 || len(kept) == 0 {
		t.Fatalf("%d entries with %d bytes are kept", len(kept), size)
	}
}
