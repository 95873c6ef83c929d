package main

import (
	"context"
	"io"
	"strings"
	"sync"
	"time"
)

// siteLayout is the shape of the users' small sites, with fewer workers.
var siteLayout = layout{zones: 3, edges: 2, cores: 1, workers: 3, capacity: amount{CPU: 16000, Memory: 32768}}

// ownerAndOther returns the entry process of a zone that owns its cell, and another one.
func (f *fleet) ownerAndOther(zone string) (owner, other *node) {
	for _, n := range f.edges {
		switch {
		case n.zone != zone:
		case strings.Contains(n.output(), "became the owner of a cell"):
			owner = n
		default:
			other = n
		}
	}
	if owner == nil || other == nil {
		f.fail("the zone has no owner, or no other entry process", nil)
	}
	return owner, other
}

// frozenEntry freezes the entry process that has the requests of some jobs under way. Their client cancels them at the other
// entry process of the zone, which acknowledges that.
func frozenEntry(out io.Writer, trouble bool) *fleet {
	const (
		untilFreeze = time.Second
		// freezeTime is the shortest freeze of entry machines in the site files of the users.
		freezeTime = 3500 * time.Millisecond
		// untilCancel is when the client cancels, from the freeze on.
		untilCancel = 2400 * time.Millisecond
	)
	f := newFleet(out, siteLayout)
	owner, other := f.ownerAndOther(f.zones[0])
	var clients, faults sync.WaitGroup
	ctx, stop := context.WithTimeout(context.Background(), clientPatience)
	defer stop()
	var jobs []*job
	for range 3 {
		b := f.newJob(f.zones[0], chain(16, 800*time.Millisecond, 4000)...)
		jobs = append(jobs, b)
		clients.Go(func() { f.submit(ctx, b, other, clientPatience, 0) })
	}
	time.Sleep(untilFreeze)
	f.requireRuns(jobs...)
	if trouble {
		faults.Go(func() { other.freeze(freezeTime) })
	}
	time.Sleep(untilCancel)
	for _, b := range jobs {
		clients.Go(func() { f.cancel(b, owner) })
	}
	faults.Wait()
	clients.Wait()
	return f
}

// droppedRoute drops the route of a job under way. Its client cancels the job afterwards, at each entry process of the zone
// in turn.
func droppedRoute(out io.Writer, trouble bool) *fleet {
	f := newFleet(out, siteLayout)
	f.judge.steady = true
	owner, other := f.ownerAndOther(f.zones[0])
	var clients sync.WaitGroup
	b := f.newJob(f.zones[0], chain(20, 800*time.Millisecond, 4000)...)
	clients.Go(func() { f.submit(context.Background(), b, other, clientPatience, 0) })
	time.Sleep(time.Second)
	f.requireRuns(b)
	dropped := ""
	if trouble {
		dropped = pathPrefix
	}
	if !f.configure(4*time.Second, dropped) {
		f.fail("the desired state was not acknowledged", nil)
	}
	time.Sleep(2500 * time.Millisecond)
	f.cancel(b, owner, other)
	clients.Wait()
	return f
}

// requireRuns ends the program unless a task of each job runs.
func (f *fleet) requireRuns(jobs ...*job) {
	f.judge.mu.Lock()
	missing := ""
	for _, b := range jobs {
		if len(b.runs) == 0 {
			missing = b.id
		}
	}
	f.judge.mu.Unlock()
	if missing != "" {
		f.fail("no task of a job has started: "+missing, nil)
	}
}
