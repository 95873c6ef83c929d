package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/cmd/loader/internal/stager"
	"clementineyard/internal/listener"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
)

const (
	demoServers  = 12
	demoVMs      = 2
	demoTasks    = 40
	demoRunMs    = 200
	demoRequests = 60
	requestPause = 25 * time.Millisecond
	killAfter    = 300 * time.Millisecond
	inForceLimit = 15 * time.Second
	resendLimit  = 20
	resendPause  = 200 * time.Millisecond
)

// example is what the demo takes from an example's files.
type example struct {
	folder         string
	failureDomains []string
	service, team  string
	// once is a non-idempotent task, again an idempotent one.
	once, again string
}

func loadExample(folder string) (*example, error) {
	e := &example{folder: folder}
	settings, err := filepath.Glob(filepath.Join(folder, "settings", "*.json"))
	if err != nil || len(settings) == 0 {
		return nil, eris.Errorf("no settings below %s", folder)
	}
	set, err := parser.LoadSettings(settings[0])
	if err != nil {
		return nil, err
	}
	for _, g := range set.Groups {
		e.failureDomains = append(e.failureDomains, g.FailureDomain)
	}
	files, err := filepath.Glob(filepath.Join(folder, "tasks", "*.json"))
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		if err := e.add(f); err != nil {
			return nil, err
		}
	}
	if e.once == "" || e.again == "" {
		return nil, eris.Errorf("%s has no service with a non-idempotent and an idempotent task", folder)
	}
	return e, nil
}

func (e *example) add(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	f, err := parser.ParseTaskFile(file, b)
	if err != nil || f.RunsOn == parser.RunsOnWorkers {
		return err
	}
	e.service, e.team = f.Service, f.Callers[0]
	for _, t := range f.Tasks {
		switch {
		case t.NonIdempotent && e.once == "":
			e.once = t.Name
		case !t.NonIdempotent && e.again == "":
			e.again = t.Name
		}
	}
	return nil
}

// demo is one running example.
type demo struct {
	*example
	*stager.Stage
	mu       sync.Mutex
	answered int
	resent   int
	broken   []string
}

// runDemo starts a deployment, publishes the example's task files, submits a job and single requests, and kills the
// entry process that received the job. It fails unless every promise held.
func runDemo(folder string) error {
	e, err := loadExample(folder)
	if err != nil {
		return err
	}
	var domains []launcher.Domain
	for _, n := range e.failureDomains {
		domains = append(domains, launcher.Domain{Name: n, VMs: demoVMs})
	}
	s, err := stager.New(stager.Config{Domains: domains, Servers: demoServers, Services: []string{e.service}, Slots: 8})
	if err != nil {
		return err
	}
	defer s.Close()
	d := &demo{example: e, Stage: s}
	if err := d.publish(); err != nil {
		return err
	}
	relay := d.relay()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		d.requests()
	}()
	time.AfterFunc(killAfter, relay.Kill)
	answer := d.job(relay)
	wg.Wait()
	return d.summary(relay, answer)
}

func (d *demo) publish() error {
	cmd := exec.Command("bin/clementineyard", "publish", "--entry", d.VMs[0].Settings.Listen.Operators,
		"--token", filepath.Join(d.Folder, d.VMs[0].Name, "token"), "--author", "demo", filepath.Join(d.folder, "tasks"))
	out, err := cmd.CombinedOutput()
	fmt.Print(string(out))
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	for deadline := time.Now().Add(inForceLimit); time.Now().Before(deadline); time.Sleep(requestPause) {
		inForce := 0
		for _, v := range d.VMs {
			if d.Configuration(v).Version > 0 {
				inForce++
			}
		}
		if inForce == len(d.VMs) {
			return nil
		}
	}
	return eris.Errorf("the task files are not in force everywhere after %s", inForceLimit)
}

