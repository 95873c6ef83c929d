package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soakJob is a job of a soak, with what its client did and saw.
type soakJob struct {
	id        string
	phases    []phase
	labels    []string
	affinity  []int
	mu        sync.Mutex
	statuses  []int
	bodies    []string
	ackAt     time.Time
	ack       int
	cancelled bool
}

func randomJob() *soakJob {
	j := &soakJob{id: newJobID()}
	for i := range 1 + rand.IntN(3) {
		p := phase{count: 1 + rand.IntN(6), cpu: []int{500, 2000, 6800, 9000}[rand.IntN(4)], estimate: time.Duration(20+rand.IntN(600)) * time.Millisecond}
		if rand.Float64() < 0.1 {
			p.estimate = 4 * time.Second
		}
		if i > 0 {
			p.after = []int{i - 1}
		}
		label, affinity := "", 0
		if rand.Float64() < 0.3 {
			label = []string{"a", "b"}[rand.IntN(2)]
			p.extra += fmt.Sprintf(`,"requirements":%q`, label)
		}
		if rand.Float64() < 0.3 {
			affinity = 1 + rand.IntN(2)
			p.extra += fmt.Sprintf(`,"anti-affinity":%d`, affinity)
		}
		j.phases, j.labels, j.affinity = append(j.phases, p), append(j.labels, label), append(j.affinity, affinity)
	}
	return j
}

