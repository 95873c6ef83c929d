package taker

import (
	"math"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

const (
	// ownerReplacementTime is how long it takes at most until a VM that stops answering is replaced as an owner.
	ownerReplacementTime = 750 * time.Millisecond
	// gatherTime is how long a register records only confirmed claims after its cell got a new owner or its VM was paused: the time in which owners that are connected
	// to it learn of it and claim again.
	gatherTime = 300 * time.Millisecond
	// minInterruption is the time from which an owner that connects again counts as having been out of reach. One whose
	// connection was reset is back sooner.
	minInterruption = 250 * time.Millisecond
	// rejoinTime is how long a register lacks claims after such an owner is back: until others that were out of reach with it
	// have connected as well, at the next attempt of 0.4 s, and have repeated their claims.
	rejoinTime = 600 * time.Millisecond
	// formerRegisterTimeout is how long the VM that was the register before may take to answer. It leaves time for the reply to
	// the claim within claimTimeout.
	formerRegisterTimeout = claimTimeout / 2
)

// claimTimes are the times that follow from how long a run may continue that no owner knows.
type claimTimes struct {
	// warmUp is how long a register may lack claims, after its cell got a new owner or its VM was paused. Owners that live on
	// claim their jobs again within gatherTime. One that was killed shortly before is replaced, and its successor claims what it
	// finds on the workers; what it does not find has ended one lease later.
	warmUp time.Duration
	// verify is how long a job waits while no register answers that knows all claims: until a register that was killed is
	// replaced and has gathered claims, and until the runs of an owner that was killed with it have ended.
	verify time.Duration
}

func newClaimTimes(maxLease time.Duration) claimTimes {
	lease := allocator.LongestLease(maxLease)
	return claimTimes{warmUp: ownerReplacementTime + lease, verify: max(lease, ownerReplacementTime+gatherTime) + claimTimeout}
}

// handleClaim answers an owner's claim, or its withdrawal. After a planned stop the VM that was the register before lives on for
// some seconds; a new register asks it about jobs that it does not know.
func (t *Taker) handleClaim(c *wire.FleetClaim, reply func(*wire.FleetClaimReply)) {
	former := t.formerRegister(c)
	if former == "" {
		reply(t.registerClaim(c, false))
		return
	}
	e := &wire.Envelope{Body: &wire.Envelope_FleetClaim{FleetClaim: c}}
	t.messenger.Call(former, messenger.RelayStream, e, t.cfg.Now().Add(formerRegisterTimeout), func(r *wire.Envelope, _ error) {
		t.adoptClaim(c, r.GetFleetClaimReply())
		reply(t.registerClaim(c, r.GetFleetClaimReply().GetComplete()))
	})
}

// formerRegister returns the VM to ask before a claim is registered here; empty when there is none.
func (t *Taker) formerRegister(c *wire.FleetClaim) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	former := t.formerOwners[c.Register]
	holder, _ := t.register.Holder(t.cfg.Now(), c.Id)
	known := c.Confirmed || holder != "" && (c.Lookup || !c.Withdrawn)
	if former == "" || known || t.owned[c.Register] == nil || t.registerComplete(c.Register) || !t.messenger.Connected(former) {
		return ""
	}
	return former
}

// adoptClaim records the claim of which the former register of c has told.
func (t *Taker) adoptClaim(c *wire.FleetClaim, r *wire.FleetClaimReply) {
	if r.GetHolder() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case c.Lookup, r.Holder != c.Cell:
		t.register.Claim(t.cfg.Now(), c.Id, r.Holder, r.Number)
	case r.ClaimedBefore:
		// Any other number than that of c tells that there was a claim before it.
		t.register.Claim(t.cfg.Now(), c.Id, c.Cell, 0)
	}
}

// registerClaim records an owner's claim, or its withdrawal, at this VM. formerKnew is true if the register before has told of
// the job, and knew all claims.
func (t *Taker) registerClaim(c *wire.FleetClaim, formerKnew bool) *wire.FleetClaimReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if c.Lookup {
		holder, number := t.register.Holder(now, c.Id)
		return &wire.FleetClaimReply{Holder: holder, Number: number, Complete: formerKnew || t.registerComplete(c.Register) && now.Sub(t.rejoinedAt) >= rejoinTime}
	}
	if c.Withdrawn {
		t.register.Withdraw(now, c.Id, c.Cell, c.Number, c.Holder)
		return &wire.FleetClaimReply{}
	}
	age := t.registerAge(c.Register)
	known, number := t.register.Holder(now, c.Id)
	gathering := rejoinTime - now.Sub(t.rejoinedAt)
	knowsAll := formerKnew || t.registerComplete(c.Register)
	if !knowsAll {
		gathering = max(gathering, gatherTime-age)
	}
	complete := knowsAll && gathering <= 0
	if gathering > 0 && !c.Confirmed && known == "" {
		wait := gathering
		if now.Sub(t.rejoinedAt) >= rejoinTime {
			// The surveys of all cells may end the wait early.
			wait = min(wait, maxClaimRepeatInterval)
		}
		if t.owned[c.Register] == nil {
			// This VM is about to learn of its grant, or no longer owns the cell.
			wait = minClaimRepeatInterval
		}
		// The VM that is the register now asks this one about jobs that it does not know.
		knew := t.owned[c.Register] == nil && t.handedOver[c.Register]
		return &wire.FleetClaimReply{RetryAfterMillis: uint32(wait.Milliseconds()) + 1, Complete: knew}
	}
	holder, before := t.register.Claim(now, c.Id, c.Cell, c.Number)
	reply := &wire.FleetClaimReply{Holder: holder, ClaimedBefore: before, Complete: complete, AgeMillis: uint32(min(age.Milliseconds(), math.MaxUint32))}
	if holder != c.Cell {
		reply.Number = number
	}
	return reply
}

// registerComplete reports whether a register knows all claims: by its age, or by the surveys of all cells. The caller holds t.mu.
func (t *Taker) registerComplete(register string) bool {
	return t.registerAge(register) >= t.times.warmUp || t.registerConfirmed(register)
}

// registerAge returns for how long this VM has been the register of a cell without a pause; 0 when it is not. The caller holds
// t.mu.
func (t *Taker) registerAge(register string) time.Duration {
	if t.owned[register] == nil {
		return 0
	}
	return min(t.cfg.Now().Sub(t.grantedAt[register]), t.sinceResumed())
}
