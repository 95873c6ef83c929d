package taker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/allocator"
	"clementineyard/internal/claimer"
	"clementineyard/internal/divider"
	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

const (
	// claimTimeout is how long a VM may take to answer a claim. A round trip between failure domains takes a few milliseconds,
	// and some tens of them on a small busy VM.
	claimTimeout = 100 * time.Millisecond
	// connectionPollInterval is how often a claim looks whether the connection that it waits for is open.
	connectionPollInterval = 2 * time.Millisecond
	// silentBackoff is how long no job waits for a VM that has not answered a claim in time, unless it answers another one.
	silentBackoff = 2 * time.Second
	// unreachableTTL is how long a register counts as unreachable after it was last asked, which is at least once in
	// silentBackoff while there are jobs.
	unreachableTTL = 2 * silentBackoff
	// claimRepeatTimeout is how long a claim is repeated that a register has not answered. Most jobs have ended by then. The
	// interval doubles between the two bounds: a VM that is not connected yet usually is after some milliseconds.
	claimRepeatTimeout     = 10 * time.Second
	minClaimRepeatInterval = 10 * time.Millisecond
	maxClaimRepeatInterval = 100 * time.Millisecond
	// maxCopyInterval bounds the interval at which a register is tried that does not answer a copy. When a partition heals, the copies
	// of the jobs of ten seconds are due: they are spread over this time, in which registers record repeated claims only.
	maxCopyInterval = 400 * time.Millisecond
	// claimNumberBits is the width of the part of a claim's number that an owner counts; the fence of its grant is above it.
	claimNumberBits = 32
)

// claim makes a claim for a cell that this VM owns under the given fencing token, at the cells that register the job. All
// owners ask them in the same order, so that of two claims at once only one is granted. The second register is asked if the
// first one may lack claims, or if it may itself count on a survey, and otherwise gets the claim without being waited for. Until a
// register has answered that knows all claims, the registers are asked again. When none has by the deadline, all runs that a lost
// claim stood for have ended, and the job goes on; the registers that are left get the claim later. A job that the cell has already
// needs no register that knows all.
func (t *Taker) claim(cell string, fence uint64, c allocator.Claim) allocator.ClaimResult {
	if !c.Confirmed {
		t.awaitResumed(context.Background())
	}
	owed, own := t.registers(c.Job)
	a := claimAttempt{
		claim:  &wire.FleetClaim{Id: c.Job, Cell: cell, Number: fence<<claimNumberBits | c.Number, Confirmed: c.Confirmed},
		result: allocator.ClaimResult{Holder: cell}, owed: owed, own: own, replies: map[string]*wire.FleetClaimReply{}, beganAt: t.cfg.Now(),
		recordedUnder: map[string]uint64{},
	}
	for t.askRegisters(&a); a.result.Holder == cell && !t.granted(&a, c.Confirmed); t.askRegisters(&a) {
		left := t.claimDeadline(&a).Sub(t.cfg.Now())
		if a.result.Verified {
			// A register that may count on a survey lacks the claim. By age it knows all claims after a while.
			left = max(left, maxClaimRepeatInterval)
		}
		if left <= 0 || c.Confirmed && len(a.left()) == 0 {
			break
		}
		t.reportDelay(cell, fence, c, &a)
		t.cfg.Count("claimsAskedAgain", 1)
		time.Sleep(min(a.retryAfter, left))
		a.patient = true
	}
	t.logClaim(&a)
	if a.result.Holder != cell {
		// The registers before that one may have recorded the claim, and lack that of the holder.
		t.withdraw(cell, fence, c, a.result.Holder)
		return a.result
	}
	if len(a.recorded()) == 0 {
		t.cfg.Count("unansweredClaims", 1)
	}
	a.claim.Confirmed = true
	if left := a.left(); len(left) > 0 {
		go t.repeatClaims(&a, left)
	}
	return a.result
}

// claimAttempt is a claim on its way to the registers of a job.
type claimAttempt struct {
	claim   *wire.FleetClaim
	result  allocator.ClaimResult
	beganAt time.Time
	// owed holds the registers to which every claim of the job is owed. own is the one of this VM's failure domain if it is not
	// one of them; empty otherwise. It keeps the cells of the domain apart while the domain is cut off from the others, but knows
	// nothing of other domains' claims.
	owed []string
	own  string
	// replies holds the last reply of each register; a nil one if it did not answer.
	replies map[string]*wire.FleetClaimReply
	// recordedUnder holds the fences under which registers have recorded the claim.
	recordedUnder map[string]uint64
	// retryAfter is when the registers are to be asked again, after they were asked.
	retryAfter time.Duration
	// delayReported is true once the owner was told when a register is expected to vouch.
	delayReported bool
	// patient is true if also registers are asked that have not answered another claim shortly before.
	patient bool
}

// registers returns all registers in the order in which they are asked.
func (a *claimAttempt) registers() []string {
	if a.own == "" {
		return a.owed
	}
	return append(slices.Clone(a.owed), a.own)
}

