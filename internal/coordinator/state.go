package coordinator

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/divider"
	"clementineyard/internal/evacuator"
	"clementineyard/wire"
)

// state is the state machine that the committed entries are applied to. Equal entries give an equal state on every
// voter.
type state struct {
	// index is the log index of the last entry that changed the state.
	index  uint64
	config *wire.FleetConfig
	// grants holds the newest grant of each cell, by cell name.
	grants map[string]*wire.Grant
	// evacuations holds which failure domains are evacuated.
	evacuations *evacuator.Evacuator
	// departures holds the newest departures of workers.
	departures departures
	// rosters holds the roster of each cell that has one, by cell name.
	rosters map[string]*wire.CellRoster
	// cachedMessage is the last result of message; nil after a change.
	cachedMessage *wire.AgreedState
}

func newState(s *wire.AgreedState) *state {
	st := &state{
		index: s.GetIndex(), config: s.GetConfig(), grants: map[string]*wire.Grant{}, evacuations: evacuator.New(s.GetEvacuations()),
		departures: s.GetDepartures(), rosters: map[string]*wire.CellRoster{},
	}
	for _, g := range s.GetGrants() {
		st.grants[divider.CellName(g.FailureDomain, g.Cell)] = g
	}
	for _, r := range s.GetRosters() {
		st.rosters[divider.CellName(r.FailureDomain, r.Cell)] = r
	}
	return st
}

// apply applies the command of a committed entry. The highest configuration version is in force. The fencing token of a
// grant is the index of its entry, so no two grants share one and a later grant has the higher one. changed reports
// whether the state has changed, and the verdict whether the command conflicts with an order that came first; an error
// means that the command cannot be decoded.
func (s *state) apply(index uint64, command []byte) (changed bool, verdict wire.AgreedResult_Verdict, err error) {
	verdict = wire.AgreedResult_VERDICT_COMMITTED
	if len(command) == 0 {
		return false, verdict, nil
	}
	c := &wire.AgreedCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		return false, verdict, err
	}
	if c.Config != nil && (s.config == nil || c.Config.Version > s.config.Version) {
		s.config, changed = c.Config, true
	}
	if g := c.Grant; g != nil {
		if cells := s.cellCount(g.FailureDomain); cells != 0 && cells != g.Cells {
			// Another leader has divided the failure domain in the meantime. Two divisions would give a worker two owners.
			return false, verdict, nil
		}
		s.grants[divider.CellName(g.FailureDomain, g.Cell)] = s.grantOf(index, g)
		changed = true
	}
	if e := c.Evacuation; e != nil {
		if changed = s.evacuations.Apply(index, e); !changed {
			verdict = wire.AgreedResult_VERDICT_CONFLICT
		}
	}
	if d := c.Departure; d != nil {
		var added bool
		s.departures, added = s.departures.add(index, d)
		changed = changed || added
	}
	if r := c.Roster; r != nil {
		changed = s.applyRoster(index, r) || changed
	}
	if changed {
		s.index, s.cachedMessage = index, nil
	}
	return changed, verdict, nil
}

// message returns the state as a protobuf message, to be sent and stored. It shares nothing that changes later.
func (s *state) message() *wire.AgreedState {
	if s.cachedMessage != nil {
		return s.cachedMessage
	}
	m := &wire.AgreedState{Index: s.index, Config: s.config, Evacuations: s.evacuations.Orders(), Departures: s.departures}
	for _, g := range s.grants {
		m.Grants = append(m.Grants, g)
	}
	for _, r := range s.rosters {
		m.Rosters = append(m.Rosters, r)
	}
	sort.Slice(m.Rosters, func(i, j int) bool { return m.Rosters[i].Index < m.Rosters[j].Index })
	sort.Slice(m.Grants, func(i, j int) bool { return m.Grants[i].Fence < m.Grants[j].Fence })
	s.cachedMessage = m
	return m
}

// cellCount returns the number of cells into which a failure domain is divided; 0 before its division.
func (s *state) cellCount(failureDomain string) uint32 {
	for _, g := range s.grants {
		if g.FailureDomain == failureDomain {
			return g.Cells
		}
	}
	return 0
}

// hasVersion reports whether a configuration of this version or a higher one is in force.
func (s *state) hasVersion(version uint64) bool {
	return s.config != nil && s.config.Version >= version
}
