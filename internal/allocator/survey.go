package allocator

import (
	"slices"
	"time"

	"clementineyard/internal/claimer"
	"clementineyard/wire"
)

// This file keeps the roster of the cell's workers and tells when this owner knows all runs in its cell. It answers the loss of
// owners, after which jobs wait at the registers until every owner knows what runs.

// rosterKeepTime is how long a worker that is not known here stays on the roster. The leases that former owners granted to it have
// ended by then.
const rosterKeepTime = 30 * time.Second

// rosterDropTime is how long a worker must have been unreachable, without a run, to leave the roster: a multiple of the longest
// lease and of the pauses of flapping workers. It is on the roster again once it answers.
const rosterDropTime = 5 * time.Second

// RosterOrder is an order to let the voters agree on the cell's roster.
type RosterOrder struct {
	Number  uint64
	Workers []string
}

// newRoster returns the roster that this owner continues.
func newRoster(cfg Config) claimer.Roster {
	if cfg.Roster == nil {
		return claimer.Roster{}
	}
	return claimer.NewRoster(cfg.Roster.Workers)
}

// HandleRoster adopts a roster that the voters have agreed on for this owner.
func (a *Allocator) HandleRoster(now time.Time, r *wire.CellRoster) Output {
	a.roster.HandleAgreed(r.Number, r.Workers)
	a.applyRoster()
	a.dispatch(now)
	return a.takeOutput()
}

// applyRoster bars the workers that are not on the roster from starts.
func (a *Allocator) applyRoster() {
	for _, w := range a.workerList {
		w.barred = !a.roster.Allows(w.report.Id)
	}
}

// proposeRoster orders a new roster if workers are to be used that are not on it, or have been lost for long. The first roster of a
// cell waits until everything that former owners may have started has ended or is known.
func (a *Allocator) proposeRoster(now time.Time) {
	agreed, surveyed := a.roster.Agreed(), a.view(now).Surveyed()
	if !a.cfg.KeepsRoster || agreed == nil && !surveyed {
		return
	}
	var want []string
	for _, w := range a.workerList {
		if !w.lost(now) {
			want = append(want, w.report.Id)
		}
	}
	for id := range agreed {
		if a.workers[id] == nil && now.Sub(a.cfg.GrantedAt) < rosterKeepTime {
			want = append(want, id)
		}
	}
	// The first roster of an owner also tells the next one that all owners before are fenced.
	workers, number, ok := a.roster.Propose(now, want, surveyed)
	if !ok {
		return
	}
	a.applyRoster()
	a.count("rosters")
	a.output.Rosters = append(a.output.Rosters, RosterOrder{number, workers})
}

// Survey returns the claims of all jobs of which something may run in this cell; ok is false while this owner does not know all of
// them. A claim whose result is of an earlier index of the agreed state is then made again: it may lack a register that counts on
// the survey.
func (a *Allocator) Survey(now time.Time, index uint64) (claims []Claim, ok bool) {
	if !a.view(now).Surveyed() {
		return nil, false
	}
	a.surveyIndex = max(a.surveyIndex, index)
	for _, j := range a.jobsByArrival() {
		if j.claimNumber > 0 && (!j.claiming || j.started) {
			claims = append(claims, Claim{j.ID, j.claimNumber, true})
		}
	}
	ids := a.orphanJobs()
	for task := range a.orphanEnds {
		// Its tasks must not run again elsewhere while their ends are known here.
		if id := jobID(task); a.jobs[id] == nil && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		a.claims++
		claims = append(claims, Claim{id, a.claims, true})
	}
	return claims, true
}

// view returns what this owner knows of the runs in its cell.
func (a *Allocator) view(now time.Time) claimer.CellView {
	v := claimer.CellView{LeasesEnded: !now.Before(a.earlierLeasesEnd()), HasRoster: a.cfg.Roster != nil}
	if !a.cfg.FormerEnded {
		v.FencedAt = a.firstListingAt.Add(fencingDelay)
	}
	for _, id := range a.cfg.Roster.GetWorkers() {
		v.ListedAt = append(v.ListedAt, a.workers[id].listedAllAt())
	}
	return v
}

// lost reports whether nothing can run on a worker that has been unreachable for long: it has listed its runs under this owner's
// fence, so that no former owner may have started any since, and the leases of those that it had have ended. One that is gone for
// good would otherwise keep every next owner from knowing all runs.
func (w *worker) lost(now time.Time) bool {
	return w.synced && len(w.runs) == 0 && !w.unreachableSince.IsZero() && now.Sub(w.unreachableSince) >= rosterDropTime
}

// listedAllAt returns when the worker was last asked for a listing of all its runs that it has given under this owner's fence; zero
// if it has given none, or has restarted since.
func (w *worker) listedAllAt() time.Time {
	if w == nil || !w.synced || w.hasUnknownRuns {
		return time.Time{}
	}
	return w.listingAskedAt
}