// recorded returns the registers that have recorded the claim, or know that another cell has the job, and left the others.
func (a *claimAttempt) recorded() []string {
	return slices.DeleteFunc(slices.Clone(a.registers()), func(r string) bool { return a.replies[r].GetHolder() == "" })
}

func (a *claimAttempt) left() []string {
	return slices.DeleteFunc(slices.Clone(a.registers()), func(r string) bool { return a.replies[r].GetHolder() != "" })
}

// message returns the claim for a register.
func (a *claimAttempt) message(register string) *wire.FleetClaim {
	m := proto.CloneOf(a.claim)
	m.Register = register
	return m
}

// askRegisters asks the registers in turn, until one knows all claims or says that another cell has the job. Of those that have
// recorded the claim it asks only the ones that may come to know all claims.
func (t *Taker) askRegisters(a *claimAttempt) {
	a.retryAfter = min(max(2*a.retryAfter, minClaimRepeatInterval), maxClaimRepeatInterval)
	for _, register := range a.registers() {
		if a.replies[register].GetHolder() != "" && register == a.own || !a.patient && t.silent(register) {
			continue
		}
		g, _ := t.grant(register)
		if a.result.Verified && a.recordedUnder[register] > 0 && a.recordedUnder[register] == g.GetFence() {
			continue
		}
		t.awaitConnection(register)
		r := t.callRegister(a.message(register))
		t.recordReply(register, r)
		if r == nil && a.replies[register] != nil {
			continue
		}
		a.replies[register] = r
		a.retryAfter = max(a.retryAfter, time.Duration(r.GetRetryAfterMillis())*time.Millisecond)
		if r.GetHolder() == "" {
			continue
		}
		a.result.ClaimedBefore = a.result.ClaimedBefore || r.ClaimedBefore
		a.result.Holder = r.Holder
		if r.Complete && register != a.own {
			// From now on the others record the claim also while they gather those that are repeated.
			a.result.Verified, a.claim.Confirmed = true, true
		}
		if r.Holder != a.claim.Cell {
			return
		}
		a.recordedUnder[register] = g.GetFence()
		t.recordAge(register, g.GetFence(), r)
		if t.granted(a, false) {
			return
		}
	}
}

// granted reports whether a claim that no register has refused may be acted on, and records by which state. A claim of a job that
// the cell has already need not be known to all registers at once.
func (t *Taker) granted(a *claimAttempt, confirmed bool) bool {
	settled, index := t.settled(a)
	a.result.Index = index
	return a.result.Verified && (settled || confirmed)
}

// claimDeadline returns when the job goes on although no register has answered that knows all claims. A failure domain that is
// cut off from the others has waited once for what it cannot know, and goes on at once from then on.
func (t *Taker) claimDeadline(a *claimAttempt) time.Time {
	from := a.beganAt
	if a.own == "" || a.replies[a.own].GetHolder() != "" {
		if since, ok := t.unreachableSince(a.owed); ok && since.Before(from) {
			from = since
		}
	}
	return from.Add(t.times.verify)
}

// logClaim logs a claim that was not granted at once by a register that knows all claims.
func (t *Taker) logClaim(a *claimAttempt) {
	if a.result.Verified && !a.result.ClaimedBefore && a.result.Holder == a.claim.Cell && len(a.replies) == 1 {
		return
	}
	var replies []string
	for _, register := range a.registers() {
		switch r, asked := a.replies[register]; {
		case !asked:
			replies = append(replies, register+": not asked")
		case r == nil:
			replies = append(replies, register+": no reply")
		default:
			replies = append(replies, fmt.Sprintf("%s: holder %q, complete %t, claimed before %t, age %d ms", register, r.Holder, r.Complete, r.ClaimedBefore, r.AgeMillis))
		}
	}
	t.cfg.Log.Info("Owner claimed the job.", "job", a.claim.Id, "cell", a.claim.Cell, "confirmed", a.claim.Confirmed, "holder", a.result.Holder,
		"verified", a.result.Verified, "claimedBefore", a.result.ClaimedBefore, "took", t.cfg.Now().Sub(a.beganAt), "replies", replies)
}

// repeatClaims sends a claim to the registers that are left until they have answered or claimRepeatTimeout has passed.
func (t *Taker) repeatClaims(a *claimAttempt, left []string) {
	interval := minClaimRepeatInterval
	for until := t.cfg.Now().Add(claimRepeatTimeout); len(left) > 0 && t.cfg.Now().Before(until); interval = min(2*interval, maxCopyInterval) {
		left = slices.DeleteFunc(left, func(register string) bool { return t.callRegister(a.message(register)).GetHolder() != "" })
		if len(left) > 0 {
			time.Sleep(interval/2 + rand.N(interval/2))
		}
	}
}

// withdraw ends a claim at the cells that register the job. holder is the cell that has the job; empty when none has it. A
// withdrawal that is lost leaves a claim by which the job comes back here.
func (t *Taker) withdraw(cell string, fence uint64, c allocator.Claim, holder string) {
	owed, own := t.registers(c.Job)
	for _, register := range (&claimAttempt{owed: owed, own: own}).registers() {
		m := &wire.FleetClaim{Id: c.Job, Cell: cell, Number: fence<<claimNumberBits | c.Number, Register: register, Withdrawn: true, Holder: holder}
		t.sendClaim(m, func(*wire.FleetClaimReply) {})
	}
}

