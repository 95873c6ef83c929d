package coordinator

import (
	"sort"
	"time"

	"clementineyard/internal/divider"
	"clementineyard/internal/notifier"
	"clementineyard/wire"
)

const (
	// observationPeriod is how long a new leader observes the entry VMs before it replaces an owner: until then some of
	// them may not have contacted it. An entry VM opens a watch every notifier.WatchPollTime.
	observationPeriod = 2 * notifier.LivenessTimeout
	// maxTickGap is the longest gap between two ticks for which the observations of entry VMs stay valid. After a longer
	// one, such as a freeze of the process, a new observation period begins.
	maxTickGap = 300 * time.Millisecond
	// grantTimeout is how long a proposed grant may take to commit before the cell may get another proposal.
	grantTimeout = time.Second
	// maxRenewals bounds how often a process renews its incarnation.
	maxRenewals = 1 << 20
	// divisionDelay is how long after the first contact of one of its entry VMs a failure domain is divided into cells.
	// All VMs of a new fleet start within 0.3 s.
	divisionDelay = 600 * time.Millisecond
)

// granter decides, on the leader, which entry VM owns each cell of each failure domain.
type granter struct {
	leading    bool
	lastTickAt time.Time
	// observationEnd is when the observation period ends and owners may be replaced.
	observationEnd time.Time
	// proposalDeadlines holds, by cell, until when the last proposal may commit.
	proposalDeadlines map[string]time.Time
	// firstSeenAt holds, by failure domain that is not divided yet, when one of its entry VMs was first seen.
	firstSeenAt map[string]time.Time
	// absent holds the divided failure domains of which no entry VM is alive, and settledAt, by failure domain that was
	// absent before, when its silent owners may be replaced. When a partition ends, the entry VMs connect one after the
	// other: without that time the first one got the cells of all others.
	absent    map[string]bool
	settledAt map[string]time.Time
	// unevenSince holds, by failure domain, since when one of its cells should move to another entry VM.
	unevenSince map[string]time.Time
}

// domainView is what the leader observes of a failure domain.
type domainView struct {
	name       string
	candidates []*notifier.Presence
	// silent holds the entry VMs that are not alive, by name.
	silent map[string]*notifier.Presence
	// aliveCount is the number of entry VMs that are alive.
	aliveCount int
}

// decide returns the grants to propose, sorted by failure domain and cell. An owner keeps its cells while it is alive
// and eligible. Where no entry VM of a failure domain is alive and eligible, its cells keep their owners, which may be
// partitioned from the voters and still serve their workers.
func (g *granter) decide(now time.Time, leading bool, st *state, present []notifier.Presence) []*wire.Grant {
	paused := now.Sub(g.lastTickAt) > maxTickGap
	g.lastTickAt = now
	if !leading {
		g.leading = false
		return nil
	}
	if !g.leading || paused {
		g.leading, g.observationEnd = true, now.Add(observationPeriod)
		g.proposalDeadlines, g.firstSeenAt = map[string]time.Time{}, map[string]time.Time{}
		g.absent, g.settledAt, g.unevenSince = nil, nil, nil
	}
	byName := map[string]*notifier.Presence{}
	domains := map[string]*domainView{}
	for i := range present {
		p := &present[i]
		d := domains[p.FailureDomain]
		if d == nil {
			d = &domainView{name: p.FailureDomain, silent: map[string]*notifier.Presence{}}
			domains[p.FailureDomain] = d
		}
		if !p.Alive {
			d.silent[p.Name] = p
			continue
		}
		byName[p.Name] = p
		d.aliveCount++
		if p.Eligible {
			d.candidates = append(d.candidates, p)
		}
	}
	g.observeAbsence(now, st, domains)
	var out []*wire.Grant
	for _, d := range domains {
		out = append(out, g.decideDomain(now, st, d, byName)...)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].FailureDomain != out[j].FailureDomain {
			return out[i].FailureDomain < out[j].FailureDomain
		}
		return out[i].Cell < out[j].Cell
	})
	return out
}

