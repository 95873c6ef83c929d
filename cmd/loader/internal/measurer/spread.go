package measurer

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/stager"
)

// observation is the version that a process had in force at one time; version 0 means that the process was not ready.
type observation struct {
	at      time.Time
	version uint64
}

// spread publishes 300 changes, each on top of the version before, while processes are killed and restarted, and
// measures when each version is in force on each process.
func spread(b *testbed, l *Line) (bool, error) {
	const changes, publishPause, maxLag, readyWithin = 300, 40 * time.Millisecond, time.Second, 10 * time.Second
	stop, killerDone, begin := make(chan struct{}), make(chan struct{}), time.Now()
	observed, acceptedAt := make([][]observation, len(b.VMs)), map[uint64]time.Time{}
	var watchers sync.WaitGroup
	for i, v := range b.VMs {
		watchers.Go(func() { observed[i] = b.watch(v, stop) })
	}
	published := make(chan struct{})
	go func() { b.killAndRestart(published); close(killerDone) }()
	last := ""
	for i := range changes {
		mark := fmt.Sprintf("change-%d-%d", i, begin.UnixMilli())
		if version := b.publishOne(i, mark); version > 0 {
			acceptedAt[version], last = time.Now(), mark
		}
		time.Sleep(publishPause)
	}
	close(published)
	<-killerDone
	// The process that was restarted last is observed with version 0 until it is ready.
	if err := b.WaitAllReady(readyWithin); err != nil {
		return false, err
	}
	time.Sleep(2 * maxLag)
	close(stop)
	watchers.Wait()
	lags, neverInForce, reverted := propagation(observed, acceptedAt)
	lastInForce := bytes.Contains(b.Configuration(b.VMs[0]).Files["marked"], []byte(`"`+last+`"`)) && b.sameConfiguration()
	p99 := time.Duration(0)
	if len(lags) > 0 {
		p99 = lags[len(lags)*99/100]
	}
	l.Offered, l.Answered = changes, len(acceptedAt)
	l.More["inForceP99Milliseconds"], l.More["observations"] = p99.Milliseconds(), len(lags)
	l.More["neverInForce"], l.More["reverted"], l.More["lastChangeEverywhere"] = neverInForce, reverted, lastInForce
	return len(acceptedAt) == changes && len(lags) > 0 && p99 <= maxLag && neverInForce == 0 && reverted == 0 && lastInForce, nil
}

// publishOne sends a change under the same ID until it is accepted, and returns its version, or 0 when it is not
// accepted within 10 s.
func (b *testbed) publishOne(i int, mark string) uint64 {
	const limit = 10 * time.Second
	deadline := time.Now().Add(limit)
	ch := b.Change(b.VMs[i%len(b.VMs)], mark)
	ch.Files = markedTaskFile(mark)
	for n := i; time.Now().Before(deadline); n++ {
		a := b.Propose(b.VMs[n%len(b.VMs)], ch)
		switch a.Verdict {
		case stager.Accepted:
			return a.Version
		case "conflict":
			// The base version was read from a process that lagged or was down. No change was accepted under this ID.
			ch.BaseVersion = a.Version
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0
}

// watch observes a process every 10 ms until stop is closed.
func (b *testbed) watch(v *launcher.VM, stop chan struct{}) (out []observation) {
	const every = 10 * time.Millisecond
	for {
		select {
		case <-stop:
			return out
		case <-time.After(every):
		}
		var r struct {
			Ready bool `json:"ready"`
		}
		s := observation{at: time.Now()}
		if _, err := b.CallOperators(v, http.MethodGet, "/ready", nil, &r); err == nil && r.Ready {
			s.version = b.Configuration(v).Version
		}
		out = append(out, s)
	}
}

// killAndRestart kills one random process after the other and restarts each after half a second, until published is
// closed.
func (b *testbed) killAndRestart(published chan struct{}) {
	const up, down = time.Second, 500 * time.Millisecond
	for {
		select {
		case <-published:
			return
		case <-time.After(up):
		}
		v := b.VMs[b.rng.IntN(len(b.VMs))]
		v.Kill()
		time.Sleep(down)
		_ = b.Start(v)
	}
}

// propagation returns how long each accepted version took to be in force on each process, in ascending order, how many
// versions were never in force on a process, and how often a process went back to a version older than one that it had
// shown, also across a restart.
func propagation(observed [][]observation, acceptedAt map[uint64]time.Time) (lags []time.Duration, neverInForce, reverted int) {
	for _, observations := range observed {
		newest := uint64(0)
		for _, s := range observations {
			if s.version > 0 && s.version < newest {
				reverted++
			}
			if s.version > 0 {
				newest = s.version
			}
		}
		for version, at := range acceptedAt {
			if lag, ok := lagOf(observations, version, at); ok {
				lags = append(lags, lag)
			} else {
				neverInForce++
			}
		}
	}
	slices.Sort(lags)
	return lags, neverInForce, reverted
}

// lagOf returns how long a process took to show a version or a newer one, counted from the version's acceptance, or
// from the last time at which the process was not ready if that is later. It returns false when the process never
// showed it.
func lagOf(observations []observation, version uint64, at time.Time) (time.Duration, bool) {
	for _, s := range observations {
		switch {
		case s.version >= version:
			return max(s.at.Sub(at), 0), true
		case s.version == 0 && s.at.After(at):
			at = s.at
		}
	}
	return 0, false
}
