package coordinator

import (
	"sort"
	"time"

	"clementineyard/internal/notifier"
	"clementineyard/wire"
)

const (
	// settleAfter is how long a new leader only listens before it takes a failure domain from an owner: until then it may
	// not have heard all entry VMs. An entry VM opens a watch every notifier.WatchWait.
	settleAfter = 2 * notifier.AliveFor
	// pauseLimit is the longest gap between two ticks after which what is known of entry VMs still counts. After a
	// longer one, such as a freeze, the leader listens anew.
	pauseLimit = 300 * time.Millisecond
	// grantWait is how long a proposed grant may take to commit before another is proposed.
	grantWait = time.Second
)

// granter decides who owns each failure domain, on the leader.
type granter struct {
	leading  bool
	tickedAt time.Time
	// settledAt is when owners may be replaced.
	settledAt time.Time
	// pending holds until when a failure domain waits for its last proposal.
	pending map[string]time.Time
}

// decide returns the grants to propose. An owner stays as long as it is heard; a failure domain none of whose entry VMs
// is heard keeps its owner, which may be cut off from the voters and go on with its workers.
func (g *granter) decide(now time.Time, leading bool, st *state, present []notifier.Presence) []*wire.Grant {
	paused := now.Sub(g.tickedAt) > pauseLimit
	g.tickedAt = now
	if !leading {
		g.leading = false
		return nil
	}
	if !g.leading || paused {
		g.leading, g.settledAt, g.pending = true, now.Add(settleAfter), map[string]time.Time{}
	}
	candidates := map[string]*notifier.Presence{}
	owned, ended := map[string]bool{}, map[string]bool{}
	sort.Slice(present, func(i, j int) bool { return present[i].Name < present[j].Name })
	for i := range present {
		p := &present[i]
		if !p.Alive || !p.Eligible {
			continue
		}
		if o := st.grants[p.FailureDomain]; o != nil && o.Owner == p.Name {
			if o.Incarnation == p.Incarnation {
				owned[p.FailureDomain] = true
			} else {
				// The owner has started again, so the run that held the grant is over.
				ended[p.FailureDomain] = true
			}
		}
		if c := candidates[p.FailureDomain]; c == nil || p.Since.Before(c.Since) {
			candidates[p.FailureDomain] = p
		}
	}
	var out []*wire.Grant
	for domain, c := range candidates {
		vacant := st.grants[domain] == nil || ended[domain]
		if owned[domain] || now.Before(g.pending[domain]) || !vacant && now.Before(g.settledAt) {
			continue
		}
		g.pending[domain] = now.Add(grantWait)
		out = append(out, &wire.Grant{FailureDomain: domain, Owner: c.Name, Incarnation: c.Incarnation})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].FailureDomain < out[j].FailureDomain })
	return out
}

// granted notes that a grant has committed, so that the failure domain may get another at once.
func (g *granter) granted(domain string) { delete(g.pending, domain) }
