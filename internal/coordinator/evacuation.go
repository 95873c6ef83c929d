package coordinator

import (
	"time"

	"clementineyard/internal/evacuator"
	"clementineyard/wire"
)

// EvacuationResult is the result of an operator's order to begin or end the evacuation of a failure domain.
type EvacuationResult int

// The results of an order.
const (
	// EvacuationUnknown: the order may or may not take effect.
	EvacuationUnknown EvacuationResult = iota
	// EvacuationInForce: a majority of the voters has confirmed that the ordered state is in force.
	EvacuationInForce
	// EvacuationNoDomain: the failure domain is not known, and nothing has changed.
	EvacuationNoDomain
)

// EvacuationOrder is an operator's order to begin or end the evacuation of a failure domain.
type EvacuationOrder struct {
	FailureDomain string
	Active        bool
	// Deadline is when the order is given up.
	Deadline time.Time
	// Waiting reports whether the operator still waits for the result. An order is not proposed after its operator has turned
	// to another voter, where the opposite may have been ordered since.
	Waiting func() bool
	// Done is called once, at the deadline at the latest.
	Done func(EvacuationResult)
}

// Evacuate proposes an order. It takes effect only if no other order for the failure domain was applied since this voter's
// last one; otherwise it is proposed again while the operator waits.
func (c *Coordinator) Evacuate(o EvacuationOrder) {
	if !c.enqueue(func() { c.beginEvacuation(o) }) {
		o.Done(EvacuationUnknown)
	}
}

func (c *Coordinator) beginEvacuation(o EvacuationOrder) {
	switch known, certain := c.knowsFailureDomain(o.FailureDomain); {
	case known:
		c.proposeEvacuation(o, c.state.evacuations.Index(o.FailureDomain))
	case certain:
		o.Done(EvacuationNoDomain)
	default:
		o.Done(EvacuationUnknown)
	}
}

// knowsFailureDomain reports whether there is such a failure domain. A voter whose state may be old is certain only if the
// settings name the failure domains.
func (c *Coordinator) knowsFailureDomain(name string) (known, certain bool) {
	for _, d := range c.cfg.FailureDomains {
		known = known || d == name
	}
	known = known || c.state.cellCount(name) > 0 || c.state.evacuations.Index(name) > 0 || c.cfg.Notifier.HasWorkers(name)
	current := c.replica != nil && c.replica.Status(c.cfg.Now()).Current
	return known, current || len(c.cfg.FailureDomains) > 0
}

// proposeEvacuation proposes an order that expects the order at the given index to be the last for its failure domain.
func (c *Coordinator) proposeEvacuation(o EvacuationOrder, expected uint64) {
	if !o.Waiting() {
		c.cfg.Log.Info("Operator no longer waits for the order; voter does not propose it.", "failureDomain", o.FailureDomain, "active", o.Active)
		o.Done(EvacuationUnknown)
		return
	}
	cmd := &wire.AgreedCommand{Evacuation: &wire.Evacuation{FailureDomain: o.FailureDomain, Active: o.Active, ExpectedIndex: expected}}
	c.forward(&forward{cmd: cmd, deadline: o.Deadline, waiting: o.Waiting, done: func(r *wire.AgreedResult) {
		switch {
		case r.Verdict == wire.AgreedResult_VERDICT_CONFLICT && c.cfg.Now().Before(o.Deadline):
			c.cfg.Log.Info("Another order for the failure domain came first; voter proposes the order again.", "failureDomain", o.FailureDomain,
				"active", o.Active, "expectedIndex", expected)
			c.proposeEvacuation(o, evacuator.New(r.State.GetEvacuations()).Index(o.FailureDomain))
		case r.Verdict == wire.AgreedResult_VERDICT_COMMITTED && evacuator.InForce(r.State.GetEvacuations(), o.FailureDomain, o.Active):
			o.Done(EvacuationInForce)
		default:
			// A leader of an earlier build commits an order without applying it.
			o.Done(EvacuationUnknown)
		}
	}})
}

// logEvacuation logs the order that was applied at an index, and reports whether there is one.
func (c *Coordinator) logEvacuation(index uint64) bool {
	for _, o := range c.state.evacuations.Orders() {
		if o.Index == index {
			c.cfg.Log.Info("Voters committed an order for the failure domain.", "failureDomain", o.FailureDomain, "evacuated", o.Active, "index", index)
			return true
		}
	}
	return false
}
