package taker

import (
	"context"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/claimer"
	"clementineyard/internal/controller"
	"clementineyard/internal/divider"
	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

const (
	// surveyInterval is how often an owner that lacks a survey looks whether it knows all runs of its cell.
	surveyInterval = 20 * time.Millisecond
	// maxSurveyPause bounds the pause after a survey that a register does not record. It doubles from surveyInterval on: a job that two
	// cells have may stay so for as long as it runs.
	maxSurveyPause = time.Second
	// learnLag is how much later than others a VM may learn of its own grant. One that does not watch the leader for that long
	// loses the cell again.
	learnLag = 2 * time.Second
	// proposalTimeout is how long the leader may take to answer the proposal of a roster, which is repeated anyway.
	proposalTimeout = 200 * time.Millisecond
)

// applyRosters adopts newer rosters. The owner of a cell learns of its own ones, too.
func (t *Taker) applyRosters(s *wire.AgreedState) {
	for _, r := range s.Rosters {
		cell := divider.CellName(r.FailureDomain, r.Cell)
		t.mu.Lock()
		newer := t.rosters[cell].GetIndex() < r.Index
		if newer {
			t.rosters[cell] = r
		}
		owned := t.owned[cell]
		t.mu.Unlock()
		if newer && owned != nil && owned.Grant().Fence == r.Fence {
			go owned.HandleRoster(r)
		}
	}
}

// rosterAt returns the roster that a cell had when it was granted; nil if there was none. The caller holds t.mu.
func (t *Taker) rosterAt(cell string, g *wire.Grant) *wire.CellRoster {
	if r := t.rosters[cell]; g.RosterIndex > 0 && r.GetIndex() == g.RosterIndex {
		return r
	}
	return nil
}

// proposeRoster sends a roster to the leader of the voters. Whether they have agreed on it is learned from the agreed state.
func (t *Taker) proposeRoster(g *wire.Grant, number uint64, workers []string) {
	leader := t.observer.Leader()
	if leader == "" {
		return
	}
	r := &wire.CellRoster{FailureDomain: g.FailureDomain, Cell: g.Cell, Fence: g.Fence, Number: number, Workers: workers}
	e := &wire.Envelope{Body: &wire.Envelope_AgreedCommand{AgreedCommand: &wire.AgreedCommand{Roster: r}}}
	t.messenger.Call(leader, messenger.RelayStream, e, t.cfg.Now().Add(proposalTimeout), func(*wire.Envelope, error) {})
}

// surveyCell publishes a survey of an owned cell after each change of grants, once this owner knows all runs of the cell and the
// registers have recorded their jobs.
func (t *Taker) surveyCell(ctx context.Context, cell string, c *controller.Controller) {
	timer := time.NewTicker(surveyInterval)
	defer timer.Stop()
	fence, covered := c.Grant().Fence, uint64(0)
	pause, nextAt := surveyInterval, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		index, newest := t.grantedThrough()
		if newest <= covered || t.cfg.Now().Before(nextAt) {
			continue
		}
		claims, ok := c.Survey(index)
		if !ok {
			continue
		}
		if !t.recordSurveyed(ctx, cell, fence, covered, index, claims) {
			t.cfg.Count("surveysDelayed", 1)
			pause = min(2*pause, maxSurveyPause)
			nextAt = t.cfg.Now().Add(pause)
			continue
		}
		covered, pause = newest, surveyInterval
		t.cfg.Count("surveys", 1)
		t.cfg.Log.Info("Owner knows all runs of its cell, and the registers have their claims.", "cell", cell, "fence", fence, "index", index, "claims", len(claims))
		t.recordSurveys([]*wire.CellSurvey{{Cell: cell, Fence: fence, Index: index}})
	}
}

// grantedThrough returns the index of the agreed state, and the highest fence in it.
func (t *Taker) grantedThrough() (index, newest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.grants {
		newest = max(newest, g.Fence)
	}
	return t.stateIndex, newest
}

