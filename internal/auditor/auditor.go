package auditor

import (
	"sync"
	"time"

	"clementineyard/wire"
)

// refusedKept bounds the refused changes in memory; the process log holds all of them.
const refusedKept = 1000

// Record is one change as GET /v1/audit shows it.
type Record struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// FromVersion is the base version; ToVersion is the version made, or the one in force at a refusal.
	FromVersion uint64 `json:"fromVersion"`
	ToVersion   uint64 `json:"toVersion"`
	// Outcome is accepted, conflict, noMajority, invalid, notLeader or unknown.
	Outcome  string   `json:"outcome"`
	Services []string `json:"services"`
}

// Auditor keeps the refused changes. It is safe for concurrent use.
type Auditor struct {
	mu      sync.Mutex
	refused []*wire.AuditRecord
}

// Refuse records a change that was not accepted.
func (a *Auditor) Refuse(r *wire.AuditRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = append(a.refused, r)
	if len(a.refused) > refusedKept {
		a.refused = append([]*wire.AuditRecord(nil), a.refused[1:]...)
	}
}

// Render merges accepted, which is in order of version, with the refused changes by time, newest last.
func (a *Auditor) Render(accepted []*wire.AuditRecord) []Record {
	a.mu.Lock()
	refused := a.refused
	a.mu.Unlock()
	out := make([]Record, 0, len(accepted)+len(refused))
	for _, r := range accepted {
		for len(refused) > 0 && refused[0].UnixMillis < r.UnixMillis {
			out, refused = append(out, render(refused[0])), refused[1:]
		}
		out = append(out, render(r))
	}
	for _, r := range refused {
		out = append(out, render(r))
	}
	return out
}

func render(r *wire.AuditRecord) Record {
	return Record{
		ID: r.Id, Author: r.Author, Time: time.UnixMilli(r.UnixMillis).UTC(), FromVersion: r.FromVersion,
		ToVersion: r.ToVersion, Outcome: OutcomeName(r.Outcome), Services: append([]string{}, r.Services...),
	}
}

// OutcomeName returns the verdict as it is written in JSON.
func OutcomeName(v wire.ChangeResult_Verdict) string {
	switch v {
	case wire.ChangeResult_VERDICT_ACCEPTED:
		return "accepted"
	case wire.ChangeResult_VERDICT_CONFLICT:
		return "conflict"
	case wire.ChangeResult_VERDICT_NO_MAJORITY:
		return "noMajority"
	case wire.ChangeResult_VERDICT_INVALID:
		return "invalid"
	case wire.ChangeResult_VERDICT_NOT_LEADER:
		return "notLeader"
	default:
		return "unknown"
	}
}
