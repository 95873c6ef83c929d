package notifier

import "clementineyard/wire"

// This file tells which changes of the agreed state concern which failure domain. It answers the restart of many workers: each
// departure and each roster is a change of the state, and without it each of them would answer every watch of the fleet.

// news holds the indexes of the last changes of the agreed state.
type news struct {
	// fleet is the index of the last change that concerns all failure domains, and domains that of the last departure or roster
	// in each.
	fleet   uint64
	domains map[string]uint64
}

// record takes over what is new in a state since the one that was published before.
func (c *news) record(before, s *wire.AgreedState) {
	since := before.GetIndex()
	if s.GetIndex() <= since {
		return
	}
	concernsAll := s.GetConfig().GetVersion() != before.GetConfig().GetVersion()
	for _, g := range s.GetGrants() {
		concernsAll = concernsAll || g.Fence > since
	}
	for _, e := range s.GetEvacuations() {
		concernsAll = concernsAll || e.Index > since
	}
	if c.domains == nil {
		c.domains = map[string]uint64{}
	}
	explained := false
	for i := len(s.GetDepartures()) - 1; i >= 0 && s.Departures[i].Index > since; i-- {
		c.domains[s.Departures[i].FailureDomain], explained = s.Index, true
	}
	for _, r := range s.GetRosters() {
		if r.Index > since {
			c.domains[r.FailureDomain], explained = s.Index, true
		}
	}
	if concernsAll || !explained {
		c.fleet = s.Index
	}
}

// index returns the index of the last change that concerns a failure domain.
func (c *news) index(failureDomain string) uint64 { return max(c.fleet, c.domains[failureDomain]) }
