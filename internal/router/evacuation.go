package router

import (
	"maps"
	"slices"

	"clementineyard/wire"
)

// HomeForNewWork returns the failure domain that work without a home is sent to: the own one, or while that is evacuated one of the
// others in turn that are not and that can be reached. ok is false if there is none.
func (r *Router) HomeForNewWork() (home string, ok bool) { return r.homeExcept(nil) }

// homeExcept is HomeForNewWork without the failure domains that have refused the work already.
func (r *Router) homeExcept(refused []string) (home string, ok bool) {
	if !r.evacuated(r.cfg.FailureDomain) && !slices.Contains(refused, r.cfg.FailureDomain) {
		return r.cfg.FailureDomain, true
	}
	domains := slices.Sorted(maps.Keys(r.cfg.EntryVMs))
	domains = slices.DeleteFunc(domains, func(d string) bool {
		return d == r.cfg.FailureDomain || r.evacuated(d) || slices.Contains(refused, d) || !slices.ContainsFunc(r.cfg.EntryVMs[d], r.cfg.Connected)
	})
	if len(domains) == 0 {
		return "", false
	}
	return domains[r.homes.Add(1)%uint64(len(domains))], true
}

func (r *Router) evacuated(failureDomain string) bool {
	return r.cfg.Evacuated != nil && r.cfg.Evacuated(failureDomain)
}

// routeElsewhere routes a submission to another home after an owner has refused it because its failure domain is evacuated, and reports
// whether there is one. A submission with a key stays with its home.
func (r *Router) routeElsewhere(p *pendingSubmission, ans *wire.Answer) bool {
	if ans.Outcome != wire.Outcome_OUTCOME_NOT_RUN || ans.Reason != wire.Reason_REASON_EVACUATED || p.sub.Key != "" || p.sub.Hops > 0 {
		return false
	}
	p.refusedBy = append(p.refusedBy, p.home)
	home, ok := r.homeExcept(p.refusedBy)
	if ok {
		p.home = home
		r.route(p)
	}
	return ok
}
