package placer

import (
	"cmp"
	"slices"
)

// Candidate is a server of a service as a placement sees it.
type Candidate struct {
	Server, Rack string
	// Load orders servers; the lowest is chosen first.
	Load float64
	// Free is what a worker's tasks leave of its capacity; zero for a backend server.
	Free Resources
	// Rejection is why the server cannot get the task now; empty when it can.
	Rejection string
}

// Candidates returns the servers of a service for a task with this ask: first those that can take it now, least loaded first, then
// the others. It changes nothing.
func (p *Placer) Candidates(service string, worker bool, ask Resources) []Candidate {
	var out []Candidate
	for _, sv := range p.servers {
		if sv.Worker != worker || !sv.serves(service) {
			continue
		}
		c := Candidate{Server: sv.Name, Rack: sv.Rack, Load: sv.score, Rejection: sv.rejection(ask)}
		if sv.Worker {
			c.Free = sv.Capacity.minus(sv.occupied()).elementwiseMax(Resources{})
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		switch {
		case a.Rejection == "" && b.Rejection != "":
			return -1
		case a.Rejection != "" && b.Rejection == "":
			return 1
		}
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Server, b.Server))
	})
	return out
}

func (sv *Server) serves(service string) bool {
	return sv.Worker && len(sv.Services) == 0 || slices.Contains(sv.Services, service)
}

// rejection returns why the server cannot take a task with this ask now; empty when it can.
func (sv *Server) rejection(ask Resources) string {
	switch {
	case sv.Leaving:
		return "is leaving"
	case !sv.live:
		return "has no lease"
	case sv.state == quarantined:
		return "is in quarantine"
	case sv.state == probing && sv.ownTasks > 0:
		return "is on probation and has a task"
	case sv.Worker && !ask.fitsIn(sv.Capacity):
		return "is too small"
	case sv.reserved:
		return "is reserved for a larger task"
	case sv.OccupiedSlots() >= sv.slotLimit():
		return "has no free slot"
	case !sv.canTake(ask):
		return "has too little free"
	}
	return ""
}