// relay returns the entry VM of the first failure domain that does not own it: it passes the job on.
func (d *demo) relay() *launcher.VM {
	var status struct {
		Owner string `json:"owner"`
	}
	_, _ = d.Operate(d.VMs[0], http.MethodGet, "/v1/status", nil, &status)
	if d.VMs[0].Name == status.Owner {
		return d.VMs[1]
	}
	return d.VMs[0]
}

// job submits one job to the entry VM that is killed, and resubmits it through the others until it is answered.
func (d *demo) job(first *launcher.VM) listener.JobAnswer {
	in := listener.Job{
		Key: recorder.NewKey(first.FailureDomain, time.Now()).String(), Team: d.team, Service: d.service,
	}
	for i := range demoTasks {
		b, _ := json.Marshal(replier.Work{RunMilliseconds: demoRunMs})
		in.Tasks = append(in.Tasks, listener.JobTask{ID: fmt.Sprintf("t%d", i), Task: d.once, Payload: b})
	}
	var out listener.JobAnswer
	for i := range resendLimit {
		vm := first
		if i > 0 {
			vm = d.VMs[i%len(d.VMs)]
			d.count(&d.resent)
			time.Sleep(resendPause)
		}
		if err := postJSON("http://"+vm.Settings.Listen.Callers+"/v1/jobs", in, &out); err == nil && out.Outcome == "answered" {
			break
		}
	}
	if out.State != "complete" || len(out.Tasks) != demoTasks {
		d.fail("the job is %q with %d of %d tasks (%s)", out.State, len(out.Tasks), demoTasks, out.Reason)
	}
	for _, t := range in.Tasks {
		if n := d.starts(in.Key, t.ID); n != 1 {
			d.fail("task %s started %d times", t.ID, n)
		}
	}
	return out
}

// requests sends single requests through all entry VMs in turn; one that cannot connect goes to the next.
func (d *demo) requests() {
	var wg sync.WaitGroup
	for i := range demoRequests {
		time.Sleep(requestPause)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.request(i)
		}()
	}
	wg.Wait()
}

func (d *demo) request(i int) {
	task, key := d.again, ""
	if i%2 == 0 {
		task, key = d.once, recorder.NewKey(d.failureDomains[i%len(d.failureDomains)], time.Now()).String()
	}
	for n := range resendLimit {
		vm := d.VMs[(i+n)%len(d.VMs)]
		req, err := http.NewRequest(http.MethodPost, "http://"+vm.Settings.Listen.Callers+"/v1/requests/"+d.service+"/"+task,
			strings.NewReader(`{"runMilliseconds":60}`))
		if err != nil {
			d.fail("request %d: %v", i, err)
			return
		}
		req.Header.Set(listener.HeaderTeam, d.team)
		if key != "" {
			req.Header.Set(listener.HeaderKey, key)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			d.count(&d.resent)
			continue
		}
		_ = resp.Body.Close()
		if resp.Header.Get(listener.HeaderOutcome) == "answered" {
			d.count(&d.answered)
			return
		}
		time.Sleep(resendPause)
	}
	d.fail("request %d got no answer", i)
}

// summary prints the answer and one line, and fails when a promise was broken.
func (d *demo) summary(killed *launcher.VM, answer listener.JobAnswer) error {
	b, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	twice := d.Journal.StartedTwice()
	if twice > 0 {
		d.fail("%d tasks started twice", twice)
	}
	fmt.Printf("%s: job %s with %d tasks, %d of %d requests answered, %d resent after %s was killed, %d started twice, %d promises broken\n",
		d.folder, answer.State, len(answer.Tasks), d.answered, demoRequests, d.resent, killed.Name, twice, len(d.broken))
	if len(d.broken) > 0 {
		return eris.New(strings.Join(d.broken, "; "))
	}
	return nil
}

func (d *demo) starts(key, task string) int {
	n := 0
	for _, s := range d.Journal.Starts() {
		if s.Key == key && s.TaskID == task {
			n++
		}
	}
	return n
}

func (d *demo) count(n *int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*n++
}

func (d *demo) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

func postJSON(url string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}
