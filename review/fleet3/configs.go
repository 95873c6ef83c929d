package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// applyTime and rollbackSlack are the bounds of the deployment for changes of the desired state.
const (
	applyTime     = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
)

// desired is a desired state that an operator has sent.
type desired struct {
	version int
	body    string
	ackAt   time.Time
}

// observation is what a machine has shown: the version in force there.
type observation struct {
	sentAt, gotAt time.Time
	lifetime      chan struct{}
	version       int
}

// configSoak changes the desired state all the time while voters are killed, frozen, stopped and cut off. Each version has a route of
// its own, so that an entry machine shows which one is in force there.
func configSoak(f *fleet, trouble bool) (broken []string, err error) {
	var mu sync.Mutex
	var sent []*desired
	acked, lastSent := 1, 1
	var disturbedAt time.Time
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		if len(broken) < 40 {
			broken = append(broken, fmt.Sprintf(format, args...))
			f.record.printf("BROKEN: "+format, args...)
		}
	}
	var stop, calm atomic.Bool
	var all sync.WaitGroup
	operator := func() {
		for !stop.Load() {
			mu.Lock()
			lastSent += 1 + rand.IntN(3)
			d := &desired{version: lastSent}
			routes := route(15*time.Second) + "," + strings.Replace(strings.Replace(route(15*time.Second), `"r-jobs"`, `"r-other"`, 1), prefix, fmt.Sprintf("/v%d/", d.version), 1)
			for k := range rand.IntN(300) {
				routes += "," + strings.Replace(strings.Replace(route(15*time.Second), `"r-jobs"`, fmt.Sprintf(`"r-%d"`, k), 1), prefix, fmt.Sprintf("/more%d/", k), 1)
			}
			d.body = fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"health-path":"/healthz","max-conns":64,"protocol":"h1","tls":false,"admission-check":false,"standby":false}],`+
				`"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, d.version, routes, service)
			sent = append(sent, d)
			mu.Unlock()
			for tries := 0; tries < 12 && !stop.Load(); tries++ {
				v := f.voters()[rand.IntN(3)]
				timeout := time.Second
				if rand.IntN(10) == 0 {
					timeout = time.Duration(1+rand.IntN(30)) * time.Millisecond
				}
				status, answer := f.call(http.MethodPut, v.controlAddress(), v.controlAddress(), "/clementineyard/config", d.body, timeout)
				f.record.printf("operator: PUT version %d at %s got %d %s", d.version, v.name, status, trim(answer))
				if status/100 == 4 {
					say("CONFIG: version %d was refused: %d %s", d.version, status, trim(answer))
				}
				if status == http.StatusOK {
					mu.Lock()
					if d.ackAt.IsZero() {
						d.ackAt = time.Now()
					}
					acked = max(acked, d.version)
					mu.Unlock()
					if rand.IntN(4) > 0 {
						break
					}
				}
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
			if calm.Load() {
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			}
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		}
	}
	// ackedBefore returns the newest version that was acknowledged by a time.
	ackedBefore := func(at time.Time) int {
		mu.Lock()
		defer mu.Unlock()
		newest := 0
		for _, d := range sent {
			if !d.ackAt.IsZero() && d.ackAt.Before(at) {
				newest = max(newest, d.version)
			}
		}
		return newest
	}
	versionOf := regexp.MustCompile(`"version":\s*(\d+)`)
	reader := func(v *node) {
		for !stop.Load() {
			sentAt := time.Now()
			status, answer := f.call(http.MethodGet, v.controlAddress(), v.controlAddress(), "/clementineyard/config", "", 9*time.Second)
			if status == http.StatusOK {
				m := versionOf.FindStringSubmatch(answer)
				if m == nil {
					say("CONFIG: %s answers a read with %s", v.name, trim(answer))
					continue
				}
				version, _ := strconv.Atoi(m[1])
				if due := ackedBefore(sentAt.Add(-applyTime)); version < due {
					say("CONFIG: %s answered a read sent at %.0f ms with version %d, and %d was acknowledged long before", v.name, f.record.ms(sentAt), version, due)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	prober := func(e *node) {
		var seen []observation
		for !stop.Load() {
			mu.Lock()
			version := sent[max(0, len(sent)-1-rand.IntN(12))].version
			lastDisturbance := disturbedAt
			mu.Unlock()
			e.mu.Lock()
			lifetime := e.ended
			e.mu.Unlock()
			sentAt := time.Now()
			status, _ := f.call(http.MethodGet, e.clientAddress(), queueHost, fmt.Sprintf("/v%d/", version), "", 9*time.Second)
			gotAt := time.Now()
			time.Sleep(10 * time.Millisecond)
			if status != http.StatusOK {
				continue
			}
			if due := ackedBefore(sentAt.Add(-applyTime)); version < due && calm.Load() && sentAt.Sub(lastDisturbance) > 2*contact {
				say("CONFIG: %s obeyed version %d in a request sent at %.0f ms, and %d was acknowledged long before", e.name, version, f.record.ms(sentAt), due)
			}
			for _, o := range seen {
				if o.lifetime == lifetime && o.version > version && sentAt.Sub(o.gotAt) > rollbackSlack {
					say("CONFIG: %s obeyed version %d in a request sent at %.0f ms, and %d in one answered at %.0f ms", e.name, version, f.record.ms(sentAt), o.version, f.record.ms(o.gotAt))
					break
				}
			}
			if seen = append(seen, observation{sentAt, gotAt, lifetime, version}); len(seen) > 400 {
				seen = seen[1:]
			}
		}
	}
	disturb := func() {
		voters := f.voters()
		v := voters[rand.IntN(3)]
		back := func(n *node, down time.Duration) {
			time.Sleep(down)
			_ = n.start()
			f.record.printf("platform: %s started again", n.name)
		}
		switch rand.IntN(8) {
		case 0, 1:
			f.record.printf("platform: %s killed", v.name)
			v.kill()
			back(v, time.Duration(rand.IntN(2000))*time.Millisecond)
		case 2, 3:
			d := time.Duration(300+rand.IntN(6000)) * time.Millisecond
			f.record.printf("platform: %s frozen for %v", v.name, d)
			v.signal(syscall.SIGSTOP)
			time.Sleep(d)
			v.signal(syscall.SIGCONT)
		case 4:
			f.record.printf("platform: %s stops", v.name)
			v.signal(syscall.SIGTERM)
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			v.kill()
			back(v, 200*time.Millisecond)
		case 5, 6:
			f.record.printf("platform: %s cut off", v.name)
			inside := func(n *node) bool { return n == v }
			f.links.setCut(f.nodes, inside, true)
			time.Sleep(time.Duration(300+rand.IntN(5000)) * time.Millisecond)
			f.links.setCut(f.nodes, inside, false)
			f.record.printf("platform: %s joined", v.name)
		case 7:
			f.record.printf("platform: all voters killed")
			for _, o := range voters {
				o.kill()
			}
			for _, o := range voters {
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
				_ = o.start()
			}
			f.record.printf("platform: all voters started again")
		}
	}
	for range 2 {
		all.Go(operator)
	}
	time.Sleep(200 * time.Millisecond)
	for _, v := range f.voters() {
		all.Go(func() { reader(v) })
	}
	for _, e := range f.entries("") {
		all.Go(func() { prober(e) })
	}
	for range 3 {
		calm.Store(false)
		for until := time.Now().Add(15 * time.Second); trouble && time.Now().Before(until); {
			disturb()
			mu.Lock()
			disturbedAt = time.Now()
			mu.Unlock()
			time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
		}
		calm.Store(true)
		time.Sleep(12 * time.Second)
	}
	stop.Store(true)
	all.Wait()
	time.Sleep(applyTime)
	for _, v := range f.voters() {
		status, answer := f.call(http.MethodGet, v.controlAddress(), v.controlAddress(), "/clementineyard/config", "", 3*time.Second)
		m := versionOf.FindStringSubmatch(answer)
		if status != http.StatusOK || m == nil {
			say("CONFIG: the last read at %s got %d %s", v.name, status, trim(answer))
			continue
		}
		version, _ := strconv.Atoi(m[1])
		if version < acked {
			say("CONFIG: the last read at %s got version %d, and %d was acknowledged", v.name, version, acked)
		}
		same := false
		for _, d := range sent {
			same = same || d.version == version && strings.Count(d.body, `"path-prefix"`) == strings.Count(answer, `"path-prefix"`) && strings.Contains(answer, fmt.Sprintf(`"/v%d/"`, version))
		}
		if !same {
			say("CONFIG: the last read at %s got other content for version %d: %s", v.name, version, trim(answer))
		}
	}
	f.record.printf("%d versions sent, newest acknowledged %d", len(sent), acked)
	fmt.Println(len(sent), "versions sent, newest acknowledged", acked)
	return broken, nil
}
