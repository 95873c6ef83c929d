package checker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"clementineyard/internal/listener"
)

const (
	serviceName       = "inscription"
	changePause       = 150 * time.Millisecond
	pollInterval      = 100 * time.Millisecond
	maxChangeAttempts = 3
)

// operator publishes configuration changes concurrently with other operators, and sends a change again when its answer
// was lost.
type operator struct {
	run  *run
	name string
	rng  *rand.Rand
}

// history records the configuration changes that were accepted and the versions that VMs had in force.
type history struct {
	mu sync.Mutex
	// accepted maps a version to the IDs of the changes that were acknowledged as having created it.
	accepted map[uint64]map[string]bool
	// contentsByVersion maps a version to the contents that any VM had in force under it.
	contentsByVersion map[uint64]map[string]bool
	highestVersion    map[string]uint64
	reverts           []string
}

func newHistory() *history {
	return &history{accepted: map[uint64]map[string]bool{}, contentsByVersion: map[uint64]map[string]bool{}, highestVersion: map[string]uint64{}}
}

func addToSet(m map[uint64]map[string]bool, version uint64, s string) {
	if m[version] == nil {
		m[version] = map[string]bool{}
	}
	m[version][s] = true
}

// observe records the configuration that a VM has in force.
func (h *history) observe(vm string, c listener.ConfigurationAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version < h.highestVersion[vm] {
		h.reverts = append(h.reverts, fmt.Sprintf("%s went back from version %d to %d", vm, h.highestVersion[vm], c.Version))
	}
	h.highestVersion[vm] = max(h.highestVersion[vm], c.Version)
	if c.Version > 0 {
		addToSet(h.contentsByVersion, c.Version, string(c.Files[serviceName]))
	}
}

func (o *operator) publishLoop(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(changePause):
		}
		vm := o.run.deployment.VMs[o.rng.IntN(len(o.run.deployment.VMs))]
		var current listener.ConfigurationAnswer
		if _, err := o.run.deployment.CallOperators(vm, http.MethodGet, "/v1/configuration", nil, &current); err != nil || current.Version == 0 {
			continue
		}
		o.publish(fmt.Sprintf("%s-%d", o.name, n), current.Version)
	}
}

// publish publishes one change on top of the version base and reports whether it was accepted. It sends the change
// again under the same ID while the result is not known.
func (o *operator) publish(id string, base uint64) bool {
	req := listener.ChangeRequest{
		ID: id, BaseVersion: base, Author: o.name,
		Files: []listener.FileChange{{Service: serviceName, Content: taskFile(id)}},
	}
	for range maxChangeAttempts {
		vm := o.run.deployment.VMs[o.rng.IntN(len(o.run.deployment.VMs))]
		var answer listener.ChangeAnswer
		if _, err := o.run.deployment.CallOperators(vm, http.MethodPost, "/v1/changes", req, &answer); err != nil {
			continue
		}
		if answer.Verdict == "accepted" {
			o.run.history.mu.Lock()
			addToSet(o.run.history.accepted, answer.Version, id)
			o.run.history.mu.Unlock()
			return true
		}
		if answer.Verdict == "conflict" || answer.Verdict == "invalid" {
			return false
		}
	}
	return false
}

// taskFile returns a task file whose list of callers contains the change's ID, so that the content of each version
// identifies the change that created it.
func taskFile(id string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"service":%q,"callers":["callers",%q],"tasks":[`+
		`{"name":"assignNumber","nonIdempotent":true,"timeout":"4s"},{"name":"lookUp","timeout":"4s"}]}`, serviceName, id))
}

// watchVersions records the configuration of every VM until it is stopped.
func (o *operator) watchVersions(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		for _, vm := range o.run.deployment.VMs {
			var current listener.ConfigurationAnswer
			if _, err := o.run.deployment.CallOperators(vm, http.MethodGet, "/v1/configuration", nil, &current); err == nil && current.Version > 0 {
				o.run.history.observe(vm.Name, current)
			}
		}
	}
}
