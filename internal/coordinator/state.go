package coordinator

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/divider"
	"clementineyard/wire"
)

// state is what the committed entries make. Equal entries give an equal state on every voter.
type state struct {
	// index is that of the last entry that changed something.
	index  uint64
	config *wire.FleetConfig
	// grants holds the newest grant by the name of its cell.
	grants map[string]*wire.Grant
	// made is what message returned last; nil after a change.
	made *wire.AgreedState
}

func newState(s *wire.AgreedState) *state {
	st := &state{index: s.GetIndex(), config: s.GetConfig(), grants: map[string]*wire.Grant{}}
	for _, g := range s.GetGrants() {
		st.grants[divider.Name(g.FailureDomain, g.Cell)] = g
	}
	return st
}

// apply takes in a committed entry. The highest configuration version is in force. A grant's fence is the entry's index,
// so no two grants ever share one and a later grant has the higher fence. changed reports whether anything did.
func (s *state) apply(index uint64, command []byte) (changed bool, err error) {
	if len(command) == 0 {
		return false, nil
	}
	c := &wire.AgreedCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		return false, err
	}
	if c.Config != nil && (s.config == nil || c.Config.Version > s.config.Version) {
		s.config, changed = c.Config, true
	}
	if g := c.Grant; g != nil {
		if cells := s.cells(g.FailureDomain); cells != 0 && cells != g.Cells {
			// Another leader has divided the failure domain meanwhile. Two divisions would give a worker two owners.
			return false, nil
		}
		s.grants[divider.Name(g.FailureDomain, g.Cell)] = &wire.Grant{
			FailureDomain: g.FailureDomain, Owner: g.Owner, Incarnation: g.Incarnation, Fence: index, Cells: g.Cells, Cell: g.Cell,
		}
		changed = true
	}
	if changed {
		s.index, s.made = index, nil
	}
	return changed, nil
}

// message returns the state in the form that is sent and stored. It shares nothing that changes later.
func (s *state) message() *wire.AgreedState {
	if s.made != nil {
		return s.made
	}
	m := &wire.AgreedState{Index: s.index, Config: s.config}
	for _, g := range s.grants {
		m.Grants = append(m.Grants, g)
	}
	sort.Slice(m.Grants, func(i, j int) bool { return m.Grants[i].Fence < m.Grants[j].Fence })
	s.made = m
	return m
}

// cells returns into how many cells a failure domain is divided; 0 before it is.
func (s *state) cells(failureDomain string) uint32 {
	for _, g := range s.grants {
		if g.FailureDomain == failureDomain {
			return g.Cells
		}
	}
	return 0
}

// holds reports whether a configuration of this version or a higher one is in force.
func (s *state) holds(version uint64) bool { return s.config != nil && s.config.Version >= version }
