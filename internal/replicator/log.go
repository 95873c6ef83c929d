package replicator

import (
	"math"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// noTerm is the term of an entry that the log does not hold; no election reaches it.
const noTerm = math.MaxUint64

// log holds the log entries in memory, and the memberships that they set.
type log struct {
	baseIndex, baseTerm uint64
	entries             []*wire.ConfigEntry
	commitIndex         uint64
	snapshot            *wire.ConfigSnapshot
	// memberships are sorted by index. The last one is in effect, and so is the one before it while the last one is not
	// committed.
	memberships []membership
}

func newLog(st *storer.State) log {
	l := log{baseIndex: st.BaseIndex, baseTerm: st.BaseTerm, entries: st.Entries, commitIndex: st.CommitIndex, snapshot: st.Snapshot}
	from := uint64(0)
	if s := st.Snapshot; s != nil {
		l.memberships = append(l.memberships, membership{s.Index, s.Members})
		from = s.Index
	}
	for _, e := range l.entries {
		if len(e.Members) > 0 && e.Index > from {
			l.memberships = append(l.memberships, membership{e.Index, e.Members})
		}
	}
	return l
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) termAt(index uint64) uint64 {
	switch {
	case index == l.baseIndex:
		return l.baseTerm
	case index < l.baseIndex || index > l.lastIndex():
		return noTerm
	}
	return l.entries[index-l.baseIndex-1].Term
}

// slice returns the entries after from up to and including to.
func (l *log) slice(from, to uint64) []*wire.ConfigEntry {
	return l.entries[from-l.baseIndex : to-l.baseIndex]
}

// entriesWithin returns the last of the entries after from that one message can carry: at least one of them, and no more
// than limit and maxBytes permit.
func (l *log) entriesWithin(from uint64, limit, maxBytes int) (to uint64, bytes int) {
	for to = from; to < l.lastIndex() && to < from+uint64(limit); to++ {
		n := proto.Size(l.entries[to-l.baseIndex])
		if to > from && bytes+n > maxBytes {
			break
		}
		bytes += n
	}
	return to, bytes
}

// sizeAfter returns the encoded size of the entries after index, in bytes.
func (l *log) sizeAfter(index uint64) int {
	size := 0
	for _, e := range l.slice(index, l.lastIndex()) {
		size += proto.Size(e)
	}
	return size
}

// retentionStart returns the index before the entries to retain up to index: the newest ones, at most keep, and no more
// than retainedBytes permits.
func (l *log) retentionStart(index, keep uint64) uint64 {
	start, size := index, 0
	for start > l.baseIndex && index-start < keep {
		if size += proto.Size(l.entries[start-l.baseIndex-1]); size > retainedBytes {
			break
		}
		start--
	}
	return start
}

// truncateAndAppend stores entries at their index and drops the former entries from there on.
func (l *log) truncateAndAppend(entries []*wire.ConfigEntry) {
	first := entries[0].Index
	// The capacity is cut to the length, so that appending does not overwrite entries which pending messages still hold.
	keep := first - l.baseIndex - 1
	l.entries = append(l.entries[:keep:keep], entries...)
	for n := len(l.memberships); n > 0 && l.memberships[n-1].index >= first; n-- {
		l.memberships = l.memberships[:n-1]
	}
	for _, e := range entries {
		if len(e.Members) > 0 {
			l.memberships = append(l.memberships, membership{e.Index, e.Members})
		}
	}
}

// add appends one entry.
func (l *log) add(e *wire.ConfigEntry) {
	l.entries = append(l.entries, e)
	if len(e.Members) > 0 {
		l.memberships = append(l.memberships, membership{e.Index, e.Members})
	}
}

// reset replaces the log by a snapshot.
func (l *log) reset(s *wire.ConfigSnapshot) {
	l.baseIndex, l.baseTerm, l.entries, l.commitIndex, l.snapshot = s.Index, s.Term, nil, s.Index, s
	l.memberships = []membership{{s.Index, s.Members}}
}

// compact records the snapshot s and drops the entries up to and including index.
func (l *log) compact(s *wire.ConfigSnapshot, index uint64) {
	l.snapshot = s
	if index <= l.baseIndex {
		return
	}
	term := l.termAt(index)
	l.entries = append([]*wire.ConfigEntry(nil), l.slice(index, l.lastIndex())...)
	l.baseIndex, l.baseTerm = index, term
}

// committedMembers returns the voters as of the commit index.
func (l *log) committedMembers() []*wire.ConfigMember { return l.committedMembership().members }

// committedMembership returns the membership as of the commit index; empty before the first.
func (l *log) committedMembership() membership {
	var out membership
	for _, m := range l.memberships {
		if m.index <= l.commitIndex {
			out = m
		}
	}
	return out
}

// effectiveMemberships returns the memberships that must each have a majority now. An uncommitted membership needs the
// majority of its predecessor too, because replacing one identity by another can give the two disjoint majorities.
func (l *log) effectiveMemberships() []membership {
	n := len(l.memberships)
	if n > 1 && l.memberships[n-1].index > l.commitIndex {
		return l.memberships[n-2:]
	}
	return l.memberships[max(0, n-1):]
}

func (l *log) hasMajority(has func(identity) bool) bool {
	ms := l.effectiveMemberships()
	for _, m := range ms {
		if !m.hasMajority(has) {
			return false
		}
	}
	return len(ms) > 0
}

func (l *log) hasVoter(id identity) bool {
	for _, m := range l.effectiveMemberships() {
		if m.hasVoter(id) {
			return true
		}
	}
	return false
}
