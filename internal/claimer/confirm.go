package claimer

import "time"

// This file decides when a register knows all claims without waiting for the leases of former owners to end. It answers the loss of
// all owners at once, as with a loss of power, where that wait would cost a second of service. docs/design/recovery.md proves it;
// explorer_test.go looks for a counterexample.

// Survey states that the owner of a cell under a fence knows every run on the cell's workers, and that their jobs were claimed at
// all registers that were granted up to an index of the agreed state.
type Survey struct{ Fence, Index uint64 }

// Grant is what a register must know of the grant of a cell.
type Grant struct {
	FailureDomain string
	// Cells is the number of cells of the failure domain.
	Cells uint32
	Fence uint64
}

// Tenure is the time for which a VM has a register.
type Tenure struct {
	// Fence is that of the register's grant.
	Fence uint64
	// Interrupted is true once the VM was paused, or an owner connected again that was out of reach. Owners may have gone on
	// without the register meanwhile.
	Interrupted bool
}

// Confirmed reports whether a register knows all claims, by the grants and the surveys that its VM holds: the present owner of every
// cell has made a survey that covers the register.
func Confirmed(t Tenure, grants map[string]Grant, surveys map[string]Survey) bool {
	if t.Interrupted {
		return false
	}
	known, total := map[string]uint32{}, map[string]uint32{}
	for cell, g := range grants {
		if s := surveys[cell]; s.Fence != g.Fence || s.Index < t.Fence {
			return false
		}
		known[g.FailureDomain]++
		total[g.FailureDomain] = g.Cells
	}
	for d, n := range total {
		if known[d] != n {
			return false
		}
	}
	return len(grants) > 0
}

// Recording is what an owner knows of its claim at one of the registers that vouch for a job.
type Recording struct {
	// Fence is that of the register's newest grant, and Recorded the one under which the register has recorded the claim; 0
	// where it has not.
	Fence, Recorded uint64
	// Aged is true once the register knows all claims by its age. Until then it may know them by surveys.
	Aged bool
}

// Settled reports whether an owner may start a job for which a register has vouched: each register that may vouch by surveys has
// recorded the claim, under its newest grant. After its survey an owner must not start what such a register does not know.
func Settled(registers []Recording) bool {
	for _, r := range registers {
		if !r.Aged && (r.Recorded == 0 || r.Recorded != r.Fence) {
			return false
		}
	}
	return true
}

// CellView is what an owner knows of the runs in its cell.
type CellView struct {
	// LeasesEnded is true once all leases that former owners may have granted have ended.
	LeasesEnded bool
	// HasRoster is true if the workers that former owners may have used are known. ListedAt holds for each of them when it was
	// last asked for the listing of all its runs that it has given under this owner's fence; zero if it has given none.
	HasRoster bool
	ListedAt  []time.Time
	// FencedAt is when the former owner has learned at the latest that it is replaced; zero if its process had ended before. Until
	// then it may start something on a worker that restarts after its listing, and so forgets the fence.
	FencedAt time.Time
}

// Surveyed reports whether the owner knows all runs in its cell.
func (v CellView) Surveyed() bool {
	if v.LeasesEnded {
		return true
	}
	for _, at := range v.ListedAt {
		if at.IsZero() || at.Before(v.FencedAt) {
			return false
		}
	}
	return v.HasRoster
}

// Outdated reports whether an owner must make a claim again although it was granted: by an index of the agreed state before that of
// its last survey, so that a register which counts on the survey may not know the job.
func Outdated(grantedBy, survey uint64) bool { return grantedBy < survey }
