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

// sighting is what one process showed at one time; version 0 is a process that is not ready.
type sighting struct {
	at      time.Time
	version uint64
}

// spread publishes 300 changes, one base version after the other, while processes are killed and restarted.
func spread(b *bed, l *Line) (bool, error) {
	const changes, pace, bound, readyWithin = 300, 40 * time.Millisecond, time.Second, 10 * time.Second
	stop, killed, begin := make(chan struct{}), make(chan struct{}), time.Now()
	seen, times := make([][]sighting, len(b.VMs)), map[uint64]time.Time{}
	var watchers sync.WaitGroup
	for i, v := range b.VMs {
		watchers.Go(func() { seen[i] = b.watch(v, stop) })
	}
	ended := make(chan struct{})
	go func() { b.killInTurn(ended); close(killed) }()
	last := ""
	for i := range changes {
		mark := fmt.Sprintf("change-%d-%d", i, begin.UnixMilli())
		if version := b.publishOne(i, mark); version > 0 {
			times[version], last = time.Now(), mark
		}
		time.Sleep(pace)
	}
	close(ended)
	<-killed
	// The process that was restarted last shows no version before it is ready.
	if err := b.WaitAllReady(readyWithin); err != nil {
		return false, err
	}
	time.Sleep(2 * bound)
	close(stop)
	watchers.Wait()
	lags, never, reverted := spreadOf(seen, times)
	kept := bytes.Contains(b.Configuration(b.VMs[0]).Files["marked"], []byte(`"`+last+`"`)) && b.oneHistory()
	p99 := time.Duration(0)
	if len(lags) > 0 {
		p99 = lags[len(lags)*99/100]
	}
	l.Offered, l.Answered = changes, len(times)
	l.More["inForceP99Milliseconds"], l.More["observations"] = p99.Milliseconds(), len(lags)
	l.More["neverInForce"], l.More["reverted"], l.More["lastChangeEverywhere"] = never, reverted, kept
	return len(times) == changes && len(lags) > 0 && p99 <= bound && never == 0 && reverted == 0 && kept, nil
}

// publishOne sends a change with the same id until it is accepted; it returns 0 when that takes longer than 10 s.
func (b *bed) publishOne(i int, mark string) uint64 {
	const limit = 10 * time.Second
	deadline := time.Now().Add(limit)
	ch := b.Change(b.VMs[i%len(b.VMs)], mark)
	ch.Files = marked(mark)
	for n := i; time.Now().Before(deadline); n++ {
		a := b.Propose(b.VMs[n%len(b.VMs)], ch)
		switch a.Verdict {
		case stager.Accepted:
			return a.Version
		case "conflict":
			// The base was read from a process that lagged or was down; nothing was accepted under this id.
			ch.BaseVersion = a.Version
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0
}

func (b *bed) watch(v *launcher.VM, stop chan struct{}) (out []sighting) {
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
		s := sighting{at: time.Now()}
		if _, err := b.Operate(v, http.MethodGet, "/ready", nil, &r); err == nil && r.Ready {
			s.version = b.Configuration(v).Version
		}
		out = append(out, s)
	}
}

// killInTurn kills one process after the other and restarts each after half a second.
func (b *bed) killInTurn(ended chan struct{}) {
	const up, down = time.Second, 500 * time.Millisecond
	for {
		select {
		case <-ended:
			return
		case <-time.After(up):
		}
		v := b.VMs[b.rng.IntN(len(b.VMs))]
		v.Kill()
		time.Sleep(down)
		_ = b.Start(v)
	}
}

// spreadOf returns, in rising order, how long each accepted version took to come into force on each process, how many
// never did, and how often a process went back to an older version than it had shown, also across a restart.
func spreadOf(seen [][]sighting, times map[uint64]time.Time) (lags []time.Duration, never, reverted int) {
	for _, list := range seen {
		newest := uint64(0)
		for _, s := range list {
			if s.version > 0 && s.version < newest {
				reverted++
			}
			if s.version > 0 {
				newest = s.version
			}
		}
		for version, at := range times {
			if lag, ok := lagOf(list, version, at); ok {
				lags = append(lags, lag)
			} else {
				never++
			}
		}
	}
	slices.Sort(lags)
	return lags, never, reverted
}

// lagOf counts from the acceptance, or from the last time that the process was not ready if that is later.
func lagOf(list []sighting, version uint64, at time.Time) (time.Duration, bool) {
	for _, s := range list {
		switch {
		case s.version >= version:
			return max(s.at.Sub(at), 0), true
		case s.version == 0 && s.at.After(at):
			at = s.at
		}
	}
	return 0, false
}
