package replicator_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	// maxFrameBytes is the largest message that VMs send each other.
	maxFrameBytes = 64 << 20
	// largeChange is the size of a configuration with some ten thousand queues.
	largeChange = 2_900_000
)

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

// TestLaggingVoterCatchesUp guards against an append with all entries that a voter has missed: one that is larger than a frame
// is never sent, so that the voter stays behind for good.
func TestLaggingVoterCatchesUp(t *testing.T) {
	const missed = 26
	r, now := newLeader(t, missed)
	match := uint64(1)
	queue := r.Step(now, appendReply(r, now, "b", match)).Messages
	for sent := 0; match < r.Status(now).LastIndex; sent++ {
		if len(queue) == 0 {
			now = now.Add(electionTimeout / 10)
			queue = r.Tick(now).Messages
			continue
		}
		m := queue[0]
		if queue = queue[1:]; m.To != "b" || m.Kind != wire.ConfigMessage_KIND_APPEND {
			continue
		}
		if size := proto.Size(m); size > maxFrameBytes/8 {
			t.Fatalf("an append of %d bytes after entry %d", size, m.LogIndex)
		}
		if sent > 10*missed {
			t.Fatalf("the voter holds entry %d of %d after %d appends", match, r.Status(now).LastIndex, sent)
		}
		if m.LogIndex <= match {
			match = max(match, m.LogIndex+uint64(len(m.Entries)))
			queue = append(queue, r.Step(now, appendReply(r, now, "b", match)).Messages...)
		}
	}
}

func appendReply(r *replicator.Replicator, now time.Time, from string, match uint64) *wire.ConfigMessage {
	return &wire.ConfigMessage{
		Kind: wire.ConfigMessage_KIND_APPEND_REPLY, From: from, To: "a", DiskId: from + "-0", Term: r.Status(now).Term, Granted: true, MatchIndex: match,
	}
}

// TestLargeAppendIsNotRepeated guards against a voter whose connection carries the same large entries again with each heartbeat
// while it still stores them.
func TestLargeAppendIsNotRepeated(t *testing.T) {
	r, now := newLeader(t, 1)
	sent := 0
	count := func(out replicator.Output) {
		for _, m := range out.Messages {
			if m.To == "b" && len(m.Entries) > 0 {
				sent++
			}
		}
	}
	count(r.Step(now, appendReply(r, now, "b", 1)))
	for range 4 {
		now = now.Add(electionTimeout / 10)
		count(r.Tick(now))
	}
	if sent != 1 {
		t.Fatalf("the entries were sent %d times within %v, want once", sent, electionTimeout/10*4)
	}
	for range 10 {
		now = now.Add(electionTimeout / 10)
		r.Step(now, appendReply(r, now, "c", 1))
		count(r.Tick(now))
	}
	if sent < 2 {
		t.Fatal("the entries were not sent again, although no reply came")
	}
}

// TestProposalsWaitForMajority guards against a leader without a majority whose log grows with each attempt of an operator.
func TestProposalsWaitForMajority(t *testing.T) {
	r, now := newLeader(t, 0)
	proposed := 0
	for i := range 100 {
		if _, _, _, ok := r.Propose(now, change(i, largeChange)); ok {
			proposed += largeChange
		}
	}
	if proposed < largeChange || proposed > 32<<20 {
		t.Fatalf("%d bytes were proposed and wait for a majority", proposed)
	}
	r.Step(now, appendReply(r, now, "b", r.Status(now).LastIndex))
	if _, _, _, ok := r.Propose(now, change(100, largeChange)); !ok {
		t.Fatal("a proposal was refused after all others were committed")
	}
}

// TestLargestChangeIsProposed guards against a bound on the bytes of the log that keeps out the largest permitted change.
func TestLargestChangeIsProposed(t *testing.T) {
	r, now := newLeader(t, 0)
	r.Step(now, appendReply(r, now, "b", r.Status(now).LastIndex))
	if _, _, _, ok := r.Propose(now, change(0, 40<<20)); !ok {
		t.Fatal("a change was refused although nothing waits for a majority")
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

// TestVoterCatchesUpAtAnySize guards against a gap between a voter's log and the leader's, in number or in size of the changes,
// that no message closes.
func TestVoterCatchesUpAtAnySize(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{10, 50_000, 300_000, 1_500_000, largeChange}), 1, 40).Draw(rt, "sizes")
		held := rapid.IntRange(0, len(sizes)).Draw(rt, "held")
		compacted := rapid.IntRange(0, len(sizes)).Draw(rt, "compacted")
		l, now := newLeader(t, 0)
		l.Step(now, appendReply(l, now, "c", l.Status(now).LastIndex))
		for i, size := range sizes {
			l.Propose(now, change(i, size))
			l.Step(now, appendReply(l, now, "c", l.Status(now).LastIndex))
		}
		st := *l.DurableState()
		follower := storer.State{Identity: storer.Identity{DiskID: "b-0"}, HardState: storer.HardState{Term: 1}, CommitIndex: 1}
		follower.Entries = append(follower.Entries, st.Entries[:1+min(held, len(st.Entries)-1)]...)
		if compacted > 0 {
			index := st.Entries[compacted].Index
			l.Compact(&wire.ConfigSnapshot{Index: index, Term: l.TermAt(index), Members: l.Members(), Files: change(0, sizes[compacted-1]).Files}, 50)
		}
		f := replicator.New(replicator.Config{Name: "b", Voters: []string{"a", "b", "c"}, ElectionTimeout: electionTimeout, Seed: 2}, follower)
		for range 20 * (len(sizes) + 2) {
			now = now.Add(electionTimeout / 10)
			queue := append(l.Step(now, appendReply(l, now, "c", l.Status(now).LastIndex)).Messages, l.Tick(now).Messages...)
			for ; len(queue) > 0; queue = queue[1:] {
				m := queue[0]
				if size := proto.Size(m); size > maxFrameBytes/8 {
					rt.Fatalf("a message of %d bytes", size)
				}
				switch m.To {
				case "b":
					queue = append(queue, f.Step(now, m).Messages...)
				case "a":
					queue = append(queue, l.Step(now, m).Messages...)
				}
			}
			if f.Status(now).LastIndex == l.Status(now).LastIndex && f.Status(now).CommitIndex == l.Status(now).CommitIndex {
				return
			}
		}
		rt.Fatalf("the voter is at %+v, the leader at %+v", f.Status(now), l.Status(now))
	})
}
