package voter

import (
	"time"

	"clementineyard/wire"
)

// AgreeDepartures lets the voters agree on the departures that this one has heard of the workers with an id, so that no loss of
// power brings back a worker that has left. It returns false if they have not by the deadline; entry VMs know the departures all
// the same.
func (v *Voter) AgreeDepartures(id string, deadline time.Time) bool {
	pending := v.notifier.PendingDepartures(id)
	results := make(chan *wire.AgreedResult, len(pending))
	for _, d := range pending {
		v.Propose(&wire.AgreedCommand{Departure: d}, deadline, func(r *wire.AgreedResult) { results <- r })
	}
	agreed := true
	for range pending {
		if r := <-results; r.GetVerdict() != wire.AgreedResult_VERDICT_COMMITTED {
			agreed = false
		}
	}
	if !agreed {
		v.cfg.Log.Info("Voters have not agreed on the departure of a worker; it has to report again.", "id", id, "departures", len(pending))
	}
	return agreed
}
