package main

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// cancelForgotten freezes an entry machine of a zone for seven seconds, just before a client hands a job in there. The job is cancelled
// at another machine once the platform has taken the frozen one out of rotation. Then the owner of the zone's cell is stopped and
// started again, as planned work. Without the disruption neither happens.
func cancelForgotten(f *fleet, trouble bool) ([]string, error) {
	zone := zoneNames[0]
	owner := f.owner(zone)
	if owner == nil {
		return nil, errors.New("the zone's cell has no owner")
	}
	rest := f.others(zone, owner)
	body := submission([]phase{{count: 2, cpu: 2000, estimate: 4 * time.Second}})
	if trouble {
		rest[0].signal(syscall.SIGSTOP)
		f.record.printf("platform: %s is frozen", rest[0].name)
		time.AfterFunc(7*time.Second, func() {
			rest[0].signal(syscall.SIGCONT)
			f.record.printf("platform: %s goes on", rest[0].name)
		})
	}
	id := newJobID()
	var jobs sync.WaitGroup
	jobs.Go(func() {
		time.Sleep(200 * time.Millisecond)
		f.submit(rest[0], id, body, patience(4*time.Second))
	})
	time.Sleep(2500 * time.Millisecond)
	status, ackAt := f.cancel(rest[1], id, 1500*time.Millisecond)
	if status/100 != 2 && status != http.StatusGone {
		return nil, errors.New("the cancelling was not acknowledged")
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		owner.signal(syscall.SIGTERM)
		f.record.printf("platform: %s is stopped", owner.name)
		time.Sleep(6 * time.Second)
		owner.kill()
		if err := owner.start(); err != nil {
			return nil, err
		}
		f.record.printf("platform: %s started again", owner.name)
	}
	jobs.Wait()
	time.Sleep(time.Second)
	return f.judgeCancelled(id, ackAt, time.Now(), rest[0], owner), nil
}
