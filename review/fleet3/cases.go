package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// testCase is one case. run returns what has broken the rule.
type testCase struct {
	withLinks bool
	timeout   time.Duration
	run       func(f *fleet, trouble bool) (broken []string, err error)
}

// siteTimeout is the timeout of the deployment's queues.
const siteTimeout = 1500 * time.Millisecond

// patience returns how long a client waits for a job: the timeout, and the stretch factor times the longest chain of its tasks.
func patience(chain time.Duration) time.Duration { return siteTimeout + chain*8/5 }

var cases = map[string]testCase{
	"cancel-owner-freeze": {timeout: siteTimeout, run: cancelOwnerFreeze},
	"cancel-forgotten":    {timeout: siteTimeout, run: cancelForgotten},
	"cancel-after-thaw":   {timeout: siteTimeout, run: cancelAfterThaw},
	"malformed":           {timeout: 15 * time.Second, run: sendMalformed},
	"configs":             {timeout: 15 * time.Second, run: configSoak, withLinks: true},
	"flood":               {timeout: siteTimeout, run: flood},
	"soak":                {timeout: 15 * time.Second, run: soak, withLinks: true},
	"cancel-zone-cut":     {timeout: siteTimeout, run: cancelZoneCut, withLinks: true},
}

// others returns the entry machines of a zone but for some.
func (f *fleet) others(zone string, not ...*node) []*node {
	return slices.DeleteFunc(f.entries(zone), func(n *node) bool { return slices.Contains(not, n) })
}

// judgeCancelled returns the starts of a cancelled job that came later than cancel_ms after the acknowledgement, and the runs that
// went on for stop-ms more. It leaves out what a disturbed machine has started, and what starts or goes on only while the disturbance
// counts, until contact-ms after its end.
func (f *fleet) judgeCancelled(id string, ackAt, calmAt time.Time, disturbed ...*node) (broken []string) {
	bound := ackAt.Add(cancelBound)
	for _, r := range f.runsOf(id) {
		if slices.ContainsFunc(disturbed, func(n *node) bool { return n.ownedUnder(r.fence) }) {
			f.record.printf("not judged, as the disturbed machine has started it: %v", r)
			continue
		}
		if r.startAt.After(bound) {
			broken = append(broken, fmt.Sprintf("UNASKED: %v started %.0f ms after the cancelling was acknowledged", r, float64(r.startAt.Sub(ackAt).Milliseconds())))
			continue
		}
		// A run is judged at a time without a disturbance near.
		if at := later(bound.Add(stopTime), calmAt.Add(contact)); r.endAt.IsZero() || r.endAt.After(at) {
			broken = append(broken, fmt.Sprintf("UNASKED: %v still ran %.0f ms after the cancelling was acknowledged", r, float64(at.Sub(ackAt).Milliseconds())))
		}
	}
	return broken
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cancelUntilAcknowledged cancels a job at the given machines in turn until one answers 2xx or 410.
func (f *fleet) cancelUntilAcknowledged(id string, at []*node, timeout time.Duration) (ackAt time.Time, err error) {
	for i := range 20 {
		if status, now := f.cancel(at[i%len(at)], id, timeout); status/100 == 2 || status == http.StatusGone {
			return now, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errors.New("no machine acknowledged the cancelling")
}

// cancelOwnerFreeze freezes the entry machine that owns a zone's cell for four seconds. Clients hand in jobs at another machine of the
// zone meanwhile and cancel them at a third one.
func cancelOwnerFreeze(f *fleet, trouble bool) ([]string, error) {
	zone := zoneNames[0]
	owner := f.owner(zone)
	if owner == nil {
		return nil, errors.New("the zone's cell has no owner")
	}
	rest := f.others(zone, owner)
	body := submission([]phase{{count: 1, cpu: 2000, estimate: 4 * time.Second}, {count: 1, cpu: 2000, estimate: time.Second, after: []int{0}}})
	calmAt := time.Now()
	if trouble {
		calmAt = calmAt.Add(4 * time.Second)
		owner.signal(syscall.SIGSTOP)
		f.record.printf("platform: %s is frozen", owner.name)
		time.AfterFunc(4*time.Second, func() {
			owner.signal(syscall.SIGCONT)
			f.record.printf("platform: %s goes on", owner.name)
		})
	}
	var jobs sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	var failed error
	for range 4 {
		id := newJobID()
		jobs.Go(func() { f.submit(rest[0], id, body, patience(5*time.Second)) })
		jobs.Go(func() {
			time.Sleep(250 * time.Millisecond)
			ackAt, err := f.cancelUntilAcknowledged(id, []*node{rest[1]}, 1500*time.Millisecond)
			if err == nil {
				time.Sleep(time.Until(ackAt.Add(9 * time.Second)))
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			broken = append(broken, f.judgeCancelled(id, ackAt, calmAt, owner)...)
		})
	}
	jobs.Wait()
	return broken, failed
}

// cancelZoneCut cuts a zone off from the others for some seconds. A client hands a job in there, moves to another zone and cancels the
// job.
func cancelZoneCut(f *fleet, trouble bool) ([]string, error) {
	zone := zoneNames[0]
	inside := func(n *node) bool { return n.zone == zone }
	body := submission([]phase{{count: 1, cpu: 2000, estimate: 6 * time.Second}, {count: 1, cpu: 2000, estimate: time.Second, after: []int{0}}})
	if trouble {
		f.links.setCut(f.nodes, inside, true)
		f.record.printf("platform: %s is cut off", zone)
	}
	id := newJobID()
	var jobs sync.WaitGroup
	time.Sleep(300 * time.Millisecond)
	jobs.Go(func() { f.submit(f.entries(zone)[0], id, body, patience(7*time.Second)) })
	time.Sleep(500 * time.Millisecond)
	ackAt, err := f.cancelUntilAcknowledged(id, f.entries(zoneNames[1]), 1500*time.Millisecond)
	time.Sleep(time.Second)
	calmAt := time.Now()
	if trouble {
		f.links.setCut(f.nodes, inside, false)
		f.record.printf("platform: %s is joined again", zone)
	}
	if err != nil {
		return nil, err
	}
	jobs.Wait()
	return f.judgeCancelled(id, ackAt, calmAt), nil
}