func (f *fleet) runClient(j *soakJob, until time.Time) {
	zone := zoneNames[rand.IntN(3)]
	body := submission(j.phases)
	if rand.Float64() < 0.1 {
		delay := time.Duration(rand.IntN(1200)) * time.Millisecond
		z := zone
		if rand.Float64() < 0.3 {
			z = zoneNames[rand.IntN(3)]
		}
		go func() {
			time.Sleep(delay)
			j.mu.Lock()
			j.cancelled = true
			j.mu.Unlock()
			for range 20 {
				at := f.entries(z)
				n := at[rand.IntN(len(at))]
				status, now := f.cancel(n, j.id, 1500*time.Millisecond)
				if status/100 == 2 || status == http.StatusGone {
					j.mu.Lock()
					j.ackAt, j.ack = now, status
					j.mu.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	for range 3 {
		at := f.entries(zone)
		n := at[rand.IntN(len(at))]
		leave := 12 * time.Second
		if rand.Float64() < 0.15 {
			leave = time.Duration(rand.IntN(800)) * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), leave)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.clientAddress()+prefix+j.id, strings.NewReader(body))
		if err != nil {
			cancel()
			return
		}
		req.Host = queueHost
		f.record.printf("client: POST %s to %s", j.id, n.name)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		status, answer := 0, ""
		resp, err := client.Do(req)
		if err == nil {
			var content []byte
			if content, err = io.ReadAll(resp.Body); err == nil {
				status, answer = resp.StatusCode, string(content)
			}
			_ = resp.Body.Close()
		}
		if err != nil {
			answer = "ERR " + err.Error()[max(0, len(err.Error())-50):]
		}
		cancel()
		f.record.printf("client: POST %s at %s got %d %s", j.id, n.name, status, trim(answer))
		j.mu.Lock()
		j.statuses, j.bodies = append(j.statuses, status), append(j.bodies, answer)
		j.mu.Unlock()
		if status != 0 && status != 502 && status != 504 || time.Now().After(until) {
			return
		}
		time.Sleep(1300 * time.Millisecond)
		j.mu.Lock()
		cancelled := j.cancelled
		j.mu.Unlock()
		if cancelled {
			return
		}
		if rand.Float64() < 0.4 {
			zone = zoneNames[rand.IntN(3)]
		}
	}
}

// trouble makes one random disturbance.
func (f *fleet) trouble() {
	entries := f.entries("")
	e := entries[rand.IntN(len(entries))]
	if z := zoneNames[rand.IntN(3)]; rand.Float64() < 0.6 && f.owner(z) != nil {
		e = f.owner(z)
	}
	v := f.voters()[rand.IntN(3)]
	w := f.workers[rand.IntN(len(f.workers))]
	back := func(n *node, down time.Duration) {
		time.Sleep(down)
		_ = n.start()
		f.record.printf("platform: %s started again", n.name)
	}
	switch rand.IntN(12) {
	case 0, 1:
		d := time.Duration(300+rand.IntN(4000)) * time.Millisecond
		f.record.printf("platform: %s frozen for %v", e.name, d)
		e.signal(syscall.SIGSTOP)
		time.Sleep(d)
		e.signal(syscall.SIGCONT)
	case 2:
		f.record.printf("platform: %s killed", e.name)
		e.kill()
		back(e, 500*time.Millisecond)
	case 3:
		f.record.printf("platform: %s stops", e.name)
		e.signal(syscall.SIGTERM)
		time.Sleep(6 * time.Second)
		e.kill()
		back(e, 200*time.Millisecond)
	case 4:
		f.record.printf("platform: %s killed", v.name)
		v.kill()
		back(v, 500*time.Millisecond)
	case 5:
		z := zoneNames[rand.IntN(3)]
		f.record.printf("platform: %s cut off", z)
		inside := func(n *node) bool { return n.zone == z }
		f.links.setCut(f.nodes, inside, true)
		time.Sleep(time.Duration(300+rand.IntN(5000)) * time.Millisecond)
		f.links.setCut(f.nodes, inside, false)
		f.record.printf("platform: %s joined", z)
	case 6:
		f.record.printf("platform: %s cut off", e.name)
		inside := func(n *node) bool { return n == e }
		f.links.setCut(f.nodes, inside, true)
		time.Sleep(time.Duration(300+rand.IntN(5000)) * time.Millisecond)
		f.links.setCut(f.nodes, inside, false)
		f.record.printf("platform: %s joined", e.name)
	case 7:
		f.record.printf("runner %s: cut off", w.id)
		w.mu.Lock()
		w.cutUntil = time.Now().Add(time.Duration(300+rand.IntN(4000)) * time.Millisecond)
		w.mu.Unlock()
	case 8:
		f.record.printf("runner %s: crashes", w.id)
		w.crash(time.Duration(50+rand.IntN(2000)) * time.Millisecond)
	case 9:
		f.record.printf("runners: late and lost orders")
		for _, w := range f.workers {
			w.mu.Lock()
			w.lateShare, w.lostShare = 0.05, 0.1
			w.mu.Unlock()
		}
		time.Sleep(4 * time.Second)
		for _, w := range f.workers {
			w.mu.Lock()
			w.lateShare, w.lostShare = 0, 0
			w.mu.Unlock()
		}
	case 11:
		f.record.printf("runners: connections are silent")
		for _, w := range f.workers {
			w.mu.Lock()
			w.silentBefore = time.Now()
			w.mu.Unlock()
		}
	case 10:
		if !w.drainAckAt.IsZero() {
			return
		}
		f.record.printf("runner %s: drains", w.id)
		if w.report("draining") {
			w.mu.Lock()
			w.drainAckAt = time.Now()
			w.mu.Unlock()
			f.record.printf("runner %s: draining acknowledged", w.id)
		}
	}
}

func soak(f *fleet, trouble bool) ([]string, error) {
	for i, w := range f.workers {
		if i%2 == 1 {
			w.mu.Lock()
			w.labels = []string{"b", w.labels[1]}
			w.mu.Unlock()
		}
	}
	time.Sleep(2 * heartbeat)
	until := time.Now().Add(25 * time.Second)
	var jobs []*soakJob
	var clients, troubles sync.WaitGroup
	if trouble {
		for range 3 {
			troubles.Go(func() {
				for time.Now().Before(until) {
					f.trouble()
					time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				}
			})
		}
	}
	for time.Now().Before(until) {
		j := randomJob()
		jobs = append(jobs, j)
		clients.Go(func() { f.runClient(j, until) })
		time.Sleep(time.Duration(rand.IntN(160)) * time.Millisecond)
	}
	clients.Wait()
	troubles.Wait()
	time.Sleep(2 * time.Second)
	return f.judgeAll(jobs), nil
}

func (f *fleet) judgeAll(jobs []*soakJob) (broken []string) {
	byID := map[string]*soakJob{}
	for _, j := range jobs {
		byID[j.id] = j
	}
	var all []*run
	for _, w := range f.workers {
		w.mu.Lock()
		for _, r := range w.history {
			c := *r
			all = append(all, &c)
		}
		w.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b *run) int { return a.startAt.Compare(b.startAt) })
	ends := func(r *run) time.Time {
		if r.endAt.IsZero() {
			return time.Now()
		}
		return r.endAt
	}
	counts := map[string]int{}
	say := func(kind, format string, args ...any) {
		if counts[kind]++; counts[kind] <= 4 {
			broken = append(broken, kind+": "+fmt.Sprintf(format, args...))
		}
	}
	byTask := map[string][]*run{}
	for _, r := range all {
		byTask[r.task] = append(byTask[r.task], r)
	}
	step := func(r *run) int { n, _ := strconv.Atoi(strings.Split(r.task, ".")[2]); return n }
	for i, r := range all {
		id, _, _ := strings.Cut(r.task, ".")
		j := byID[id]
		if j == nil {
			continue
		}
		s := step(r)
		cpu := j.phases[s].cpu
		same := 1
		for k := i - 1; k >= 0 && r.startAt.Sub(all[k].startAt) < 14*time.Second; k-- {
			o := all[k]
			if o.worker != r.worker || !ends(o).After(r.startAt) {
				continue
			}
			oid, _, _ := strings.Cut(o.task, ".")
			oj := byID[oid]
			if oj == nil {
				continue
			}
			cpu += oj.phases[step(o)].cpu
			if oj == j && step(o) == s {
				same++
			}
		}
		if cpu > workerCPU {
			say("LIMIT", "%v at %.0f ms: %d", r, f.record.ms(r.startAt), cpu)
		}
		if a := j.affinity[s]; a > 0 && same > a {
			say("ROUTE", "%v at %.0f ms: %d of the step", r, f.record.ms(r.startAt), same)
		}
		if l := j.labels[s]; l != "" && !slices.Contains(r.labels, l) {
			say("ROUTE", "%v at %.0f ms: label %s", r, f.record.ms(r.startAt), l)
		}
		if !r.drainAckAt.IsZero() && r.startAt.Sub(r.drainAckAt) > 2*time.Second {
			say("DRAIN", "%v at %.0f ms", r, f.record.ms(r.startAt))
		}
		for _, o := range byTask[r.task] {
			if o != r && !o.startAt.After(r.startAt) && ends(o).After(r.startAt) {
				say("TWICE", "%v at %.0f ms beside %v from %.0f to %.0f ms", r, f.record.ms(r.startAt), o, f.record.ms(o.startAt), f.record.ms(ends(o)))
			}
		}
		for _, d := range j.phases[s].after {
			for k := range j.phases[d].count {
				if !slices.ContainsFunc(byTask[fmt.Sprintf("%s.0.%d.%d", id, d, k)], func(o *run) bool { return o.how == "done" && !o.endAt.After(r.startAt) }) {
					say("ORDER", "%v at %.0f ms before %d.%d", r, f.record.ms(r.startAt), d, k)
				}
			}
		}
		if !j.ackAt.IsZero() {
			if late := r.startAt.Sub(j.ackAt); late > cancelBound {
				say(fmt.Sprint("UNASKED", j.ack), "%v started %v after the cancelling (%d)", r, late, j.ack)
			} else if ends(r).Sub(j.ackAt) > cancelBound+stopTime {
				say(fmt.Sprint("UNASKED", j.ack), "%v ran %v after the cancelling (%d)", r, ends(r).Sub(j.ackAt), j.ack)
			}
		}
		if len(j.statuses) > 0 && !slices.ContainsFunc(j.statuses, func(s int) bool { return s != 503 && s != 429 }) {
			say("REFUSED", "%v at %.0f ms: %v", r, f.record.ms(r.startAt), j.statuses)
		}
	}
	statuses := map[int]int{}
	for _, j := range jobs {
		for i, s := range j.statuses {
			statuses[s]++
			if s == 200 && strings.Contains(j.bodies[i], "completed") {
				for d, p := range j.phases {
					for k := range p.count {
						if !slices.ContainsFunc(byTask[fmt.Sprintf("%s.0.%d.%d", j.id, d, k)], func(o *run) bool { return o.how == "done" }) {
							say("MIXED", "%s completed without %d.%d", j.id, d, k)
						}
					}
				}
			}
		}
	}
	f.record.printf("jobs %d, runs %d, statuses %v, broken %v", len(jobs), len(all), statuses, counts)
	fmt.Println("jobs", len(jobs), "runs", len(all), "statuses", statuses, "broken", counts)
	return broken
}
