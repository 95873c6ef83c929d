package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

const (
	// cancelTime and stopTimeLimit are cancel_ms and stop-ms of the settings.
	cancelTime    = 3000 * time.Millisecond
	stopTimeLimit = 50 * time.Millisecond
	// cancelledJob has eight steps, each of which depends on the one before. Its spec is the run time of a task.
	cancelledJob = `{"spec":"900","best-effort":true,"phases":[` +
		`{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":900},` +
		`{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":900,"depends-on":[0]},` +
		`{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":900,"depends-on":[1]},` +
		`{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":900,"depends-on":[2]},` +
		`{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":900,"depends-on":[3]},` +
		`{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":900,"depends-on":[4]},` +
		`{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":900,"depends-on":[5]},` +
		`{"count":2,"cpu":2000,"mem-mb":64,"estimate-ms":900,"depends-on":[6]}]}`
	jobID = "5c0e7a21d94b36f8"
	host  = "nony24.example"
)

// playCancel submits a job and cancels it while it runs. The rule is broken if a task of it starts more than cancel_ms after the
// cancellation was acknowledged.
func playCancel(f *fleet, trouble bool) (bool, error) {
	type outcome struct {
		status int
		answer string
	}
	outcomes := make(chan outcome, 1)
	go func() {
		f.rec.note("client: POST %s to %s", jobID, f.entries[0].name)
		status, answer := f.call(http.MethodPost, f.jobURL(f.entries[0], jobID), host, []byte(cancelledJob), 15*time.Second)
		f.rec.note("client: POST %s was answered %d %s", jobID, status, answer)
		outcomes <- outcome{status, answer}
	}()
	time.Sleep(600 * time.Millisecond)
	var acknowledgedAt time.Time
	if trouble {
		f.rec.note("client: DELETE %s to %s", jobID, f.entries[0].name)
		status, answer := f.call(http.MethodDelete, f.jobURL(f.entries[0], jobID), host, nil, time.Second)
		f.rec.note("client: DELETE %s was answered %d %s", jobID, status, answer)
		if status/100 != 2 && status != http.StatusGone {
			return false, errors.New("the cancellation was not acknowledged")
		}
		acknowledgedAt = time.Now()
	}
	o := <-outcomes
	broken := false
	if !trouble {
		return o.status != http.StatusOK || !strings.Contains(o.answer, "completed"), nil
	}
	for _, w := range f.workers {
		w.mu.Lock()
		for _, s := range w.history {
			if late := s.at.Sub(acknowledgedAt); late > cancelTime {
				f.rec.note("worker %s was told to start %s %v after the cancellation was acknowledged", w.id, s.task, late.Round(time.Millisecond))
				broken = true
			}
		}
		w.mu.Unlock()
	}
	return broken, nil
}