// recordSurveyed makes the claims of a survey at the registers that were granted after the index covered, up to the index of the
// survey. It returns false if one of them does not record a claim, knows that another cell has the job, or has been replaced.
func (t *Taker) recordSurveyed(ctx context.Context, cell string, fence, covered, index uint64, claims []allocator.Claim) bool {
	for _, c := range claims {
		owed, _ := t.registers(c.Job)
		for _, register := range owed {
			if ctx.Err() != nil {
				return false
			}
			g, _ := t.grant(register)
			if g.GetFence() <= covered {
				continue
			}
			if g.Fence > index {
				return false
			}
			m := &wire.FleetClaim{Id: c.Job, Cell: cell, Number: fence<<claimNumberBits | c.Number, Register: register, Confirmed: true}
			if r := t.callRegister(m); r.GetHolder() != cell {
				return false
			}
			if now, _ := t.grant(register); now.Fence != g.Fence {
				// The next register may have recorded it.
				return false
			}
		}
	}
	return true
}

// ownSurveys returns the surveys of the cells that this VM owns.
func (t *Taker) ownSurveys() []*wire.CellSurvey {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.CellSurvey
	for cell := range t.owned {
		if s := t.surveys[cell]; s.Fence > 0 && s.Fence == t.grants[cell].GetFence() {
			out = append(out, &wire.CellSurvey{Cell: cell, Fence: s.Fence, Index: s.Index})
		}
	}
	return out
}

// recordSurveys records the surveys of cells.
func (t *Taker) recordSurveys(received []*wire.CellSurvey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range received {
		if held := t.surveys[r.Cell]; r.Fence > held.Fence || r.Fence == held.Fence && r.Index > held.Index {
			t.surveys[r.Cell] = claimer.Survey{Fence: r.Fence, Index: r.Index}
		}
	}
}

// registerConfirmed reports whether this VM knows all claims of a register that it owns by the surveys of all cells. A pause, or
// an owner that comes back, leaves it to the register's age. The caller holds t.mu.
func (t *Taker) registerConfirmed(register string) bool {
	g, grantedAt := t.grants[register], t.grantedAt[register]
	if t.owned[register] == nil {
		return false
	}
	tenure := claimer.Tenure{Fence: g.Fence, Interrupted: t.rejoinedAt.After(grantedAt) || t.sinceResumed() < t.cfg.Now().Sub(grantedAt)}
	grants := make(map[string]claimer.Grant, len(t.grants))
	for cell, held := range t.grants {
		grants[cell] = claimer.Grant{FailureDomain: held.FailureDomain, Cells: held.Cells, Fence: held.Fence}
	}
	return claimer.Confirmed(tenure, grants, t.surveys)
}

// recordAge records that a register knows all claims by its age under the fence that it was asked under.
func (t *Taker) recordAge(register string, fence uint64, r *wire.FleetClaimReply) {
	if time.Duration(r.GetAgeMillis())*time.Millisecond < t.times.warmUp {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.agedFence[register] = fence
}

// settled reports whether the claim may be acted on after a register has vouched for the job, and the index of the agreed state by
// which that was decided.
func (t *Taker) settled(a *claimAttempt) (ok bool, index uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var registers []claimer.Recording
	for _, register := range a.owed {
		// The register that has vouched is among them: it may have been replaced since.
		registers = append(registers, t.recording(a, register))
	}
	return claimer.Settled(registers), t.stateIndex
}

// recording returns what is known of a claim at a register. The caller holds t.mu.
func (t *Taker) recording(a *claimAttempt, register string) claimer.Recording {
	fence := t.grants[register].GetFence()
	return claimer.Recording{
		Fence: fence, Recorded: a.recordedUnder[register],
		Aged: t.agedFence[register] == fence || t.cfg.Now().Sub(t.learnedAt[register]) > t.times.warmUp+learnLag,
	}
}
