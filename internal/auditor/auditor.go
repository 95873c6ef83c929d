package auditor

import (
	"sync"
	"time"

	"clementineyard/wire"
)

// maxRefused bounds the refused changes that are kept in memory. The process log has all of them.
const maxRefused = 1000

// Record is one change in the JSON body of the answer to GET /v1/audit.
type Record struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// FromVersion is the version that the change was based on.
	FromVersion uint64 `json:"fromVersion"`
	// ToVersion is the version that the change made, or the version in force when it was refused.
	ToVersion uint64 `json:"toVersion"`
	// Outcome is accepted, conflict, noMajority, invalid, notLeader or unknown.
	Outcome string `json:"outcome"`
	// Services names the services that the change adds, replaces or removes.
	Services []string `json:"services"`
	// Evacuated and Restored name the failure domains whose evacuation the change begins and ends.
	Evacuated []string `json:"evacuated,omitempty"`
	Restored  []string `json:"restored,omitempty"`
}

// Auditor keeps the newest refused changes. It is safe for concurrent use.
type Auditor struct {
	mu sync.Mutex
	// refused is in the order of arrival.
	refused []*wire.AuditRecord
}

// RecordRefusal records a change that was not accepted. It drops the oldest record when there are too many.
func (a *Auditor) RecordRefusal(r *wire.AuditRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = append(a.refused, r)
	if len(a.refused) > maxRefused {
		a.refused = append([]*wire.AuditRecord(nil), a.refused[1:]...)
	}
}

// Trail returns the accepted changes, which must be in order of their versions, merged with the refused ones by time,
// newest last.
func (a *Auditor) Trail(accepted []*wire.AuditRecord) []Record {
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
	out := Record{
		ID: r.Id, Author: r.Author, Time: time.UnixMilli(r.UnixMillis).UTC(), FromVersion: r.FromVersion,
		ToVersion: r.ToVersion, Outcome: VerdictName(r.Outcome), Services: append([]string{}, r.Services...),
	}
	for _, e := range r.Evacuations {
		if e.Active {
			out.Evacuated = append(out.Evacuated, e.FailureDomain)
		} else {
			out.Restored = append(out.Restored, e.FailureDomain)
		}
	}
	return out
}

// VerdictName returns the name of the verdict in JSON, which is "unknown" for a verdict without a name of its own.
func VerdictName(v wire.ChangeResult_Verdict) string {
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