// observeAbsence records which divided failure domains have no entry VM that is alive, and begins an observation period
// for those that have one again.
func (g *granter) observeAbsence(now time.Time, st *state, domains map[string]*domainView) {
	if g.absent == nil {
		g.absent, g.settledAt, g.unevenSince = map[string]bool{}, map[string]time.Time{}, map[string]time.Time{}
	}
	for _, grant := range st.grants {
		if d := domains[grant.FailureDomain]; d == nil || d.aliveCount == 0 {
			g.absent[grant.FailureDomain] = true
		}
	}
	for name, d := range domains {
		if g.absent[name] && d.aliveCount > 0 {
			delete(g.absent, name)
			g.settledAt[name] = now.Add(observationPeriod)
		}
	}
}

// decideDomain returns the grants to propose for one failure domain.
func (g *granter) decideDomain(now time.Time, st *state, d *domainView, byName map[string]*notifier.Presence) []*wire.Grant {
	if len(d.candidates) == 0 {
		return nil
	}
	cells := st.cellCount(d.name)
	if cells == 0 {
		if g.firstSeenAt[d.name].IsZero() {
			g.firstSeenAt[d.name] = now
		}
		if now.Sub(g.firstSeenAt[d.name]) < divisionDelay {
			return nil
		}
		cells = divider.CellCount(d.aliveCount)
	}
	owned := map[string]int{}
	var vacant []uint32
	ended := map[uint32]bool{}
	for c := range cells {
		name := divider.CellName(d.name, c)
		held := st.grants[name]
		owner := byName[held.GetOwner()]
		switch {
		case owner != nil && owner.Eligible && owner.Incarnation == held.Incarnation:
			owned[owner.Name]++
		case now.Before(g.proposalDeadlines[name]):
		case held == nil, owner != nil && owner.Incarnation != held.Incarnation, !now.Before(g.observationEnd) && !now.Before(g.settledAt[d.name]):
			// A restarted owner no longer holds the grant of its former incarnation, whatever the other entry VMs do.
			vacant = append(vacant, c)
			ended[c] = held == nil || owner != nil && processEnded(held.Incarnation, owner.Incarnation)
		}
	}
	if move := g.rebalance(now, st, d, cells, owned); move != nil {
		return []*wire.Grant{move}
	}
	var out []*wire.Grant
	for _, c := range vacant {
		p := d.leastLoaded(d.successors(st.grants[divider.CellName(d.name, c)].GetOwner()), owned)
		if p == nil {
			continue
		}
		owned[p.Name]++
		g.proposalDeadlines[divider.CellName(d.name, c)] = now.Add(grantTimeout)
		out = append(out, &wire.Grant{FailureDomain: d.name, Owner: p.Name, Incarnation: p.Incarnation, Cells: cells, Cell: c, FormerEnded: ended[c], KeepsRoster: p.KeepsRosters})
	}
	return out
}

// processEnded reports whether the process with a former incarnation has ended, by the incarnation that its VM states now. A process
// that has lost a controller to a panic counts its incarnation up and lives on, and starts that the controller has sent may still
// be on their way to workers. Other incarnations are random.
func processEnded(former, current uint64) bool { return current-former > maxRenewals }

// successors returns the candidates that may replace an owner. Where it is silent they are those that were heard since: when a
// partition begins, the entry VMs of a failure domain fall silent within one interval of their watches, and the one that
// was heard last must not get the cells of all others.
func (d *domainView) successors(owner string) []*notifier.Presence {
	silent := d.silent[owner]
	if silent == nil {
		return d.candidates
	}
	var out []*notifier.Presence
	for _, p := range d.candidates {
		if p.LastSeenAt.After(silent.SilentSince) {
			out = append(out, p)
		}
	}
	return out
}

// grantCommitted records that the grant of a cell was committed, so that the cell may get another one at once.
func (g *granter) grantCommitted(cell string) { delete(g.proposalDeadlines, cell) }
