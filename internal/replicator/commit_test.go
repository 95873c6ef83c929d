package replicator_test

import (
	"testing"
	"time"

	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// TestEarlierTermsCommitOnlyWithTheOwnTerm guards against a leader that commits an entry of an earlier term because a
// majority holds it: a later leader could still replace that entry. Only an entry of the leader's own term commits by
// counting replicas, and it commits the entries before it.
func TestEarlierTermsCommitOnlyWithTheOwnTerm(t *testing.T) {
	const timeout = 100 * time.Millisecond
	members := []*wire.ConfigMember{
		{Name: "a", DiskId: "a-0", Voter: true}, {Name: "b", DiskId: "b-0", Voter: true}, {Name: "c", DiskId: "c-0", Voter: true},
	}
	r := replicator.New(replicator.Config{
		Name: "a", Voters: []string{"a", "b", "c"}, ElectionTimeout: timeout, Seed: 1,
	}, storer.State{
		Identity: storer.Identity{DiskID: "a-0"}, HardState: storer.HardState{Term: 1}, CommitIndex: 1,
		Entries: []*wire.ConfigEntry{
			{Index: 1, Term: 1, Members: members},
			{Index: 2, Term: 1, Change: &wire.Change{Id: "earlier", Author: "x"}},
		},
	})
	now := elect(r, timeout)
	st := r.Status(now)
	if st.Role != replicator.Leader || st.LastIndex != 3 {
		t.Fatalf("got %+v, want a leader with an entry of its own term", st)
	}
	for _, c := range []struct{ match, commit uint64 }{{2, 1}, {3, 3}} {
		r.Step(now, &wire.ConfigMessage{
			Kind: wire.ConfigMessage_KIND_APPEND_REPLY, From: "b", To: "a", DiskId: "b-0", Term: st.Term, Granted: true, MatchIndex: c.match,
		})
		if got := r.Status(now).CommitIndex; got != c.commit {
			t.Errorf("a majority holds index %d: commit index is %d, want %d", c.match, got, c.commit)
		}
	}
}

// elect makes r, which is "a" among the voters "a", "b" and "c", the leader by the votes of "b", and returns the time at which
// it became that.
func elect(r *replicator.Replicator, timeout time.Duration) time.Time {
	now := time.UnixMilli(1_764_846_000_000)
	reply := map[wire.ConfigMessage_Kind]wire.ConfigMessage_Kind{
		wire.ConfigMessage_KIND_PRE_VOTE: wire.ConfigMessage_KIND_PRE_VOTE_REPLY,
		wire.ConfigMessage_KIND_VOTE:     wire.ConfigMessage_KIND_VOTE_REPLY,
	}
	for i := 0; i < 100 && r.Status(now).Role != replicator.Leader; i++ {
		now = now.Add(timeout / 10)
		for queue := r.Tick(now).Messages; len(queue) > 0; queue = queue[1:] {
			m := queue[0]
			if kind, isRequest := reply[m.Kind]; isRequest && m.To == "b" {
				out := r.Step(now, &wire.ConfigMessage{Kind: kind, From: "b", To: "a", DiskId: "b-0", Term: m.Term, Granted: true})
				queue = append(queue, out.Messages...)
			}
		}
	}
	return now
}
