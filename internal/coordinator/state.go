package coordinator

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

// state is what the committed entries make. Equal entries give an equal state on every voter.
type state struct {
	index  uint64
	config *wire.FleetConfig
	grants map[string]*wire.Grant
}

func newState(s *wire.AgreedState) *state {
	st := &state{index: s.GetIndex(), config: s.GetConfig(), grants: map[string]*wire.Grant{}}
	for _, g := range s.GetGrants() {
		st.grants[g.FailureDomain] = g
	}
	return st
}

// apply takes in a committed entry. The highest configuration version is in force. A grant's fence is the entry's index,
// so no two grants ever share one and a later grant has the higher fence. changed reports whether anything did.
func (s *state) apply(index uint64, command []byte) (changed bool, err error) {
	s.index = index
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
		s.grants[g.FailureDomain] = &wire.Grant{
			FailureDomain: g.FailureDomain, Owner: g.Owner, Incarnation: g.Incarnation, Fence: index,
		}
		changed = true
	}
	return changed, nil
}

// message returns the state in the form that is sent and stored. It shares nothing that changes later.
func (s *state) message() *wire.AgreedState {
	m := &wire.AgreedState{Index: s.index, Config: s.config}
	for _, g := range s.grants {
		m.Grants = append(m.Grants, g)
	}
	sort.Slice(m.Grants, func(i, j int) bool { return m.Grants[i].FailureDomain < m.Grants[j].FailureDomain })
	return m
}

// holds reports whether a configuration of this version or a higher one is in force.
func (s *state) holds(version uint64) bool { return s.config != nil && s.config.Version >= version }
