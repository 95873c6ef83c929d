package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// missedChanges is how many changes are acknowledged while one core machine is down.
	missedChanges = 26
	// lagGrowths is how often the desired state grows by routesPerGrowth routes.
	lagGrowths = 10
	// catchUpTime is longer than catch-up-s of the settings: after it a machine that is back no longer counts as lost.
	catchUpTime = 10 * time.Second
	// lossTime is for how long a second machine is lost and the desired state is read.
	lossTime = 7 * time.Second
)

// playLag kills the process of one core machine for some changes of a large desired state, gives it time to catch up, and then kills that of
// another one. The rule is broken if no machine then answers a read of the desired state.
func playLag(f *fleet, trouble bool) (bool, error) {
	stop := make(chan struct{})
	kills, peaks := make([]int, len(f.voters)), make([]int, len(f.voters))
	routes := firstRoutes
	put := func(body []byte) error {
		f.version++
		for try := range 40 {
			v := f.voters[try%2]
			at := time.Now()
			if status := f.putConfig(v, body); status == http.StatusOK {
				f.rec.note("operator: change %d with %d routes, %d bytes, was acknowledged by %s after %v", f.version, routes, len(body), v.name, time.Since(at).Round(time.Millisecond))
				return nil
			}
			time.Sleep(100 * time.Millisecond)
		}
		return errors.New("a change was not acknowledged")
	}
	for range lagGrowths {
		if trouble {
			routes += routesPerGrowth
		}
		if err := put(manyRoutes(f.version+1, routes)); err != nil {
			return false, err
		}
	}
	var missed [][]byte
	for i := range missedChanges {
		missed = append(missed, manyRoutes(f.version+1+i, routes))
	}
	lagging, lost := f.voters[2], f.voters[1]
	f.rec.note("trouble: the process of %s is killed", lagging.name)
	lagging.kill()
	for _, body := range missed {
		if err := put(body); err != nil {
			return false, err
		}
	}
	if err := f.writeSettings(lagging, false); err != nil {
		return false, err
	}
	if err := f.start(lagging); err != nil {
		return false, err
	}
	f.rec.note("the process of %s is started again", lagging.name)
	var wg sync.WaitGroup
	for i, v := range f.voters {
		if v != lost {
			wg.Go(func() { kills[i], peaks[i] = f.enforceMemory(v, stop) })
		}
	}
	defer func() {
		close(stop)
		wg.Wait()
		for i, v := range f.voters {
			f.rec.note("platform: %s was killed %d times for its memory, peak %d MB", v.name, kills[i], peaks[i])
		}
	}()
	time.Sleep(catchUpTime)
	f.rec.note("trouble: the process of %s is killed, and stays down for %v", lost.name, lossTime)
	lost.kill()
	answered := false
	for until := time.Now().Add(lossTime); time.Now().Before(until); {
		for _, v := range f.voters {
			if v == lost {
				continue
			}
			status, answer := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/clementineyard/config", v.ip, f.controlPort), "", nil, time.Second)
			var c struct {
				Version int `json:"version"`
			}
			if status == http.StatusOK && json.Unmarshal([]byte(answer), &c) == nil {
				answered = true
			}
			f.rec.note("operator: read at %s was answered %d, version %d; the newest one that was acknowledged is %d", v.name, status, c.Version, f.version)
			time.Sleep(500 * time.Millisecond)
		}
		if answered {
			break
		}
	}
	return !answered, nil
}
