package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	firstService, secondService = "huvo11a", "mavi204"
	shortJob                    = `{"spec":"100","best-effort":true,"phases":[{"count":1,"cpu":2000,"mem-mb":64,"estimate-ms":100}]}`
)

// twoRoutes returns a desired state with two routes of the same path prefix, each of a service of its own.
func twoRoutes(version int, firstHost, secondHost string) []byte {
	route := func(name, host, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": "/lohu930/", "kind": "non_idempotent", "timeout-ms": 1500,
			"target-latency-ms": 60, "priority": 0, "service": service, "max-attempts": 4, "stretch-factor": 1.6,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}
	}
	content, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("r-3hwrr6x", firstHost, firstService), route("r-73d3zji", secondHost, secondService)},
		"services": []any{service(firstService), service(secondService)},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return content
}

// playHosts sends a desired state whose two routes share a host and a prefix; the names of the host differ in the case of a letter. The
// rule is broken if it is acknowledged and a client's request to one of them is then run by the service of the other.
func playHosts(f *fleet, trouble bool) (bool, error) {
	firstHost := "ficu95.example"
	if trouble {
		firstHost = "Nony24.example"
	}
	f.version++
	status := f.putConfig(f.voters[0], twoRoutes(f.version, firstHost, host))
	f.rec.note("operator: version %d with the hosts %s and %s was answered %d", f.version, firstHost, host, status)
	time.Sleep(4 * time.Second)
	answer, text := f.call(http.MethodPost, f.jobURL(f.entries[0], jobID), host, []byte(shortJob), 5*time.Second)
	f.rec.note("client: POST %s to host %s was answered %d %s", jobID, host, answer, text)
	ranOn := ""
	for _, w := range f.workers {
		w.mu.Lock()
		if len(w.history) > 0 {
			ranOn = w.service
			f.rec.note("worker %s of service %s ran it; the route of host %s has service %s", w.id, w.service, host, secondService)
		}
		w.mu.Unlock()
	}
	if !trouble {
		return status != http.StatusOK || ranOn != secondService, nil
	}
	return status == http.StatusOK && ranOn == firstService, nil
}
