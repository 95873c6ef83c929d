package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

// thawFreeze is how long a machine is frozen.
const thawFreeze = 3500 * time.Millisecond

// cancelAfterThaw freezes one machine of each zone, one after the other, as freezeOwner does, until the rule is broken.
func cancelAfterThaw(f *fleet, trouble bool) (broken []string, err error) {
	for i := 0; i < len(zoneNames) && len(broken) == 0 && err == nil; i++ {
		broken, err = freezeOwner(f, zoneNames[i], trouble)
	}
	return broken, err
}

// freezeOwner freezes the entry machine that owns a zone's cell. In the first two seconds, before the platform takes the machine out of
// rotation, a client hands jobs in there and cancels them there, as the platform directs all its connections to that machine.
func freezeOwner(f *fleet, zone string, trouble bool) ([]string, error) {
	owner := f.owner(zone)
	if owner == nil {
		return nil, errors.New("the zone's cell has no owner")
	}
	body := submission([]phase{{count: 1, cpu: 2000, estimate: 4 * time.Second}, {count: 1, cpu: 2000, estimate: time.Second, after: []int{0}}})
	calmAt := time.Now()
	if trouble {
		calmAt = calmAt.Add(thawFreeze)
		owner.signal(syscall.SIGSTOP)
		f.record.printf("platform: %s is frozen", owner.name)
		time.AfterFunc(thawFreeze, func() {
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
		jobs.Go(func() {
			time.Sleep(300 * time.Millisecond)
			f.submit(owner, id, body, patience(5*time.Second))
		})
		jobs.Go(func() {
			time.Sleep(1600 * time.Millisecond)
			ackAt, err := f.cancelUntilAcknowledged(id, []*node{owner}, 5*time.Second)
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
