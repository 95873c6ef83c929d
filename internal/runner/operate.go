package runner

import (
	"time"

	"clementineyard/internal/messenger"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

// cancel passes each key to the owner of its home and adds up the results.
func (r *Runner) cancel(c *wire.Cancellation, deadline time.Time, done func(*wire.CancellationResult)) {
	byOwner := map[string][]string{}
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
		byOwner[owner] = append(byOwner[owner], k)
	}
	sum := &wire.CancellationResult{Ignored: ignored}
	results := make(chan *wire.CancellationResult, len(byOwner))
	for owner, keys := range byOwner {
		part := &wire.Cancellation{Team: c.Team, Keys: keys}
		if owner == r.set.Name {
			r.cancelHere(part, func(res *wire.CancellationResult) { results <- res })
			continue
		}
		e := &wire.Envelope{Body: &wire.Envelope_Cancellation{Cancellation: part}}
		r.messenger.Call(owner, messenger.Relay, e, deadline, func(reply *wire.Envelope, err error) {
			if err != nil {
				results <- nil
				return
			}
			results <- reply.GetCancellationResult()
		})
	}
	for range byOwner {
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

func (r *Runner) cancelHere(c *wire.Cancellation, done func(*wire.CancellationResult)) {
	if !r.dispatcher.Cancel(c, done) {
		done(&wire.CancellationResult{Ignored: int64(len(c.Keys))})
	}
}

// VMStatus is one entry VM as the status page shows it.
type VMStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Version       uint64 `json:"version"`
	Owner         string `json:"owner"`
	Epoch         uint64 `json:"epoch"`
	// Role and Term are the VM's part in the agreement on configuration.
	Role string `json:"role"`
	Term uint64 `json:"term"`
	// AgeMilliseconds is how old this knowledge is; -1 when nothing was heard yet.
	AgeMilliseconds int64 `json:"ageMilliseconds"`
}

// Status is the body of GET /v1/status.
type Status struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	Version       uint64 `json:"version"`
	Owner         string `json:"owner"`
	Epoch         uint64 `json:"epoch"`
	ConfigurationStatus
	EntryVMs []VMStatus `json:"entryVMs"`
}

func (r *Runner) status() any {
	now := time.Now()
	r.state.Lock()
	defer r.state.Unlock()
	own := r.ownership()
	s := Status{
		Name: r.set.Name, FailureDomain: r.set.FailureDomain, Incarnation: r.incarnation,
		Version: r.configurer.Current().Version, Owner: own.Owner, Epoch: own.Epoch,
	}
	peers := r.detector.Peers(now)
	s.ConfigurationStatus = r.configurationStatus(now, peers)
	for _, p := range peers {
		v := VMStatus{Name: p.Name, Reachable: p.Reachable, AgeMilliseconds: -1}
		if p.Last != nil {
			v.FailureDomain, v.Ready, v.Version = p.Last.FailureDomain, p.Last.Ready, p.Last.ConfigVersion
			v.Owner, v.Epoch, v.AgeMilliseconds = p.Last.Owner, p.Last.Epoch, now.Sub(p.HeardAt).Milliseconds()
			v.Role, v.Term = r.roleOf(p), p.Last.Term
		}
		s.EntryVMs = append(s.EntryVMs, v)
	}
	return s
}
