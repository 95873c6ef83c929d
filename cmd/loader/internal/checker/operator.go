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
	serviceName   = "inscription"
	changePause   = 150 * time.Millisecond
	pollEvery     = 100 * time.Millisecond
	changeResends = 3
)

// operator publishes changes that race with another operator's, and sends a change again after losing its answer.
type operator struct {
	run  *run
	name string
	rnd  *rand.Rand
}

// history collects what operators and pollers saw.
type history struct {
	mu sync.Mutex
	// accepted maps versions to the change ids that were told to have made them.
	accepted map[uint64]map[string]bool
	// seen maps versions to the contents that any VM showed.
	seen    map[uint64]map[string]bool
	highest map[string]uint64
	reverts []string
}

func newHistory() *history {
	return &history{accepted: map[uint64]map[string]bool{}, seen: map[uint64]map[string]bool{}, highest: map[string]uint64{}}
}

func put(m map[uint64]map[string]bool, version uint64, s string) {
	if m[version] == nil {
		m[version] = map[string]bool{}
	}
	m[version][s] = true
}

// observe notes the configuration that a VM has in force.
func (h *history) observe(vm string, c listener.ConfigurationAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version < h.highest[vm] {
		h.reverts = append(h.reverts, fmt.Sprintf("%s went back from version %d to %d", vm, h.highest[vm], c.Version))
	}
	h.highest[vm] = max(h.highest[vm], c.Version)
	if c.Version > 0 {
		put(h.seen, c.Version, string(c.Files[serviceName]))
	}
}

func (o *operator) loop(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(changePause):
		}
		vm := o.run.d.VMs[o.rnd.IntN(len(o.run.d.VMs))]
		var cur listener.ConfigurationAnswer
		if _, err := o.run.d.Operate(vm, http.MethodGet, "/v1/configuration", nil, &cur); err != nil || cur.Version == 0 {
			continue
		}
		o.change(fmt.Sprintf("%s-%d", o.name, n), cur.Version)
	}
}

// change publishes one change; the same id is sent again while the result is not known.
func (o *operator) change(id string, base uint64) bool {
	req := listener.ChangeRequest{
		ID: id, BaseVersion: base, Author: o.name,
		Files: []listener.FileChange{{Service: serviceName, Content: taskFile(id)}},
	}
	for range changeResends {
		vm := o.run.d.VMs[o.rnd.IntN(len(o.run.d.VMs))]
		var ans listener.ChangeAnswer
		if _, err := o.run.d.Operate(vm, http.MethodPost, "/v1/changes", req, &ans); err != nil {
			continue
		}
		if ans.Verdict == "accepted" {
			o.run.history.mu.Lock()
			put(o.run.history.accepted, ans.Version, id)
			o.run.history.mu.Unlock()
			return true
		}
		if ans.Verdict == "conflict" || ans.Verdict == "invalid" {
			return false
		}
	}
	return false
}

// taskFile differs in a quota, so that each version's content shows the change that made it.
func taskFile(id string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"service":%q,"callers":["callers",%q],"tasks":[`+
		`{"name":"assignNumber","nonIdempotent":true,"timeout":"4s"},{"name":"lookUp","timeout":"4s"}]}`, serviceName, id))
}

// poll watches the version on every VM.
func (o *operator) poll(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollEvery):
		}
		for _, vm := range o.run.d.VMs {
			var cur listener.ConfigurationAnswer
			if _, err := o.run.d.Operate(vm, http.MethodGet, "/v1/configuration", nil, &cur); err == nil && cur.Version > 0 {
				o.run.history.observe(vm.Name, cur)
			}
		}
	}
}
