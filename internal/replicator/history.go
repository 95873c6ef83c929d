package replicator

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"sort"

	"clementineyard/internal/evacuator"
	"clementineyard/wire"
)

// maxAppliedChanges is how many change ids are kept, so that a repeated change gets the same answer as the first time.
const maxAppliedChanges = 10000

// StateMachine holds what the committed entries are applied to: the task files, their version, and the
// changes that led to it. It is deterministic: equal entries give an equal state on every voter.
type StateMachine struct {
	Version uint64
	// Files holds the canonical JSON of each task file by service name.
	Files map[string][]byte
	// Evacuations holds which failure domains are evacuated, and the versions of the last changes.
	Evacuations *evacuator.Evacuator
	// Audit holds the newest accepted changes, oldest first.
	Audit      []*wire.AuditRecord
	applied    map[string]*wire.AppliedChange
	appliedIDs []string
}

// NewStateMachine restores the state from a snapshot; a nil snapshot gives the empty state.
func NewStateMachine(s *wire.ConfigSnapshot) *StateMachine {
	m := &StateMachine{Version: s.GetVersion(), Files: map[string][]byte{}, applied: map[string]*wire.AppliedChange{}, Evacuations: evacuator.New(s.GetEvacuations())}
	m.Audit = append(m.Audit, s.GetAudit()...)
	for _, f := range s.GetFiles() {
		m.Files[f.Service] = f.Content
	}
	for _, a := range s.GetApplied() {
		m.applied[a.Id] = a
		m.appliedIDs = append(m.appliedIDs, a.Id)
	}
	return m
}

// KnownResult returns the result of a change if it is already certain, and nil when the log must decide. A repeated
// change gets the result of its first application.
func (m *StateMachine) KnownResult(c *wire.Change) *wire.ChangeResult {
	if a := m.applied[c.Id]; a != nil {
		if bytes.Equal(a.ContentHash, ContentHash(c)) {
			return &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_ACCEPTED, Version: a.Version}
		}
		return &wire.ChangeResult{
			Verdict: wire.ChangeResult_VERDICT_CONFLICT, Version: m.Version, WinnerId: a.Id, WinnerAuthor: a.Author,
			WinnerVersion: a.Version, Detail: "the same change id was accepted with other content",
		}
	}
	if c.BaseVersion < m.Version {
		return m.conflict(c)
	}
	return nil
}

// Apply applies a committed change by compare-and-set on its base version. changed is true when it made a new version.
func (m *StateMachine) Apply(c *wire.Change) (res *wire.ChangeResult, changed bool) {
	if res := m.KnownResult(c); res != nil {
		return res, false
	}
	if c.BaseVersion != m.Version {
		return m.conflict(c), false
	}
	m.Version++
	for _, f := range c.Files {
		if f.Removed {
			delete(m.Files, f.Service)
		} else {
			m.Files[f.Service] = f.Content
		}
	}
	for _, e := range c.Evacuations {
		m.Evacuations.Adopt(&wire.Evacuation{FailureDomain: e.FailureDomain, Active: e.Active, Index: m.Version})
	}
	m.record(c)
	return &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_ACCEPTED, Version: m.Version}, true
}

func (m *StateMachine) record(c *wire.Change) {
	m.applied[c.Id] = &wire.AppliedChange{Id: c.Id, ContentHash: ContentHash(c), Version: m.Version, Author: c.Author}
	m.appliedIDs = append(m.appliedIDs, c.Id)
	m.Audit = append(m.Audit, NewAuditRecord(c, wire.ChangeResult_VERDICT_ACCEPTED, m.Version))
	if len(m.appliedIDs) > maxAppliedChanges {
		delete(m.applied, m.appliedIDs[0])
		m.appliedIDs = m.appliedIDs[1:]
		m.Audit = m.Audit[1:]
	}
}

// conflict returns a conflict that names the change which was accepted on the same base version, or the newest change
// where that one is no longer kept or does not exist.
func (m *StateMachine) conflict(c *wire.Change) *wire.ChangeResult {
	res := &wire.ChangeResult{
		Verdict: wire.ChangeResult_VERDICT_CONFLICT, Version: m.Version, Detail: "the base version is not the current one",
	}
	if len(m.Audit) == 0 {
		return res
	}
	w := m.Audit[len(m.Audit)-1]
	if back := m.Version - c.BaseVersion; c.BaseVersion < m.Version && back <= uint64(len(m.Audit)) {
		w = m.Audit[uint64(len(m.Audit))-back]
	}
	res.WinnerId, res.WinnerAuthor, res.WinnerVersion = w.Id, w.Author, w.ToVersion
	return res
}

// Snapshot returns the state as of the log entry with this index and term. It shares no slice that changes later.
func (m *StateMachine) Snapshot(index, term uint64, members []*wire.ConfigMember) *wire.ConfigSnapshot {
	s := &wire.ConfigSnapshot{
		Index: index, Term: term, Version: m.Version, Files: m.ServiceFiles(), Members: members,
		Audit: append([]*wire.AuditRecord(nil), m.Audit...), Evacuations: m.Evacuations.Orders(),
	}
	for _, id := range m.appliedIDs {
		s.Applied = append(s.Applied, m.applied[id])
	}
	return s
}

// ServiceFiles returns all task files, sorted by service name.
func (m *StateMachine) ServiceFiles() []*wire.ServiceFile {
	var out []*wire.ServiceFile
	for s, b := range m.Files {
		out = append(out, &wire.ServiceFile{Service: s, Content: b})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// NewAuditRecord returns the audit record of a change with the verdict v. version is the version that the change made,
// or the current one where it was refused.
func NewAuditRecord(c *wire.Change, v wire.ChangeResult_Verdict, version uint64) *wire.AuditRecord {
	a := &wire.AuditRecord{
		Id: c.Id, Author: c.Author, UnixMillis: c.UnixMillis, FromVersion: c.BaseVersion, ToVersion: version, Outcome: v, Evacuations: c.Evacuations,
	}
	for _, f := range c.Files {
		a.Services = append(a.Services, f.Service)
	}
	return a
}

// ContentHash returns the SHA-256 hash of what a change does: its base version, its files and its evacuations. The time is left out,
// because a repeated change may carry another one.
func ContentHash(c *wire.Change) []byte {
	h := sha256.New()
	field := func(b []byte) {
		h.Write(binary.AppendUvarint(nil, uint64(len(b))))
		h.Write(b)
	}
	h.Write(binary.AppendUvarint(nil, c.BaseVersion))
	for _, f := range c.Files {
		field([]byte(f.Service))
		field(f.Content)
		if f.Removed {
			h.Write([]byte{1})
		} else {
			h.Write([]byte{0})
		}
	}
	for _, e := range c.Evacuations {
		field([]byte(e.FailureDomain))
		if e.Active {
			h.Write([]byte{1})
		} else {
			h.Write([]byte{0})
		}
	}
	return h.Sum(nil)
}
