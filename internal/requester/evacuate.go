package requester

import "clementineyard/internal/listener"

// maxConflicts bounds how often an order is sent again because another change came first.
const maxConflicts = 10

// Evacuate begins or ends the evacuation of a failure domain. newID returns the id of an attempt. Each attempt names the version that
// it is based on, so that one that arrives late changes nothing; after a conflict another one follows.
func (r *Requester) Evacuate(failureDomain string, evacuated bool, author string, newID func() string) (listener.ChangeAnswer, error) {
	current, err := r.Configuration()
	if err != nil {
		return listener.ChangeAnswer{}, err
	}
	base := current.Version
	for attempt := 1; ; attempt++ {
		answer, err := r.Publish(listener.ChangeRequest{
			ID: newID(), BaseVersion: base, Author: author, Files: []listener.FileChange{},
			Evacuations: []listener.EvacuationChange{{FailureDomain: failureDomain, Evacuated: evacuated}},
		})
		if err != nil || answer.Verdict != VerdictConflict || attempt == maxConflicts {
			return answer, err
		}
		base = answer.Version
	}
}
