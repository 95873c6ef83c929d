package coordinator

import (
	"sort"
	"time"

	"clementineyard/internal/divider"
	"clementineyard/internal/notifier"
	"clementineyard/wire"
)

const (
	// settleAfter is how long a new leader only listens before it takes a cell from an owner: until then it may not have
	// heard all entry VMs. An entry VM opens a watch every notifier.WatchWait.
	settleAfter = 2 * notifier.AliveFor
	// pauseLimit is the longest gap between two ticks after which what is known of entry VMs still counts. After a
	// longer one, such as a freeze, the leader listens anew.
	pauseLimit = 300 * time.Millisecond
	// grantWait is how long a proposed grant may take to commit before another is proposed.
	grantWait = time.Second
	// divideAfter is how long after its first entry VM was heard a failure domain is divided. All VMs of a new fleet
	// start within 0.3 s.
	divideAfter = 600 * time.Millisecond
)

// granter decides who owns each cell of each failure domain, on the leader.
type granter struct {
	leading  bool
	tickedAt time.Time
	// settledAt is when owners may be replaced.
	settledAt time.Time
	// pending holds until when a cell waits for its last proposal.
	pending map[string]time.Time
	// heardAt is when the first entry VM of a failure domain that is not divided yet was heard.
	heardAt map[string]time.Time
}

// domain is what is heard of a failure domain.
type domain struct {
	name       string
	candidates []*notifier.Presence
	// entries counts the entry VMs that are alive.
	entries int
}

// decide returns the grants to propose. An owner stays as long as it is heard; a cell of a failure domain none of whose
// entry VMs is heard keeps its owner, which may be cut off from the voters and go on with its workers.
func (g *granter) decide(now time.Time, leading bool, st *state, present []notifier.Presence) []*wire.Grant {
	paused := now.Sub(g.tickedAt) > pauseLimit
	g.tickedAt = now
	if !leading {
		g.leading = false
		return nil
	}
	if !g.leading || paused {
		g.leading, g.settledAt = true, now.Add(settleAfter)
		g.pending, g.heardAt = map[string]time.Time{}, map[string]time.Time{}
	}
	byName := map[string]*notifier.Presence{}
	domains := map[string]*domain{}
	for i := range present {
		p := &present[i]
		if !p.Alive {
			continue
		}
		byName[p.Name] = p
		d := domains[p.FailureDomain]
		if d == nil {
			d = &domain{name: p.FailureDomain}
			domains[p.FailureDomain] = d
		}
		d.entries++
		if p.Eligible {
			d.candidates = append(d.candidates, p)
		}
	}
	var out []*wire.Grant
	for _, d := range domains {
		out = append(out, g.domain(now, st, d, byName)...)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].FailureDomain != out[j].FailureDomain {
			return out[i].FailureDomain < out[j].FailureDomain
		}
		return out[i].Cell < out[j].Cell
	})
	return out
}

// domain returns the grants to propose for one failure domain.
func (g *granter) domain(now time.Time, st *state, d *domain, byName map[string]*notifier.Presence) []*wire.Grant {
	if len(d.candidates) == 0 {
		return nil
	}
	cells := st.cells(d.name)
	if cells == 0 {
		if g.heardAt[d.name].IsZero() {
			g.heardAt[d.name] = now
		}
		if now.Sub(g.heardAt[d.name]) < divideAfter {
			return nil
		}
		cells = divider.Cells(d.entries)
	}
	owned := map[string]int{}
	var vacant []uint32
	for c := range cells {
		name := divider.Name(d.name, c)
		held := st.grants[name]
		owner := byName[held.GetOwner()]
		switch {
		case owner != nil && owner.Eligible && owner.Incarnation == held.Incarnation:
			owned[owner.Name]++
		case now.Before(g.pending[name]):
		case held == nil, owner != nil && owner.Incarnation != held.Incarnation, !now.Before(g.settledAt):
			// An owner that has started again has ended the run that held the grant, whoever else is heard.
			vacant = append(vacant, c)
		}
	}
	var out []*wire.Grant
	for _, c := range vacant {
		p := leastLoaded(d.candidates, owned)
		owned[p.Name]++
		g.pending[divider.Name(d.name, c)] = now.Add(grantWait)
		out = append(out, &wire.Grant{FailureDomain: d.name, Owner: p.Name, Incarnation: p.Incarnation, Cells: cells, Cell: c})
	}
	return out
}

// leastLoaded returns the entry VM that owns the fewest cells, and of these the one that has run for longest.
func leastLoaded(candidates []*notifier.Presence, owned map[string]int) *notifier.Presence {
	var best *notifier.Presence
	for _, p := range candidates {
		switch {
		case best == nil, owned[p.Name] < owned[best.Name]:
			best = p
		case owned[p.Name] > owned[best.Name]:
		case p.Since.Before(best.Since), p.Since.Equal(best.Since) && p.Name < best.Name:
			best = p
		}
	}
	return best
}

// granted notes that a grant has committed, so that the cell may get another at once.
func (g *granter) granted(cell string) { delete(g.pending, cell) }
