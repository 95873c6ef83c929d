package evacuator

import (
	"cmp"
	"slices"

	"clementineyard/wire"
)

// Evacuator holds the last order for each failure domain. The zero Evacuator holds none. It is not safe for concurrent use.
type Evacuator struct {
	// domains holds, by failure domain, whether it is evacuated and the log index of the last order.
	domains map[string]*wire.Evacuation
}

// New returns an Evacuator that holds the given orders.
func New(orders []*wire.Evacuation) *Evacuator {
	e := &Evacuator{}
	for _, o := range orders {
		e.Adopt(o)
	}
	return e
}

// Apply applies an operator's order that was committed at the given log index. It reports false, and changes nothing, if
// another order for the failure domain has been applied since the one that the order expects as the last.
//
// An order for the state that is in force is applied whatever it expects. It becomes the last order, so that an opposite one
// that was sent before it and arrives later conflicts.
func (e *Evacuator) Apply(index uint64, order *wire.Evacuation) bool {
	held := e.domains[order.FailureDomain]
	if held.GetIndex() != order.ExpectedIndex && (held == nil || held.Active != order.Active) {
		return false
	}
	e.set(order.FailureDomain, order.Active, index)
	return true
}

// Adopt records an order that the voters have applied. It reports whether the failure domain has begun or ended being
// evacuated; an order that is not newer than the one held changes nothing.
func (e *Evacuator) Adopt(applied *wire.Evacuation) (changed bool) {
	held := e.domains[applied.FailureDomain]
	if held != nil && held.Index >= applied.Index {
		return false
	}
	changed = held.GetActive() != applied.Active
	e.set(applied.FailureDomain, applied.Active, applied.Index)
	return changed
}

// set replaces the last order: messages that were returned before are not changed.
func (e *Evacuator) set(failureDomain string, active bool, index uint64) {
	if e.domains == nil {
		e.domains = map[string]*wire.Evacuation{}
	}
	e.domains[failureDomain] = &wire.Evacuation{FailureDomain: failureDomain, Active: active, Index: index}
}

// Evacuated reports whether a failure domain is evacuated.
func (e *Evacuator) Evacuated(failureDomain string) bool { return e.domains[failureDomain].GetActive() }

// Index returns the log index of the last order for a failure domain; 0 if there was none.
func (e *Evacuator) Index(failureDomain string) uint64 { return e.domains[failureDomain].GetIndex() }

// Any reports whether there has ever been an order for any failure domain.
func (e *Evacuator) Any() bool { return len(e.domains) > 0 }

// Orders returns the last order for each failure domain, in the order of their log indexes.
func (e *Evacuator) Orders() []*wire.Evacuation {
	out := make([]*wire.Evacuation, 0, len(e.domains))
	for _, o := range e.domains {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *wire.Evacuation) int { return cmp.Compare(a.Index, b.Index) })
	return out
}

// InForce reports whether a state holds the given order for a failure domain.
func InForce(orders []*wire.Evacuation, failureDomain string, active bool) bool {
	return slices.ContainsFunc(orders, func(o *wire.Evacuation) bool { return o.FailureDomain == failureDomain && o.Active == active })
}
