package runner

import (
	"time"

	"clementineyard/internal/messenger"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

// cancel sends each key to the owner of its home and passes the sum of the results to done, or nil if an owner did not
// reply.
func (r *Runner) cancel(c *wire.Cancellation, deadline time.Time, done func(*wire.CancellationResult)) {
	keysByOwner := map[string][]string{}
	var ignored int64
	for _, k := range c.Keys {
		key, err := recorder.ParseKey(k)
		if err != nil {
			ignored++
			continue
		}
		owner, ok := r.owner(key.Home)
		if !ok {
			ignored++
			continue
		}
		keysByOwner[owner] = append(keysByOwner[owner], k)
	}
	sum := &wire.CancellationResult{Ignored: ignored}
	results := make(chan *wire.CancellationResult, len(keysByOwner))
	for owner, keys := range keysByOwner {
		part := &wire.Cancellation{Team: c.Team, Keys: keys}
		if owner == r.settings.Name {
			r.cancelLocally(part, func(res *wire.CancellationResult) { results <- res })
			continue
		}
		e := &wire.Envelope{Body: &wire.Envelope_Cancellation{Cancellation: part}}
		r.messenger.Call(owner, messenger.RelayStream, e, deadline, func(reply *wire.Envelope, err error) {
			if err != nil {
				results <- nil
				return
			}
			results <- reply.GetCancellationResult()
		})
	}
	for range keysByOwner {
		res := <-results
		if res == nil {
			done(nil)
			return
		}
		sum.NotStarted += res.NotStarted
		sum.Running += res.Running
		sum.Ignored += res.Ignored
	}
	done(sum)
}

func (r *Runner) cancelLocally(c *wire.Cancellation, done func(*wire.CancellationResult)) {
	if !r.dispatcher.Cancel(c, done) {
		done(&wire.CancellationResult{Ignored: int64(len(c.Keys))})
	}
}

// VMStatus is the state of another entry VM as shown on the status page.
type VMStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Version       uint64 `json:"version"`
	Owner         string `json:"owner"`
	Epoch         uint64 `json:"epoch"`
	// Role and Term are the VM's role and term in the consensus on the configuration.
	Role string `json:"role"`
	Term uint64 `json:"term"`
	// AgeMilliseconds is the time since the last ping of the VM, or -1 if there was none.
	AgeMilliseconds int64 `json:"ageMilliseconds"`
}

// Status is the body of the response to GET /v1/status.
type Status struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	Version       uint64 `json:"version"`
	Owner         string `json:"owner"`
	Epoch         uint64 `json:"epoch"`
	// Evacuated holds the failure domains whose servers get no starts.
	Evacuated []string `json:"evacuated"`
	ConfigurationStatus
	EntryVMs []VMStatus `json:"entryVMs"`
}

func (r *Runner) status() any {
	now := time.Now()
	r.detectorMu.Lock()
	defer r.detectorMu.Unlock()
	own := r.ownership()
	s := Status{
		Name: r.settings.Name, FailureDomain: r.settings.FailureDomain, Incarnation: r.incarnation,
		Version: r.configurer.Current().Version, Owner: own.Owner, Epoch: own.Epoch,
		Evacuated: r.configurer.Current().EvacuatedDomains(),
	}
	peers := r.detector.Peers(now)
	s.ConfigurationStatus = r.configurationStatus(now, peers)
	for _, p := range peers {
		v := VMStatus{Name: p.Name, Reachable: p.Reachable, AgeMilliseconds: -1}
		if p.Last != nil {
			v.FailureDomain, v.Ready, v.Version = p.Last.FailureDomain, p.Last.Ready, p.Last.ConfigVersion
			v.Owner, v.Epoch, v.AgeMilliseconds = p.Last.Owner, p.Last.Epoch, now.Sub(p.HeardAt).Milliseconds()
			v.Role, v.Term = r.peerRole(p), p.Last.Term
		}
		s.EntryVMs = append(s.EntryVMs, v)
	}
	return s
}
