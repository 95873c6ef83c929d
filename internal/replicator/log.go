package replicator

import (
	"math"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// noTerm is a term that no election reaches.
const noTerm = math.MaxUint64

// log holds the entries in memory, and the memberships that they set.
type log struct {
	baseIndex, baseTerm uint64
	entries             []*wire.ConfigEntry
	commit              uint64
	snapshot            *wire.ConfigSnapshot
	// memberships are in order of index. The last one counts, and while it is not committed the one before it too.
	memberships []membership
}

func newLog(st *storer.State) log {
	l := log{baseIndex: st.BaseIndex, baseTerm: st.BaseTerm, entries: st.Entries, commit: st.Commit, snapshot: st.Snapshot}
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

func (l *log) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) termAt(index uint64) uint64 {
	switch {
	case index == l.baseIndex:
		return l.baseTerm
	case index < l.baseIndex || index > l.last():
		return noTerm
	}
	return l.entries[index-l.baseIndex-1].Term
}

// slice returns the entries after from up to and including to.
func (l *log) slice(from, to uint64) []*wire.ConfigEntry {
	return l.entries[from-l.baseIndex : to-l.baseIndex]
}

// put stores entries at their index, in place of what stood there and after.
func (l *log) put(entries []*wire.ConfigEntry) {
	first := entries[0].Index
	// The slice is cut to its length, so that messages which still hold the old entries keep them.
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

// add appends one entry at the end.
func (l *log) add(e *wire.ConfigEntry) {
	l.entries = append(l.entries, e)
	if len(e.Members) > 0 {
		l.memberships = append(l.memberships, membership{e.Index, e.Members})
	}
}

func (l *log) reset(s *wire.ConfigSnapshot) {
	l.baseIndex, l.baseTerm, l.entries, l.commit, l.snapshot = s.Index, s.Term, nil, s.Index, s
	l.memberships = []membership{{s.Index, s.Members}}
}

// compact drops the entries up to and including index.
func (l *log) compact(s *wire.ConfigSnapshot, index uint64) {
	l.snapshot = s
	if index <= l.baseIndex {
		return
	}
	term := l.termAt(index)
	l.entries = append([]*wire.ConfigEntry(nil), l.slice(index, l.last())...)
	l.baseIndex, l.baseTerm = index, term
}

// committedMembers returns the voters as of the commit index.
func (l *log) committedMembers() []*wire.ConfigMember {
	var out []*wire.ConfigMember
	for _, m := range l.memberships {
		if m.index <= l.commit {
			out = m.members
		}
	}
	return out
}

// effective returns the memberships whose majorities count now. An uncommitted membership needs the majority of its
// predecessor too: the two may have disjoint majorities, because one identity takes the place of another.
func (l *log) effective() []membership {
	n := len(l.memberships)
	if n > 1 && l.memberships[n-1].index > l.commit {
		return l.memberships[n-2:]
	}
	return l.memberships[max(0, n-1):]
}

func (l *log) majority(has func(identity) bool) bool {
	ms := l.effective()
	for _, m := range ms {
		if !m.majority(has) {
			return false
		}
	}
	return len(ms) > 0
}

func (l *log) lists(id identity) bool {
	for _, m := range l.effective() {
		if m.lists(id) {
			return true
		}
	}
	return false
}
