package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimitMB is memory-mb of a core machine of the site; the platform kills a process that uses more.
	memoryLimitMB = 408
	// firstRoutes is the number of routes at first. The desired state grows growths times by routesPerGrowth.
	firstRoutes, routesPerGrowth, growths = 47, 1400, 5
	// changeGap is the pause between two changes of a storm, stormTime how long a storm lasts, and calmTime the pause after it.
	changeGap = 150 * time.Millisecond
	stormTime = 4 * time.Second
	calmTime  = 500 * time.Millisecond
	// changesTime is for how long the operator sends changes, and readTime for how long it reads the desired state back.
	changesTime = 75 * time.Second
	readTime    = 5 * time.Second
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// ownEndsLimit ends by themselves on half of the core machines are a fault.
	ownEndsLimit = 3
)

// manyRoutes returns a desired state with a number of routes. Its versions differ in time-outs.
func manyRoutes(version, routes int) []byte {
	var list []any
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%07x", i), "host": fmt.Sprintf("nony%d.example", i), "path-prefix": "/lohu930/", "kind": "non_idempotent",
			"timeout-ms": 1500 + version, "target-latency-ms": 60, "priority": 0, "service": "huvo11a", "max-attempts": 4, "stretch-factor": 1.6,
		})
	}
	content, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{
			"name": "huvo11a", "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return content
}

// memoryMB returns the resident memory of a process.
func memoryMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes / 1024
		}
	}
	return 0
}

// enforceMemory kills a process that uses more memory than its machine has and starts it again, as the platform does. It
// returns how often it did so once stop is closed.
func (f *fleet) enforceMemory(m *machine, stop <-chan struct{}) (kills, peak int) {
	for {
		select {
		case <-stop:
			return kills, peak
		case <-time.After(10 * time.Millisecond):
		}
		used := memoryMB(m.cmd.Process.Pid)
		peak = max(peak, used)
		if used <= memoryLimitMB {
			continue
		}
		kills++
		f.rec.note("platform: %s uses %d MB of %d MB; killed for the %d. time", m.name, used, memoryLimitMB, kills)
		m.kill()
		select {
		case <-stop:
			return kills, peak
		case <-time.After(restartDelay):
		}
		if err := f.writeSettings(m, false); err != nil {
			f.rec.note("platform: %v", err)
		}
		if err := f.start(m); err != nil {
			f.rec.note("platform: %v", err)
		}
	}
}

// playGrowth lets the desired state grow by many routes, and then sends storms of changes. The rule is broken if processes of half of the
// core machines end three times for their memory.
func playGrowth(f *fleet, trouble bool) (bool, error) {
	stop := make(chan struct{})
	kills, peaks := make([]int, len(f.voters)), make([]int, len(f.voters))
	var wg sync.WaitGroup
	for i, v := range f.voters {
		wg.Go(func() { kills[i], peaks[i] = f.enforceMemory(v, stop) })
	}
	acknowledged, routes, target := f.version, firstRoutes, 0
	until := time.Now().Add(changesTime)
	stormEnd := time.Now().Add(stormTime)
	for i := 0; time.Now().Before(until); i++ {
		if trouble && i < growths {
			routes += routesPerGrowth
		}
		f.version++
		body := manyRoutes(f.version, routes)
		for time.Now().Before(until) {
			v := f.voters[target%len(f.voters)]
			status := f.putConfig(v, body)
			if status == http.StatusOK {
				acknowledged = f.version
				f.rec.note("operator: change %d with %d routes, %d bytes, was acknowledged by %s", f.version, routes, len(body), v.name)
				break
			}
			f.rec.note("operator: change %d was answered %d by %s", f.version, status, v.name)
			target++
			time.Sleep(changeGap)
		}
		time.Sleep(changeGap)
		if time.Now().After(stormEnd) {
			time.Sleep(calmTime)
			stormEnd = time.Now().Add(stormTime)
		}
	}
	f.readBack(acknowledged)
	close(stop)
	wg.Wait()
	often := 0
	for i, v := range f.voters {
		f.rec.note("platform: %s was killed %d times for its memory, peak %d MB", v.name, kills[i], peaks[i])
		if kills[i] >= ownEndsLimit {
			often++
		}
	}
	return 2*often >= len(f.voters), nil
}

// readBack reads the desired state from all core machines in turn and records whether it came.
func (f *fleet) readBack(acknowledged int) {
	asked, until := 0, time.Now().Add(readTime)
	for ; time.Now().Before(until); asked++ {
		v := f.voters[asked%len(f.voters)]
		status, answer := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/clementineyard/config", v.ip, f.controlPort), "", nil, time.Second)
		var c struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &c) == nil {
			f.rec.note("operator: %s reads back version %d; the newest one that was acknowledged is %d", v.name, c.Version, acknowledged)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.rec.note("operator: none of %d reads in %v was answered with a desired state", asked, readTime)
}