// awaitConnection waits until the owner of a register is connected, as a VM that has just become an owner has not claimed at
// others yet. If that takes claimTimeout, no job waits for the register for silentBackoff.
func (t *Taker) awaitConnection(register string) {
	deadline := t.cfg.Now().Add(claimTimeout)
	for {
		owner, reachable := t.registerOwner(register)
		switch {
		case reachable || owner == "":
			return
		case !t.cfg.Now().Before(deadline):
			t.recordSilence(owner)
			return
		}
		time.Sleep(connectionPollInterval)
	}
}

// callRegister sends a claim and returns the reply; nil when there is none.
func (t *Taker) callRegister(m *wire.FleetClaim) *wire.FleetClaimReply {
	replies := make(chan *wire.FleetClaimReply, 1)
	t.sendClaim(m, func(r *wire.FleetClaimReply) { replies <- r })
	return <-replies
}

// sendClaim sends a claim, or its withdrawal, to the owner of its register. done is called with the reply; nil when there is
// none.
func (t *Taker) sendClaim(m *wire.FleetClaim, done func(*wire.FleetClaimReply)) {
	sentAt := t.cfg.Now()
	owner, reachable := t.registerOwner(m.Register)
	switch {
	case !reachable:
		done(nil)
		return
	case owner == t.cfg.Name:
		t.handleClaim(m, done)
		return
	}
	e := &wire.Envelope{Body: &wire.Envelope_FleetClaim{FleetClaim: m}}
	t.messenger.Call(owner, messenger.RelayStream, e, sentAt.Add(claimTimeout), func(r *wire.Envelope, err error) {
		switch {
		case err == nil:
			t.endSilence(owner)
		case t.cfg.Now().Sub(sentAt) >= claimTimeout:
			t.recordSilence(owner)
		}
		done(r.GetFleetClaimReply())
	})
}

// registerOwner returns the owner of a register, and whether it can be asked.
func (t *Taker) registerOwner(register string) (owner string, reachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.grants[register]
	if g == nil {
		return "", false
	}
	// Connected begins to connect to an owner that is not connected, for the next claim.
	return g.Owner, g.Owner == t.cfg.Name || t.messenger.Connected(g.Owner)
}

// recordSilence records that a VM could not be reached in time.
func (t *Taker) recordSilence(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentUntil[vm] = t.cfg.Now().Add(silentBackoff)
}

// endSilence records that a VM has answered.
func (t *Taker) endSilence(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silentUntil, vm)
}

// unreachableRegister tells since when the owner of a register under a fencing token has not answered, and when it was last
// asked.
type unreachableRegister struct {
	fence          uint64
	since, askedAt time.Time
}

// recordReply records whether a register has answered a claim.
func (t *Taker) recordReply(register string, r *wire.FleetClaimReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r != nil {
		delete(t.unreachable, register)
		return
	}
	now, fence := t.cfg.Now(), t.grants[register].GetFence()
	u, ok := t.unreachable[register]
	if !ok || u.fence != fence || now.Sub(u.askedAt) > unreachableTTL {
		u = unreachableRegister{fence: fence, since: now}
	}
	u.askedAt = now
	t.unreachable[register] = u
}

// unreachableSince returns since when none of the registers has answered; ok is false if one has, or was not asked.
func (t *Taker) unreachableSince(registers []string) (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, register := range registers {
		u, ok := t.unreachable[register]
		if !ok || u.fence != t.grants[register].GetFence() || t.cfg.Now().Sub(u.askedAt) > unreachableTTL {
			return time.Time{}, false
		}
		if u.since.After(since) {
			since = u.since
		}
	}
	return since, len(registers) > 0
}

// silent reports whether the owner of a register has not answered a claim in time shortly before.
func (t *Taker) silent(register string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Now().Before(t.silentUntil[t.grants[register].GetOwner()])
}

// registers returns the cells to which the claims of a job are owed, and the job's home cell in this failure domain if that is
// not one of them.
func (t *Taker) registers(id string) (owed []string, own string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.cellCounts()
	owed = claimer.Registers(id, counts)
	if home := divider.CellName(t.cfg.FailureDomain, divider.CellOf(id, counts[t.cfg.FailureDomain])); !slices.Contains(owed, home) {
		own = home
	}
	return owed, own
}

// claimAgain repeats the claims of this VM's cells that are registered at the given cells, whose owners have changed: the new
// ones hold no claims yet.
func (t *Taker) claimAgain(changed []string) {
	for _, c := range t.controllers() {
		c.ClaimAgain(func(id string) bool {
			owed, own := t.registers(id)
			return slices.Contains(changed, own) || slices.ContainsFunc(owed, func(cell string) bool { return slices.Contains(changed, cell) })
		})
	}
}
